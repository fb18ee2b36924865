//! The engines that run requests, what is believed of each, and the choice
//! among them.

mod admit;
mod belief;
mod choice;
mod departures;
mod entry;
mod health;
mod kept;
mod need;
mod source;
mod standing;
mod table;
mod turnover;
mod usual;

pub use {
    admit::{AdmitSettings, ReadRate, refuse},
    belief::{Belief, Load, Steering},
    choice::{ChoiceSettings, choose, rendezvous},
    departures::Departure,
    entry::{EngineEntry, Incarnation, ModelVersion},
    health::{Health, HealthSettings},
    kept::{KeptParts, kept_key},
    need::{Need, PromptPart},
    source::{Holder, holder},
    standing::{Doubt, Standing},
    table::{EngineTable, short_hash},
    turnover::Turnover,
    usual::UsualPrompt,
};
