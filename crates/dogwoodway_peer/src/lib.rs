//! RPC between the processes of the system.
//!
//! Entries call agents through [`AgentApi`]; [`TarpcAgent`] is the client and [`AgentListener`] the
//! server. Streamed answers are pulled: the entry requests the frames that follow the last one it
//! has received. A broken connection therefore loses no frames, and a caller that reads slowly
//! delays only its own stream.

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
