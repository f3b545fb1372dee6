//! Admission of attempts to the engine: queue, predictions and the index of cached pieces.

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

/// Attempts that wait at most, for each place in the engine's batch.
const WAITING_PER_PLACE: usize = 8;

/// Places in the batch before the engine has told them.
const ASSUMED_BATCH: usize = 8;

/// Time of one decoding step before one was measured.
const ASSUMED_DECODE: Duration = Duration::from_millis(5);

/// Weight of the latest decoding step in the mean, as a divisor.
const DECODE_SMOOTHING: u32 = 16;

/// What an agent knows of its engine's work and cache.
#[derive(Debug)]
pub(crate) struct Admission {
    queue: WorkQueue,
    index: PrefixIndex,
    rate: PrefillRate,
    decode: Duration,
    prompts: std::collections::HashMap<AttemptId, Prompt>,
}

#[derive(Debug)]
struct Prompt {
    pieces: Vec<PieceHash>,
    tokens: u32,
    uncached: u32,
    last_token: Option<Timestamp>,
}

impl Admission {
    /// Builds the admission to an engine that is not known yet.
    pub(crate) fn new() -> Admission {
        Admission {
            queue: WorkQueue::new(limits(ASSUMED_BATCH)),
            index: PrefixIndex::new(0),
            rate: PrefillRate::default(),
            decode: ASSUMED_DECODE,
            prompts: std::collections::HashMap::new(),
        }
    }

    /// Notes what the engine says of itself.
    pub(crate) fn see_engine(&mut self, status: &EngineStatus) {
        self.queue.set_limits(limits(status.max_batch as usize));
        self.index.set_engine(status.incarnation, status.cache_pieces as usize);
    }

    /// Applies cache events.
    pub(crate) fn see_events(&mut self, events: &CacheEvents) {
        for event in &events.events {
            let kind = match event.kind {
                CacheEventKind::Stored(piece) => IndexEvent::Stored(piece),
                CacheEventKind::Evicted(piece) => IndexEvent::Evicted(piece),
            };
            self.index.apply(events.engine, event.seq, kind);
        }
    }

    /// Returns how many pieces of a prompt the engine holds or is computing.
    pub(crate) fn matched(&self, engine: EngineIncarnation, pieces: &[PieceHash]) -> u32 {
        self.index.matched(engine, pieces)
    }

    /// Predicts how long a request would wait.
    pub(crate) fn wait(&self, now: Timestamp, priority: Priority) -> Duration {
        self.queue.predicted_wait(now, priority)
    }

    /// Returns the measured nanoseconds to compute one prompt token.
    pub(crate) fn prefill_ns(&self) -> u32 {
        self.rate.ns_per_token()
    }

    /// Returns the number of attempts that run or wait.
    pub(crate) fn load(&self) -> u32 {
        let (running, waiting) = self.queue.counts();
        u32::try_from(running + waiting).unwrap_or(u32::MAX)
    }

    /// Offers an attempt to the queue; also returns the attempts that are shed for it.
    pub(crate) fn offer(
        &mut self,
        now: Timestamp,
        req: &StartRequest,
        chat: &ChatWork,
    ) -> (OfferOutcome, Vec<(AttemptId, Refusal)>) {
        let pieces = chat.prefix.hashes.clone();
        let matched = req.engine.map_or(0, |engine| self.index.matched(engine, &pieces));
        let tokens = chat.prefix.total_tokens();
        let uncached = tokens - chat.prefix.prefix_tokens(matched as usize);
        let answer = chat
            .max_tokens
            .saturating_sub(u32::try_from(chat.resume_after.len()).unwrap_or(u32::MAX));
        let job = Job {
            id: req.attempt,
            priority: req.priority,
            deadline: req.deadline,
            pieces: pieces.clone(),
            prefill: Duration::from_nanos(u64::from(uncached) * u64::from(self.prefill_ns())),
            decode: self.decode * answer,
        };
        let (offer, shed) = self.queue.offer(now, job);
        if offer == OfferOutcome::Queued {
            let prompt = Prompt { pieces, tokens, uncached, last_token: None };
            self.prompts.insert(req.attempt, prompt);
        }
        for (id, _) in &shed {
            self.prompts.remove(id);
        }
        (offer, shed)
    }

    /// Takes the next attempt to hand to the engine.
    pub(crate) fn next(&mut self, now: Timestamp, engine: EngineIncarnation) -> Option<AttemptId> {
        let id = self.queue.dequeue(now, |piece| self.index.contains(piece))?;
        self.rate.begin(now);
        if let Some(prompt) = self.prompts.get(&id) {
            self.index.insert(engine, &prompt.pieces);
        }
        Some(id)
    }

    /// Removes the waiting attempts whose answers can no longer be in time.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<(AttemptId, Refusal)> {
        let late = self.queue.expire(now);
        for (id, _) in &late {
            self.prompts.remove(id);
        }
        late
    }

    /// Notes a frame of a running attempt.
    pub(crate) fn see_frame(&mut self, now: Timestamp, id: AttemptId, kind: &FrameKind) {
        let Some(prompt) = self.prompts.get_mut(&id) else { return };
        match kind {
            FrameKind::Started { cached_tokens, .. } => {
                prompt.uncached = prompt.tokens.saturating_sub(*cached_tokens);
            }
            FrameKind::Token { .. } => match prompt.last_token.replace(now) {
                Some(last) => {
                    let step = now - last;
                    self.decode = (self.decode * (DECODE_SMOOTHING - 1) + step) / DECODE_SMOOTHING;
                }
                None => {
                    self.rate.end(now, prompt.uncached);
                    self.queue.prefill_done(now, id);
                }
            },
            _ => {}
        }
    }

    /// Forgets an attempt that has ended, whether it ran or waited.
    pub(crate) fn remove(&mut self, now: Timestamp, id: AttemptId) {
        let was_running = self.queue.is_running(id);
        self.queue.remove(now, id);
        if let Some(prompt) = self.prompts.remove(&id)
            && was_running
            && prompt.last_token.is_none()
        {
            self.rate.end(now, 0);
        }
    }
}

fn limits(batch: usize) -> QueueLimits {
    QueueLimits { max_running: batch, max_waiting: batch * WAITING_PER_PLACE }
}
