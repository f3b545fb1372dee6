//! Follows the configuration on the platform log and keeps it there.
//!
//! [`ConfigView`] is the pure part: it decides what an answer of the log means and what this node should
//! append. [`Follower`] is the actor that owns a view; [`follow`] starts it with the task that
//! reads the log and asks peers.

mod follower;
mod seed;
mod tasks;
mod view;

pub use crate::{
    follower::{ApplyPeerSnapshot, ConfigWatch, Follower, GetSnapshot},
    tasks::{ConfigHandle, ConfigPeers, NoPeers, follow},
    view::{ActiveState, ConfigView, SnapshotAction},
};
