//! The configuration in force, and the route of a request.

mod configuration;
mod kind;
mod route;
mod service;
mod table;
mod tenant;

pub use {
    configuration::{CallerLimits, Configuration},
    kind::Repeat,
    route::{Route, ServiceShare},
    service::{EngineLimits, KeptStore, Service},
    table::{Denied, RouteTable},
    tenant::{Tenant, TokenRate},
};
