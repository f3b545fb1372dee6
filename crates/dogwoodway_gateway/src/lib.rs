//! Serves callers from backend servers that the router reaches itself.
//!
//! Use it where no agent of the system stands beside the backend servers. A router accepts callers'
//! requests, asks its [fleet](crate::fleet_actor) where each one runs, and relays the answer. It
//! follows the operator's configuration and the list of servers, tells other routers of its load,
//! and, while it leads, orders the engines to load new weights.
//!
//! What a request looks like, where the configuration comes from and how an engine is ordered is
//! behind the traits of [`border`]; decisions are in `dogwoodway_routing::direct`.

pub mod platform_api;
pub mod clock;
mod connection;
mod directory;
mod exchange;
mod fleet_actor;
mod gossip;
mod ingress;
mod kv_follower;
mod leader;
mod metric;
mod relay;
mod router;
mod feeds;
mod stream;

pub use crate::router::{RouterDependencies, RouterError, RouterSettings, ShutdownSignals, run};
