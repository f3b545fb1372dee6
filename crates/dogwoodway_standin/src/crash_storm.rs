//! Simulation of requests that share a cause which crashes engines, and of what routers do about it.
//!
//! Prompts of several teams arrive at many routers. Those with the cause crash the engine that begins
//! to answer them, together with all other answers there. Routers learn of a crash at once if they
//! have a request there, and otherwise from the notices of others, which take some time. The
//! simulation shows how many engines are lost until the cause is refused, and how many sound requests
//! are refused with it.

mod policy;
mod simulator;

pub use self::{
    policy::PolicyKind,
    simulator::{Cause, Outcome, Storm, simulate},
};
