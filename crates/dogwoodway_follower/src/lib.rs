//! Follows the configuration on the platform log and appends snapshots that keep it there.
//!
//! [`ConfigView`] is the deterministic part: it interprets the results of log reads and decides
//! what this node should append. [`Follower`] is the actor that owns a view. [`follow`] starts the
//! actor, the task that reads the log and the task that asks peers.

mod bootstrap;
mod follower;
mod tasks;
mod view;

pub use crate::{
    follower::{ApplyPeerSnapshot, ConfigWatch, Follower, GetSnapshot},
    tasks::{ConfigHandle, ConfigPeers, NoPeers, follow},
    view::{ActiveState, ConfigView, SnapshotAction},
};
