//! State that the tasks of an instance share, and its settings.

mod build_readings;
mod confirmations;
mod counters;
mod crash_parts;
mod crashes;
mod drain;
mod end_witnesses;
mod engine_limits;
mod engine_notices;
mod engine_paces;
mod heartbeats;
mod held_limit;
mod loans;
mod open_questions;
mod passed_on;
mod paths;
mod placements;
mod reload;
mod replaced_engines;
mod retry_budgets;
mod settings;
mod shared_state;
mod shutdown;
mod store_availability;
mod store_reads;
mod stream_origins;
mod waiting_room;
mod wake_ups;
mod weights_changes;

pub use {
    build_readings::BuildReadings,
    counters::Counters,
    crash_parts::{CrashParts, OutgoingPartMessage, PartRecipients},
    crashes::{CrashTracker, LostRequest, hash},
    drain::Drain,
    end_witnesses::EndWitnesses,
    loans::{Loans, OpenLoan},
    open_questions::{OpenQuestion, OpenQuestions},
    passed_on::{OpenPassGuard, PassedOn},
    reload::{ReloadOutcome, apply_reloadable},
    retry_budgets::RetryBudgets,
    settings::GatewaySettings,
    shared_state::Instance,
    shutdown::Shutdown,
    store_availability::StoreAvailability,
    stream_origins::StreamOrigins,
    waiting_room::{Arrival, WaitingRooms},
    wake_ups::WakeUps,
};
