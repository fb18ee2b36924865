use {
    crate::store::CallClient,
    mangowalk_core::pool::EngineEntry,
    mangowalk_platform::{
        EngineReport, OrderAnswer, WeightsOrder, decode_order_answer, decode_report, encode_order,
    },
};

/// Timeout for an engine's answer to an order or a report request, in
/// milliseconds. An engine answers at once or, in case of trouble, seconds
/// later.
const CALL_TIMEOUT_MS: u64 = 700;

/// Timeout for a new connection to an engine, in milliseconds. An order may
/// reach the engine this much later than the check of the lease.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Requests an engine's report; `None` if it is not available. Logs a failure.
pub(super) async fn fetch_report(engine: &EngineEntry) -> Option<EngineReport> {
    let client = CallClient::to_engine(engine.address, CONNECT_TIMEOUT_MS);
    let call = EngineReport::call(&engine.incarnation.id);
    match client.call(&call, CALL_TIMEOUT_MS).await {
        Ok((200, body)) => decode_report(&body),
        Ok((status, _)) => {
            log::info!(
                "event=report_refused engine={} status={status}",
                engine.incarnation.id
            );
            None
        }
        Err(error) => {
            log::info!(
                "event=report_missing engine={} error=\"{error}\"",
                engine.incarnation.id
            );
            None
        }
    }
}

/// Sends an order to an engine and returns its answer; [`OrderAnswer::Unknown`]
/// if there is none, which is logged.
pub(super) async fn send_order(engine: &EngineEntry, order: &WeightsOrder<'_>) -> OrderAnswer {
    let client = CallClient::to_engine(engine.address, CONNECT_TIMEOUT_MS);
    match client.call(&encode_order(order), CALL_TIMEOUT_MS).await {
        Ok((status, _)) => decode_order_answer(status),
        Err(error) => {
            log::warn!(
                "event=order_unanswered engine={} error=\"{error}\"",
                order.engine
            );
            OrderAnswer::Unknown
        }
    }
}
