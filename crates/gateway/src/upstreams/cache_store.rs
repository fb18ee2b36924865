use {
    crate::{instance::Instance, logs::LIFECYCLE, store::CallClient},
    mangowalk_core::pool::cache_store_key,
    mangowalk_platform::CacheStoreChanges,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Longest wait of one call, the maximum that the KV cache store allows.
const MAX_WAIT_MS: u64 = 1_000;

/// Time beyond the requested wait within which an answer must arrive.
const ANSWER_MARGIN_MS: u64 = 400;

/// Timeout for a new connection to the KV cache store.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Pause after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of instances that follow the KV cache store, which answers only
/// a limited number of concurrent calls. Other instances learn by fetching whether
/// a part is stored.
const MAX_FOLLOWERS: usize = 8;

/// Follows the contents of the KV cache store, and whether it answers. Never
/// returns.
pub async fn watch_cache_store(instance: Rc<Instance>) {
    loop {
        let address = cache_store_address(&instance);
        match address {
            Some(address) if is_follower(&instance) => follow(&instance, address).await,
            Some(_) => {
                // The contents are unknown here, so some fetches find nothing.
                instance.cache_store.borrow_mut().record_answer(0, false);
                sleep(Duration::from_secs(1)).await;
            }
            None => sleep(Duration::from_secs(1)).await,
        }
    }
}

fn cache_store_address(instance: &Instance) -> Option<SocketAddr> {
    let routes = instance.routes.borrow();
    let mut services = routes.configuration().services.iter();
    services.find_map(|service| Some(service.cache_store.as_ref()?.address))
}

fn is_follower(instance: &Instance) -> bool {
    let members = instance.members.borrow();
    let before = members
        .iter()
        .filter(|member| member.last_heartbeat.name < instance.machine().name);
    before.count() < MAX_FOLLOWERS
}

async fn follow(instance: &Instance, address: SocketAddr) {
    let client = CallClient::new(address, CONNECT_TIMEOUT_MS);
    let mut since = 0;
    while cache_store_address(instance) == Some(address) && is_follower(instance) {
        let call = CacheStoreChanges::call(since, MAX_WAIT_MS);
        let answer = client.call(&call, MAX_WAIT_MS + ANSWER_MARGIN_MS).await;
        let changes = match answer {
            Ok((200, body)) => CacheStoreChanges::decode(&body),
            _ => None,
        };
        let Some(changes) = changes else {
            if instance.cache_store.borrow().is_up() {
                log::warn!("event=kept_store_lost address={address}");
            }
            instance.cache_store.borrow_mut().mark_down();
            since = 0;
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        since = changes.resume_from;
        apply(instance, &changes);
    }
}

fn apply(instance: &Instance, changes: &CacheStoreChanges) {
    let mut cache_store = instance.cache_store.borrow_mut();
    if !cache_store.is_up() {
        log::info!(target: LIFECYCLE, "event=kept_store_answers epoch={}", changes.epoch);
    }
    cache_store.record_answer(changes.epoch, changes.lost);
    for change in &changes.changes {
        cache_store.apply_change(cache_store_key(&change.salt, change.part), change.is_added);
    }
}
