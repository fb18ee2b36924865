//! Roll-outs of a service's software: what a new version gets before it is accepted,
//! and how it is judged.

mod fleet;
mod lanes;
mod orders;
mod outcomes;
mod slowness;
mod versions;
