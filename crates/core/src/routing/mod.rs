//! The configuration in force, and the selection of a request's route.

mod addresses;
mod configuration;
mod retry_policy;
mod route;
mod service;
mod table;
mod tenant;
mod urgency;

pub use {
    addresses::addresses_for_caller,
    configuration::{CallerLimits, Configuration},
    retry_policy::RetryPolicy,
    route::{Route, WeightedService},
    service::{CacheStore, EngineLimits, Service},
    table::{RouteError, RouteTable},
    tenant::{Tenant, TokenRate},
    urgency::{MostUrgent, urgency},
};
