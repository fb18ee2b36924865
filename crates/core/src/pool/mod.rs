//! The engines that run requests, the known state of each, and the choice among
//! them.

mod abandon;
mod admit;
mod cache_source;
mod choice;
mod departures;
mod entry;
mod health;
mod known_engine;
mod list_part;
mod listing_status;
mod name_form;
mod pace_choice;
mod prompt_length;
mod replaced_engine;
mod replacements;
mod requirements;
mod sample_bound;
mod software_lane;
mod table;
mod table_notices;
mod table_paces;
mod table_replacements;
mod turnover;

pub use {
    abandon::is_worth_abandoning,
    admit::{AdmitSettings, PrefillRate, PrefillSample, retry_after_ms},
    cache_source::{CacheSource, find_cache_source},
    choice::{ChoiceSettings, choose, rendezvous},
    departures::Departure,
    entry::{EngineEntry, Incarnation, ModelVersion},
    health::{Health, HealthSettings},
    known_engine::{KnownEngine, Load, WorkPause},
    list_part::{ListPart, ListPartSettings},
    listing_status::{DepartureSuspicion, ListingStatus},
    name_form::NameForm,
    prompt_length::MeanPromptLength,
    replaced_engine::ReplacedEngine,
    requirements::{EngineRequirements, PromptPart},
    sample_bound::max_sample,
    software_lane::{choose_for_begun, choose_in_lane},
    table::{EngineTable, Standing, short_hash},
    turnover::Turnover,
};
