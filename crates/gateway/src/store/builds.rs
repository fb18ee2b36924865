use {
    super::{
        CallClient,
        kept::{KeptContent, keep},
    },
    crate::instance::Instance,
    mangowalk_core::origin::BuildsByService,
    mangowalk_platform::{BuildsRecord, Call, ObjectKind, decode_object, path_of_object},
    std::{rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

impl KeptContent for BuildsByService {
    type Record = BuildsRecord;

    const KIND: ObjectKind = ObjectKind::Builds;

    const NAME: &'static str = "listed";

    fn known(instance: &Instance, now_ms: u64) -> Option<BuildsByService> {
        instance.known_builds(now_ms)
    }

    fn add_to(&self, instance: &Instance, now_ms: u64) {
        let mut listed_builds = instance.origins.listed_builds.borrow_mut();
        listed_builds.add_past(self, now_ms);
    }

    fn is_same(&self, known: &BuildsByService) -> bool {
        self == known
    }

    fn to_record(&self) -> BuildsRecord {
        BuildsRecord::from(self)
    }

    fn from_record(record: &BuildsRecord) -> BuildsByService {
        BuildsByService::from(record)
    }

    fn addition(instance: &Instance) -> Option<BuildsByService> {
        instance.origins.listed_builds.borrow().kept_and_listed()
    }

    fn record_kept(&self, instance: &Instance, now_ms: u64) {
        instance.record_kept_builds(self, now_ms);
    }

    fn is_awaited(instance: &Instance) -> bool {
        !instance.assign_kept_builds() || !instance.origins.listed_builds.borrow().has_kept()
    }

    fn wake_up(instance: &Instance) -> &Notify {
        &instance.wake_ups.builds
    }
}

/// Reads the kept builds for requests that wait for a reading; never returns.
///
/// After a kill of many instances all others of a fleet have streams whose records are gone, so
/// their readings are spread over the store's rate.
pub async fn read_builds(instance: Rc<Instance>, store: Rc<CallClient>) {
    let readings = &instance.origins.readings;
    let interval_ms = instance.settings.origins.reading_interval_ms;
    loop {
        readings.asked().await;
        let spread_ms = instance.instance_count() as u64;
        sleep(Duration::from_millis(rand::random_range(0..=spread_ms))).await;
        let number = readings.begin();
        readings.end(number, read_once(&instance, &store).await);
        sleep(Duration::from_millis(interval_ms.max(spread_ms))).await;
    }
}

/// Returns the kept builds; `None` if there are none or they can't be read.
async fn read_once(instance: &Instance, store: &CallClient) -> Option<BuildsByService> {
    let call = Call::get(path_of_object(BuildsByService::KIND, BuildsByService::NAME));
    let timeout_ms = instance.settings.origins.reading_timeout_ms;
    let answer = store.call(&call, timeout_ms).await;
    let is_read = matches!(answer, Ok((200, _)));
    let outcome = if is_read { "read" } else { "failed" };
    instance.counters.count("builds_reading", outcome);
    let (_, body) = answer.ok().filter(|_| is_read)?;
    let object = decode_object(&body).ok()?;
    let record: BuildsRecord = serde_json::from_value(object.spec).ok()?;
    Some(BuildsByService::from(&record))
}

/// Keeps the builds of all services in the store, where they outlast all instances; never
/// returns. If all instances are killed at once, streams can still go on where the service
/// has a single build.
pub async fn keep_builds(instance: Rc<Instance>, store: Rc<CallClient>) {
    keep::<BuildsByService>(&instance, &store).await;
}
