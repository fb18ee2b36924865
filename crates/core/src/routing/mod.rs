//! The configuration in force, and the selection of a request's route.

mod configuration;
mod retry_policy;
mod route;
mod service;
mod table;
mod tenant;

pub use {
    configuration::{CallerLimits, Configuration},
    retry_policy::RetryPolicy,
    route::{Route, WeightedService},
    service::{CacheStore, EngineLimits, Service},
    table::{RouteError, RouteTable},
    tenant::{Tenant, TokenRate},
};
