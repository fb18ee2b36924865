//! Which software began a stream, so that it goes on at that software only.
//!
//! Engines of several software versions may serve a service side by side, and what two
//! versions write doesn't fit together. Within one answer the instance knows where the
//! stream began. A caller that takes the stream up again may reach any instance, also
//! after the first one was killed, so each stream's build is told to a few peers before
//! its first event is passed on. These are found by rendezvous hashing of the stream's
//! key, so what an instance sends and keeps depends on its own streams and not on the
//! size of the fleet.
//!
//! Without a record, a stream goes on where the store names a single build of the service,
//! by a reading that began after the stream was taken up. What an instance knows from before
//! proves nothing, however lately it was in step: another build may have been used since.
//!
//! A build that isn't known counts as another one: the stream isn't resumed.

mod build;
mod ground;
mod listed_builds;
mod message;
mod owners;
mod records;
mod settings;
mod stream_key;
mod verdict;

pub use {
    build::EngineBuild,
    ground::Ground,
    listed_builds::{BuildsByService, ListedBuilds, ServiceBuilds},
    message::{OriginAnswer, OriginMessage, OriginQuestion, ReadingAnswer, ReadingQuestion},
    owners::owners,
    records::{OriginRecords, StreamOrigin},
    settings::OriginSettings,
    stream_key::StreamKey,
    verdict::Verdict,
};
