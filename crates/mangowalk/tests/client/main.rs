//! Runs the client's binary against a platform stand-in and router processes.

mod ask;
mod burn;
mod explain;
mod fleet;
mod keys;
mod page;
mod records;
mod story;
mod story_of_processes;
mod support;
mod usage;
