//! The bounded priority queue in front of one engine.
//!
//! Each priority level is worth a fixed head start, so an urgent job overtakes a patient one, but
//! a patient one that has waited long enough is no longer overtaken. Long jobs leave some places of
//! the batch to others, and only a few prompts are given to the engine at once. A job whose prefix is just being computed by a job of at
//! least its priority waits for it instead of computing it again.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use dogwoodway_types::{AttemptId, NotRunReason, PieceHash, Priority, Timestamp};

/// Head start of each priority level.
pub const PRIORITY_HEAD_START: Duration = Duration::from_secs(1);

/// Time on the engine from which on a job counts as long.
pub const LONG_JOB_THRESHOLD: Duration = Duration::from_secs(1);

/// Prompts of one priority or above that are given to the engine at once. It computes them one
/// after the other; those beyond would only take places in the batch.
pub const MAX_CONCURRENT_PREFILLS: usize = 2;

/// Every how many-th place of the batch is kept from long jobs.
const PLACES_PER_RESERVED: usize = 4;

/// Soonest and latest time after which a refused caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Jobs that run together.
    pub max_running: usize,
    /// Jobs that wait.
    pub max_waiting: usize,
}

/// An attempt as the queue sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The attempt.
    pub id: AttemptId,
    /// Its priority.
    pub priority: Priority,
    /// When its answer is of no use any more.
    pub deadline: Timestamp,
    /// Pieces of its prompt.
    pub pieces: Vec<PieceHash>,
    /// Predicted time to compute its prompt, during which the engine does little else.
    pub prefill: Duration,
    /// Predicted time to generate its answer, during which it takes one place of the batch.
    pub decode: Duration,
}

impl Job {
    fn is_long(&self) -> bool {
        self.prefill + self.decode >= LONG_JOB_THRESHOLD
    }
}

/// What becomes of an offered job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It waits, or can be taken at once by [`WorkQueue::next`].
    Queued,
    /// It is not taken.
    Refused(Refusal),
}

/// Why a job is not taken, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRunReason,
    /// When a retry makes sense.
    pub retry_at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    due: Timestamp,
    seq: u64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    is_computing: bool,
}

/// The jobs in front of and on one engine.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    limits: QueueLimits,
    waiting: BTreeMap<Rank, Job>,
    running: HashMap<AttemptId, Running>,
    computing: HashMap<PieceHash, AttemptId>,
    next_seq: u64,
    progress_from: Timestamp,
}

impl WorkQueue {
    /// Builds an empty queue.
    pub fn new(limits: QueueLimits) -> WorkQueue {
        WorkQueue {
            limits,
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            computing: HashMap::new(),
            next_seq: 0,
            progress_from: Timestamp::default(),
        }
    }

    /// Changes the limits; jobs that are in stay in.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Offers a job; also returns the waiting jobs that are shed for it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dogwoodway_routing::queue::{Job, OfferOutcome, QueueLimits, WorkQueue};
    /// use dogwoodway_types::{AttemptId, Priority, Timestamp};
    ///
    /// let mut queue = WorkQueue::new(QueueLimits { max_running: 1, max_waiting: 9 });
    /// let job = |id, priority| Job {
    ///     id: AttemptId(id),
    ///     priority: Priority(priority),
    ///     deadline: Timestamp::from_millis(60_000),
    ///     pieces: Vec::new(),
    ///     prefill: Duration::from_millis(10),
    ///     decode: Duration::from_millis(10),
    /// };
    /// let now = Timestamp(0);
    /// assert_eq!(queue.offer(now, job(1, 2)).0, OfferOutcome::Queued);
    /// assert_eq!(queue.offer(now, job(2, 9)).0, OfferOutcome::Queued);
    /// assert_eq!(queue.dequeue(now, |_| true), Some(AttemptId(2)));
    /// assert_eq!(queue.dequeue(now, |_| true), None);
    /// ```
    pub fn offer(&mut self, now: Timestamp, job: Job) -> (OfferOutcome, Vec<(AttemptId, Refusal)>) {
        let wait = self.predicted_wait(now, job.priority);
        let done_at = now + wait + job.prefill + job.decode;
        if done_at > job.deadline {
            let refusal = refusal(now, NotRunReason::DeadlinePassed, done_at - job.deadline);
            return (OfferOutcome::Refused(refusal), Vec::new());
        }
        let mut shed = Vec::new();
        if self.waiting.len() >= self.limits.max_waiting {
            let refusal = refusal(now, NotRunReason::Overloaded, wait);
            match self.shed_below(job.priority) {
                Some(id) => shed.push((id, refusal)),
                None => return (OfferOutcome::Refused(refusal), shed),
            }
        }
        let rank = Rank { due: due(now, job.priority), seq: self.next_seq };
        self.next_seq += 1;
        self.waiting.insert(rank, job);
        (OfferOutcome::Queued, shed)
    }

    /// Takes the next job to hand to the engine, if any may run; `is_held` tells which pieces the
    /// engine holds.
    pub fn dequeue<F>(&mut self, now: Timestamp, is_held: F) -> Option<AttemptId>
    where
        F: Fn(&PieceHash) -> bool,
    {
        if self.running.len() >= self.limits.max_running {
            return None;
        }
        let rank = *self.waiting.iter().find(|(_, job)| self.may_run(job))?.0;
        let job = self.waiting.remove(&rank)?;
        if !self.is_computing() {
            self.progress_from = now;
        }
        for piece in job.pieces.iter().filter(|piece| !is_held(piece)) {
            self.computing.entry(*piece).or_insert(job.id);
        }
        let id = job.id;
        self.running.insert(id, Running { job, is_computing: true });
        Some(id)
    }

    /// Notes that the prompt of a running job was computed.
    pub fn prefill_done(&mut self, now: Timestamp, id: AttemptId) {
        let Some(running) = self.running.get_mut(&id) else { return };
        if std::mem::replace(&mut running.is_computing, false) {
            self.progress_from = now;
            self.computing.retain(|_, owner| *owner != id);
        }
    }

    /// Forgets a job, whether it runs or waits.
    pub fn remove(&mut self, now: Timestamp, id: AttemptId) {
        self.prefill_done(now, id);
        if self.running.remove(&id).is_none() {
            self.waiting.retain(|_, job| job.id != id);
        }
    }

    /// Removes the waiting jobs whose answers can no longer be in time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(AttemptId, Refusal)> {
        let is_late = |job: &Job| now + job.prefill + job.decode > job.deadline;
        let late = self.waiting.extract_if(.., |_, job| is_late(job));
        late.map(|(_, job)| (job.id, refusal(now, NotRunReason::DeadlinePassed, job.prefill)))
            .collect()
    }

    /// Predicts how long a job that is offered now would wait for its computation to begin.
    pub fn predicted_wait(&self, now: Timestamp, priority: Priority) -> Duration {
        let due = due(now, priority);
        let ahead: Vec<_> =
            self.waiting.iter().take_while(|(rank, _)| rank.due <= due).map(|(_, j)| j).collect();
        let running = self.running.values();
        let computing = running.filter(|r| r.is_computing && r.job.priority >= priority);
        let running_prefill: Duration = computing.map(|r| r.job.prefill).sum();
        let running_prefill = running_prefill.saturating_sub(now - self.progress_from);
        let prefill = running_prefill + ahead.iter().map(|job| job.prefill).sum::<Duration>();
        let places = self.limits.max_running.max(1);
        let before = ahead.len() + self.running.len();
        if before < places {
            return prefill;
        }
        let running = self.running.values().map(|r| r.job.decode);
        let decode: Duration = running.chain(ahead.iter().map(|job| job.decode)).sum();
        let mean = decode / u32::try_from(before).unwrap_or(u32::MAX);
        let turns = u32::try_from(before - places + 1).unwrap_or(u32::MAX);
        prefill.max(mean * turns / u32::try_from(places).unwrap_or(u32::MAX))
    }

    /// Returns the numbers of jobs that run and wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Tells whether a job was handed to the engine.
    pub fn is_running(&self, id: AttemptId) -> bool {
        self.running.contains_key(&id)
    }

    /// Tells whether no job runs or waits.
    pub fn is_empty(&self) -> bool {
        self.counts() == (0, 0)
    }

    fn is_computing(&self) -> bool {
        self.running.values().any(|running| running.is_computing)
    }

    fn may_run(&self, job: &Job) -> bool {
        let places = self.limits.max_running;
        let computing = self.running.values().filter(|r| r.is_computing);
        if computing.filter(|r| r.job.priority >= job.priority).count() >= MAX_CONCURRENT_PREFILLS {
            return false;
        }
        if job.is_long() {
            let long = self.running.values().filter(|r| r.job.is_long()).count();
            if long + places / PLACES_PER_RESERVED >= places.max(1) {
                return false;
            }
        }
        let owner = job.pieces.iter().find_map(|piece| self.computing.get(piece));
        let owner = owner.and_then(|id| self.running.get(id));
        owner.is_none_or(|owner| owner.job.priority < job.priority)
    }

    /// Removes the youngest waiting job of the lowest priority, if that is below `priority`.
    fn shed_below(&mut self, priority: Priority) -> Option<AttemptId> {
        let lowest = self.waiting.values().map(|job| job.priority).min()?;
        if lowest >= priority {
            return None;
        }
        let rank = *self.waiting.iter().rev().find(|(_, job)| job.priority == lowest)?.0;
        self.waiting.remove(&rank).map(|job| job.id)
    }
}

fn due(now: Timestamp, priority: Priority) -> Timestamp {
    now + PRIORITY_HEAD_START * u32::from(u8::MAX - priority.0)
}

fn refusal(now: Timestamp, reason: NotRunReason, after: Duration) -> Refusal {
    Refusal { reason, retry_at: now + after.clamp(RETRY_AFTER.0, RETRY_AFTER.1) }
}
