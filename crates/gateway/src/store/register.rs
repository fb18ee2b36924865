use {
    super::{CallClient, backoff::Backoff},
    crate::{clock::now_ms, instance::Instance},
    mangowalk_platform::{
        Freshness, MemberRecord, ObjectKind, Page, StoredObject, decode_object, decode_page,
        encode_create, encode_replace,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time after the start for which an instance waits for peers to be heard before it
/// reads their list.
const PEER_HEARING_TIME: Duration = Duration::from_millis(300);

/// Writes this instance's peer address to the store and reads those of its
/// peers; returns once both have succeeded.
///
/// Each instance writes before it reads, so of two that start at the same time
/// at least one finds the other, and its heartbeats make it known to that one.
pub async fn register(instance: Rc<Instance>, store: Rc<CallClient>) {
    let mut backoff = Backoff::default();
    while !publish_and_read_peers(&instance, &store).await {
        backoff.wait().await;
    }
}

async fn publish_and_read_peers(instance: &Instance, store: &CallClient) -> bool {
    let name = &instance.machine().name;
    let timeout_ms = instance.settings.store_call_timeout_ms;
    let record = MemberRecord {
        peer_address: instance.machine().peer_address,
    };
    let create = encode_create(ObjectKind::Members, name, &record);
    match store.call(&create, timeout_ms).await {
        Ok((200 | 201, _)) => {}
        Ok((409, body)) => {
            if let Ok(existing) = decode_object(&body) {
                let replace = encode_replace(ObjectKind::Members, name, existing.revision, &record);
                if !matches!(store.call(&replace, timeout_ms).await, Ok((200, _))) {
                    return false;
                }
            }
        }
        _ => return false,
    }
    read_peers(instance, store).await
}

/// Reads addresses of peers: all of a short list, of a long one those whose names follow
/// that of this instance. Heartbeats make the others known, and as each instance reads
/// those after its own, none stays apart.
async fn read_peers(instance: &Instance, store: &CallClient) -> bool {
    sleep(PEER_HEARING_TIME).await;
    let freshness = match instance.instance_count() > 1 {
        true => Freshness::MayLag,
        false => Freshness::Current,
    };
    let Some(page) = read_peer_page(instance, store, None, freshness).await else {
        return false;
    };
    let own_name = &instance.machine().name;
    let is_read = !page.has_more
        || read_peer_page(instance, store, Some(own_name), freshness)
            .await
            .is_some();
    instance.wake_ups.heartbeat.notify_one();
    if is_read {
        let mut sharers = instance.retry_budgets.sharers.borrow_mut();
        sharers.record_fleet_known();
    }
    is_read
}

/// Reads one page of the peers' records and adds their addresses.
async fn read_peer_page(
    instance: &Instance,
    store: &CallClient,
    after: Option<&str>,
    freshness: Freshness,
) -> Option<Page> {
    let call = Page::call(ObjectKind::Members, after, freshness);
    let timeout_ms = instance.settings.store_call_timeout_ms;
    let Ok((200, body)) = store.call(&call, timeout_ms).await else {
        return None;
    };
    let page = decode_page(&body).ok()?;
    for address in page.objects.iter().filter_map(peer_address) {
        add_peer_address(instance, address);
    }
    Some(page)
}

fn peer_address(object: &StoredObject) -> Option<SocketAddr> {
    let record: MemberRecord = serde_json::from_value(object.spec.clone()).ok()?;
    Some(record.peer_address)
}

fn add_peer_address(instance: &Instance, address: SocketAddr) {
    if address != instance.machine().peer_address {
        instance
            .members
            .borrow_mut()
            .add_candidate(address, now_ms());
    }
}
