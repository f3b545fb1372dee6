//! Simulated model engine with continuous batching and chunked prefill.
//!
//! Each step decodes one token for every request whose prefill is complete and computes the next
//! chunks of the other prompts. The KV cache is modeled as token counts.

use std::{collections::HashMap, time::Duration};

use dogwoodway_routing::direct::{prompt::PrefixSegment, token_lru::TokenLru};
use dogwoodway_types::Timestamp;

/// Maximum number of requests in the batch.
pub(super) const SLOTS: usize = 64;

/// Capacity of an engine's KV cache, in tokens.
pub(super) const KV_TOKENS: u64 = 260_975;

/// Bytes of KV cache for one token.
pub(super) const KV_TOKEN_BYTES: u64 = 163_840;

/// Bandwidth of the link over which an engine fetches KV cache, in megabits per second.
pub(super) const LINK_MBPS: f64 = 370_000.0;

/// Maximum number of prompt tokens that one step computes.
const MAX_PREFILL_TOKENS_PER_STEP: u32 = 2_048;

/// Duration of a step without prefill, in milliseconds, before the time for each decoding request.
const BASE_STEP_MS: f64 = 3.88;

/// Time that each decoding request adds to a step, in milliseconds.
const STEP_MS_PER_DECODE: f64 = 0.0276;

/// Prompt tokens computed per millisecond, without the fixed time of a step and the time for
/// attention.
const PREFILL_TOKENS_PER_MS: f64 = 66.2;

/// Time for attention, in milliseconds for each million pairs of a computed token and an earlier
/// one.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.276;

/// Time from the step that completes the prefill to the first output, in milliseconds.
const FIRST_OUTPUT_DELAY_MS: f64 = 12.0;

/// Time to load new weights while at most one other engine loads, in milliseconds.
pub(super) const WEIGHTS_LOAD_MS: u64 = 430;

/// Returns the prompt tokens that an engine computes per millisecond in full steps, with the fixed
/// time of a step included.
pub(super) fn prefill_tokens_per_ms() -> f64 {
    f64::from(MAX_PREFILL_TOKENS_PER_STEP)
        / (f64::from(MAX_PREFILL_TOKENS_PER_STEP) / PREFILL_TOKENS_PER_MS + BASE_STEP_MS)
}

/// Returns the time to fetch the KV cache of one token over a link that is slower than
/// [`LINK_MBPS`] by a factor, in milliseconds.
pub(super) fn fetch_ms_per_token(link_slowdown: f64) -> f64 {
    KV_TOKEN_BYTES as f64 * 8.0 / (LINK_MBPS * 1e3) * link_slowdown
}

/// A request as sent to an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineRequest {
    /// Index of the request among the arrivals.
    pub(super) id: usize,
    /// Requests with lower values go first.
    pub(super) priority: u8,
    pub(super) segments: Vec<PrefixSegment>,
    pub(super) output_tokens: u32,
    /// Leading segments whose KV cache can be fetched from the KV store or another engine.
    pub(super) fetchable_segments: usize,
    pub(super) fetch_ms_per_token: f64,
}

/// A request in the batch.
#[derive(Clone, Debug)]
struct RunningRequest {
    request: EngineRequest,
    /// Position in the order in which the engine received its requests.
    queue_number: u64,
    pending_prefill_tokens: u32,
    /// Prompt tokens whose KV cache is present, or fetched by `ready_at`.
    prefilled_tokens: u32,
    /// When the fetched KV cache has arrived.
    ready_at: Timestamp,
    generated_tokens: u32,
}

impl RunningRequest {
    fn tokens(&self) -> u64 {
        u64::from(self.prefilled_tokens)
            + u64::from(self.pending_prefill_tokens)
            + u64::from(self.generated_tokens)
    }

    /// Returns the tokens of the request that [`Engine::cache`] does not account for. The prompt
    /// enters the cache when its prefill is complete.
    fn uncached_tokens(&self) -> u64 {
        match self.pending_prefill_tokens {
            0 => u64::from(self.generated_tokens),
            _ => self.tokens(),
        }
    }
}

/// An output produced by a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepOutput {
    /// The first token of a request, which is output `delay` after the end of the step.
    FirstToken { request: usize, delay: Duration },
    /// The last token of a request.
    LastToken { request: usize },
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) is_up: bool,
    pub(super) is_draining: bool,
    /// Whether the engine was ordered to load new weights and has not finished. Requests in the
    /// queue wait until then.
    pub(super) is_loading: bool,
    /// Whether the engine fails most of its requests.
    pub(super) is_faulty: bool,
    /// Version of the loaded weights.
    pub(super) version: u32,
    /// Incremented by each crash and restart, so that events scheduled before are ignored.
    pub(super) incarnation: u64,
    /// Whether the start or the end of a step is scheduled.
    pub(super) is_stepping: bool,
    pub(super) cache: TokenLru,
    /// Prompt tokens computed so far.
    pub(super) computed_tokens: u64,
    /// Number of requests returned to the queue because the KV cache was full.
    pub(super) preemptions: u64,
    /// Queue numbers and requests.
    waiting: Vec<(u64, EngineRequest)>,
    running: Vec<RunningRequest>,
    /// When the last scheduled fetch of KV cache ends. Fetches share one link.
    link_free_at: Timestamp,
    last_queue_number: u64,
    /// Prompt tokens that the current step computes for each request.
    prefill_chunks: HashMap<usize, u32>,
}

impl Engine {
    pub(super) fn new() -> Engine {
        Engine {
            is_up: true,
            is_draining: false,
            is_loading: false,
            is_faulty: false,
            version: 1,
            incarnation: 0,
            is_stepping: false,
            cache: TokenLru::new(KV_TOKENS),
            computed_tokens: 0,
            preemptions: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            link_free_at: Timestamp::default(),
            last_queue_number: 0,
            prefill_chunks: HashMap::new(),
        }
    }

    /// Adds a request to the queue.
    pub(super) fn enqueue(&mut self, request: EngineRequest) {
        self.last_queue_number += 1;
        self.waiting.push((self.last_queue_number, request));
    }

    /// Drops all requests and the KV cache; returns the dropped requests.
    pub(super) fn crash(&mut self) -> Vec<usize> {
        let running = std::mem::take(&mut self.running).into_iter().map(|r| r.request.id);
        let waiting = std::mem::take(&mut self.waiting).into_iter().map(|(_, request)| request.id);
        let lost = running.chain(waiting).collect();
        self.cache.clear();
        self.prefill_chunks.clear();
        self.incarnation += 1;
        self.is_stepping = false;
        lost
    }

    /// Returns whether there is nothing to compute now.
    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && (self.waiting.is_empty() || self.is_loading)
    }

    /// Returns whether the batch is empty. Requests may still wait in the queue.
    pub(super) fn is_batch_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the prompt tokens to compute before those of a new request of the given priority.
    pub(super) fn pending_prefill_tokens(&self, priority: u8) -> u64 {
        let running = self.running.iter().map(|running| u64::from(running.pending_prefill_tokens));
        let waiting = self.waiting.iter().filter(|(_, request)| request.priority <= priority);
        let waiting = waiting.map(|(_, request)| self.fetch_and_prefill_tokens(request).1);
        running.chain(waiting.map(u64::from)).sum()
    }

    /// Returns the number of requests in the batch and in the queue.
    pub(super) fn request_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the prompt tokens of a request whose KV cache is to be fetched, and those to be
    /// computed.
    pub(super) fn fetch_and_prefill_tokens(&self, request: &EngineRequest) -> (u32, u32) {
        let tokens =
            |segments: &[PrefixSegment]| segments.iter().map(|segment| segment.tokens).sum::<u32>();
        let cached = self.cache.matched(&request.segments);
        let fetched = request.fetchable_segments.max(cached);
        (tokens(&request.segments[cached..fetched]), tokens(&request.segments[fetched..]))
    }

    /// Starts a step and returns its duration.
    pub(super) fn start_step(&mut self, now: Timestamp) -> Duration {
        self.admit_waiting(now);
        self.prefill_chunks.clear();
        let mut budget = MAX_PREFILL_TOKENS_PER_STEP;
        let mut attention_pairs = 0.0;
        self.running.sort_by_key(|running| (running.request.priority, running.queue_number));
        for running in &self.running {
            if running.pending_prefill_tokens == 0 || running.ready_at > now || budget == 0 {
                continue;
            }
            let chunk = running.pending_prefill_tokens.min(budget);
            budget -= chunk;
            attention_pairs += f64::from(chunk) * f64::from(running.prefilled_tokens + chunk / 2);
            self.prefill_chunks.insert(running.request.id, chunk);
        }
        let decoding =
            self.running.iter().filter(|running| running.pending_prefill_tokens == 0).count();
        let prefill_ms = f64::from(MAX_PREFILL_TOKENS_PER_STEP - budget) / PREFILL_TOKENS_PER_MS;
        let ms = BASE_STEP_MS
            + decoding as f64 * STEP_MS_PER_DECODE
            + prefill_ms
            + attention_pairs / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS;
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Ends the step that was started and returns its outputs.
    pub(super) fn finish_step(&mut self, now: Timestamp) -> Vec<StepOutput> {
        let mut outputs = Vec::new();
        for running in &mut self.running {
            let request = running.request.id;
            match self.prefill_chunks.get(&request) {
                Some(&chunk) => {
                    self.computed_tokens += u64::from(chunk);
                    running.pending_prefill_tokens -= chunk;
                    running.prefilled_tokens += chunk;
                    if running.pending_prefill_tokens == 0 {
                        running.generated_tokens = 1;
                        self.cache.insert(&running.request.segments, now);
                        let delay = Duration::from_secs_f64(FIRST_OUTPUT_DELAY_MS / 1e3);
                        outputs.push(StepOutput::FirstToken { request, delay });
                    }
                }
                None if running.pending_prefill_tokens == 0 => running.generated_tokens += 1,
                None => {}
            }
        }
        for running in
            self.running.extract_if(.., |r| r.generated_tokens >= r.request.output_tokens.max(1))
        {
            outputs.push(StepOutput::LastToken { request: running.request.id });
        }
        self.preempt_if_full(now);
        outputs
    }

    /// Moves requests from the queue to the batch while there are slots and KV cache for them.
    fn admit_waiting(&mut self, now: Timestamp) {
        if self.is_loading {
            return;
        }
        self.waiting.sort_by_key(|(queue_number, request)| (request.priority, *queue_number));
        while self.running.len() < SLOTS
            && let Some((_, request)) = self.waiting.first()
        {
            let prompt_tokens: u32 = request.segments.iter().map(|segment| segment.tokens).sum();
            let used: u64 = self.running.iter().map(RunningRequest::tokens).sum();
            if used + u64::from(prompt_tokens) > KV_TOKENS && !self.running.is_empty() {
                return;
            }
            let (queue_number, request) = self.waiting.remove(0);
            let (fetched, computed) = self.fetch_and_prefill_tokens(&request);
            let fetch_s = f64::from(fetched) * request.fetch_ms_per_token / 1e3;
            let fetch_start = self.link_free_at.max(now);
            let ready_at = fetch_start + Duration::from_secs_f64(fetch_s);
            if fetched > 0 {
                self.link_free_at = ready_at;
            }
            // Even if the whole prompt is cached, its last token is computed to get the first
            // output.
            let pending_prefill_tokens = computed.max(1);
            let prefilled_tokens = prompt_tokens - pending_prefill_tokens.min(prompt_tokens);
            self.running.push(RunningRequest {
                request,
                queue_number,
                pending_prefill_tokens,
                prefilled_tokens,
                ready_at,
                generated_tokens: 0,
            });
        }
    }

    /// Returns requests to the queue while the batch needs more KV cache than there is: of those
    /// with the lowest priority, the one received last goes first. The cache of finished prompts
    /// gets the rest of the memory.
    fn preempt_if_full(&mut self, now: Timestamp) {
        let used =
            |running: &[RunningRequest]| running.iter().map(RunningRequest::tokens).sum::<u64>();
        while used(&self.running) > KV_TOKENS && self.running.len() > 1 {
            let newest = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, running)| (running.request.priority, running.queue_number));
            let Some((index, _)) = newest else { return };
            let running = self.running.remove(index);
            self.cache.discard_unfinished(&running.request.segments, now);
            self.preemptions += 1;
            self.waiting.push((running.queue_number, running.request));
        }
        let uncached: u64 = self.running.iter().map(RunningRequest::uncached_tokens).sum();
        let free = KV_TOKENS.saturating_sub(uncached);
        self.cache.set_capacity(free.max(u64::from(MAX_PREFILL_TOKENS_PER_STEP)));
    }

    /// Returns how many leading segments of a prompt are cached.
    pub(super) fn cached_segments(&self, segments: &[PrefixSegment]) -> usize {
        self.cache.matched(segments)
    }
}
