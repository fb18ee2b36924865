//! Answers of engines whose bytes never end or end in their head, and callers that don't read theirs.

mod cut_heads;
mod endless_answers;
mod endless_calls;
mod endless_requests;
mod fake_engine;
mod gateway;
mod slow_callers;
mod sound_answers;
