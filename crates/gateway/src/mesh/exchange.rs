use {
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
    },
    mangowalk_core::{
        mesh::{Heartbeat, TeamNote},
        weights::NamedAt,
    },
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Longest heartbeat that is read.
const MOST_BYTES: usize = 16 * 1024;

/// Peers that get each heartbeat. In larger fleets they take turns, so that
/// what an instance sends doesn't grow with their number.
const MOST_TARGETS: usize = 16;

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
        match postcard::from_bytes::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => instance.hear(heartbeat, now_ms()),
            Err(error) => log::warn!("event=heartbeat_refused error=\"{error}\""),
        }
    }
}

async fn send(instance: &Instance, socket: &UdpSocket, sequence: &Cell<u64>) {
    instance.try_seeds();
    let period = Duration::from_millis(instance.settings.mesh.period_ms);
    loop {
        beat(instance, socket, sequence).await;
        tokio::select! {
            () = sleep(period) => {}
            () = instance.notes.heartbeat.notified() => {}
        }
    }
}

async fn beat(instance: &Instance, socket: &UdpSocket, sequence: &Cell<u64>) {
    let now_ms = now_ms();
    let mesh = &instance.settings.mesh;
    let gone = instance.members.borrow_mut().expire(mesh, now_ms);
    for peer in &gone {
        log::info!("event=peer_gone peer={peer}");
        instance.engines.borrow_mut().forget_peer(peer);
    }
    instance.look_at_peers(now_ms);
    sequence.set(sequence.get() + 1);
    let targets = instance.members.borrow().targets(mesh, now_ms);
    let encoded = postcard::to_allocvec(&heartbeat(instance, sequence.get(), now_ms));
    let bytes = match encoded {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!("event=heartbeat_unwritable error=\"{error}\"");
            return;
        }
    };
    let first = (sequence.get() as usize).wrapping_mul(MOST_TARGETS) % targets.len().max(1);
    let turn = targets.iter().cycle().skip(first);
    for target in turn.take(targets.len().min(MOST_TARGETS)) {
        // A peer that is gone can't be reached; silence tells the same.
        let _ = socket.send_to(&bytes, target).await;
    }
}

fn heartbeat(instance: &Instance, sequence: u64, now_ms: u64) -> Heartbeat {
    let machine = instance.machine();
    let members = instance.members.borrow();
    let heard = members.heard(&instance.settings.mesh, now_ms);
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
        has_store: instance.has_store(),
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
        leaving: instance.engines.borrow().leaving(now_ms),
        teams: teams(instance, now_ms),
        orders: instance.orders.borrow().clone(),
        peers: heard
            .map(|m| m.last.peer_address)
            .take(MOST_TARGETS)
            .collect(),
    }
}

fn versions(instance: &Instance, now_ms: u64) -> Vec<(String, u64, Option<u32>)> {
    let newest = instance.newest.borrow();
    let named = newest.iter().filter_map(|(model, named)| {
        let (version, at) = named.newest_at(now_ms)?;
        let age_ms = match at {
            NamedAt::Ago(age_ms) => Some(age_ms as u32),
            NamedAt::Unknown => None,
        };
        Some((model.clone(), version, age_ms))
    });
    named.collect()
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
