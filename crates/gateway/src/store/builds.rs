use {
    super::{
        CallClient,
        kept::{KeptContent, keep},
    },
    crate::instance::Instance,
    mangowalk_core::origin::BuildsByService,
    mangowalk_platform::{BuildsRecord, ObjectKind},
    std::rc::Rc,
    tokio::sync::Notify,
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

/// Keeps the builds of all services in the store, where they outlast all instances; never
/// returns. If all instances are killed at once, streams can still go on where the service
/// has a single build.
pub async fn keep_builds(instance: Rc<Instance>, store: Rc<CallClient>) {
    keep::<BuildsByService>(&instance, &store).await;
}
