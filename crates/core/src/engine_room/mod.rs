//! Bounds on what an engine holds, where engines crash beyond their memory.

mod barrier;
mod engine_rooms;
mod engine_use;
mod fleet_view;
mod need;
mod parts;
mod settings;

pub use {
    barrier::RoomBarrier,
    engine_rooms::EngineRooms,
    engine_use::EngineUse,
    fleet_view::{FleetView, OtherInstances},
    need::RoomNeed,
    parts::fixed_part,
    settings::RoomSettings,
};
