//! Compares the priority queue with a reference model and checks its scheduling guarantees.

use std::time::Duration;

use dogwoodway_routing::queue::{
    Job, LONG_JOB_THRESHOLD, MAX_CONCURRENT_PREFILLS, OfferOutcome, PRIORITY_HEAD_START,
    QueueLimits, WorkQueue,
};
use dogwoodway_types::{AttemptId, PieceHash, Priority, Timestamp};
use proptest::prelude::*;

const LIMITS: QueueLimits = QueueLimits { max_running: 4, max_waiting: 5 };

#[derive(Clone, Debug)]
enum Op {
    Offer { priority: u8, prefill_ms: u64, pieces: Vec<u128>, deadline_ms: u64 },
    Dequeue,
    PrefillDone(usize),
    Remove(usize),
    Expire,
    AdvanceClock(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let pieces = prop::collection::vec(0..4u128, 0..3);
    prop_oneof![
        6 => (0..4u8, 0..1_500u64, pieces, 500..9_000u64).prop_map(
            |(priority, prefill_ms, pieces, deadline_ms)| Op::Offer {
                priority, prefill_ms, pieces, deadline_ms
            }),
        5 => Just(Op::Dequeue),
        2 => (0..40usize).prop_map(Op::PrefillDone),
        3 => (0..40usize).prop_map(Op::Remove),
        1 => Just(Op::Expire),
        3 => (0..2_000u64).prop_map(Op::AdvanceClock),
    ]
}

#[derive(Clone)]
struct ModelJob {
    job: Job,
    offered_at: Timestamp,
    /// Whether a running job is being prefilled; `None` while it waits.
    is_prefilling: Option<bool>,
    /// Pieces that the job is the first to compute.
    computes: Vec<PieceHash>,
}

/// Keeps all jobs in one list in order of arrival and finds everything by search.
#[derive(Default)]
struct ReferenceModel {
    jobs: Vec<ModelJob>,
}

impl ReferenceModel {
    fn waiting_in_order(&self) -> Vec<ModelJob> {
        let mut waiting: Vec<_> =
            self.jobs.iter().filter(|m| m.is_prefilling.is_none()).cloned().collect();
        let score = |m: &ModelJob| {
            let levels = u64::from(u8::MAX - m.job.priority.0);
            m.offered_at.as_millis() + levels * PRIORITY_HEAD_START.as_millis() as u64
        };
        waiting.sort_by_key(score);
        waiting
    }

    fn dequeue(&mut self, now: Timestamp, cached: u128) -> Option<AttemptId> {
        let running: Vec<_> = self.jobs.iter().filter(|m| m.is_prefilling.is_some()).collect();
        if running.len() >= LIMITS.max_running {
            return None;
        }
        let is_long = |job: &Job| job.prefill + job.decode >= LONG_JOB_THRESHOLD;
        let long = running.iter().filter(|m| is_long(&m.job)).count();
        let may_run = |job: &Job| {
            let owner =
                job.pieces.iter().find_map(|p| running.iter().find(|m| m.computes.contains(p)));
            let waits_for_owner = owner.is_some_and(|m| m.job.priority >= job.priority);
            let prefilling = running.iter().filter(|m| m.is_prefilling == Some(true));
            let prefills_ahead = prefilling.filter(|m| m.job.priority >= job.priority).count();
            let has_slot = !is_long(job) || long < LIMITS.max_running * 3 / 4;
            !waits_for_owner && prefills_ahead < MAX_CONCURRENT_PREFILLS && has_slot
        };
        let in_time = |job: &Job| now + job.prefill + job.decode <= job.deadline;
        let mut waiting = self.waiting_in_order().into_iter();
        let id = waiting.find(|m| in_time(&m.job) && may_run(&m.job))?.job.id;
        let owned: Vec<_> = running.iter().flat_map(|m| m.computes.clone()).collect();
        let model_job = self.jobs.iter_mut().find(|m| m.job.id == id)?;
        let is_uncached = |p: &PieceHash| p.0 != cached && !owned.contains(p);
        model_job.computes = model_job.job.pieces.iter().copied().filter(is_uncached).collect();
        model_job.is_prefilling = Some(true);
        Some(id)
    }

    fn prefill_done(&mut self, id: AttemptId) {
        let running = self.jobs.iter_mut().find(|m| m.job.id == id && m.is_prefilling.is_some());
        if let Some(model_job) = running {
            model_job.is_prefilling = Some(false);
            model_job.computes.clear();
        }
    }

    fn shed_lower_priority(&mut self, priority: Priority) -> Option<AttemptId> {
        let waiting = self.waiting_in_order();
        let lowest = waiting.iter().map(|m| m.job.priority).min()?;
        let shed = waiting.iter().rev().find(|m| m.job.priority == lowest && lowest < priority)?;
        self.jobs.retain(|m| m.job.id != shed.job.id);
        Some(shed.job.id)
    }
}

proptest! {
    #[test]
    fn queue_agrees_with_reference_model(ops in prop::collection::vec(op(), 0..120)) {
        let mut queue = WorkQueue::new(LIMITS);
        let mut model = ReferenceModel::default();
        let mut now = Timestamp::from_millis(1_000);
        for (i, op) in ops.into_iter().enumerate() {
            match op {
                Op::Offer { priority, prefill_ms, pieces, deadline_ms } => {
                    let job = Job {
                        id: AttemptId(i as u128),
                        priority: Priority(priority),
                        deadline: now + Duration::from_millis(deadline_ms),
                        pieces: pieces.into_iter().map(PieceHash).collect(),
                        prefill: Duration::from_millis(prefill_ms),
                        decode: Duration::from_millis(100),
                    };
                    let wait = queue.predicted_wait(now, job.priority);
                    let in_time = now + wait + job.prefill + job.decode <= job.deadline;
                    let waiting = model.waiting_in_order().len();
                    let (offer, shed) = queue.offer(now, job.clone());
                    let is_full = waiting >= LIMITS.max_waiting;
                    let expected = match in_time && is_full {
                        true => model.shed_lower_priority(job.priority),
                        false => None,
                    };
                    prop_assert_eq!(shed.first().map(|(id, _)| *id), expected);
                    let is_queued = in_time && (!is_full || expected.is_some());
                    prop_assert_eq!(offer == OfferOutcome::Queued, is_queued);
                    if let OfferOutcome::Refused(refusal) = offer {
                        prop_assert!(refusal.retry_at > now);
                    }
                    if is_queued {
                        let computes = Vec::new();
                        model.jobs.push(ModelJob {
                            job,
                            offered_at: now,
                            is_prefilling: None,
                            computes,
                        });
                    }
                }
                Op::Dequeue => {
                    prop_assert_eq!(queue.dequeue(now, |p| p.0 == 0), model.dequeue(now, 0));
                }
                Op::PrefillDone(n) => {
                    let id = AttemptId(n as u128);
                    queue.prefill_done(now, id);
                    model.prefill_done(id);
                }
                Op::Remove(n) => {
                    let id = AttemptId(n as u128);
                    queue.remove(now, id);
                    model.jobs.retain(|m| m.job.id != id);
                }
                Op::Expire => {
                    let is_too_late = |m: &ModelJob| {
                        m.is_prefilling.is_none()
                            && now + m.job.prefill + m.job.decode > m.job.deadline
                    };
                    let mut expected: Vec<_> =
                        model.jobs.iter().filter(|m| is_too_late(m)).map(|m| m.job.id).collect();
                    let mut expired: Vec<_> =
                        queue.expire(now).into_iter().map(|(id, _)| id).collect();
                    expected.sort();
                    expired.sort();
                    prop_assert_eq!(expired, expected);
                    model.jobs.retain(|m| !is_too_late(m));
                }
                Op::AdvanceClock(ms) => now = now + Duration::from_millis(ms),
            }
            let running = model.jobs.iter().filter(|m| m.is_prefilling.is_some()).count();
            prop_assert_eq!(queue.counts(), (running, model.jobs.len() - running));
        }
    }
}

fn job(id: u128, priority: u8, prefill_ms: u64) -> Job {
    Job {
        id: AttemptId(id),
        priority: Priority(priority),
        deadline: Timestamp::MAX,
        pieces: Vec::new(),
        prefill: Duration::from_millis(prefill_ms),
        decode: Duration::from_millis(1),
    }
}

#[test]
fn low_priority_job_is_not_starved_by_a_stream_of_urgent_jobs() {
    let mut queue = WorkQueue::new(QueueLimits { max_running: 1, max_waiting: 100 });
    queue.offer(Timestamp(0), job(0, 2, 1_000));
    let served_at = (1..100).find(|i| {
        let now = Timestamp::from_millis(*i * 500);
        queue.offer(now, job(u128::from(*i), 9, 10));
        let id = queue.dequeue(now, |_| true).unwrap();
        queue.remove(now, id);
        id == AttemptId(0)
    });
    assert!(served_at.is_some_and(|i| i * 500 <= 7_500), "{served_at:?}");
}

#[test]
fn long_jobs_leave_slots_free_for_urgent_jobs() {
    let mut queue = WorkQueue::new(QueueLimits { max_running: 8, max_waiting: 100 });
    for id in 0..20 {
        queue.offer(Timestamp(0), job(id, 2, 1_000));
    }
    while let Some(id) = queue.dequeue(Timestamp(1), |_| true) {
        queue.prefill_done(Timestamp(1), id);
    }
    assert_eq!(queue.counts().0, 6);
    queue.offer(Timestamp(2), job(99, 9, 10));
    assert_eq!(queue.dequeue(Timestamp(2), |_| true), Some(AttemptId(99)));
}

#[test]
fn prefix_that_is_being_computed_is_not_computed_twice() {
    let mut queue = WorkQueue::new(LIMITS);
    let with_piece = |id, priority| Job { pieces: vec![PieceHash(1)], ..job(id, priority, 100) };
    queue.offer(Timestamp(0), with_piece(1, 5));
    queue.offer(Timestamp(0), with_piece(2, 5));
    queue.offer(Timestamp(0), with_piece(3, 9));
    assert_eq!(queue.dequeue(Timestamp(0), |_| false), Some(AttemptId(3)));
    assert_eq!(queue.dequeue(Timestamp(0), |_| false), None);
    queue.prefill_done(Timestamp(9), AttemptId(3));
    assert_eq!(queue.dequeue(Timestamp(9), |_| true), Some(AttemptId(1)));
    assert_eq!(queue.dequeue(Timestamp(9), |_| true), Some(AttemptId(2)));
}

// Guards against jobs that start after their deadline, as after a pause of the process.
#[test]
fn job_that_can_no_longer_meet_its_deadline_is_not_dequeued() {
    let mut queue = WorkQueue::new(LIMITS);
    let deadline = Timestamp::from_millis(200);
    queue.offer(Timestamp(0), Job { deadline, ..job(1, 9, 100) });
    queue.offer(Timestamp(0), job(2, 5, 100));
    let after_pause = Timestamp::from_millis(150);
    assert_eq!(queue.dequeue(after_pause, |_| true), Some(AttemptId(2)));
    assert_eq!(queue.dequeue(after_pause, |_| true), None);
    let expired: Vec<_> = queue.expire(after_pause).into_iter().map(|(id, _)| id).collect();
    assert_eq!(expired, [AttemptId(1)]);
}
