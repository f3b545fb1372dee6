//! Actor that selects which backend servers to probe for a prompt.
//!
//! It owns the traffic counts of prefixes, which all requests of the entry share.

use dogwoodway_routing::{placement, prefix_traffic::PrefixTraffic, rendezvous::Server};
use dogwoodway_types::{PieceHash, Timestamp};
use kameo::{
    Actor,
    message::{Context, Message},
};

/// Selects the backend servers to probe, from the recent traffic of each prefix.
#[derive(Actor, Default)]
pub(crate) struct ProbeSelector {
    traffic: PrefixTraffic,
    /// Number of requests placed so far, from which the round-robin baseline computes the next
    /// server.
    #[cfg(feature = "baselines")]
    request_count: usize,
}

/// Command to record a request and to select the servers to probe for it.
///
/// The reply holds indices into `servers`, preferred servers first.
pub(super) struct SelectProbeTargets {
    /// Hash of the prefix that the prompt is expected to share with others; unique to the request
    /// if there is none.
    pub(super) key: PieceHash,
    pub(super) servers: Vec<Server>,
    /// Random seed of the selection, drawn for each request.
    pub(super) seed: u64,
}

impl Message<SelectProbeTargets> for ProbeSelector {
    type Reply = Vec<usize>;

    async fn handle(
        &mut self,
        msg: SelectProbeTargets,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<usize> {
        #[cfg(feature = "baselines")]
        if let Some(baseline) = super::baseline::configured() {
            self.request_count += 1;
            return baseline.probe_targets(msg.key, &msg.servers, msg.seed, self.request_count);
        }
        let preferred_count =
            self.traffic.record_request(Timestamp::now(), msg.key, msg.servers.len());
        placement::probe_targets(msg.key, preferred_count, &msg.servers, msg.seed)
    }
}
