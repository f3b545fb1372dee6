//! The actor that owns what an entry remembers between placements.

use dogwoodway_routing::{placement, prefix_traffic::PrefixTraffic, rendezvous::Server};
use dogwoodway_types::{PieceHash, Timestamp};
use kameo::{
    Actor,
    message::{Context, Message},
};

/// What an entry remembers between placements.
#[derive(Actor, Default)]
pub(crate) struct Placer {
    heat: PrefixTraffic,
    #[cfg(feature = "baselines")]
    turn: usize,
}

/// Asks which servers to probe for a prompt.
pub(super) struct Shortlist {
    pub(super) key: PieceHash,
    pub(super) servers: Vec<Server>,
    pub(super) seed: u64,
}

impl Message<Shortlist> for Placer {
    type Reply = Vec<usize>;

    async fn handle(&mut self, msg: Shortlist, _: &mut Context<Self, Self::Reply>) -> Vec<usize> {
        #[cfg(feature = "baselines")]
        if let Some(baseline) = super::baseline::chosen() {
            self.turn += 1;
            return baseline.probe_targets(msg.key, &msg.servers, msg.seed, self.turn);
        }
        let width = self.heat.record_request(Timestamp::now(), msg.key, msg.servers.len());
        placement::probe_targets(msg.key, width, &msg.servers, msg.seed)
    }
}
