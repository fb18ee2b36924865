//! A server whose answers end early, for tests of HTTP clients.

mod cut_answer;
mod end;

pub use {cut_answer::outcomes_of_cuts, end::End};
