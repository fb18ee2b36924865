use {
    super::{
        paths::report_path,
        sending::{relay, send_relayed, send_to},
    },
    crate::{
        clock::{now_ms, wall_ms},
        instance::{Drain, Instance},
        mesh::Direction,
    },
    mangowalk_core::{
        engine_notice::LeavingReport,
        mesh::{
            Heartbeat, MAX_DATAGRAM_BYTES, Member, PACK_BYTES, PeerMessage, Targets, TeamReport,
            split_packs,
        },
        weights::PublishedAt,
    },
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Peers named in one heartbeat. Each heartbeat names different ones, so that
/// all instances discover a new peer.
const PEERS_PER_HEARTBEAT: usize = 4;

/// Time for which an instance passes packs on to its group before another one of the
/// group does.
const GROUP_TURN_MS: u64 = 1_000;

/// Time between two receptions of datagrams in a large fleet.
const RECEIVE_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an instance gathers the packs that it passes on.
const GATHER_TIME: Duration = Duration::from_millis(150);

/// Sends heartbeats to peers and receives theirs; never returns.
pub async fn exchange(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let sent = Sent::default();
    tokio::join!(
        send(&instance, &socket, &sent),
        receive(&instance, &socket),
        send_bundles(&instance, &socket),
        report_path(&instance, &socket),
    );
}

async fn receive(instance: &Instance, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.try_recv(&mut buffer) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                // A large fleet's datagrams are received many at a time: each wakes a
                // small machine, and none is so urgent.
                if instance.is_large_fleet() {
                    sleep(RECEIVE_INTERVAL).await;
                }
                let _ = socket.readable().await;
                continue;
            }
            // The socket also reports here that nothing listens at a peer's port.
            Err(_) => continue,
        };
        let traffic = &instance.mesh_traffic;
        match PeerMessage::decode(&buffer[..length]) {
            Ok((message, exchange_version)) => {
                traffic.count(Direction::Received, message.kind(), length);
                if let PeerMessage::PackToRelay(pack)
                | PeerMessage::RelayedPack(pack)
                | PeerMessage::PackToGroup(pack) = &message
                {
                    let mut members = instance.members.borrow_mut();
                    members.record_pack_size(length, pack.len());
                }
                handle(instance, socket, message, exchange_version);
            }
            Err(error) => {
                traffic.count(Direction::Received, "refused", length);
                log::warn!("event=heartbeat_refused error=\"{error}\"");
            }
        }
    }
}

fn handle(instance: &Instance, socket: &UdpSocket, message: PeerMessage, exchange_version: u8) {
    let now_ms = now_ms();
    match message {
        PeerMessage::Direct(heartbeat) | PeerMessage::Relayed(heartbeat) => {
            instance.receive_heartbeat(*heartbeat, exchange_version, now_ms);
        }
        PeerMessage::ToRelay(heartbeat) => {
            let relayed = PeerMessage::Relayed(heartbeat.clone());
            relay(instance, socket, &relayed, exchange_version);
            instance.receive_heartbeat(*heartbeat, exchange_version, now_ms);
        }
        PeerMessage::DirectPacked(heartbeat) => {
            let name = heartbeat.name.clone();
            instance.receive_heartbeat(*heartbeat, exchange_version, now_ms);
            instance.members.borrow_mut().record_pack(&name, now_ms);
        }
        PeerMessage::PackToRelay(heartbeats) => {
            relay_pack(instance, socket, &heartbeats, exchange_version);
            receive_pack(instance, heartbeats, exchange_version, now_ms);
        }
        PeerMessage::PackToGroup(heartbeats) => {
            gather(instance, &heartbeats, now_ms);
            receive_pack(instance, heartbeats, exchange_version, now_ms);
        }
        PeerMessage::RelayedPack(heartbeats) => {
            receive_pack(instance, heartbeats, exchange_version, now_ms);
        }
        PeerMessage::Canary(message) => instance.receive_canary(*message, now_ms),
        PeerMessage::CanaryToRelay(message) => {
            let relayed = PeerMessage::Canary(message.clone());
            relay(instance, socket, &relayed, exchange_version);
            instance.receive_canary(*message, now_ms);
        }
        PeerMessage::KvStore(report) => {
            let mut stores = instance.kv_stores.borrow_mut();
            stores.apply_report(&report, now_ms);
        }
        PeerMessage::Path(report) => {
            let mut peer_paths = instance.peer_paths.borrow_mut();
            peer_paths.apply(*report, now_ms);
        }
        PeerMessage::EngineLimits(reports) => {
            for report in &reports {
                instance.receive_limit_report(report, now_ms);
            }
        }
        PeerMessage::LeavingEngines(reports) => receive_leaving(instance, &reports, now_ms),
        PeerMessage::LeavingEnginesToRelay(reports) => {
            let relayed = PeerMessage::LeavingEngines(reports.clone());
            relay(instance, socket, &relayed, exchange_version);
            receive_leaving(instance, &reports, now_ms);
        }
        PeerMessage::EnginePaces(reports) => instance.receive_paces(&reports, now_ms),
        PeerMessage::EnginePacesToRelay(reports) => {
            let relayed = PeerMessage::EnginePaces(reports.clone());
            relay(instance, socket, &relayed, exchange_version);
            instance.receive_paces(&reports, now_ms);
        }
        PeerMessage::ReplacedEngines(reports) => instance.receive_replaced(&reports, now_ms),
        PeerMessage::ReplacedEnginesToRelay(reports) => {
            let relayed = PeerMessage::ReplacedEngines(reports.clone());
            relay(instance, socket, &relayed, exchange_version);
            instance.receive_replaced(&reports, now_ms);
        }
        PeerMessage::Confirmation(report) => instance.receive_confirmation(&report, now_ms),
        PeerMessage::ConfirmationToRelay(report) => {
            let relayed = PeerMessage::Confirmation(report.clone());
            relay(instance, socket, &relayed, exchange_version);
            instance.receive_confirmation(&report, now_ms);
        }
        PeerMessage::Part(message) => instance.receive_part_message(&message, now_ms),
        PeerMessage::PartToRelay(message) => {
            let relayed = PeerMessage::Part(message.clone());
            relay(instance, socket, &relayed, exchange_version);
            instance.receive_part_message(&message, now_ms);
        }
        // The message was decompressed when it was decoded.
        PeerMessage::Compressed(_) => {}
    }
}

fn receive_leaving(instance: &Instance, reports: &[LeavingReport], now_ms: u64) {
    for report in reports {
        instance.receive_leaving_report(report, now_ms);
    }
}

/// Applies the heartbeats of a pack. All their authors understand packs, as whoever
/// sends one makes sure of.
fn receive_pack(
    instance: &Instance,
    heartbeats: Vec<Heartbeat>,
    exchange_version: u8,
    now_ms: u64,
) {
    for heartbeat in heartbeats {
        instance.receive_heartbeat(heartbeat, exchange_version, now_ms);
    }
}

/// Passes a pack from another failure domain on to the peers of the own domain.
fn relay_pack(instance: &Instance, socket: &UdpSocket, pack: &[Heartbeat], exchange_version: u8) {
    let now_ms = now_ms();
    let members = instance.members.borrow();
    let mesh = &instance.settings.mesh;
    if !members.uses_groups(mesh) {
        let relayed = PeerMessage::RelayedPack(pack.to_vec());
        return relay(instance, socket, &relayed, exchange_version);
    }
    gather(instance, pack, now_ms);
    let relays = members.group_relays(group_turn(), mesh, now_ms);
    let message = PeerMessage::PackToGroup(pack.to_vec());
    send_relayed(instance, socket, &message, exchange_version, &relays);
}

/// Returns the turn by which the instances of each group take over from each other,
/// about the same one at all instances.
fn group_turn() -> u64 {
    wall_ms() / GROUP_TURN_MS
}

/// Keeps heartbeats for a moment to pass them on to the own group.
fn gather(instance: &Instance, pack: &[Heartbeat], now_ms: u64) {
    if instance.bundle.borrow_mut().add(pack, now_ms) {
        instance.wake_ups.bundle.notify_one();
    }
}

/// Passes gathered heartbeats on to the own group; never returns.
async fn send_bundles(instance: &Instance, socket: &UdpSocket) {
    loop {
        instance.wake_ups.bundle.notified().await;
        sleep(GATHER_TIME).await;
        let packs = instance.bundle.borrow_mut().take(now_ms());
        let group = instance
            .members
            .borrow()
            .group_addresses(&instance.settings.mesh);
        for pack in packs {
            let message = PeerMessage::RelayedPack(pack);
            send_to(instance, socket, &message, group.iter().copied());
        }
    }
}

/// What this instance has sent so far.
#[derive(Debug, Default)]
struct Sent {
    /// When the last heartbeat was sent.
    heartbeat_ms: Cell<u64>,
    /// When the last pack of the group's heartbeats was sent.
    pack_ms: Cell<Option<u64>>,
    /// When a heartbeat of this instance was last sent to other failure domains.
    far_ms: Cell<u64>,
}

async fn send(instance: &Instance, socket: &UdpSocket, sent: &Sent) {
    instance.add_seed_candidates();
    let mesh = &instance.settings.mesh;
    let mut is_urgent = false;
    loop {
        send_heartbeat(instance, socket, sent, is_urgent);
        let interval_ms = instance.members.borrow().heartbeat_interval_ms(mesh);
        let period = Duration::from_millis(interval_ms);
        is_urgent = tokio::select! {
            () = sleep(period) => false,
            () = instance.wake_ups.heartbeat.notified() => true,
        };
        if is_urgent {
            let delay_ms = mesh.wake_delay_ms(sent.heartbeat_ms.get(), now_ms());
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }
}

fn send_heartbeat(instance: &Instance, socket: &UdpSocket, sent: &Sent, is_urgent: bool) {
    let now_ms = now_ms();
    let mesh = &instance.settings.mesh;
    let gone = instance.members.borrow_mut().expire(mesh, now_ms);
    for peer in &gone {
        instance.forget_peer(peer, now_ms);
    }
    instance.update_share_peers(now_ms);
    let turn = instance.heartbeat_sequence.get() + 1;
    instance.heartbeat_sequence.set(turn);
    sent.heartbeat_ms.set(now_ms);
    let domain = instance.machine().domain.clone();
    let heartbeat = Box::new(heartbeat(instance, turn, now_ms));
    let members = instance.members.borrow();
    let targets = members.targets(&domain, turn, group_turn(), mesh, now_ms);
    let pack = members.pack(sent.pack_ms.get(), mesh, now_ms);
    if !members.uses_packs(mesh) {
        send_alone(instance, socket, heartbeat, targets);
    } else if let Some(group) = pack {
        sent.pack_ms.set(Some(now_ms));
        sent.far_ms.set(now_ms);
        send_for_group(instance, socket, heartbeat, &group, targets, now_ms);
    } else {
        // The last heartbeat of an instance that stops is in no pack of its group.
        let is_far_due = now_ms >= sent.far_ms.get() + mesh.heartbeat_interval_ms;
        if heartbeat.stopped || is_urgent && is_far_due {
            sent.far_ms.set(now_ms);
            send_pack(instance, socket, vec![heartbeat.packed(0)], &targets);
        }
        let direct = PeerMessage::Direct(heartbeat);
        send_to(instance, socket, &direct, targets.direct);
    }
}

/// Sends a heartbeat to the peers of the own failure domain and to a relay of each
/// other one.
fn send_alone(
    instance: &Instance,
    socket: &UdpSocket,
    heartbeat: Box<Heartbeat>,
    targets: Targets,
) {
    if !targets.relays.is_empty() {
        let to_relay = PeerMessage::ToRelay(heartbeat.clone());
        send_to(instance, socket, &to_relay, targets.relays);
    }
    let direct = PeerMessage::Direct(heartbeat);
    send_to(instance, socket, &direct, targets.direct);
}

/// Sends the heartbeats of the own group in packs, and the own one to the group.
fn send_for_group(
    instance: &Instance,
    socket: &UdpSocket,
    heartbeat: Box<Heartbeat>,
    group: &[&Member],
    targets: Targets,
    now_ms: u64,
) {
    let held = group.iter().map(|member| {
        let held_ms = now_ms.saturating_sub(member.received_ms);
        member.last_heartbeat.packed(held_ms as u32)
    });
    for pack in split_packs(held.chain([heartbeat.packed(0)]), PACK_BYTES) {
        send_pack(instance, socket, pack, &targets);
    }
    let direct = PeerMessage::DirectPacked(heartbeat);
    send_to(instance, socket, &direct, targets.direct);
}

/// Sends heartbeats to the other failure domains and to the other groups of the own
/// one.
fn send_pack(instance: &Instance, socket: &UdpSocket, pack: Vec<Heartbeat>, targets: &Targets) {
    let near = PeerMessage::RelayedPack(pack.clone());
    send_to(instance, socket, &near, targets.near.iter().copied());
    let groups = PeerMessage::PackToGroup(pack.clone());
    let group_relays = targets.group_relays.iter().copied();
    send_to(instance, socket, &groups, group_relays);
    let far = PeerMessage::PackToRelay(pack);
    send_to(instance, socket, &far, targets.relays.iter().copied());
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
        silent_engines: instance.reported_silent_engines(now_ms),
        engines_revision: instance.engines.borrow().known_revision(),
        departures: instance
            .engines
            .borrow()
            .departures(members.engines_revision()),
        knows_rates: instance.shares.borrow().knows_spending(now_ms),
        instances: instances as u32,
        counted_for_ms: counted_for_ms as u32,
        teams: teams(instance, sequence, now_ms),
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

fn teams(instance: &Instance, turn: u64, now_ms: u64) -> Vec<TeamReport> {
    let shares = instance.shares.borrow();
    let teams = match instance.reports_all_teams(now_ms) {
        true => shares.spending(now_ms),
        false => shares.changed_spending(turn, now_ms),
    };
    let reports = teams.into_iter().map(|(team, spending)| TeamReport {
        team,
        spent: spending.spent,
        level: spending.level as f32,
        demand_per_s: spending.demand_per_s as f32,
    });
    reports.collect()
}
