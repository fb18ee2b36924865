//! A server whose answers end early or are broken, for tests of HTTP clients.

mod cut_answer;
mod end;
mod whole_answer;

pub use {cut_answer::outcomes_of_cuts, end::End, whole_answer::outcome_of_answer};
