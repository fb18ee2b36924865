use {
    super::{ConnectionPool, connect_to_engine, exchange::send_on},
    crate::{bounded::MeteredBody, clock::now_ms, instance::Instance},
    bytes::Bytes,
    http::StatusCode,
    http_body_util::{BodyExt, Full, Limited},
    mangowalk_core::{
        pool::EngineEntry,
        stream::{EndFinding, EndWitness},
    },
    mangowalk_platform::{EngineReport, decode_report},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Finds out whether an engine's process ended an answer itself, of which only the end of the
/// connection is known. The operating system closes the connections of a process that crashes
/// as well, so the process is asked on a new connection whether it is alive.
///
/// One call serves all answers of the engine that ended before it began.
pub async fn confirm_end(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
    left_ms: u64,
) -> EndFinding {
    let witnesses = &instance.end_witnesses;
    let ended = witnesses.next_place();
    let last = witnesses.last_of(&entry.incarnation);
    let mut last = last.lock().await;
    if let Some(finding) = last.and_then(|witness: EndWitness| witness.finding_for(ended)) {
        return finding;
    }
    let (began, began_ms) = (witnesses.next_place(), now_ms());
    let max_wait_ms = instance.settings.end_witness.max_wait_ms.min(left_ms);
    let asked = timeout(
        Duration::from_millis(max_wait_ms),
        ask_until_known(instance, pool, entry),
    );
    let finding = asked.await.unwrap_or(EndFinding::NoAnswer);
    *last = Some(EndWitness {
        began,
        over: witnesses.next_place(),
        finding,
    });
    let took_ms = now_ms().saturating_sub(began_ms);
    instance.counters.count("end_witness", finding.label());
    instance.counters.observe("end_witness", took_ms);
    finding
}

/// Asks the engine until something shows whether its process is alive.
async fn ask_until_known(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
) -> EndFinding {
    loop {
        if has_started_again(instance, entry) {
            return EndFinding::OtherProcess;
        }
        if let Some(finding) = ask(instance, pool, entry).await {
            return finding;
        }
        sleep(Duration::from_millis(
            instance.settings.end_witness.retry_ms,
        ))
        .await;
    }
}

/// Returns whether the engine list has another start of the engine.
fn has_started_again(instance: &Instance, entry: &EngineEntry) -> bool {
    let engines = instance.engines.borrow();
    let known_engine = engines.get(&entry.incarnation.id);
    known_engine.is_some_and(|known_engine| known_engine.entry.incarnation != entry.incarnation)
}

/// Asks the engine once, on a new connection: what comes on a used one may belong to an
/// earlier request. Returns `None` if that shows nothing.
async fn ask(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
) -> Option<EndFinding> {
    let connection = match connect_to_engine(instance, entry).await {
        Ok(connection) => pool.wrap(&entry.incarnation, connection),
        Err(error) if error.is_refused => return Some(EndFinding::Refused),
        Err(_) => return None,
    };
    let call = EngineReport::call(&entry.incarnation.id);
    let to_body = |text| Full::new(Bytes::from(text));
    let request = call.to_request(entry.address, to_body).ok()?;
    let answer = send_on(connection, request).await.ok()?;
    if answer.parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(EndFinding::OtherProcess);
    }
    let report = read_report(answer.body).await?;
    answer.connection.return_to_pool(now_ms());
    let born_ms = entry.incarnation.born_ms;
    Some(EndFinding::of_report(born_ms, report.born_ms))
}

async fn read_report(body: MeteredBody) -> Option<EngineReport> {
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?;
    decode_report(&body.to_bytes())
}
