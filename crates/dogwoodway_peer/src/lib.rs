//! RPC between the system's own processes.
//!
//! An entry talks to agents through [`AgentApi`]; [`TarpcAgent`] is the client side and
//! [`AgentListener`] the server side. A streamed answer is pulled: the entry asks for the frames
//! after the last one it has, so that a lost link loses no frame and a slow caller holds back its
//! own stream only.

mod agent;
mod client;
mod message;
mod server;

pub use crate::{
    agent::{AgentApi, PeerError, PeerResult},
    client::TarpcAgent,
    message::{
        AgentDescription, BackendKind, FramesReply, ProbeReply, ProbeRequest, SettleReply,
        StartReply, StartRequest,
    },
    server::AgentListener,
};
