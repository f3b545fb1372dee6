//! Continuous batching: which tokens one step of the engine computes.

use std::collections::VecDeque;

use dogwoodway_engine::{EngineEvent, EngineRequest};
use dogwoodway_types::{
    AttemptId, EngineIncarnation, FinishReason, PieceHash, Token, Usage, WeightsVersion,
};

use crate::engine::{CacheChange, PieceCache};

/// Prompt tokens that one step computes at most.
const STEP_PREFILL_TOKENS: u32 = 512;

/// Limits and speeds of a batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchLimits {
    /// Requests that run together.
    pub max_batch: usize,
    /// Microseconds to compute one prompt token.
    pub prefill_us: u32,
    /// Microseconds of one decoding step of the whole batch.
    pub decode_us: u32,
}

/// What one step will compute.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Microseconds that the step takes.
    pub cost_us: u64,
    /// Requests scheduled by this step.
    pub started: Vec<Scheduled>,
    prefill: Vec<(AttemptId, u32)>,
}

/// A request at the moment when it is scheduled.
#[derive(Clone, Debug)]
pub struct Scheduled {
    /// The request.
    pub request: AttemptId,
    /// Pieces of its prompt.
    pub pieces: Vec<PieceHash>,
    /// Tokens in each piece.
    pub tokens: Vec<u32>,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// The requests of an engine and its cache.
#[derive(Clone, Debug)]
pub struct Batch {
    limits: BatchLimits,
    cache: PieceCache,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Sequence>,
}

#[derive(Clone, Debug)]
struct Sequence {
    req: EngineRequest,
    prompt_tokens: u32,
    cached_tokens: u32,
    computed: u32,
    pieces_kept: usize,
    next_index: u32,
}

impl Batch {
    /// Builds an idle batch with an empty cache.
    pub fn new(limits: BatchLimits, cache_pieces: usize) -> Batch {
        let cache = PieceCache::new(cache_pieces);
        Batch { limits, cache, waiting: VecDeque::new(), running: Vec::new() }
    }

    /// Adds a request behind those of the same or a higher priority.
    pub fn submit(&mut self, req: EngineRequest) {
        let place = self.waiting.iter().position(|other| other.priority < req.priority);
        self.waiting.insert(place.unwrap_or(self.waiting.len()), req);
    }

    /// Forgets a request.
    pub fn cancel(&mut self, id: AttemptId) {
        self.waiting.retain(|req| req.request_id != id);
        self.running.retain(|seq| seq.req.request_id != id);
    }

    /// Tells whether a prompt that holds `text` runs.
    pub fn runs(&self, text: &str) -> bool {
        let holds = |seq: &Sequence| seq.req.messages.iter().any(|m| m.content.contains(text));
        self.running.iter().any(holds)
    }

    /// Returns the numbers of requests that run and wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Returns how many pieces from the start of a prompt are cached.
    pub fn matched(&self, prompt: &[PieceHash]) -> usize {
        self.cache.matched(prompt)
    }

    /// Caches pieces that were computed elsewhere and returns the cache's changes.
    pub fn keep_imported(&mut self, pieces: &[PieceHash]) -> Vec<CacheChange> {
        pieces.iter().flat_map(|piece| self.cache.keep(*piece)).collect()
    }

    /// Schedules waiting requests and plans the next step; `None` when there is nothing to do.
    pub fn plan(&mut self) -> Option<Plan> {
        let mut plan = Plan::default();
        while self.running.len() < self.limits.max_batch
            && let Some(req) = self.waiting.pop_front()
        {
            let seq = self.begin(req);
            plan.started.push(seq.scheduled());
            self.running.push(seq);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut order: Vec<_> = self.running.iter().filter(|seq| !seq.is_decoding()).collect();
        order.sort_by_key(|seq| std::cmp::Reverse(seq.req.priority));
        let mut left = STEP_PREFILL_TOKENS;
        for seq in order {
            let tokens = left.min(seq.prompt_tokens - seq.computed);
            plan.prefill.push((seq.req.request_id, tokens));
            left -= tokens;
        }
        let prefilled = u64::from(STEP_PREFILL_TOKENS - left);
        plan.cost_us = prefilled * u64::from(self.limits.prefill_us);
        if self.running.iter().any(Sequence::is_decoding) {
            plan.cost_us += u64::from(self.limits.decode_us);
        }
        Some(plan)
    }

    /// Applies a step after its time: returns the answers' events and the cache's changes.
    pub fn apply(&mut self, plan: &Plan) -> (Vec<(AttemptId, EngineEvent)>, Vec<CacheChange>) {
        let mut events = Vec::new();
        for seq in self.running.iter_mut().filter(|seq| seq.is_decoding()) {
            seq.decode(&mut events);
        }
        self.running.retain(|seq| seq.next_index < seq.req.max_tokens || !seq.is_decoding());
        let mut changes = Vec::new();
        for (id, tokens) in &plan.prefill {
            let Some(seq) = self.running.iter_mut().find(|seq| seq.req.request_id == *id) else {
                continue;
            };
            seq.computed += tokens;
            while let Some(piece) = seq.next_computed_piece() {
                changes.extend(self.cache.keep(piece));
            }
        }
        (events, changes)
    }

    fn begin(&mut self, req: EngineRequest) -> Sequence {
        let matched = self.cache.matched(&req.cache_keys);
        for piece in &req.cache_keys[..matched] {
            self.cache.keep(*piece);
        }
        let cached_tokens = req.piece_tokens.iter().take(matched).sum();
        let next_index = u32::try_from(req.resume_after.len()).unwrap_or(u32::MAX);
        Sequence {
            prompt_tokens: req.piece_tokens.iter().sum(),
            cached_tokens,
            computed: cached_tokens,
            pieces_kept: matched,
            next_index,
            req,
        }
    }
}

impl Sequence {
    fn scheduled(&self) -> Scheduled {
        Scheduled {
            request: self.req.request_id,
            pieces: self.req.cache_keys.clone(),
            tokens: self.req.piece_tokens.clone(),
            cached_tokens: self.cached_tokens,
        }
    }

    fn is_decoding(&self) -> bool {
        self.computed >= self.prompt_tokens
    }

    fn decode(&mut self, events: &mut Vec<(AttemptId, EngineEvent)>) {
        let (id, index) = (self.req.request_id, self.next_index);
        if index < self.req.max_tokens {
            let token = answer_token(&self.req.cache_keys, index);
            let text = format!("w{} ", token.0);
            events.push((id, EngineEvent::Token { index, token, text }));
            self.next_index += 1;
        }
        if self.next_index >= self.req.max_tokens {
            let usage = Usage {
                prompt_tokens: self.prompt_tokens,
                cached_tokens: self.cached_tokens,
                completion_tokens: self.req.max_tokens,
            };
            events.push((id, EngineEvent::End { finish: FinishReason::Length, usage }));
        }
    }

    fn next_computed_piece(&mut self) -> Option<PieceHash> {
        let piece = *self.req.cache_keys.get(self.pieces_kept)?;
        let end: u32 = self.req.piece_tokens.iter().take(self.pieces_kept + 1).sum();
        if self.computed < end {
            return None;
        }
        self.pieces_kept += 1;
        Some(piece)
    }
}

/// Builds the first event of an answer.
pub(crate) fn started(
    engine: EngineIncarnation,
    version: WeightsVersion,
    cached_tokens: u32,
) -> EngineEvent {
    EngineEvent::Started { engine, version, cached_tokens }
}

/// The token at a position of the answer to a prompt, the same on every engine.
fn answer_token(prompt: &[PieceHash], index: u32) -> Token {
    let seed = prompt.last().map_or(0, |piece| piece.0 as u32);
    Token(seed.wrapping_add(index.wrapping_mul(2_654_435_761)) % 50_000)
}
