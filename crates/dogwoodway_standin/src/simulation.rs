//! Discrete-event simulation of routers and model engines.
//!
//! A simulation shows within seconds what a change of placement, queueing or load shedding does
//! under one load pattern. Requests arrive at random times that depend on the seed. The placement
//! decisions are those of the router ([`dogwoodway_routing::direct`]), made by several routers that
//! observe their own traffic and receive each other's state with a delay. [`PolicyKind`] lists the
//! baselines to compare with: random choice, least load, hashing of the shared prefix, and an
//! oracle that knows the actual state of the engines.
//!
//! Engines, their links and a KV store are modeled; processors and networks of routers are not.

mod arrivals;
mod engine;
mod pattern;
mod policy;
mod simulator;
mod summary;

pub use self::{
    pattern::{LoadPattern, SimulationConfig},
    policy::PolicyKind,
    simulator::simulate,
    summary::{ClassSummary, Summary},
};
