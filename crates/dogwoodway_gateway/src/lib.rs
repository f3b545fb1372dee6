//! A router that forwards client requests directly to backend servers.
//!
//! Use it where no agent of this system runs next to the backend servers. A router accepts client
//! requests, asks its fleet actor for a server for each one, and forwards the response. It follows
//! the operator's configuration and the list of servers, shares its load with other routers and,
//! while it is the leader, orders engines to load new weights.
//!
//! The traits of [`platform_api`] hide how requests look on the wire, where the configuration is
//! stored and how engines are controlled. This crate does the I/O; the decisions are made in
//! `dogwoodway_routing::direct`.

pub mod platform_api;
pub mod clock;
mod attempt_guard;
mod checked_store;
mod connection;
mod directory;
mod exchange;
mod fleet_actor;
mod gossip;
mod ingress;
mod kv_follower;
mod leader;
mod metric;
mod quotas;
mod relay;
mod response_body;
mod response_memory;
mod router;
mod segmented_bytes;
mod server_check;
mod software_surveys;
mod feeds;
mod stream;
mod stream_origins;

pub use crate::router::{RouterDependencies, RouterError, RouterSettings, ShutdownSignals, run};
