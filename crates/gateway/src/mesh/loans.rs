//! Retries that instances lend each other.

use {
    super::Direction,
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{
        mesh::LOANS_VERSION,
        retries::{LoanGrant, LoanMessage, LoanRequest},
    },
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::timeout},
};

/// Maximum size of a datagram: names of services are short.
const MAX_MESSAGE_BYTES: usize = 1_024;

/// Thousandths of a retry in a retry.
const MILLI: f64 = 1_000.0;

/// Receives what peers ask for and lend; never returns.
pub async fn exchange_loans(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    instance.retry_budgets.loans.use_socket(socket.clone());
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        // The socket also reports here that nothing listens at a peer's port.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let traffic = &instance.mesh_traffic;
        traffic.count(Direction::Received, "loan", length);
        if !instance.is_peer_address(from.ip()) {
            log::debug!("event=loan_refused from={from} reason=unknown_peer");
            continue;
        }
        match LoanMessage::decode(&buffer[..length]) {
            Ok(LoanMessage::Request(request)) => lend(&instance, &request, from, now_ms()),
            Ok(LoanMessage::Grant(grant)) => receive(&instance, grant, now_ms()),
            Err(error) => log::warn!("event=loan_refused from={from} error=\"{error}\""),
        }
    }
}

fn lend(instance: &Instance, request: &LoanRequest, from: SocketAddr, now_ms: u64) {
    let wanted = f64::from(request.milli_retries) / MILLI;
    let lent = instance.lend_retries(&request.service, wanted, now_ms);
    let grant = LoanGrant {
        number: request.number,
        milli_retries: (lent * MILLI) as u32,
    };
    send(instance, &LoanMessage::Grant(grant), from);
}

fn receive(instance: &Instance, grant: LoanGrant, now_ms: u64) {
    let loans = &instance.retry_budgets.loans;
    let Some(open) = loans.end_request(grant.number, now_ms) else {
        return;
    };
    let milli_retries = grant.milli_retries.min(open.milli_retries);
    let retries = f64::from(milli_retries) / MILLI;
    instance.receive_loan(&open.service, retries, open.asked_ms);
    loans.arrived.notify_waiters();
}

/// Takes one retry from the budget of a service. If none is left, asks peers to lend some
/// and waits for a moment. Returns whether one was granted.
pub async fn take_retry(instance: &Instance, service: &str) -> bool {
    if instance.try_retry(service, now_ms()) {
        return true;
    }
    if instance.record_refused_retry(service, now_ms()) {
        ask(instance, service, now_ms());
    }
    loop {
        let arrived = instance.retry_budgets.loans.arrived.notified();
        let now = now_ms();
        let Some(until_ms) = instance.awaits_loan_until(service, now) else {
            instance.counters.count("repeats", "exhausted");
            return false;
        };
        let left = Duration::from_millis(until_ms.saturating_sub(now));
        // Times out unless a loan arrives before.
        let _ = timeout(left, arrived).await;
        if instance.try_retry(service, now_ms()) {
            return true;
        }
    }
}

/// Asks a few peers, others each time, to lend retries.
fn ask(instance: &Instance, service: &str, now_ms: u64) {
    let lenders = lenders(instance, now_ms);
    let wanted = instance.plan_loan(service, lenders.len(), now_ms);
    let milli_retries = (wanted * MILLI) as u32;
    for peer in lenders {
        let loans = &instance.retry_budgets.loans;
        let request = LoanRequest {
            number: loans.begin_request(service, milli_retries, now_ms),
            service: service.to_owned(),
            milli_retries,
        };
        send(instance, &LoanMessage::Request(request), peer);
    }
}

fn lenders(instance: &Instance, now_ms: u64) -> Vec<SocketAddr> {
    let machine = instance.machine();
    let members = instance.members.borrow();
    let live = members.live(&instance.settings.mesh, now_ms);
    let able = live.filter(|member| member.exchange_version >= LOANS_VERSION);
    let addresses =
        able.map(|member| machine.loans_address(member.last_heartbeat.peer_address.ip()));
    addresses.choose_multiple(&mut rand::rng(), instance.lenders(now_ms))
}

/// Sends a datagram without waiting. One that doesn't fit the socket's buffer is lost like
/// any other.
fn send(instance: &Instance, message: &LoanMessage, peer: SocketAddr) {
    let Some(socket) = instance.retry_budgets.loans.socket() else {
        return;
    };
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => return log::warn!("event=loan_unwritable error=\"{error}\""),
    };
    let traffic = &instance.mesh_traffic;
    traffic.count(Direction::Sent, "loan", bytes.len());
    if let Err(error) = socket.try_send_to(&bytes, peer) {
        log::debug!("event=loan_lost peer={peer} error=\"{error}\"");
    }
}
