use {
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
    },
    mangowalk_core::{
        mesh::{Heartbeat, TeamNote, Way, Word},
        weights::NamedAt,
    },
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Longest heartbeat that is read.
const MOST_BYTES: usize = 16 * 1024;

/// Peers named in a heartbeat, others in each, so that new ones are found by all.
const NAMED_PEERS: usize = 4;

/// Opens the socket on which peers are heard.
///
/// # Errors
///
/// Fails where the address is in use.
pub async fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends heartbeats and listens to those of peers.
pub async fn exchange(instance: Rc<Instance>, socket: UdpSocket) {
    let sequence = Cell::new(0_u64);
    tokio::join!(
        send(&instance, &socket, &sequence),
        listen(&instance, &socket)
    );
}

async fn listen(instance: &Instance, socket: &UdpSocket) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let Ok(length) = socket.recv(&mut buffer).await else {
            // A port without a listener at the other end is told here too.
            continue;
        };
        match postcard::from_bytes::<Word>(&buffer[..length]) {
            Ok(word) => {
                if word.way == Way::ToPassOn {
                    pass_on(instance, socket, &word.heartbeat);
                }
                instance.hear(word.heartbeat, now_ms());
            }
            Err(error) => log::warn!("event=heartbeat_refused error=\"{error}\""),
        }
    }
}

/// Passes a heartbeat from another failure domain on within this one.
fn pass_on(instance: &Instance, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let Some(bytes) = encode(Way::PassedOn, heartbeat.clone()) else {
        return;
    };
    let domain = instance.machine().domain.clone();
    for peer in instance.members.borrow().within(&domain) {
        give(socket, &bytes, peer);
    }
}

/// Sends a datagram without waiting. One that doesn't fit the socket's buffer is
/// lost like any other, and the next heartbeat makes up for it.
fn give(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, peer) {
        log::debug!("event=heartbeat_lost peer={peer} error=\"{error}\"");
    }
}

fn encode(way: Way, heartbeat: Heartbeat) -> Option<Vec<u8>> {
    postcard::to_allocvec(&Word { way, heartbeat })
        .inspect_err(|error| log::warn!("event=heartbeat_unwritable error=\"{error}\""))
        .ok()
}

async fn send(instance: &Instance, socket: &UdpSocket, sequence: &Cell<u64>) {
    instance.try_seeds();
    let period = Duration::from_millis(instance.settings.mesh.period_ms);
    loop {
        beat(instance, socket, sequence);
        tokio::select! {
            () = sleep(period) => {}
            () = instance.notes.heartbeat.notified() => {}
        }
    }
}

fn beat(instance: &Instance, socket: &UdpSocket, sequence: &Cell<u64>) {
    let now_ms = now_ms();
    let mesh = &instance.settings.mesh;
    let gone = instance.members.borrow_mut().expire(mesh, now_ms);
    for peer in &gone {
        log::info!("event=peer_gone peer={peer}");
        instance.engines.borrow_mut().forget_peer(peer);
    }
    instance.look_at_peers(now_ms);
    sequence.set(sequence.get() + 1);
    let turn = sequence.get();
    let domain = instance.machine().domain.clone();
    let targets = instance
        .members
        .borrow()
        .targets(&domain, turn, mesh, now_ms);
    let heartbeat = heartbeat(instance, turn, now_ms);
    if !targets.relays.is_empty()
        && let Some(bytes) = encode(Way::ToPassOn, heartbeat.clone())
    {
        for &relay in &targets.relays {
            give(socket, &bytes, relay);
        }
    }
    if let Some(bytes) = encode(Way::Direct, heartbeat) {
        for &peer in &targets.direct {
            give(socket, &bytes, peer);
        }
    }
}

fn heartbeat(instance: &Instance, sequence: u64, now_ms: u64) -> Heartbeat {
    let machine = instance.machine();
    let members = instance.members.borrow();
    let heard = members.heard(&instance.settings.mesh, now_ms);
    let peers: Vec<SocketAddr> = heard.map(|member| member.last.peer_address).collect();
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
        has_store: instance.following.is_whole(),
        configuration_version: instance.routes.borrow().version(),
        versions: versions(instance, now_ms),
        holds_lease: instance.holds_lease.get(),
        ordered_ago_ms: instance
            .ordered_ms
            .get()
            .map(|ordered_ms| now_ms.saturating_sub(ordered_ms) as u32),
        loads: instance.engines.borrow().own_loads(),
        placed: instance.placed_lately(now_ms),
        crashes: instance.crashes.borrow().sights(now_ms),
        silent: instance.engines.borrow().silent(),
        engines_revision: instance.engines.borrow().known_revision(),
        departures: instance
            .engines
            .borrow()
            .departures(members.engines_revision()),
        knows_rates: instance.shares.borrow().knows_spending(now_ms),
        instances: instances as u32,
        counted_for_ms: counted_for_ms as u32,
        teams: teams(instance, now_ms),
        orders: instance.orders.borrow().clone(),
        peers: peers
            .into_iter()
            .cycle()
            .skip(sequence as usize * NAMED_PEERS % count.max(1))
            .take(count.min(NAMED_PEERS))
            .collect(),
    }
}

fn versions(instance: &Instance, now_ms: u64) -> Vec<(String, u64, Option<u32>)> {
    let newest = instance.newest.borrow();
    let mut versions = Vec::new();
    for (model, named) in newest.iter() {
        for (version, at) in named.told(&instance.settings.weights, now_ms) {
            let age_ms = match at {
                NamedAt::Ago(age_ms) => Some(age_ms as u32),
                NamedAt::Unknown => None,
            };
            versions.push((model.clone(), version, age_ms));
        }
    }
    versions
}

fn teams(instance: &Instance, now_ms: u64) -> Vec<TeamNote> {
    let spending = instance.shares.borrow().spending(now_ms);
    let notes = spending.into_iter().map(|(team, told)| TeamNote {
        team,
        spent: told.spent,
        level: told.level as f32,
        demand_per_s: told.demand_per_s as f32,
    });
    notes.collect()
}
