//! Parts of prompts that may crash engines, as instances tell each other.

use {
    super::sending::{send_to, send_to_all},
    crate::{
        clock::now_ms,
        instance::{Instance, OutgoingPartMessage, PartRecipients},
    },
    mangowalk_core::{
        crash_part::{PartMessage, arbiters},
        mesh::{Member, PARTS_VERSION, PeerMessage},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{sleep, timeout},
    },
};

/// Interval at which pending decisions are checked.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which reports of one crash are gathered, as they arrive together.
const GATHER_TIME: Duration = Duration::from_millis(2);

/// Interval at which rejected parts are sent to one more peer: messages get lost, and
/// instances start.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which a message to all instances is sent again, as datagrams get lost.
const RESEND_DELAY_MS: u64 = 100;

/// Maximum number of rejected parts in a message that is repeated.
const MAX_REPEATED: usize = 64;

/// Messages to all instances that are to be sent again, with the time for that.
type Resends = Vec<(u64, OutgoingPartMessage)>;

/// Sends what peers are to be told, and decides on the parts of known crashes; never
/// returns.
pub async fn exchange_parts(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut resends = Resends::new();
    let mut repeated_ms = now_ms();
    loop {
        let now_ms = now_ms();
        instance.decide_on_parts(now_ms);
        send_outgoing(&instance, &socket, &mut resends, now_ms);
        resend_due(&instance, &socket, &mut resends, now_ms);
        if now_ms >= repeated_ms + REPEAT_INTERVAL.as_millis() as u64 {
            repeated_ms = now_ms;
            repeat_rejected(&instance, &socket, now_ms);
        }
        let more = instance.wake_ups.part_messages.notified();
        if instance.crash_parts.is_deciding() || !resends.is_empty() {
            // Times out unless there is more to send.
            let _ = timeout(DECISION_INTERVAL, more).await;
            sleep(GATHER_TIME).await;
        } else if instance.crash_parts.is_idle() {
            more.await;
        } else {
            let _ = timeout(REPEAT_INTERVAL, more).await;
        }
    }
}

fn send_outgoing(instance: &Instance, socket: &UdpSocket, resends: &mut Resends, now_ms: u64) {
    for outgoing in instance.crash_parts.take_outgoing() {
        send(instance, socket, &outgoing, now_ms);
        if outgoing.to == PartRecipients::All {
            resends.push((now_ms + RESEND_DELAY_MS, outgoing));
        }
    }
}

fn resend_due(instance: &Instance, socket: &UdpSocket, resends: &mut Resends, now_ms: u64) {
    resends.retain(|(due_ms, outgoing)| {
        let is_due = now_ms >= *due_ms;
        if is_due {
            send(instance, socket, outgoing, now_ms);
        }
        !is_due
    });
}

fn send(instance: &Instance, socket: &UdpSocket, outgoing: &OutgoingPartMessage, now_ms: u64) {
    let message = Box::new(outgoing.message.clone());
    let direct = PeerMessage::Part(message.clone());
    match &outgoing.to {
        PartRecipients::All => {
            let to_relay = PeerMessage::PartToRelay(message);
            let messages = [&direct, &to_relay];
            send_to_all(instance, socket, messages, PARTS_VERSION, rand::random());
        }
        PartRecipients::Arbiters(service) => {
            let peers = arbiter_addresses(instance, service, now_ms);
            send_to(instance, socket, &direct, peers);
        }
        PartRecipients::One(peer) => send_to(instance, socket, &direct, [*peer]),
    }
}

/// Returns the addresses of the arbiters of a service, without this instance.
fn arbiter_addresses(instance: &Instance, service: &str, now_ms: u64) -> Vec<SocketAddr> {
    let members = instance.members.borrow();
    let live = members.live(&instance.settings.mesh, now_ms);
    let able: Vec<&Member> = live
        .filter(|member| member.exchange_version >= PARTS_VERSION)
        .collect();
    let machine = instance.machine();
    let names = able
        .iter()
        .map(|member| member.last_heartbeat.name.as_str())
        .chain([machine.name.as_str()]);
    let arbiters = arbiters(service, names, instance.settings.crash_parts.arbiters);
    able.iter()
        .map(|member| &member.last_heartbeat)
        .filter(|heartbeat| arbiters.contains(&heartbeat.name.as_str()))
        .map(|heartbeat| heartbeat.peer_address)
        .collect()
}

/// Tells one peer, another each time, which parts are rejected.
fn repeat_rejected(instance: &Instance, socket: &UdpSocket, now_ms: u64) {
    let mut rejected = instance.crash_parts.rejected_parts(now_ms);
    if rejected.is_empty() {
        return;
    }
    let start = rand::random_range(0..rejected.len());
    rejected.rotate_left(start);
    rejected.truncate(MAX_REPEATED);
    let members = instance.members.borrow();
    let live = members.live(&instance.settings.mesh, now_ms);
    let able: Vec<SocketAddr> = live
        .filter(|member| member.exchange_version >= PARTS_VERSION)
        .map(|member| member.last_heartbeat.peer_address)
        .collect();
    if able.is_empty() {
        return;
    }
    let peer = able[rand::random_range(0..able.len())];
    let message = PeerMessage::Part(Box::new(PartMessage::Rejected(rejected)));
    send_to(instance, socket, &message, [peer]);
}
