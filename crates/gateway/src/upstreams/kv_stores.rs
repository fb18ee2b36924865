use {
    crate::{
        clock::now_ms, instance::Instance, logs::LIFECYCLE, mesh::send_to_domains,
        store::CallClient,
    },
    mangowalk_core::{
        kv_store::{Candidate, KvStoreReport, StoreContents, kv_store_key, served_domains},
        mesh::PeerMessage,
    },
    mangowalk_platform::CacheStoreChanges,
    std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        task::{JoinHandle, spawn_local},
        time::sleep,
    },
};

/// Longest wait of one call, the maximum that a KV cache store allows.
const MAX_WAIT_MS: u64 = 1_000;

/// Wait of a call by an instance that is behind. Shorter waits are charged for.
const CATCH_UP_WAIT_MS: u64 = 200;

/// Time beyond the requested wait within which an answer must arrive.
const ANSWER_MARGIN_MS: u64 = 400;

/// Timeout for a new connection to a KV cache store.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Pause after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after an answer, in which changes gather, so that one report holds many.
const GATHER_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which an instance checks what it has to follow, and at which a
/// follower reports a store that doesn't change.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of instances that follow the KV cache stores, each of which
/// answers only a limited number of concurrent calls.
const MAX_FOLLOWERS: usize = 8;

/// Maximum number of changes in one report, so that it fits one datagram.
const MAX_CHANGES: usize = 1_000;

/// Keeps the known contents of all KV cache stores current. Never returns.
///
/// In a small fleet each instance follows all stores. In a larger one a few do, and
/// report the changes to the others.
pub async fn watch_kv_stores(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut followed: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let now = now_ms();
        let addresses = configured_addresses(&instance);
        instance
            .kv_stores
            .borrow_mut()
            .set_addresses(&addresses, now);
        let is_follower = is_follower(&instance, now);
        followed.retain(|address, task| {
            let is_kept = is_follower && addresses.contains(address) && !task.is_finished();
            if !is_kept {
                task.abort();
            }
            is_kept
        });
        if is_follower {
            for address in addresses {
                let (instance, socket) = (instance.clone(), socket.clone());
                followed
                    .entry(address)
                    .or_insert_with(|| spawn_local(follow(instance, socket, address)));
            }
        } else {
            listen(&instance, now).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn configured_addresses(instance: &Instance) -> Vec<SocketAddr> {
    let routes = instance.routes.borrow();
    let services = routes.configuration().services.iter();
    services
        .filter_map(|service| Some(service.cache_store.as_ref()?.address))
        .collect()
}

fn is_small_fleet(instance: &Instance) -> bool {
    instance.instance_count() <= MAX_FOLLOWERS
}

fn is_follower(instance: &Instance, now_ms: u64) -> bool {
    is_small_fleet(instance) || !reported_domains(instance, now_ms).is_empty()
}

/// Returns the failure domains to whose instances this one reports; none in a small
/// fleet, where all follow.
fn reported_domains(instance: &Instance, now_ms: u64) -> Vec<String> {
    if is_small_fleet(instance) {
        return Vec::new();
    }
    let machine = instance.machine();
    let members = instance.members.borrow();
    let own = Candidate {
        name: &machine.name,
        domain: &machine.domain,
    };
    let live = members.live(&instance.settings.mesh, now_ms);
    let live = live.map(|member| Candidate {
        name: &member.last_heartbeat.name,
        domain: &member.last_heartbeat.domain,
    });
    let domains = served_domains(&machine.name, live.chain([own]), MAX_FOLLOWERS);
    domains.into_iter().map(str::to_owned).collect()
}

/// Checks the reports of followers, and reads once what was missed of them.
async fn listen(instance: &Instance, now_ms: u64) {
    let settings = &instance.settings.kv_stores;
    let behind = {
        let mut stores = instance.kv_stores.borrow_mut();
        stores.expire_reports(settings, now_ms);
        stores.take_catch_ups(settings, now_ms)
    };
    for address in behind {
        let client = CallClient::new(address, CONNECT_TIMEOUT_MS);
        if let Some(changes) = read_changes(&client, 0, CATCH_UP_WAIT_MS).await {
            instance.counters.count("kv_store_read", "behind");
            apply(instance, address, &changes);
        }
    }
}

/// Follows the contents of one KV cache store, and whether it answers. Never
/// returns.
async fn follow(instance: Rc<Instance>, socket: Rc<UdpSocket>, address: SocketAddr) {
    let client = CallClient::new(address, CONNECT_TIMEOUT_MS);
    let mut since = 0;
    loop {
        let wait_ms = match is_small_fleet(&instance) {
            true => MAX_WAIT_MS,
            false => CHECK_INTERVAL.as_millis() as u64,
        };
        let Some(changes) = read_changes(&client, since, wait_ms).await else {
            record_down(&instance, address);
            report(&instance, &socket, address, &[]);
            since = 0;
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let applied = apply(&instance, address, &changes);
        // The first answer holds what peers already know.
        let fresh = if since > 0 { applied.as_slice() } else { &[] };
        report(&instance, &socket, address, fresh);
        since = changes.resume_from;
        if !is_small_fleet(&instance) {
            sleep(GATHER_INTERVAL).await;
        }
    }
}

async fn read_changes(client: &CallClient, since: u64, wait_ms: u64) -> Option<CacheStoreChanges> {
    let call = CacheStoreChanges::call(since, wait_ms);
    match client.call(&call, wait_ms + ANSWER_MARGIN_MS).await {
        Ok((200, body)) => CacheStoreChanges::decode(&body),
        _ => None,
    }
}

fn record_down(instance: &Instance, address: SocketAddr) {
    let mut stores = instance.kv_stores.borrow_mut();
    let Some(contents) = stores.contents_mut(address) else {
        return;
    };
    if contents.is_up() {
        log::warn!("event=kept_store_lost address={address}");
    }
    contents.mark_down();
}

/// Applies changes to the known contents. Returns each key with whether it was
/// stored.
fn apply(
    instance: &Instance,
    address: SocketAddr,
    changes: &CacheStoreChanges,
) -> Vec<(u64, bool)> {
    let keys = changes
        .changes
        .iter()
        .map(|change| (kv_store_key(&change.salt, change.part), change.is_added));
    let keys: Vec<(u64, bool)> = keys.collect();
    let mut stores = instance.kv_stores.borrow_mut();
    let was_up = stores.contents(address).is_some_and(StoreContents::is_up);
    stores.apply_answer(address, changes.epoch, changes.lost, &keys, now_ms());
    if !was_up {
        log::info!(target: LIFECYCLE, "event=kept_store_answers epoch={}", changes.epoch);
    }
    keys
}

/// Reports a store and its latest changes to the peers that this instance serves.
fn report(instance: &Instance, socket: &UdpSocket, address: SocketAddr, changes: &[(u64, bool)]) {
    let domains = reported_domains(instance, now_ms());
    let domains: Vec<&str> = domains.iter().map(String::as_str).collect();
    if domains.is_empty() {
        return;
    }
    let (epoch, is_up, held_count) = {
        let stores = instance.kv_stores.borrow();
        let Some(contents) = stores.contents(address) else {
            return;
        };
        (contents.epoch(), contents.is_up(), contents.held_count())
    };
    let mut chunks = changes.chunks(MAX_CHANGES);
    let first = chunks.next().unwrap_or_default();
    for chunk in std::iter::once(first).chain(chunks) {
        let report = KvStoreReport {
            store: address,
            epoch: epoch.unwrap_or_default(),
            is_up,
            held_count: held_count as u32,
            changes: chunk.to_vec(),
        };
        send_to_domains(instance, socket, &PeerMessage::KvStore(report), &domains);
    }
}
