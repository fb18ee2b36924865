//! Sends messages to peers.

use {
    super::Direction,
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{
        canary::CanaryMessage,
        mesh::{CANARY_VERSION, COMPRESSION_VERSION, EXCHANGE_VERSION, PACKS_VERSION, PeerMessage},
    },
    std::net::SocketAddr,
    tokio::net::UdpSocket,
};

/// Relays heartbeats from another failure domain to the peers of the own domain.
pub(super) fn relay(
    instance: &Instance,
    socket: &UdpSocket,
    message: &PeerMessage,
    exchange_version: u8,
) {
    let domain = instance.machine().domain.clone();
    let members = instance.members.borrow();
    let peers: Vec<SocketAddr> = members.in_domain(&domain).collect();
    send_relayed(instance, socket, message, exchange_version, &peers);
}

/// Sends what another instance has written to peers, within the budget for that.
pub(super) fn send_relayed(
    instance: &Instance,
    socket: &UdpSocket,
    message: &PeerMessage,
    exchange_version: u8,
    peers: &[SocketAddr],
) {
    let mut budget = instance.relay_budget.get();
    let is_covered = budget.take(peers.len(), now_ms());
    instance.relay_budget.set(budget);
    if !is_covered {
        return instance.counters.count("not_relayed", message.kind());
    }
    let Some(bytes) = encode_smallest(instance, message, exchange_version) else {
        return;
    };
    for &peer in peers {
        send_datagram(instance, socket, message.kind(), &bytes, peer);
    }
}

/// Sends a message of this build's exchange to the peers of the given failure domains
/// that understand it.
pub fn send_to_domains(
    instance: &Instance,
    socket: &UdpSocket,
    message: &PeerMessage,
    domains: &[&str],
) {
    let members = instance.members.borrow();
    let peers = domains
        .iter()
        .flat_map(|domain| members.in_domain_with(domain, PACKS_VERSION));
    send_to(instance, socket, message, peers);
}

/// Sends a message about a roll-out to all peers. `turn` selects those that relay it.
pub fn send_canary_to_all(
    instance: &Instance,
    socket: &UdpSocket,
    message: CanaryMessage,
    turn: u64,
) {
    let message = Box::new(message);
    let direct = PeerMessage::Canary(message.clone());
    let to_relay = PeerMessage::CanaryToRelay(message);
    send_to_all(instance, socket, [&direct, &to_relay], CANARY_VERSION, turn);
}

/// Sends a message to all peers that understand a version of the exchange: directly within
/// the own failure domain, and through one instance of each other one. `messages` are the
/// one to send directly and the one to relay; `turn` selects those that relay it.
pub(super) fn send_to_all(
    instance: &Instance,
    socket: &UdpSocket,
    messages: [&PeerMessage; 2],
    version: u8,
    turn: u64,
) {
    let [direct, to_relay] = messages;
    let members = instance.members.borrow();
    let domain = instance.machine().domain.clone();
    let near = members.in_domain_with(&domain, version);
    send_to(instance, socket, direct, near);
    let relays = members.relays(version, turn, &instance.settings.mesh, now_ms());
    send_to(instance, socket, to_relay, relays);
}

/// Sends a message about a roll-out to the first `count` instances that read the
/// store.
pub fn send_canary_to_readers(
    instance: &Instance,
    socket: &UdpSocket,
    message: CanaryMessage,
    count: usize,
) {
    let members = instance.members.borrow();
    let readers = members.first_readers(count, &instance.settings.mesh, now_ms());
    let readers = readers.filter(|member| member.exchange_version >= CANARY_VERSION);
    let readers = readers.map(|member| member.last_heartbeat.peer_address);
    let message = PeerMessage::Canary(Box::new(message));
    send_to(instance, socket, &message, readers);
}

pub(super) fn send_to(
    instance: &Instance,
    socket: &UdpSocket,
    message: &PeerMessage,
    peers: impl IntoIterator<Item = SocketAddr>,
) {
    let Some(bytes) = encode_smallest(instance, message, EXCHANGE_VERSION) else {
        return;
    };
    for peer in peers {
        send_datagram(instance, socket, message.kind(), &bytes, peer);
    }
}

/// Sends a datagram without waiting. One that does not fit the socket's buffer
/// is lost like any other, and the next heartbeat makes up for it.
fn send_datagram(
    instance: &Instance,
    socket: &UdpSocket,
    kind: &'static str,
    bytes: &[u8],
    peer: SocketAddr,
) {
    let traffic = &instance.mesh_traffic;
    traffic.count(Direction::Sent, kind, bytes.len());
    if let Err(error) = socket.try_send_to(bytes, peer) {
        log::debug!("event=heartbeat_lost peer={peer} error=\"{error}\"");
    }
}

/// Encodes a message, and compresses it if it is a pack that all peers can decompress.
fn encode_smallest(
    instance: &Instance,
    message: &PeerMessage,
    exchange_version: u8,
) -> Option<Vec<u8>> {
    let is_pack = matches!(
        message,
        PeerMessage::PackToRelay(_) | PeerMessage::RelayedPack(_) | PeerMessage::PackToGroup(_)
    );
    if is_pack
        && instance
            .members
            .borrow()
            .all_understand(COMPRESSION_VERSION)
    {
        let compressed = message.compress();
        let compressed = compressed.inspect_err(|error| {
            log::warn!("event=heartbeat_unwritable error=\"{error}\"");
        });
        return encode(&compressed.ok()?, exchange_version);
    }
    encode(message, exchange_version)
}

fn encode(message: &PeerMessage, exchange_version: u8) -> Option<Vec<u8>> {
    message
        .encode(exchange_version)
        .inspect_err(|error| log::warn!("event=heartbeat_unwritable error=\"{error}\""))
        .ok()
}
