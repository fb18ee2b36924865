//! Admission control: which requests an instance sends, queues or refuses.
//!
//! A request is sent when a candidate engine has capacity for it, and waits in
//! a fair queue otherwise. It waits in the router and not in an engine, because
//! an engine's queue doesn't distinguish teams, and a request in it can't be
//! moved to an engine that becomes free earlier. A request that can't be served
//! in time is refused at once and has not run. See docs/admission.md.

mod backlog;
mod dispatcher;
mod drain_rate;
mod fair_queue;
mod fleet_capacity;
mod job;
mod retry_schedule;
mod room_share;
mod settings;
mod team_queue;
mod waiting_room;
mod waiting_settings;

pub use {
    backlog::{Backlog, BacklogBound, BacklogSettings},
    dispatcher::{Decision, Dispatcher, EngineFilter},
    fair_queue::{FairQueue, QueueRefusal},
    fleet_capacity::{FleetCapacity, WorkAhead},
    job::Job,
    retry_schedule::{RefusedWork, RetrySchedule, RetrySettings},
    room_share::{ArrivalRate, Competition},
    settings::{AdmissionProfile, AdmissionSettings},
    waiting_room::{RoomFull, WaitingRoom},
    waiting_settings::WaitingSettings,
};
