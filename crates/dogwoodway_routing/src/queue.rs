//! Bounded priority queue in front of one engine, which also controls admission to its batch.
//!
//! Jobs are ordered by effective arrival time: each priority level is worth a fixed head start.
//! An urgent job overtakes less urgent ones, but none of them starves, since a job that has waited
//! long enough is no longer overtaken.
//!
//! Long jobs may not fill the whole batch, and only a few prompts are prefilled at once. A job
//! whose prefix is already being computed by a job of at least its priority waits for that result
//! instead of computing the prefix a second time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use dogwoodway_types::{AttemptId, NotRunReason, PieceHash, Priority, Timestamp};

/// Head start in the queue per priority level.
pub const PRIORITY_HEAD_START: Duration = Duration::from_secs(1);

/// Predicted time on the engine, prefill and decode, from which on a job is considered long.
pub const LONG_JOB_THRESHOLD: Duration = Duration::from_secs(1);

/// A job is not started while this many prompts of its priority or above are being prefilled. The
/// engine computes them one after the other, so more of them would only occupy slots of the batch.
pub const MAX_CONCURRENT_PREFILLS: usize = 2;

/// Long jobs must leave one in this many slots of the batch free.
const SLOTS_PER_RESERVED: usize = 4;

/// Shortest and longest delay after which a refused caller is told to retry.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(10));

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Jobs that run at the same time: the size of the engine's batch.
    pub max_running: usize,
    /// Jobs that wait for a slot of the batch.
    pub max_waiting: usize,
}

/// An attempt with the predictions that the queue schedules it by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Scheduling priority.
    pub priority: Priority,
    /// Time by which the whole answer must be generated.
    pub deadline: Timestamp,
    /// Piece hashes of the prompt, from its start.
    pub pieces: Vec<PieceHash>,
    /// Predicted prefill time, during which the engine does little else.
    pub prefill: Duration,
    /// Predicted decode time, during which the job occupies one slot of the batch.
    pub decode: Duration,
}

impl Job {
    fn is_long(&self) -> bool {
        self.prefill + self.decode >= LONG_JOB_THRESHOLD
    }

    fn is_too_late(&self, now: Timestamp) -> bool {
        now + self.prefill + self.decode > self.deadline
    }
}

/// Result of [`WorkQueue::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The job waits in the queue; [`WorkQueue::dequeue`] may return it at once.
    Queued,
    /// The job was not queued.
    Refused(Refusal),
}

/// Why a job was refused or shed, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: NotRunReason,
    /// Earliest time at which a retry may succeed.
    pub retry_at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    effective_arrival: Timestamp,
    seq: u64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    is_prefilling: bool,
}

/// Waiting and running jobs of one engine.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    limits: QueueLimits,
    waiting: BTreeMap<QueuePosition, Job>,
    running: HashMap<AttemptId, Running>,
    /// Pieces that are being computed, with the job that computes each.
    prefilling: HashMap<PieceHash, AttemptId>,
    next_seq: u64,
    /// When the engine began the prefill that it is working on.
    prefill_progress_from: Timestamp,
}

impl WorkQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> WorkQueue {
        WorkQueue {
            limits,
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            prefilling: HashMap::new(),
            next_seq: 0,
            prefill_progress_from: Timestamp::default(),
        }
    }

    /// Changes the limits; jobs beyond the new limits are kept.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Offers a job to the queue; also returns the waiting jobs that were shed to make room for it.
    ///
    /// The job is refused if it is predicted to miss its deadline, or if the queue is full and
    /// holds no job of a lower priority.
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
            match self.shed_lower_priority(job.priority) {
                Some(id) => shed.push((id, refusal)),
                None => return (OfferOutcome::Refused(refusal), shed),
            }
        }
        let position = QueuePosition {
            effective_arrival: effective_arrival(now, job.priority),
            seq: self.next_seq,
        };
        self.next_seq += 1;
        self.waiting.insert(position, job);
        (OfferOutcome::Queued, shed)
    }

    /// Removes and returns the next job to pass to the engine, if any may start now. Jobs that can no
    /// longer meet their deadlines are left to [`WorkQueue::expire`].
    ///
    /// `is_cached` returns whether the engine has a piece in its cache.
    pub fn dequeue<F>(&mut self, now: Timestamp, is_cached: F) -> Option<AttemptId>
    where
        F: Fn(&PieceHash) -> bool,
    {
        if self.running.len() >= self.limits.max_running {
            return None;
        }
        let may_run = |job: &Job| !job.is_too_late(now) && self.may_run(job);
        let position = *self.waiting.iter().find(|(_, job)| may_run(job))?.0;
        let job = self.waiting.remove(&position)?;
        if !self.is_prefilling() {
            self.prefill_progress_from = now;
        }
        for piece in job.pieces.iter().filter(|piece| !is_cached(piece)) {
            self.prefilling.entry(*piece).or_insert(job.id);
        }
        let id = job.id;
        self.running.insert(id, Running { job, is_prefilling: true });
        Some(id)
    }

    /// Marks the prefill of a running job as finished.
    pub fn prefill_done(&mut self, now: Timestamp, id: AttemptId) {
        let Some(running) = self.running.get_mut(&id) else { return };
        if std::mem::replace(&mut running.is_prefilling, false) {
            self.prefill_progress_from = now;
            self.prefilling.retain(|_, owner| *owner != id);
        }
    }

    /// Removes a running or waiting job.
    pub fn remove(&mut self, now: Timestamp, id: AttemptId) {
        self.prefill_done(now, id);
        if self.running.remove(&id).is_none() {
            self.waiting.retain(|_, job| job.id != id);
        }
    }

    /// Removes and returns the waiting jobs that can no longer meet their deadlines.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(AttemptId, Refusal)> {
        let expired = self.waiting.extract_if(.., |_, job| job.is_too_late(now));
        expired
            .map(|(_, job)| (job.id, refusal(now, NotRunReason::DeadlinePassed, job.prefill)))
            .collect()
    }

    /// Predicts how long a job of the given priority would wait for its prefill if offered now.
    pub fn predicted_wait(&self, now: Timestamp, priority: Priority) -> Duration {
        let effective_arrival = effective_arrival(now, priority);
        let ahead: Vec<_> = self
            .waiting
            .iter()
            .take_while(|(position, _)| position.effective_arrival <= effective_arrival)
            .map(|(_, j)| j)
            .collect();
        let running = self.running.values();
        let prefilling = running.filter(|r| r.is_prefilling && r.job.priority >= priority);
        let remaining_prefill: Duration = prefilling.map(|r| r.job.prefill).sum();
        let remaining_prefill = remaining_prefill.saturating_sub(now - self.prefill_progress_from);
        let prefill = remaining_prefill + ahead.iter().map(|job| job.prefill).sum::<Duration>();
        let slots = self.limits.max_running.max(1);
        let jobs_ahead = ahead.len() + self.running.len();
        if jobs_ahead < slots {
            return prefill;
        }
        let running = self.running.values().map(|r| r.job.decode);
        let decode: Duration = running.chain(ahead.iter().map(|job| job.decode)).sum();
        let mean = decode / u32::try_from(jobs_ahead).unwrap_or(u32::MAX);
        let completions_needed = u32::try_from(jobs_ahead - slots + 1).unwrap_or(u32::MAX);
        prefill.max(mean * completions_needed / u32::try_from(slots).unwrap_or(u32::MAX))
    }

    /// Returns the numbers of running and of waiting jobs.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Returns whether a job was passed to the engine and has not been removed.
    pub fn is_running(&self, id: AttemptId) -> bool {
        self.running.contains_key(&id)
    }

    /// Returns whether no job is running or waiting.
    pub fn is_empty(&self) -> bool {
        self.counts() == (0, 0)
    }

    fn is_prefilling(&self) -> bool {
        self.running.values().any(|running| running.is_prefilling)
    }

    fn may_run(&self, job: &Job) -> bool {
        let slots = self.limits.max_running;
        let prefilling = self.running.values().filter(|r| r.is_prefilling);
        if prefilling.filter(|r| r.job.priority >= job.priority).count() >= MAX_CONCURRENT_PREFILLS
        {
            return false;
        }
        if job.is_long() {
            let long = self.running.values().filter(|r| r.job.is_long()).count();
            if long + slots / SLOTS_PER_RESERVED >= slots.max(1) {
                return false;
            }
        }
        let owner = job.pieces.iter().find_map(|piece| self.prefilling.get(piece));
        let owner = owner.and_then(|id| self.running.get(id));
        owner.is_none_or(|owner| owner.job.priority < job.priority)
    }

    /// Removes the last job in the queue of the lowest waiting priority, if that is below
    /// `priority`.
    fn shed_lower_priority(&mut self, priority: Priority) -> Option<AttemptId> {
        let lowest = self.waiting.values().map(|job| job.priority).min()?;
        if lowest >= priority {
            return None;
        }
        let position = *self.waiting.iter().rev().find(|(_, job)| job.priority == lowest)?.0;
        self.waiting.remove(&position).map(|job| job.id)
    }
}

/// Returns the time that the queue is ordered by: the arrival, later by one head start for each
/// priority level below the highest.
fn effective_arrival(now: Timestamp, priority: Priority) -> Timestamp {
    now + PRIORITY_HEAD_START * u32::from(u8::MAX - priority.0)
}

fn refusal(now: Timestamp, reason: NotRunReason, after: Duration) -> Refusal {
    Refusal { reason, retry_at: now + after.clamp(RETRY_DELAY_RANGE.0, RETRY_DELAY_RANGE.1) }
}
