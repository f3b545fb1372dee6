//! An entry's view of the agents: which may get new work, and which to poll next.
//!
//! The view combines three sources. The platform's list of VMs adds and removes addresses and marks
//! VMs that will stop, but is updated late. The status that an agent reports when it is polled is
//! authoritative for that agent. The results of calls show which agents are down or slow. All times
//! are read from the entry's clock.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::{AgentIncarnation, Timestamp};
use slotmap::{SlotMap, new_key_type};

use crate::outlier::{AgentHealth, CallResult, slow_threshold_us};

/// Longest time between two regular polls of an agent; jitter shortens it by up to a quarter.
pub const POLL_INTERVAL_MS: u64 = 30_000;

/// Time from a failed poll to the next one, unless the agent waits for the end of an ejection.
pub const FAILED_POLL_RETRY_MS: u64 = 1_000;

/// Shortest time between two polls of the same agent.
pub const MIN_POLL_GAP_MS: u64 = 250;

/// Time after which an unanswered poll counts as failed.
pub const POLL_TIMEOUT_MS: u64 = 3_000;

/// Maximum number of regular polls that one call of [`Membership::due_polls`] returns. First polls
/// and those requested by [`Membership::poll_soon`] are not limited.
pub const MAX_PACED_POLLS: usize = 2;

/// Time for which a VM is still treated as leaving after the list no longer marks it so. Replicas
/// that serve the list may be at different versions, so that the mark comes and goes.
pub const LISTED_LEAVING_HOLD_MS: u64 = 30_000;

/// Consecutive failed polls after which an agent whose VM is no longer listed is removed.
pub const MAX_UNLISTED_FAILURES: u32 = 2;

/// Maximum share of the candidates for a request that ejections may exclude, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

new_key_type! {
    /// Identifies an agent in one [`Membership`].
    pub struct MemberKey;
}

/// An agent's VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Whether the platform will stop the VM soon.
    pub leaving: bool,
}

/// Status that an agent reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// Incarnation of the agent's process.
    pub incarnation: AgentIncarnation,
    /// Whether the agent is shutting down and refuses new work.
    pub leaving: bool,
}

/// A status request to send to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Agent to poll.
    pub key: MemberKey,
    /// Identifies the poll; only the result of an agent's latest poll is used.
    pub id: u64,
}

/// Result of a [`Poll`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollResult {
    /// Result of the call to the agent.
    pub call: CallResult,
    /// Status that the agent reported, `None` if there was no reply.
    pub status: Option<AgentStatus>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListingState {
    Listed,
    Unlisted { failures: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingPoll {
    id: u64,
    timeout_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    listing: ListingState,
    /// Until when the VM is treated as leaving because of the list.
    leaving_until: Timestamp,
    /// Last reported status, `None` until the agent is first reached.
    status: Option<AgentStatus>,
    health: AgentHealth,
    poll_at: Timestamp,
    poll_not_before: Timestamp,
    /// Whether the next poll is a regular one, which [`MAX_PACED_POLLS`] limits.
    paced: bool,
    pending: Option<PendingPoll>,
}

/// Agents known to an entry.
///
/// ```
/// use dogwoodway_routing::membership::{ListedVm, Membership};
/// use dogwoodway_types::Timestamp;
///
/// let mut members = Membership::new(7);
/// let address = "10.0.0.1:7100".parse().unwrap();
/// members.update_vm_list(Timestamp(1), &[ListedVm { address, leaving: false }]);
/// let polls = members.due_polls(Timestamp(1));
/// assert_eq!(members.address(polls[0].key), Some(address));
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    members: SlotMap<MemberKey, Member>,
    by_address: HashMap<SocketAddr, MemberKey>,
    slow_threshold_us: u64,
    next_poll_id: u64,
    seed: u64,
}

impl Membership {
    /// Creates a membership without agents.
    ///
    /// `seed` determines the jitter of polls. It should differ between entries, so that they do not
    /// poll an agent at the same times.
    pub fn new(seed: u64) -> Membership {
        Membership {
            members: SlotMap::with_key(),
            by_address: HashMap::new(),
            slow_threshold_us: u64::MAX,
            next_poll_id: 0,
            seed,
        }
    }

    /// Applies the platform's current list of VMs.
    ///
    /// An agent that is no longer listed is polled at once and kept for as long as it answers. If
    /// its VM was leaving, it is treated as leaving for as long as it is not listed.
    pub fn update_vm_list(&mut self, now: Timestamp, list: &[ListedVm]) {
        for vm in list {
            let known = self.by_address.get(&vm.address).copied();
            let key = known.unwrap_or_else(|| self.add(now, vm.address));
            if let Some(member) = self.members.get_mut(key) {
                member.update_listed(now, vm.leaving);
            }
        }
        let listed: HashSet<_> = list.iter().map(|vm| vm.address).collect();
        for member in self.members.values_mut().filter(|m| !listed.contains(&m.address)) {
            member.mark_unlisted(now);
        }
    }

    /// Records the result of a call that carried work or probed the agent for a placement.
    pub fn record_call(&mut self, now: Timestamp, key: MemberKey, result: CallResult) {
        let slow_threshold_us = self.slow_threshold_us;
        if let Some(member) = self.members.get_mut(key) {
            member.health.record_call(now, result, slow_threshold_us);
        }
    }

    /// Marks an agent as leaving, after it refused a request for that reason.
    pub fn mark_leaving(&mut self, key: MemberKey, incarnation: AgentIncarnation) {
        if let Some(member) = self.members.get_mut(key) {
            member.status = Some(AgentStatus { incarnation, leaving: true });
        }
    }

    /// Schedules a poll as soon as [`MIN_POLL_GAP_MS`] allows, after a sign that the agent changed.
    pub fn poll_soon(&mut self, now: Timestamp, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.poll_at = member.poll_at.min(now);
            member.paced = false;
        }
    }

    /// Schedules a poll now, but within the limit for regular polls.
    pub fn poll_in_turn(&mut self, now: Timestamp, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.poll_at = member.poll_at.min(now);
        }
    }

    /// Records the result of a poll; has no effect if it is not the agent's latest one.
    ///
    /// Returns false if the agent is not known or was removed as a result.
    pub fn record_poll_result(&mut self, now: Timestamp, poll: Poll, result: PollResult) -> bool {
        let Some(member) = self.members.get_mut(poll.key) else { return false };
        if member.pending.is_none_or(|pending| pending.id != poll.id) {
            return true;
        }
        member.pending = None;
        let jitter_ms = xxhash_rust::xxh3::xxh3_64_with_seed(&poll.id.to_le_bytes(), self.seed)
            % (POLL_INTERVAL_MS / 4);
        member.finish_poll(now, result, self.slow_threshold_us, jitter_ms);
        if member.should_remove() {
            self.by_address.remove(&member.address);
            self.members.remove(poll.key);
            return false;
        }
        true
    }

    /// Returns the polls to send now and marks them as sent.
    ///
    /// Call this a few times per second: it also times out unanswered polls and updates the latency
    /// above which agents are considered slow.
    pub fn due_polls(&mut self, now: Timestamp) -> Vec<Poll> {
        self.expire_unanswered(now);
        let mean_latencies = self.members.values().filter_map(|member| member.health.mean_us());
        self.slow_threshold_us = slow_threshold_us(mean_latencies.collect());
        let mut due: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.poll_due_at().is_some_and(|at| at <= now))
            .map(|(key, member)| (member.paced, member.poll_due_at(), key))
            .collect();
        due.sort_unstable();
        let unpaced = due.iter().filter(|(paced, ..)| !paced).count();
        due.truncate(unpaced + MAX_PACED_POLLS);
        due.into_iter().map(|(_, _, key)| self.start_poll(now, key)).collect()
    }

    /// Returns the address of an agent, `None` if it was removed.
    pub fn address(&self, key: MemberKey) -> Option<SocketAddr> {
        self.members.get(key).map(|member| member.address)
    }

    /// Returns the keys of all agents.
    pub fn keys(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.members.keys()
    }

    /// Returns the agents whose VM the platform marks as leaving or did so recently, see
    /// [`LISTED_LEAVING_HOLD_MS`].
    pub fn listed_leaving(&self, now: Timestamp) -> impl Iterator<Item = MemberKey> + '_ {
        let leaving = self.members.iter().filter(move |(_, m)| now < m.leaving_until);
        leaving.map(|(key, _)| key)
    }

    /// Returns whether an agent is ejected or on trial.
    pub fn is_ejected(&self, key: MemberKey) -> bool {
        self.members.get(key).is_some_and(|member| member.health.is_ejected())
    }

    /// Returns the candidates that may get new work, in the same order.
    ///
    /// Leaving agents are always excluded. Ejected ones are excluded up to [`MAX_EJECTED_PERCENT`]
    /// of the remaining candidates; beyond that, those with the most recent replies are kept. If
    /// all are ejected, all are kept, since the fault is then more likely in the entry or its
    /// network.
    pub fn usable(&self, now: Timestamp, candidates: &[MemberKey]) -> Vec<MemberKey> {
        let not_leaving: Vec<_> = candidates
            .iter()
            .filter_map(|key| self.members.get(*key).map(|member| (*key, member)))
            .filter(|(_, member)| !member.is_leaving(now))
            .collect();
        let mut ejected: Vec<_> =
            not_leaving.iter().filter(|(_, member)| member.health.is_ejected()).collect();
        ejected.sort_by_key(|(key, m)| (Reverse(m.health.last_reply_at()), *key));
        let max_ejected = match ejected.len() == not_leaving.len() {
            true => 0,
            false => not_leaving.len() * MAX_EJECTED_PERCENT / 100,
        };
        let kept = ejected.len().saturating_sub(max_ejected);
        let excluded: HashSet<_> = ejected.iter().skip(kept).map(|(key, _)| *key).collect();
        not_leaving.iter().map(|(key, _)| *key).filter(|key| !excluded.contains(key)).collect()
    }

    fn add(&mut self, now: Timestamp, address: SocketAddr) -> MemberKey {
        let key = self.members.insert(Member {
            address,
            listing: ListingState::Listed,
            leaving_until: Timestamp::default(),
            status: None,
            health: AgentHealth::default(),
            poll_at: now,
            poll_not_before: now,
            paced: false,
            pending: None,
        });
        self.by_address.insert(address, key);
        key
    }

    fn start_poll(&mut self, now: Timestamp, key: MemberKey) -> Poll {
        self.next_poll_id += 1;
        let id = self.next_poll_id;
        if let Some(member) = self.members.get_mut(key) {
            let timeout_at = now + Duration::from_millis(POLL_TIMEOUT_MS);
            member.pending = Some(PendingPoll { id, timeout_at });
            member.poll_not_before = now + Duration::from_millis(MIN_POLL_GAP_MS);
            member.poll_at = Timestamp::MAX;
            member.paced = true;
            member.health.begin_trial(now);
        }
        Poll { key, id }
    }

    fn expire_unanswered(&mut self, now: Timestamp) {
        let expired: Vec<_> = self
            .members
            .iter()
            .filter_map(|(key, m)| m.pending.filter(|p| p.timeout_at <= now).map(|p| (key, p.id)))
            .collect();
        for (key, id) in expired {
            let result = PollResult { call: CallResult::Failed, status: None };
            self.record_poll_result(now, Poll { key, id }, result);
        }
    }
}

impl Member {
    fn update_listed(&mut self, now: Timestamp, leaving: bool) {
        self.listing = ListingState::Listed;
        self.leaving_until = match leaving {
            true => Timestamp::MAX,
            false => self.leaving_until.min(now + Duration::from_millis(LISTED_LEAVING_HOLD_MS)),
        };
    }

    fn mark_unlisted(&mut self, now: Timestamp) {
        if matches!(self.listing, ListingState::Unlisted { .. }) {
            return;
        }
        self.listing = ListingState::Unlisted { failures: 0 };
        self.poll_at = self.poll_at.min(now);
        if now < self.leaving_until {
            // A VM that is not listed cannot lose its mark, so it is leaving from now on.
            self.leaving_until = Timestamp::MAX;
        }
    }

    fn is_leaving(&self, now: Timestamp) -> bool {
        now < self.leaving_until || self.status.is_some_and(|status| status.leaving)
    }

    fn should_remove(&self) -> bool {
        matches!(self.listing, ListingState::Unlisted { failures: n } if n >= MAX_UNLISTED_FAILURES)
    }

    /// Returns when the next poll is due; `None` while one is pending.
    fn poll_due_at(&self) -> Option<Timestamp> {
        if self.pending.is_some() {
            return None;
        }
        let trial_at = self.health.trial_at().unwrap_or(Timestamp::MAX);
        Some(self.poll_at.min(trial_at).max(self.poll_not_before))
    }

    fn finish_poll(
        &mut self,
        now: Timestamp,
        result: PollResult,
        slow_threshold_us: u64,
        jitter_ms: u64,
    ) {
        self.health.end_trial(now, result.call, slow_threshold_us);
        self.health.record_call(now, result.call, slow_threshold_us);
        let wait_ms = match result.status {
            Some(_) => POLL_INTERVAL_MS - jitter_ms,
            None => FAILED_POLL_RETRY_MS,
        };
        let next = now + Duration::from_millis(wait_ms);
        match (&mut self.listing, result.status) {
            (ListingState::Unlisted { failures }, None) => {
                *failures += 1;
                self.poll_at = self.poll_at.min(next);
            }
            (ListingState::Unlisted { failures }, Some(_)) => {
                *failures = 0;
                self.poll_at = self.poll_at.min(next);
            }
            // An ejected agent that was reached before is next polled by its trial.
            (_, None) if self.status.is_some() && self.health.is_ejected() => {}
            _ => self.poll_at = self.poll_at.min(next),
        }
        if result.status.is_some() {
            self.status = result.status;
        }
    }
}
