//! Replays of seeded arrivals against a model of engines, in simulated time.
//!
//! A replay answers in seconds what a change of placing, waiting or refusing does under one load
//! pattern. The decisions are those of the router ([`dogwoodway_routing::direct`]), made by several
//! routers that see their own traffic and hear of the others' late. [`PolicyKind`] names what they
//! are weighed against: a random choice, the least load, hashing of the shared prefix, and an
//! oracle that knows the engines' true state.
//!
//! It models engines, their links and a store of kept KV cache, and neither processors nor networks
//! of routers.

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
