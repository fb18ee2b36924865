use {
    crate::{instance::Instance, logs::LIFECYCLE, store::CallClient},
    mangowalk_core::pool::kv_store_key,
    mangowalk_platform::KeptChanges,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Longest wait of one call; the store allows no more.
const WAIT_MS: u64 = 1_000;

/// Time that an answer may take beyond the wait.
const ANSWER_MS: u64 = 400;

/// Time for a connection to the store.
const CONNECT_MS: u64 = 300;

/// Pause after a call without an answer.
const PAUSE: Duration = Duration::from_millis(300);

/// Instances that follow the store. It answers only so many at once; beyond
/// that, instances find out by fetching.
const MOST_FOLLOWERS: usize = 8;

/// Follows what the store of kept parts holds, and whether it answers.
pub async fn watch_kept(instance: Rc<Instance>) {
    loop {
        let address = store_address(&instance);
        match address {
            Some(address) if is_follower(&instance) => follow(&instance, address).await,
            Some(_) => {
                // Unknown content is fetched for nothing now and then.
                instance.kept.borrow_mut().record_answer(0, false);
                sleep(Duration::from_secs(1)).await;
            }
            None => sleep(Duration::from_secs(1)).await,
        }
    }
}

fn store_address(instance: &Instance) -> Option<SocketAddr> {
    let routes = instance.routes.borrow();
    let mut services = routes.configuration().services.iter();
    services.find_map(|service| Some(service.kv_cache_store.as_ref()?.address))
}

fn is_follower(instance: &Instance) -> bool {
    let members = instance.members.borrow();
    let before = members
        .iter()
        .filter(|member| member.last_heartbeat.name < instance.machine().name);
    before.count() < MOST_FOLLOWERS
}

async fn follow(instance: &Instance, address: SocketAddr) {
    let client = CallClient::new(address, CONNECT_MS);
    let mut since = 0;
    while store_address(instance) == Some(address) && is_follower(instance) {
        let call = KeptChanges::call(since, WAIT_MS);
        let answer = client.call(&call, WAIT_MS + ANSWER_MS).await;
        let changes = match answer {
            Ok((200, body)) => KeptChanges::decode(&body),
            _ => None,
        };
        let Some(changes) = changes else {
            if instance.kept.borrow().is_up() {
                log::warn!("event=kept_store_lost address={address}");
            }
            instance.kept.borrow_mut().mark_down();
            since = 0;
            sleep(PAUSE).await;
            continue;
        };
        since = changes.next;
        apply(instance, &changes);
    }
}

fn apply(instance: &Instance, changes: &KeptChanges) {
    let mut kept = instance.kept.borrow_mut();
    if !kept.is_up() {
        log::info!(target: LIFECYCLE, "event=kept_store_answers epoch={}", changes.epoch);
    }
    kept.record_answer(changes.epoch, changes.lost);
    for change in &changes.changes {
        kept.apply_change(kv_store_key(&change.salt, change.part), change.came);
    }
}
