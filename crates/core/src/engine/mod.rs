//! Wire types between the router and model engines.

mod cache;
mod generate;
mod load;
mod order;

pub use {
    cache::{CacheChange, CacheEvents},
    generate::{ChatMessage, GenerateEvent, GeneratePayload, GenerateRequest, Usage},
    load::{EngineState, LoadReport},
    order::{CancelRequest, Order, OrderReply},
};
