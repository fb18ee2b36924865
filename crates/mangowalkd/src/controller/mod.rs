//! Controllers: each reads the board, speaks to one outside system, and
//! writes its part of the board.

mod config_watch;
mod engine_poll;
mod gossip;
mod registry;
mod run;
mod slots;

pub use {
    config_watch::ConfigWatch,
    engine_poll::EnginePoll,
    gossip::{Gossip, answer},
    run::{Controller, spawn},
    slots::SlotHolder,
};
