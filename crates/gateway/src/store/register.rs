use {
    super::{CallClient, backoff::Backoff},
    crate::{clock::now_ms, instance::Instance},
    mangowalk_platform::{
        MemberRecord, ObjectKind, Page, StoredObject, decode_object, decode_page, encode_create,
        encode_replace,
    },
    std::{net::SocketAddr, rc::Rc},
};

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
    let Ok((200, body)) = store
        .call(&Page::call(ObjectKind::Members, None), timeout_ms)
        .await
    else {
        return false;
    };
    let Ok(page) = decode_page(&body) else {
        return false;
    };
    for object in &page.objects {
        if let Some(address) = peer_address(object) {
            add_peer_address(instance, address);
        }
    }
    instance.wake_ups.heartbeat.notify_one();
    true
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
