//! Continuous batching with chunked prefill: which tokens each step of the engine computes.

use std::collections::VecDeque;

use dogwoodway_engine::{EngineEvent, EngineRequest};
use dogwoodway_types::{
    AttemptId, EngineIncarnation, FinishReason, PieceHash, Token, Usage, WeightsVersion,
};

use crate::engine::{CacheChange, PieceCache};

/// Maximum number of prompt tokens that one step computes, over all requests.
const MAX_PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Size limit and step times of a batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchLimits {
    /// Maximum number of running requests.
    pub max_batch: usize,
    /// Prefill time of one prompt token, in microseconds.
    pub prefill_us: u32,
    /// Time of one decode step of the whole batch, in microseconds.
    pub decode_us: u32,
}

/// The work of one step.
#[derive(Clone, Debug, Default)]
pub struct StepPlan {
    /// Duration of the step in microseconds.
    pub duration_us: u64,
    /// Requests that join the batch in this step.
    pub scheduled: Vec<ScheduledRequest>,
    /// Number of prompt tokens to compute for each request in prefill.
    prefill: Vec<(AttemptId, u32)>,
}

/// A request that joins the batch, as recorded in the journal.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Identifier of the request.
    pub request: AttemptId,
    /// Pieces of its prompt, from the start.
    pub pieces: Vec<PieceHash>,
    /// Tokens in each piece.
    pub tokens: Vec<u32>,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

/// The waiting and running requests of an engine, and its prefix cache.
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
    /// Prompt tokens that are cached or computed.
    computed_tokens: u32,
    /// Leading pieces of the prompt that have been added to the cache.
    cached_pieces: usize,
    /// Index of the next output token, resumed tokens included.
    next_token_index: u32,
}

impl Batch {
    /// Creates an idle batch with an empty cache of `cache_pieces` prompt pieces.
    pub fn new(limits: BatchLimits, cache_pieces: usize) -> Batch {
        let cache = PieceCache::new(cache_pieces);
        Batch { limits, cache, waiting: VecDeque::new(), running: Vec::new() }
    }

    /// Adds a request to the queue, behind those of the same or a higher priority.
    pub fn submit(&mut self, req: EngineRequest) {
        let position = self.waiting.iter().position(|other| other.priority < req.priority);
        self.waiting.insert(position.unwrap_or(self.waiting.len()), req);
    }

    /// Removes a waiting or running request; has no effect if there is none with this identifier.
    pub fn cancel(&mut self, id: AttemptId) {
        self.waiting.retain(|req| req.request_id != id);
        self.running.retain(|seq| seq.req.request_id != id);
    }

    /// Returns whether the prompt of a running request contains `text`.
    pub fn is_running_prompt_with(&self, text: &str) -> bool {
        let contains_text =
            |seq: &Sequence| seq.req.messages.iter().any(|m| m.content.contains(text));
        self.running.iter().any(contains_text)
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Returns how many pieces from the start of a prompt are cached.
    pub fn matched(&self, prompt: &[PieceHash]) -> usize {
        self.cache.matched(prompt)
    }

    /// Adds imported pieces to the cache and returns the changes that this caused.
    pub fn insert_imported(&mut self, pieces: &[PieceHash]) -> Vec<CacheChange> {
        pieces.iter().flat_map(|piece| self.cache.insert(*piece)).collect()
    }

    /// Fills the batch from the queue and plans the next step; returns `None` if the batch is
    /// empty.
    ///
    /// Requests in prefill share the step's token budget by priority, so an urgent prompt overtakes
    /// a long one that is already in prefill.
    pub fn plan_step(&mut self) -> Option<StepPlan> {
        let mut plan = StepPlan::default();
        while self.running.len() < self.limits.max_batch
            && let Some(req) = self.waiting.pop_front()
        {
            let seq = self.start_sequence(req);
            plan.scheduled.push(seq.scheduled());
            self.running.push(seq);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut in_prefill: Vec<_> = self.running.iter().filter(|seq| !seq.is_decoding()).collect();
        in_prefill.sort_by_key(|seq| std::cmp::Reverse(seq.req.priority));
        let mut budget = MAX_PREFILL_TOKENS_PER_STEP;
        for seq in in_prefill {
            let tokens = budget.min(seq.prompt_tokens - seq.computed_tokens);
            plan.prefill.push((seq.req.request_id, tokens));
            budget -= tokens;
        }
        let prefill_tokens = u64::from(MAX_PREFILL_TOKENS_PER_STEP - budget);
        plan.duration_us = prefill_tokens * u64::from(self.limits.prefill_us);
        if self.running.iter().any(Sequence::is_decoding) {
            plan.duration_us += u64::from(self.limits.decode_us);
        }
        Some(plan)
    }

    /// Applies a step once its duration has passed; returns the events of the answers and the
    /// changes of the cache.
    ///
    /// Requests that were cancelled during the step are skipped.
    pub fn apply_step(
        &mut self,
        plan: &StepPlan,
    ) -> (Vec<(AttemptId, EngineEvent)>, Vec<CacheChange>) {
        let mut events = Vec::new();
        for seq in self.running.iter_mut().filter(|seq| seq.is_decoding()) {
            seq.decode(&mut events);
        }
        self.running.retain(|seq| seq.next_token_index < seq.req.max_tokens || !seq.is_decoding());
        let mut changes = Vec::new();
        for (id, tokens) in &plan.prefill {
            let Some(seq) = self.running.iter_mut().find(|seq| seq.req.request_id == *id) else {
                continue;
            };
            seq.computed_tokens += tokens;
            while let Some(piece) = seq.next_completed_piece() {
                changes.extend(self.cache.insert(piece));
            }
        }
        (events, changes)
    }

    fn start_sequence(&mut self, req: EngineRequest) -> Sequence {
        let matched = self.cache.matched(&req.cache_keys);
        for piece in &req.cache_keys[..matched] {
            self.cache.insert(*piece);
        }
        let cached_tokens = req.piece_tokens.iter().take(matched).sum();
        let next_token_index = u32::try_from(req.resume_after.len()).unwrap_or(u32::MAX);
        Sequence {
            prompt_tokens: req.piece_tokens.iter().sum(),
            cached_tokens,
            computed_tokens: cached_tokens,
            cached_pieces: matched,
            next_token_index,
            req,
        }
    }
}

impl Sequence {
    fn scheduled(&self) -> ScheduledRequest {
        ScheduledRequest {
            request: self.req.request_id,
            pieces: self.req.cache_keys.clone(),
            tokens: self.req.piece_tokens.clone(),
            cached_tokens: self.cached_tokens,
        }
    }

    fn is_decoding(&self) -> bool {
        self.computed_tokens >= self.prompt_tokens
    }

    fn decode(&mut self, events: &mut Vec<(AttemptId, EngineEvent)>) {
        let (id, index) = (self.req.request_id, self.next_token_index);
        if index < self.req.max_tokens {
            let token = output_token(&self.req.cache_keys, index);
            let text = format!("w{} ", token.0);
            events.push((id, EngineEvent::Token { index, token, text }));
            self.next_token_index += 1;
        }
        if self.next_token_index >= self.req.max_tokens {
            let usage = Usage {
                prompt_tokens: self.prompt_tokens,
                cached_tokens: self.cached_tokens,
                completion_tokens: self.req.max_tokens,
            };
            events.push((id, EngineEvent::End { finish: FinishReason::Length, usage }));
        }
    }

    /// Returns the next piece that is computed to its end but not yet added to the cache, and
    /// counts it as added.
    fn next_completed_piece(&mut self) -> Option<PieceHash> {
        let piece = *self.req.cache_keys.get(self.cached_pieces)?;
        let end: u32 = self.req.piece_tokens.iter().take(self.cached_pieces + 1).sum();
        if self.computed_tokens < end {
            return None;
        }
        self.cached_pieces += 1;
        Some(piece)
    }
}

/// Creates the first event of an answer.
pub(crate) fn started_event(
    engine: EngineIncarnation,
    version: WeightsVersion,
    cached_tokens: u32,
) -> EngineEvent {
    EngineEvent::Started { engine, version, cached_tokens }
}

/// Returns the output token at an index. It depends only on the prompt and the index, so that an
/// answer can be resumed on any other engine.
fn output_token(prompt: &[PieceHash], index: u32) -> Token {
    let seed = prompt.last().map_or(0, |piece| piece.0 as u32);
    Token(seed.wrapping_add(index.wrapping_mul(2_654_435_761)) % 50_000)
}
