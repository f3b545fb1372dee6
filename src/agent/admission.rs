//! Admits attempts to the engine, by a bounded queue, predicted run times and an index of the
//! engine's prefix cache.

use std::time::Duration;

use dogwoodway_engine::{CacheEventKind, CacheEvents, EngineStatus};
use dogwoodway_peer::StartRequest;
use dogwoodway_routing::{
    prefill_rate::PrefillRate,
    prefix_index::{IndexEvent, PrefixIndex},
    queue::{Job, OfferOutcome, QueueLimits, Refusal, WorkQueue},
};
use dogwoodway_types::{
    AttemptId, ChatWork, EngineIncarnation, FrameKind, PieceHash, Priority, Timestamp,
};

/// Maximum number of queued attempts per slot of the engine's batch.
const MAX_WAITING_PER_SLOT: usize = 8;

/// Assumed slots of the batch before the engine has reported them.
const ASSUMED_BATCH_SLOTS: usize = 8;

/// Assumed duration of a decode step before one was measured.
const ASSUMED_DECODE_STEP: Duration = Duration::from_millis(5);

/// The latest decode step counts as one part in this many in the moving average.
const DECODE_STEP_SMOOTHING: u32 = 16;

/// An agent's view of its engine's load and cache, and the queue in front of the engine.
#[derive(Debug)]
pub(crate) struct Admission {
    queue: WorkQueue,
    index: PrefixIndex,
    prefill_rate: PrefillRate,
    /// Moving average of the time between two tokens of an attempt.
    decode_step: Duration,
    /// Prompts of the queued and running attempts.
    prompts: std::collections::HashMap<AttemptId, Prompt>,
}

#[derive(Debug)]
struct Prompt {
    pieces: Vec<PieceHash>,
    tokens: u32,
    /// Tokens to be prefilled; predicted until the engine reports how many it has cached.
    uncached_tokens: u32,
    /// Time of the latest token, `None` before the first.
    last_token_at: Option<Timestamp>,
}

impl Admission {
    /// Creates the admission control for an engine whose status has not been read yet.
    pub(crate) fn new() -> Admission {
        Admission {
            queue: WorkQueue::new(queue_limits(ASSUMED_BATCH_SLOTS)),
            index: PrefixIndex::new(0),
            prefill_rate: PrefillRate::default(),
            decode_step: ASSUMED_DECODE_STEP,
            prompts: std::collections::HashMap::new(),
        }
    }

    /// Adopts the limits and the incarnation that the engine has reported.
    pub(crate) fn update_engine(&mut self, status: &EngineStatus) {
        self.queue.set_limits(queue_limits(status.max_batch as usize));
        self.index.set_engine(status.incarnation, status.cache_pieces as usize);
    }

    /// Updates the index with the engine's cache events.
    pub(crate) fn apply_cache_events(&mut self, events: &CacheEvents) {
        for event in &events.events {
            let kind = match event.kind {
                CacheEventKind::Stored(piece) => IndexEvent::Stored(piece),
                CacheEventKind::Evicted(piece) => IndexEvent::Evicted(piece),
            };
            self.index.apply(events.engine, event.seq, kind);
        }
    }

    /// Returns how many pieces from the start of a prompt the engine has cached or is computing.
    pub(crate) fn matched_pieces(&self, engine: EngineIncarnation, pieces: &[PieceHash]) -> u32 {
        self.index.matched(engine, pieces)
    }

    /// Predicts how long a request would wait for its prefill if it were queued now.
    pub(crate) fn predicted_wait(&self, now: Timestamp, priority: Priority) -> Duration {
        self.queue.predicted_wait(now, priority)
    }

    /// Returns the measured prefill time per prompt token, in nanoseconds.
    pub(crate) fn prefill_ns(&self) -> u32 {
        self.prefill_rate.ns_per_token()
    }

    /// Returns the number of running and queued attempts.
    pub(crate) fn load(&self) -> u32 {
        let (running, waiting) = self.queue.counts();
        u32::try_from(running + waiting).unwrap_or(u32::MAX)
    }

    /// Offers an attempt to the queue; also returns the queued attempts that were shed to make room
    /// for it.
    pub(crate) fn offer(
        &mut self,
        now: Timestamp,
        req: &StartRequest,
        chat: &ChatWork,
    ) -> (OfferOutcome, Vec<(AttemptId, Refusal)>) {
        let pieces = chat.prefix.hashes.clone();
        let matched = req.engine.map_or(0, |engine| self.index.matched(engine, &pieces));
        let tokens = chat.prefix.total_tokens();
        let uncached_tokens = tokens - chat.prefix.prefix_tokens(matched as usize);
        let max_new_tokens = chat
            .max_tokens
            .saturating_sub(u32::try_from(chat.resume_after.len()).unwrap_or(u32::MAX));
        let job = Job {
            id: req.attempt,
            priority: req.priority,
            deadline: req.deadline,
            pieces: pieces.clone(),
            prefill: Duration::from_nanos(
                u64::from(uncached_tokens) * u64::from(self.prefill_ns()),
            ),
            decode: self.decode_step * max_new_tokens,
        };
        let (outcome, shed) = self.queue.offer(now, job);
        if outcome == OfferOutcome::Queued {
            let prompt = Prompt { pieces, tokens, uncached_tokens, last_token_at: None };
            self.prompts.insert(req.attempt, prompt);
        }
        for (id, _) in &shed {
            self.prompts.remove(id);
        }
        (outcome, shed)
    }

    /// Removes and returns the next attempt to pass to the engine, if any may start now.
    pub(crate) fn dequeue(
        &mut self,
        now: Timestamp,
        engine: EngineIncarnation,
    ) -> Option<AttemptId> {
        let id = self.queue.dequeue(now, |piece| self.index.contains(piece))?;
        self.prefill_rate.begin(now);
        if let Some(prompt) = self.prompts.get(&id) {
            self.index.insert(engine, &prompt.pieces);
        }
        Some(id)
    }

    /// Removes and returns the queued attempts that can no longer meet their deadlines.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<(AttemptId, Refusal)> {
        let expired = self.queue.expire(now);
        for (id, _) in &expired {
            self.prompts.remove(id);
        }
        expired
    }

    /// Measures prefill and decode times by the frames of a running attempt.
    pub(crate) fn record_frame(&mut self, now: Timestamp, id: AttemptId, kind: &FrameKind) {
        let Some(prompt) = self.prompts.get_mut(&id) else { return };
        match kind {
            FrameKind::Started { cached_tokens, .. } => {
                prompt.uncached_tokens = prompt.tokens.saturating_sub(*cached_tokens);
            }
            FrameKind::Token { .. } => match prompt.last_token_at.replace(now) {
                Some(last) => {
                    let step = now - last;
                    self.decode_step = (self.decode_step * (DECODE_STEP_SMOOTHING - 1) + step)
                        / DECODE_STEP_SMOOTHING;
                }
                None => {
                    self.prefill_rate.end(now, prompt.uncached_tokens);
                    self.queue.prefill_done(now, id);
                }
            },
            _ => {}
        }
    }

    /// Removes an attempt that has ended, whether it was running or queued.
    pub(crate) fn remove(&mut self, now: Timestamp, id: AttemptId) {
        let was_running = self.queue.is_running(id);
        self.queue.remove(now, id);
        if let Some(prompt) = self.prompts.remove(&id)
            && was_running
            && prompt.last_token_at.is_none()
        {
            self.prefill_rate.end(now, 0);
        }
    }
}

fn queue_limits(batch_slots: usize) -> QueueLimits {
    QueueLimits { max_running: batch_slots, max_waiting: batch_slots * MAX_WAITING_PER_SLOT }
}
