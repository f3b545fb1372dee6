//! Handling of the datagrams of other routers.

use std::net::SocketAddr;

use dogwoodway_routing::direct::{
    aggregation::Digest,
    fleet::{OriginPrompt, ServerLoad},
    load::router_id,
    peers::RouterInfo,
};
use dogwoodway_types::Timestamp;

use crate::{
    clock,
    fleet_actor::{
        ApplyLeavingServers, ApplyLimitNotices, ApplyPartNotices, ApplyPeerUpdate,
        ApplyWeightsNotices,
    },
    gossip::{
        Gossip,
        datagram::{Content, Datagram, Notices},
    },
    metric,
};

impl Gossip {
    pub(super) async fn receive(&mut self, bytes: &[u8]) {
        let now = clock::now();
        let datagram = match Datagram::decode(bytes) {
            Some(Ok(datagram)) => datagram,
            Some(Err(e)) => return log::debug!("dropped an invalid gossip datagram: {e}"),
            None => return log::debug!("dropped a gossip datagram of another version"),
        };
        let sender = datagram.sender;
        if sender.address == self.config.address {
            return;
        }
        let arrived_at = self.record_sender(now, sender);
        match datagram.content {
            Content::Greeting { wants_reply, introduced } => {
                self.answer_greeting(now, sender.address, wants_reply, introduced);
            }
            Content::Report { seq, loads, prompts, notices } => {
                let notices = notices.received(arrived_at, now);
                self.has_changes |= !loads.is_empty() || !prompts.is_empty() || notices.is_urgent();
                self.notices_for_others.add(now, &notices);
                self.apply_notices(now, notices).await;
                self.aggregator.apply_report(
                    now,
                    sender.address,
                    seq,
                    loads.clone(),
                    prompts.clone(),
                );
                self.apply_as_aggregator(sender.address, loads, prompts).await;
            }
            Content::ZoneDigest { digest, notices, alive } => {
                let notices = notices.received(arrived_at, now);
                self.has_changes |=
                    self.is_aggregating(now) && (!digest.loads.is_empty() || notices.is_urgent());
                self.peers.record_digest(now, sender.address);
                self.record_alive(now, alive);
                self.apply_notices(now, notices).await;
                let Digest { loads, prompts, .. } = digest;
                self.aggregator.apply_zone(now, sender.address, loads.clone(), prompts.clone());
                self.apply_as_aggregator(sender.address, loads, prompts).await;
            }
            Content::StreamOrigins(message) => {
                self.receive_origin_message(arrived_at, sender.address, message).await;
            }
            Content::Quotas(letters) => self.config.quotas.apply(now, &letters),
            Content::FleetDigest { digest, notices, alive } => {
                let notices = notices.received(arrived_at, now);
                self.peers.record_digest(now, sender.address);
                self.record_alive(now, alive);
                self.apply_notices(now, notices).await;
                if sender.address == self.chosen {
                    self.chosen_heard_at = now;
                    self.apply_digest_of_others(sender.address, digest).await;
                }
            }
        }
    }

    /// Applies a digest of the fleet, but for what it has from this router.
    async fn apply_digest_of_others(&mut self, sender: SocketAddr, digest: Digest) {
        let loads = self.history.loads_of_others(&digest, self.config.address);
        let own = router_id(self.config.address);
        let mut prompts = digest.prompts;
        prompts.retain(|prompt| prompt.origin != own);
        self.apply(sender, loads, prompts).await;
    }

    /// Records the sender of a datagram, and returns when the datagram arrived.
    fn record_sender(&mut self, now: Timestamp, sender: RouterInfo) -> Timestamp {
        self.peers.record_info(now, sender);
        self.arrivals.record_wakeup(now);
        let arrived_at = self.arrivals.arrived_at(now);
        if arrived_at < now {
            log::debug!(from:% = sender.address, waited_ms = (now - arrived_at).as_millis() as u64;
                "a datagram may have waited while the process stood still");
            metrics::counter!(metric::LATE_DATAGRAMS).increment(1);
        }
        arrived_at
    }

    fn answer_greeting(
        &mut self,
        now: Timestamp,
        sender: SocketAddr,
        wants_reply: bool,
        introduced: Vec<SocketAddr>,
    ) {
        for address in introduced {
            self.add_peer(now, address);
        }
        if wants_reply {
            let reply = Content::Greeting { wants_reply: false, introduced: Vec::new() };
            self.send(reply, &[sender]);
        }
    }

    /// Applies a part of the fleet's state, unless the chosen aggregator sends all of it.
    async fn apply_as_aggregator(
        &self,
        sender: SocketAddr,
        loads: Vec<ServerLoad>,
        prompts: Vec<OriginPrompt>,
    ) {
        if self.chosen == self.config.address {
            self.apply(sender, loads, prompts).await;
        }
    }

    async fn apply(&self, sender: SocketAddr, loads: Vec<ServerLoad>, prompts: Vec<OriginPrompt>) {
        let update = ApplyPeerUpdate { peer: router_id(sender), loads, prompts };
        if let Err(e) = self.config.fleet.tell(update).await {
            log::error!("could not apply the update of another router: {e}");
        }
    }

    async fn apply_notices(&mut self, now: Timestamp, notices: Notices) {
        self.notices_for_zone.add(now, &notices);
        for reports in &notices.feed_reports {
            self.config.feeds.apply_peer(now, reports);
        }
        for address in notices.introduced {
            self.add_peer(now, address);
        }
        let Notices { weights, versions, leaving, parts, limits, .. } = notices;
        if !limits.is_empty()
            && let Err(e) = self.config.fleet.tell(ApplyLimitNotices(limits)).await
        {
            log::error!("could not apply notices about servers' limits: {e}");
        }
        if !parts.is_empty()
            && let Err(e) = self.config.fleet.tell(ApplyPartNotices(parts)).await
        {
            log::error!("could not apply notices about prompt parts: {e}");
        }
        if !leaving.is_empty()
            && let Err(e) = self.config.fleet.tell(ApplyLeavingServers(leaving)).await
        {
            log::error!("could not apply reports of servers that are shutting down: {e}");
        }
        if weights.is_empty() && versions.is_empty() {
            return;
        }
        if let Err(e) = self.config.fleet.tell(ApplyWeightsNotices { weights, versions }).await {
            log::error!("could not apply notices about weights: {e}");
        }
    }

    fn record_alive(&mut self, now: Timestamp, alive: Vec<RouterInfo>) {
        for info in alive.into_iter().filter(|info| info.address != self.config.address) {
            self.peers.record_info(now, info);
        }
    }

    pub(super) fn add_peer(&mut self, now: Timestamp, address: SocketAddr) {
        if address != self.config.address {
            self.peers.add(now, address);
        }
    }
}
