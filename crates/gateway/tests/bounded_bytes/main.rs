//! Answers of engines that are broken or never end, and callers that don't read theirs.

mod broken_heads;
mod cut_heads;
mod early_answers;
mod endless_answers;
mod endless_calls;
mod endless_requests;
mod fake_engine;
mod forwarded_lengths;
mod gateway;
mod scripted_upstream;
mod slow_callers;
mod sound_answers;
