//! Messages about quotas between single routers.

use std::{collections::BTreeMap, mem, net::SocketAddr, time::Duration};

use dogwoodway_routing::direct::{peers::rank, team_quota::QuotaLetter};
use dogwoodway_types::Timestamp;

use crate::{
    gossip::{Gossip, datagram::Content},
    metric,
};

/// Interval at which messages about quotas are sent, in milliseconds.
const QUOTA_INTERVAL_MS: u64 = 25;

/// Most messages about quotas in one datagram.
const MAX_LETTERS: usize = 64;

impl Gossip {
    /// Tells the quotas which routers are alive and what the configuration says.
    pub(super) fn update_quotas(&self, now: Timestamp) {
        self.config.quotas.update_rules(now);
        let alive = self.peers.ranks_alive(now, self.config.address);
        self.config.quotas.set_routers(now, &alive);
    }

    /// Sends the messages about quotas that are due, and those of the last time again.
    pub(super) fn send_quota_letters(&mut self, now: Timestamp) {
        self.quotas_due = now + Duration::from_millis(QUOTA_INTERVAL_MS);
        let new = self.config.quotas.take_letters(now);
        let repeated = mem::replace(&mut self.letters_to_repeat, new.clone());
        if new.is_empty() && repeated.is_empty() {
            return;
        }
        let addresses: BTreeMap<u64, SocketAddr> =
            self.peers.infos(now).map(|info| (rank(info.address), info.address)).collect();
        let mut by_router: BTreeMap<SocketAddr, Vec<QuotaLetter>> = BTreeMap::new();
        for letter in repeated.into_iter().chain(new) {
            if let Some(address) = addresses.get(&letter.to) {
                by_router.entry(*address).or_default().push(letter);
            }
        }
        for (address, letters) in by_router {
            for letters in letters.chunks(MAX_LETTERS) {
                metrics::counter!(metric::QUOTA_DATAGRAMS).increment(1);
                self.send(Content::Quotas(letters.to_vec()), &[address]);
            }
        }
    }
}
