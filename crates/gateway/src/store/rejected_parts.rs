use {
    super::{
        CallClient,
        kept::{KeptContent, keep},
    },
    crate::{clock::wall_ms, instance::Instance},
    mangowalk_core::crash_part::RejectedPart,
    mangowalk_platform::{ObjectKind, RejectedPartsRecord},
    std::rc::Rc,
    tokio::sync::Notify,
};

impl KeptContent for Vec<RejectedPart> {
    type Record = RejectedPartsRecord;

    const KIND: ObjectKind = ObjectKind::RejectedParts;

    const NAME: &'static str = "rejected";

    fn known(instance: &Instance, now_ms: u64) -> Option<Vec<RejectedPart>> {
        Some(instance.crash_parts.rejected_parts(now_ms))
    }

    fn add_to(&self, instance: &Instance, now_ms: u64) {
        instance.merge_rejected_parts(self, "store", now_ms);
    }

    fn is_same(&self, known: &Vec<RejectedPart>) -> bool {
        let decisions = |parts: &[RejectedPart]| {
            let decisions = parts.iter();
            let decisions = decisions.map(|part| (part.part, part.term_ms, part.is_rejected));
            decisions.collect::<Vec<_>>()
        };
        decisions(self) == decisions(known)
    }

    fn to_record(&self) -> RejectedPartsRecord {
        RejectedPartsRecord::new(self, wall_ms())
    }

    fn from_record(record: &RejectedPartsRecord) -> Vec<RejectedPart> {
        let mut parts = record.parts(wall_ms());
        parts.sort_unstable_by_key(|part| part.part);
        parts
    }

    fn wake_up(instance: &Instance) -> &Notify {
        &instance.wake_ups.kept_parts
    }
}

/// Keeps the parts of prompts that crash engines in the store, where they outlast all
/// instances; never returns. Otherwise a start of all instances would cost as many engines
/// as the first detection.
pub async fn keep_rejected_parts(instance: Rc<Instance>, store: Rc<CallClient>) {
    keep::<Vec<RejectedPart>>(&instance, &store).await;
}
