//! The engines that run requests, what is believed of each, and the choice
//! among them.

mod admit;
mod belief;
mod choice;
mod entry;
mod health;
mod kept;
mod need;
mod source;
mod table;
mod turnover;
mod usual;

pub use {
    admit::{AdmitSettings, ReadRate, refuse},
    belief::{Belief, Load, Steering},
    choice::{ChoiceSettings, choose, rendezvous},
    entry::{EngineEntry, Incarnation, ModelVersion},
    health::{Health, HealthSettings},
    kept::{KeptParts, kept_key},
    need::{Need, PromptPart},
    source::{Holder, holder},
    table::{EngineTable, short_hash},
    turnover::Turnover,
    usual::UsualPrompt,
};
