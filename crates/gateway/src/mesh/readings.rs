//! Readings of the store that tell which builds a service has had.

use {
    super::origins::{address, send},
    crate::{clock::now_ms, instance::Instance},
    futures_util::future::{Either, select},
    mangowalk_core::{
        mesh::READINGS_VERSION,
        origin::{OriginMessage, ReadingAnswer, ReadingQuestion, ServiceBuilds, Verdict},
    },
    rand::seq::IteratorRandom,
    std::{future::Future, net::SocketAddr, pin::pin, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Who has read the store.
enum Reading {
    Own(ServiceBuilds),
    Peer(ServiceBuilds),
}

/// Adds to a verdict what the store names for a service, by a reading that begins from now on.
///
/// Peers are asked to read it where this instance gets no answer in time, as it may be cut off
/// from the store alone.
pub(super) async fn add(instance: &Instance, service: &str, verdict: &mut Verdict) {
    let settings = &instance.settings.origins;
    let follows_store = instance.store_availability.follows_all_kinds();
    let lead_ms = if follows_store {
        settings.own_reading_ms
    } else {
        0
    };
    let own = async { own_reading(instance, service).await.map(Reading::Own) };
    let peers = async {
        sleep(Duration::from_millis(lead_ms)).await;
        peer_reading(instance, service).await.map(Reading::Peer)
    };
    match timeout(time_limit(instance), first_found(own, peers)).await {
        Ok(Some(Reading::Own(builds))) => verdict.add_own_reading(builds),
        Ok(Some(Reading::Peer(builds))) => verdict.add_peer_reading(builds),
        Ok(None) | Err(_) => {}
    }
}

/// Answers a peer's question, unless this instance can't read the store in time.
pub(super) async fn answer(instance: Rc<Instance>, question: ReadingQuestion, from: SocketAddr) {
    let own = own_reading(&instance, &question.service);
    let Ok(Some(service_builds)) = timeout(time_limit(&instance), own).await else {
        return;
    };
    let answer = OriginMessage::ReadingAnswer(ReadingAnswer {
        number: question.number,
        service_builds,
    });
    send(&instance, &answer, &[from]);
}

async fn own_reading(instance: &Instance, service: &str) -> Option<ServiceBuilds> {
    let builds = instance.origins.readings.next().await?;
    Some(ServiceBuilds::of_reading(&builds, service))
}

/// Asks some peers that read the store, any of them, so that a large fleet doesn't ask the
/// same ones.
async fn peer_reading(instance: &Instance, service: &str) -> Option<ServiceBuilds> {
    let peers = able_peers(instance, now_ms());
    if peers.is_empty() {
        return None;
    }
    let mut open = instance.origins.open_readings.open();
    let question = OriginMessage::ReadingQuestion(ReadingQuestion {
        number: open.number,
        service: service.to_owned(),
    });
    let ask_again = Duration::from_millis(instance.settings.origins.ask_again_ms);
    send(instance, &question, &peers);
    let answer = match timeout(ask_again, open.answers.recv()).await {
        Ok(answer) => answer,
        Err(_) => {
            send(instance, &question, &peers);
            open.answers.recv().await
        }
    };
    answer.map(|(_, answer)| answer.service_builds)
}

fn able_peers(instance: &Instance, now_ms: u64) -> Vec<SocketAddr> {
    let members = instance.members.borrow();
    let live = members.live(&instance.settings.mesh, now_ms);
    let able = live.filter(|member| {
        member.last_heartbeat.has_store && member.exchange_version >= READINGS_VERSION
    });
    let count = instance.settings.origins.reading_peers;
    let chosen = able.choose_multiple(&mut rand::rng(), count);
    let chosen = chosen.into_iter();
    chosen.map(|member| address(instance, member)).collect()
}

/// Returns how long a reading is waited for, its random delay included.
fn time_limit(instance: &Instance) -> Duration {
    let spread_ms = instance.instance_count() as u64;
    Duration::from_millis(instance.settings.origins.reading_timeout_ms + spread_ms)
}

/// Returns what the first of two futures finds.
async fn first_found<T>(
    a: impl Future<Output = Option<T>>,
    b: impl Future<Output = Option<T>>,
) -> Option<T> {
    match select(pin!(a), pin!(b)).await {
        Either::Left((None, b)) => b.await,
        Either::Right((None, a)) => a.await,
        Either::Left((found, _)) | Either::Right((found, _)) => found,
    }
}
