use {
    crate::store::CallClient,
    mangowalk_core::pool::EngineEntry,
    mangowalk_platform::{
        EngineReport, OrderAnswer, WeightsOrder, decode_order_answer, decode_report, encode_order,
    },
};

/// Longest time for an engine's answer to an order or a question. It answers
/// at once or, under trouble, seconds later.
const CALL_TIMEOUT_MS: u64 = 700;

/// Time for a new connection to an engine; an order is on its way this much
/// longer after its lease was looked at.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Asks an engine for its state.
pub(super) async fn fetch_report(engine: &EngineEntry) -> Option<EngineReport> {
    let client = CallClient::new(engine.address, CONNECT_TIMEOUT_MS);
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

/// Sends an order to an engine.
pub(super) async fn send_order(engine: &EngineEntry, order: &WeightsOrder<'_>) -> OrderAnswer {
    let client = CallClient::new(engine.address, CONNECT_TIMEOUT_MS);
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
