use {
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
    },
    mangowalk_core::{
        mesh::{Heartbeat, PeerMessage, TeamReport},
        weights::PublishedAt,
    },
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Maximum size of a datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Peers named in one heartbeat. Each heartbeat names different ones, so that
/// all instances discover a new peer.
const PEERS_PER_HEARTBEAT: usize = 4;

/// Binds the socket on which heartbeats are received.
///
/// # Errors
///
/// Fails if the address is in use.
pub async fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends heartbeats to peers and receives theirs; never returns.
pub async fn exchange(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let sequence = Cell::new(0_u64);
    tokio::join!(
        send(&instance, &socket, &sequence),
        receive(&instance, &socket)
    );
}

async fn receive(instance: &Instance, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = socket.recv(&mut buffer).await else {
            // The socket also reports here that nothing listens at a peer's port.
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => handle(instance, socket, message),
            Err(error) => log::warn!("event=heartbeat_refused error=\"{error}\""),
        }
    }
}

fn handle(instance: &Instance, socket: &UdpSocket, message: PeerMessage) {
    match message {
        PeerMessage::Direct(heartbeat) | PeerMessage::Relayed(heartbeat) => {
            instance.receive_heartbeat(*heartbeat, now_ms());
        }
        PeerMessage::ToRelay(heartbeat) => {
            relay(instance, socket, &heartbeat);
            instance.receive_heartbeat(*heartbeat, now_ms());
        }
        PeerMessage::KvStore(report) => {
            let mut stores = instance.kv_stores.borrow_mut();
            stores.apply_report(&report, now_ms());
        }
    }
}

/// Relays a heartbeat from another failure domain to the peers of the own
/// domain.
fn relay(instance: &Instance, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let message = PeerMessage::Relayed(Box::new(heartbeat.clone()));
    let domain = instance.machine().domain.clone();
    send_to_domains(instance, socket, &message, &[domain.as_str()]);
}

/// Sends a message to all peers of the given failure domains.
pub fn send_to_domains(
    instance: &Instance,
    socket: &UdpSocket,
    message: &PeerMessage,
    domains: &[&str],
) {
    let Some(bytes) = encode(message) else {
        return;
    };
    let members = instance.members.borrow();
    for domain in domains {
        for peer in members.in_domain(domain) {
            send_datagram(socket, &bytes, peer);
        }
    }
}

/// Sends a datagram without waiting. One that does not fit the socket's buffer
/// is lost like any other, and the next heartbeat makes up for it.
fn send_datagram(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, peer) {
        log::debug!("event=heartbeat_lost peer={peer} error=\"{error}\"");
    }
}

fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    postcard::to_allocvec(message)
        .inspect_err(|error| log::warn!("event=heartbeat_unwritable error=\"{error}\""))
        .ok()
}

async fn send(instance: &Instance, socket: &UdpSocket, sequence: &Cell<u64>) {
    instance.add_seed_candidates();
    let period = Duration::from_millis(instance.settings.mesh.heartbeat_interval_ms);
    loop {
        send_heartbeat(instance, socket, sequence);
        tokio::select! {
            () = sleep(period) => {}
            () = instance.wake_ups.heartbeat.notified() => {}
        }
    }
}

fn send_heartbeat(instance: &Instance, socket: &UdpSocket, sequence: &Cell<u64>) {
    let now_ms = now_ms();
    let mesh = &instance.settings.mesh;
    let gone = instance.members.borrow_mut().expire(mesh, now_ms);
    for peer in &gone {
        log::info!("event=peer_gone peer={peer}");
        instance.engines.borrow_mut().remove_peer(peer);
    }
    instance.update_share_peers(now_ms);
    sequence.set(sequence.get() + 1);
    let turn = sequence.get();
    let domain = instance.machine().domain.clone();
    let targets = instance
        .members
        .borrow()
        .targets(&domain, turn, mesh, now_ms);
    let heartbeat = Box::new(heartbeat(instance, turn, now_ms));
    if !targets.relays.is_empty()
        && let Some(bytes) = encode(&PeerMessage::ToRelay(heartbeat.clone()))
    {
        for &relay in &targets.relays {
            send_datagram(socket, &bytes, relay);
        }
    }
    if let Some(bytes) = encode(&PeerMessage::Direct(heartbeat)) {
        for &peer in &targets.direct {
            send_datagram(socket, &bytes, peer);
        }
    }
}

fn heartbeat(instance: &Instance, sequence: u64, now_ms: u64) -> Heartbeat {
    let machine = instance.machine();
    let members = instance.members.borrow();
    let live = members.live(&instance.settings.mesh, now_ms);
    let peers: Vec<SocketAddr> = live
        .map(|member| member.last_heartbeat.peer_address)
        .collect();
    let count = peers.len();
    let (instances, counted_for_ms) = instance.shares.borrow().instances(now_ms);
    Heartbeat {
        name: machine.name.clone(),
        incarnation: instance.incarnation,
        up_ms: now_ms.saturating_sub(instance.started_ms) as u32,
        sequence,
        caller_address: machine.caller_address,
        peer_address: machine.peer_address,
        domain: machine.domain.clone(),
        ready: instance.is_ready(),
        stopped: *instance.drain.borrow() == Drain::Stopped,
        has_store: instance.store_availability.follows_all_kinds(),
        configuration_version: instance.routes.borrow().version(),
        versions: versions(instance, now_ms),
        holds_lease: instance.holds_lease.get(),
        ordered_ago_ms: instance
            .last_order_ms
            .get()
            .map(|ordered_ms| now_ms.saturating_sub(ordered_ms) as u32),
        loads: instance.engines.borrow().own_loads(),
        placements: instance.recent_placements(now_ms),
        crashes: instance.crashes.borrow().reports(now_ms),
        silent_engines: instance.engines.borrow().silent_engines(),
        engines_revision: instance.engines.borrow().known_revision(),
        departures: instance
            .engines
            .borrow()
            .departures(members.engines_revision()),
        knows_rates: instance.shares.borrow().knows_spending(now_ms),
        instances: instances as u32,
        counted_for_ms: counted_for_ms as u32,
        teams: teams(instance, now_ms),
        orders: instance.order_reports.borrow().clone(),
        peers: peers
            .into_iter()
            .cycle()
            .skip(sequence as usize * PEERS_PER_HEARTBEAT % count.max(1))
            .take(count.min(PEERS_PER_HEARTBEAT))
            .collect(),
    }
}

fn versions(instance: &Instance, now_ms: u64) -> Vec<(String, u64, Option<u32>)> {
    let newest = instance.weights_histories.borrow();
    let mut versions = Vec::new();
    for (model, history) in newest.iter() {
        for (version, at) in history.publications(&instance.settings.weights, now_ms) {
            let age_ms = match at {
                PublishedAt::Ago(age_ms) => Some(age_ms as u32),
                PublishedAt::Unknown => None,
            };
            versions.push((model.clone(), version, age_ms));
        }
    }
    versions
}

fn teams(instance: &Instance, now_ms: u64) -> Vec<TeamReport> {
    let teams = instance.shares.borrow().spending(now_ms);
    let reports = teams.into_iter().map(|(team, spending)| TeamReport {
        team,
        spent: spending.spent,
        level: spending.level as f32,
        demand_per_s: spending.demand_per_s as f32,
    });
    reports.collect()
}
