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

use crate::outlier::{CallResult, Health, slow_above_us};

/// Time between two regular questions to the same agent, before jitter.
pub const POLL_MS: u64 = 30_000;

/// Time after which an agent that was never reached is asked again.
pub const UNDESCRIBED_RETRY_MS: u64 = 1_000;

/// Least time between two questions to the same agent.
pub const MIN_GAP_MS: u64 = 250;

/// Time after which an unanswered question is given up.
pub const ANSWER_LIMIT_MS: u64 = 3_000;

/// Regular questions that one call of [`Membership::due`] returns at most. First questions and
/// those after news of a change are not limited.
pub const MAX_PACED: usize = 2;

/// Time for which a VM still counts as leaving after the list calls it live again; a list that is
/// served from replicas may go back and forth.
pub const LISTED_LEAVING_MS: u64 = 30_000;

/// Failed questions in a row after which a VM that the list no longer names is forgotten.
pub const MISSING_FAILURES: u32 = 2;

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
pub struct AgentWord {
    /// The agent's incarnation.
    pub incarnation: AgentIncarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A question that is to be put to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// The agent.
    pub key: MemberKey,
    /// Identifies the question; the answer to an older one is ignored.
    pub ticket: u64,
}

/// Answer to a [`Question`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuestionResult {
    /// How the call ended.
    pub call: CallResult,
    /// What the agent said, `None` if there was no reply.
    pub word: Option<AgentWord>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    Missing { failures: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Open {
    ticket: u64,
    answer_by: Timestamp,
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    listing: Listing,
    leaving_until: Timestamp,
    word: Option<AgentWord>,
    health: Health,
    ask_at: Timestamp,
    not_before: Timestamp,
    paced: bool,
    open: Option<Open>,
}

/// The agents that an entry knows.
///
/// ```
/// use dogwoodway_routing::membership::{ListedVm, Membership};
/// use dogwoodway_types::Timestamp;
///
/// let mut members = Membership::new(7);
/// let address = "10.0.0.1:7100".parse().unwrap();
/// members.see_list(Timestamp(1), &[ListedVm { address, leaving: false }]);
/// let questions = members.due(Timestamp(1));
/// assert_eq!(members.address(questions[0].key), Some(address));
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    members: SlotMap<MemberKey, Member>,
    by_address: HashMap<SocketAddr, MemberKey>,
    slow_above_us: u64,
    next_ticket: u64,
    seed: u64,
}

impl Membership {
    /// Builds a membership without agents; `seed` spreads the questions of different entries.
    pub fn new(seed: u64) -> Membership {
        Membership {
            members: SlotMap::with_key(),
            by_address: HashMap::new(),
            slow_above_us: u64::MAX,
            next_ticket: 0,
            seed,
        }
    }

    /// Takes in the list of VMs.
    ///
    /// An agent that is no longer listed is asked at once, and kept for as long as it answers. If it
    /// was leaving, it stays so.
    pub fn see_list(&mut self, now: Timestamp, list: &[ListedVm]) {
        for vm in list {
            let known = self.by_address.get(&vm.address).copied();
            let key = known.unwrap_or_else(|| self.add(now, vm.address));
            if let Some(member) = self.members.get_mut(key) {
                member.see_listed(now, vm.leaving);
            }
        }
        let listed: HashSet<_> = list.iter().map(|vm| vm.address).collect();
        for member in self.members.values_mut().filter(|m| !listed.contains(&m.address)) {
            member.see_missing(now);
        }
    }

    /// Takes in the result of a call that carried work or asked for a prediction.
    pub fn see_call(&mut self, now: Timestamp, key: MemberKey, result: CallResult) {
        let slow_above_us = self.slow_above_us;
        if let Some(member) = self.members.get_mut(key) {
            member.health.see_call(now, result, slow_above_us);
        }
    }

    /// Takes in an agent's refusal of all new work.
    pub fn see_leaving(&mut self, key: MemberKey, incarnation: AgentIncarnation) {
        if let Some(member) = self.members.get_mut(key) {
            member.word = Some(AgentWord { incarnation, leaving: true });
        }
    }

    /// Asks an agent again as soon as the least gap allows, after news that it has changed.
    pub fn ask_soon(&mut self, now: Timestamp, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.ask_at = member.ask_at.min(now);
            member.paced = false;
        }
    }

    /// Asks an agent again in turn with the regular questions.
    pub fn ask_in_turn(&mut self, now: Timestamp, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.ask_at = member.ask_at.min(now);
        }
    }

    /// Takes in the result of a question; the result of an older one has no effect.
    ///
    /// Returns whether the agent is still known.
    pub fn see_answer(
        &mut self,
        now: Timestamp,
        question: Question,
        result: QuestionResult,
    ) -> bool {
        let Some(member) = self.members.get_mut(question.key) else { return false };
        if member.open.is_none_or(|open| open.ticket != question.ticket) {
            return true;
        }
        member.open = None;
        let jitter_ms =
            xxhash_rust::xxh3::xxh3_64_with_seed(&question.ticket.to_le_bytes(), self.seed)
                % (POLL_MS / 4);
        member.answered(now, result, self.slow_above_us, jitter_ms);
        if member.is_gone() {
            self.by_address.remove(&member.address);
            self.members.remove(question.key);
            return false;
        }
        true
    }

    /// Returns the questions that are to be put now, and notes that they are.
    ///
    /// To be called a few times a second: it also gives up unanswered questions and finds the
    /// latency above which agents are slow.
    pub fn due(&mut self, now: Timestamp) -> Vec<Question> {
        self.give_up_unanswered(now);
        let means = self.members.values().filter_map(|member| member.health.mean_us());
        self.slow_above_us = slow_above_us(means.collect());
        let mut due: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.due_at().is_some_and(|at| at <= now))
            .map(|(key, member)| (member.paced, member.due_at(), key))
            .collect();
        due.sort_unstable();
        let unpaced = due.iter().filter(|(paced, ..)| !paced).count();
        due.truncate(unpaced + MAX_PACED);
        due.into_iter().map(|(_, _, key)| self.ask(now, key)).collect()
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
        let staying: Vec<_> = candidates
            .iter()
            .filter_map(|key| self.members.get(*key).map(|member| (*key, member)))
            .filter(|(_, member)| !member.is_leaving(now))
            .collect();
        let mut ejected: Vec<_> =
            staying.iter().filter(|(_, member)| member.health.is_ejected()).collect();
        ejected.sort_by_key(|(key, m)| (Reverse(m.health.replied_at()), *key));
        let max_ejected = match ejected.len() == staying.len() {
            true => 0,
            false => staying.len() * MAX_EJECTED_PERCENT / 100,
        };
        let kept = ejected.len().saturating_sub(max_ejected);
        let out: HashSet<_> = ejected.iter().skip(kept).map(|(key, _)| *key).collect();
        staying.iter().map(|(key, _)| *key).filter(|key| !out.contains(key)).collect()
    }

    fn add(&mut self, now: Timestamp, address: SocketAddr) -> MemberKey {
        let key = self.members.insert(Member {
            address,
            listing: Listing::Listed,
            leaving_until: Timestamp::default(),
            word: None,
            health: Health::default(),
            ask_at: now,
            not_before: now,
            paced: false,
            open: None,
        });
        self.by_address.insert(address, key);
        key
    }

    fn ask(&mut self, now: Timestamp, key: MemberKey) -> Question {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if let Some(member) = self.members.get_mut(key) {
            let answer_by = now + Duration::from_millis(ANSWER_LIMIT_MS);
            member.open = Some(Open { ticket, answer_by });
            member.not_before = now + Duration::from_millis(MIN_GAP_MS);
            member.ask_at = Timestamp::MAX;
            member.paced = true;
            member.health.begin_trial(now);
        }
        Question { key, ticket }
    }

    fn give_up_unanswered(&mut self, now: Timestamp) {
        let given_up: Vec<_> = self
            .members
            .iter()
            .filter_map(|(key, m)| m.open.filter(|o| o.answer_by <= now).map(|o| (key, o.ticket)))
            .collect();
        for (key, ticket) in given_up {
            let result = QuestionResult { call: CallResult::Failed, word: None };
            self.see_answer(now, Question { key, ticket }, result);
        }
    }
}

impl Member {
    fn see_listed(&mut self, now: Timestamp, leaving: bool) {
        self.listing = Listing::Listed;
        self.leaving_until = match leaving {
            true => Timestamp::MAX,
            false => self.leaving_until.min(now + Duration::from_millis(LISTED_LEAVING_MS)),
        };
    }

    fn see_missing(&mut self, now: Timestamp) {
        if matches!(self.listing, Listing::Missing { .. }) {
            return;
        }
        self.listing = Listing::Missing { failures: 0 };
        self.ask_at = self.ask_at.min(now);
        if now < self.leaving_until {
            // Off the list, no later word can take the leave back.
            self.leaving_until = Timestamp::MAX;
        }
    }

    fn is_leaving(&self, now: Timestamp) -> bool {
        now < self.leaving_until || self.word.is_some_and(|word| word.leaving)
    }

    fn is_gone(&self) -> bool {
        matches!(self.listing, Listing::Missing { failures } if failures >= MISSING_FAILURES)
    }

    /// Returns when the next question is due; `None` while one is open.
    fn due_at(&self) -> Option<Timestamp> {
        if self.open.is_some() {
            return None;
        }
        let trial_at = self.health.trial_at().unwrap_or(Timestamp::MAX);
        Some(self.ask_at.min(trial_at).max(self.not_before))
    }

    fn answered(&mut self, now: Timestamp, result: QuestionResult, slow_us: u64, jitter_ms: u64) {
        self.health.end_trial(now, result.call, slow_us);
        self.health.see_call(now, result.call, slow_us);
        let wait_ms = match result.word {
            Some(_) => POLL_MS - jitter_ms,
            None => UNDESCRIBED_RETRY_MS,
        };
        let next = now + Duration::from_millis(wait_ms);
        match (&mut self.listing, result.word) {
            (Listing::Missing { failures }, None) => {
                *failures += 1;
                self.ask_at = self.ask_at.min(next);
            }
            (Listing::Missing { failures }, Some(_)) => {
                *failures = 0;
                self.ask_at = self.ask_at.min(next);
            }
            // The trial after an ejection asks again an agent that was reached before.
            (_, None) if self.word.is_some() && self.health.is_ejected() => {}
            _ => self.ask_at = self.ask_at.min(next),
        }
        if result.word.is_some() {
            self.word = result.word;
        }
    }
}
