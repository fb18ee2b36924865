//! Runs the client's program against stand-ins and real routers.

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
