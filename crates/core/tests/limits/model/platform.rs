use {
    mangowalk_core::{
        edge::PlatformError,
        limits::{ListedSlot, SlotBody, SlotList, SlotWrite},
    },
    std::collections::BTreeMap,
};

/// In-memory platform: slots with versions and conditional writes.
#[derive(Default)]
pub(super) struct ModelPlatform {
    revision: u64,
    slots: BTreeMap<u32, (u64, SlotBody)>,
}

impl ModelPlatform {
    pub(super) fn list(&self) -> SlotList {
        let slots = self.slots.iter().map(|(slot, (version, body))| ListedSlot {
            slot: *slot,
            version: *version,
            body: Some(body.clone()),
        });
        SlotList {
            revision: self.revision,
            slots: slots.collect(),
        }
    }

    pub(super) fn write(
        &mut self,
        write: &SlotWrite,
        body: &SlotBody,
    ) -> Result<u64, PlatformError> {
        let (slot, expected) = match *write {
            SlotWrite::Create { slot } => (slot, 0),
            SlotWrite::Replace { slot, version } | SlotWrite::Release { slot, version } => {
                (slot, version)
            }
        };
        let version = self.slots.get(&slot).map_or(0, |(version, _)| *version);
        if version != expected {
            return Err(PlatformError::Conflict { version });
        }
        self.revision += 1;
        match write {
            SlotWrite::Release { .. } => self.slots.remove(&slot),
            _ => self.slots.insert(slot, (self.revision, body.clone())),
        };
        Ok(self.revision)
    }

    pub(super) fn read_back(
        &self,
        write: &SlotWrite,
        body: &SlotBody,
    ) -> Result<u64, PlatformError> {
        let slot = match *write {
            SlotWrite::Create { slot } | SlotWrite::Replace { slot, .. } => slot,
            SlotWrite::Release { .. } => return Err(PlatformError::Lost),
        };
        let held = self.slots.get(&slot).filter(|(_, b)| b.nonce == body.nonce);
        held.map(|(version, _)| *version).ok_or(PlatformError::Lost)
    }
}
