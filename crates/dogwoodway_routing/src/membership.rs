//! The agents that an entry knows: which may get work, and which are to be asked next.
//!
//! Three sources are joined. The list of VMs lags; it adds and removes addresses and may say that
//! a VM leaves. An agent's own description is authoritative about itself. The results of calls show
//! which agents are dead or slow. All times are those of the entry's clock.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::{AgentIncarnation, Timestamp};
use slotmap::{SlotMap, new_key_type};

use crate::outlier::{AgentHealth, CallResult, slow_threshold_us};

/// Time between two regular questions to the same agent, before jitter.
pub const POLL_INTERVAL_MS: u64 = 30_000;

/// Time after which an agent that was never reached is asked again.
pub const UNREACHED_POLL_INTERVAL_MS: u64 = 1_000;

/// Least time between two questions to the same agent.
pub const MIN_POLL_GAP_MS: u64 = 250;

/// Time after which an unanswered poll is given up.
pub const POLL_TIMEOUT_MS: u64 = 3_000;

/// Regular questions that one call of [`Membership::due_polls`] returns at most. First questions and
/// those after news of a change are not limited.
pub const MAX_PACED_POLLS: usize = 2;

/// Time for which a VM still counts as leaving after the list calls it live again; a list that is
/// served from replicas may go back and forth.
pub const LISTED_LEAVING_HOLD_MS: u64 = 30_000;

/// Failed questions in a row after which a VM that the list no longer names is forgotten.
pub const MAX_UNLISTED_FAILURES: u32 = 2;

/// Largest part of the candidates for a request that ejections may take away, in percent.
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
    /// Whether the VM will be stopped soon.
    pub leaving: bool,
}

/// What an agent says of its own life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// The agent's incarnation.
    pub incarnation: AgentIncarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A poll that is to be put to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The agent.
    pub key: MemberKey,
    /// Identifies the poll; the answer to an older one is ignored.
    pub id: u64,
}

/// Answer to a [`Poll`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollResult {
    /// How the call ended.
    pub call: CallResult,
    /// What the agent said, `None` if there was no reply.
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
    leaving_until: Timestamp,
    status: Option<AgentStatus>,
    health: AgentHealth,
    poll_at: Timestamp,
    poll_not_before: Timestamp,
    paced: bool,
    pending: Option<PendingPoll>,
}

/// The agents that an entry knows.
///
/// ```
/// use dogwoodway_routing::membership::{ListedVm, Membership};
/// use dogwoodway_types::Timestamp;
///
/// let mut members = Membership::new(7);
/// let address = "10.0.0.1:7100".parse().unwrap();
/// members.update_vm_list(Timestamp(1), &[ListedVm { address, leaving: false }]);
/// let questions = members.due_polls(Timestamp(1));
/// assert_eq!(members.address(questions[0].key), Some(address));
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
    /// Builds a membership without agents; `seed` spreads the questions of different entries.
    pub fn new(seed: u64) -> Membership {
        Membership {
            members: SlotMap::with_key(),
            by_address: HashMap::new(),
            slow_threshold_us: u64::MAX,
            next_poll_id: 0,
            seed,
        }
    }

    /// Takes in the list of VMs.
    ///
    /// An agent that is no longer listed is asked at once, and kept for as long as it answers. If it
    /// was leaving, it stays so.
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

    /// Takes in the result of a call that carried work or asked for a prediction.
    pub fn record_call(&mut self, now: Timestamp, key: MemberKey, result: CallResult) {
        let slow_threshold_us = self.slow_threshold_us;
        if let Some(member) = self.members.get_mut(key) {
            member.health.record_call(now, result, slow_threshold_us);
        }
    }

    /// Takes in an agent's refusal of all new work.
    pub fn mark_leaving(&mut self, key: MemberKey, incarnation: AgentIncarnation) {
        if let Some(member) = self.members.get_mut(key) {
            member.status = Some(AgentStatus { incarnation, leaving: true });
        }
    }

    /// Asks an agent again as soon as the least gap allows, after news that it has changed.
    pub fn poll_soon(&mut self, now: Timestamp, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.poll_at = member.poll_at.min(now);
            member.paced = false;
        }
    }

    /// Asks an agent again in turn with the regular questions.
    pub fn poll_in_turn(&mut self, now: Timestamp, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.poll_at = member.poll_at.min(now);
        }
    }

    /// Takes in the result of a poll; the result of an older one has no effect.
    ///
    /// Returns whether the agent is still known.
    pub fn record_poll_result(&mut self, now: Timestamp, poll: Poll, result: PollResult) -> bool {
        let Some(member) = self.members.get_mut(poll.key) else { return false };
        if member.pending.is_none_or(|pending| pending.id != poll.id) {
            return true;
        }
        member.pending = None;
        let jitter_ms = xxhash_rust::xxh3::xxh3_64_with_seed(&poll.id.to_le_bytes(), self.seed)
            % (POLL_INTERVAL_MS / 4);
        member.finish_poll(now, result, self.slow_threshold_us, jitter_ms);
        if member.should_forget() {
            self.by_address.remove(&member.address);
            self.members.remove(poll.key);
            return false;
        }
        true
    }

    /// Returns the questions that are to be put now, and notes that they are.
    ///
    /// To be called a few times a second: it also gives up unanswered questions and finds the
    /// latency above which agents are slow.
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

    /// Returns the address of an agent.
    pub fn address(&self, key: MemberKey) -> Option<SocketAddr> {
        self.members.get(key).map(|member| member.address)
    }

    /// Returns all agents.
    pub fn keys(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.members.keys()
    }

    /// Returns the agents whose VM the platform lists, or has lately listed, as leaving.
    pub fn listed_leaving(&self, now: Timestamp) -> impl Iterator<Item = MemberKey> + '_ {
        let leaving = self.members.iter().filter(move |(_, m)| now < m.leaving_until);
        leaving.map(|(key, _)| key)
    }

    /// Tells whether an agent is ejected or on trial.
    pub fn is_ejected(&self, key: MemberKey) -> bool {
        self.members.get(key).is_some_and(|member| member.health.is_ejected())
    }

    /// Returns those of the candidates that may get new work, in the same order.
    ///
    /// Leaving agents never do. Ejected ones do not either, unless that would take away more than
    /// [`MAX_EJECTED_PERCENT`] of the others: then those that replied last stay. If all are ejected,
    /// all stay, since the fault is likelier to be the entry's own.
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
        let out: HashSet<_> = ejected.iter().skip(kept).map(|(key, _)| *key).collect();
        not_leaving.iter().map(|(key, _)| *key).filter(|key| !out.contains(key)).collect()
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
            .filter_map(|(key, m)| m.pending.filter(|o| o.timeout_at <= now).map(|o| (key, o.id)))
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
            // Off the list, no later status can take the leave back.
            self.leaving_until = Timestamp::MAX;
        }
    }

    fn is_leaving(&self, now: Timestamp) -> bool {
        now < self.leaving_until || self.status.is_some_and(|status| status.leaving)
    }

    fn should_forget(&self) -> bool {
        matches!(self.listing, ListingState::Unlisted { failures } if failures >= MAX_UNLISTED_FAILURES)
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
            None => UNREACHED_POLL_INTERVAL_MS,
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
            // The trial after an ejection asks again an agent that was reached before.
            (_, None) if self.status.is_some() && self.health.is_ejected() => {}
            _ => self.poll_at = self.poll_at.min(next),
        }
        if result.status.is_some() {
            self.status = result.status;
        }
    }
}
