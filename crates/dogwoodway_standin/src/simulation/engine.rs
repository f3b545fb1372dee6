//! The model of an engine: a batch that decodes together and reads prompts in pieces.

use std::{collections::HashMap, time::Duration};

use dogwoodway_routing::direct::{prompt::PrefixSegment, token_lru::TokenLru};
use dogwoodway_types::Timestamp;

/// Requests that run together.
pub(super) const SLOTS: usize = 64;

/// Tokens of KV cache that an engine has room for.
pub(super) const KV_TOKENS: u64 = 260_975;

/// Bytes of KV cache for one token.
pub(super) const KV_TOKEN_BYTES: u64 = 163_840;

/// Speed of a link for KV cache, in megabits a second.
pub(super) const LINK_MBPS: f64 = 370_000.0;

/// Prompt tokens that are read in one step at most.
const PIECE_TOKENS: u32 = 2_048;

/// Milliseconds of a step that reads nothing.
const STEP_MS: f64 = 3.88;

/// Further milliseconds of a step for each request that decodes.
const STEP_MS_PER_RUN: f64 = 0.0276;

/// Prompt tokens that are read in one millisecond.
const READ_TOKENS_PER_MS: f64 = 66.2;

/// Milliseconds for each million pairs of a read token with an earlier one.
const MS_PER_MILLION_PAIRS: f64 = 0.276;

/// Milliseconds from the last piece of a prompt to its first output.
const FIRST_MS: f64 = 12.0;

/// Milliseconds in which new weights are loaded, by an engine that loads alone.
pub(super) const LOAD_MS: u64 = 430;

/// Prompt tokens that an engine reads in a millisecond, with the steps' own time.
pub(super) fn read_tokens_per_ms() -> f64 {
    f64::from(PIECE_TOKENS) / (f64::from(PIECE_TOKENS) / READ_TOKENS_PER_MS + STEP_MS)
}

/// Milliseconds to fetch one token of KV cache.
pub(super) fn fetch_ms_per_token(link_factor: f64) -> f64 {
    KV_TOKEN_BYTES as f64 * 8.0 / (LINK_MBPS * 1e3) * link_factor
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Place among the arrivals.
    pub(super) request: usize,
    pub(super) urgency: u8,
    pub(super) levels: Vec<PrefixSegment>,
    pub(super) output_tokens: u32,
    /// Shared prefixes that the engine can fetch, and the milliseconds that takes for each token.
    pub(super) fetchable: usize,
    pub(super) fetch_ms_per_token: f64,
}

#[derive(Clone, Debug)]
struct Running {
    run: Run,
    admitted: u64,
    unread: u32,
    read: u32,
    /// When its fetched KV cache is there.
    ready_at: Timestamp,
    made: u32,
}

impl Running {
    fn tokens(&self) -> u64 {
        u64::from(self.read) + u64::from(self.unread) + u64::from(self.made)
    }

    /// Returns its tokens that are not among the cached ones.
    fn uncached_tokens(&self) -> u64 {
        match self.unread {
            0 => u64::from(self.made),
            _ => self.tokens(),
        }
    }
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Output {
    /// The first token of a request, some time after the step.
    First { request: usize, after: Duration },
    /// The last one.
    Last { request: usize },
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) is_up: bool,
    pub(super) is_draining: bool,
    /// Whether new requests wait until new weights are loaded.
    pub(super) is_loading: bool,
    pub(super) is_grey: bool,
    pub(super) version: u32,
    /// Counts restarts, so that events of an earlier life are known.
    pub(super) life: u64,
    pub(super) is_stepping: bool,
    pub(super) cached: TokenLru,
    /// Prompt tokens computed.
    pub(super) computed: u64,
    /// Requests that were put back since the memory was full.
    pub(super) preempted: u64,
    waiting: Vec<(u64, Run)>,
    running: Vec<Running>,
    link_free_at: Timestamp,
    next: u64,
    pieces: HashMap<usize, u32>,
}

impl Engine {
    pub(super) fn new() -> Engine {
        Engine {
            is_up: true,
            is_draining: false,
            is_loading: false,
            is_grey: false,
            version: 1,
            life: 0,
            is_stepping: false,
            cached: TokenLru::new(KV_TOKENS),
            computed: 0,
            preempted: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            link_free_at: Timestamp::default(),
            next: 0,
            pieces: HashMap::new(),
        }
    }

    /// Takes a request.
    pub(super) fn take(&mut self, run: Run) {
        self.next += 1;
        self.waiting.push((self.next, run));
    }

    /// Loses all it runs and holds; returns the requests.
    pub(super) fn crash(&mut self) -> Vec<usize> {
        let running = std::mem::take(&mut self.running).into_iter().map(|r| r.run.request);
        let waiting = std::mem::take(&mut self.waiting).into_iter().map(|(_, run)| run.request);
        let lost = running.chain(waiting).collect();
        self.cached.clear();
        self.pieces.clear();
        self.life += 1;
        self.is_stepping = false;
        lost
    }

    /// Tells whether it has nothing to do.
    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && (self.waiting.is_empty() || self.is_loading)
    }

    /// Tells whether all runs have ended.
    pub(super) fn has_finished(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the prompt tokens that it has to read before a new request of some urgency.
    pub(super) fn unread_before(&self, urgency: u8) -> u64 {
        let running = self.running.iter().map(|running| u64::from(running.unread));
        let waiting = self.waiting.iter().filter(|(_, run)| run.urgency <= urgency);
        let waiting = waiting.map(|(_, run)| self.to_read(run).1);
        running.chain(waiting.map(u64::from)).sum()
    }

    /// Returns how many requests it has.
    pub(super) fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the tokens that a request has to fetch and to read.
    pub(super) fn to_read(&self, run: &Run) -> (u32, u32) {
        let tokens =
            |levels: &[PrefixSegment]| levels.iter().map(|level| level.tokens).sum::<u32>();
        let held = self.cached.matched(&run.levels);
        let fetched = run.fetchable.max(held);
        (tokens(&run.levels[held..fetched]), tokens(&run.levels[fetched..]))
    }

    /// Begins a step; returns how long it takes.
    pub(super) fn begin(&mut self, now: Timestamp) -> Duration {
        self.admit(now);
        self.pieces.clear();
        let mut room = PIECE_TOKENS;
        let mut pairs = 0.0;
        self.running.sort_by_key(|running| (running.run.urgency, running.admitted));
        for running in &self.running {
            if running.unread == 0 || running.ready_at > now || room == 0 {
                continue;
            }
            let piece = running.unread.min(room);
            room -= piece;
            pairs += f64::from(piece) * f64::from(running.read + piece / 2);
            self.pieces.insert(running.run.request, piece);
        }
        let decoding = self.running.iter().filter(|running| running.unread == 0).count();
        let read = f64::from(PIECE_TOKENS - room) / READ_TOKENS_PER_MS;
        let ms =
            STEP_MS + decoding as f64 * STEP_MS_PER_RUN + read + pairs / 1e6 * MS_PER_MILLION_PAIRS;
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Ends the step that was begun; returns what it brought.
    pub(super) fn end(&mut self, now: Timestamp) -> Vec<Output> {
        let mut outputs = Vec::new();
        for running in &mut self.running {
            let request = running.run.request;
            match self.pieces.get(&request) {
                Some(&piece) => {
                    self.computed += u64::from(piece);
                    running.unread -= piece;
                    running.read += piece;
                    if running.unread == 0 {
                        running.made = 1;
                        self.cached.insert(&running.run.levels, now);
                        let after = Duration::from_secs_f64(FIRST_MS / 1e3);
                        outputs.push(Output::First { request, after });
                    }
                }
                None if running.unread == 0 => running.made += 1,
                None => {}
            }
        }
        for running in self.running.extract_if(.., |r| r.made >= r.run.output_tokens.max(1)) {
            outputs.push(Output::Last { request: running.run.request });
        }
        self.fit(now);
        outputs
    }

    fn admit(&mut self, now: Timestamp) {
        if self.is_loading {
            return;
        }
        self.waiting.sort_by_key(|(place, run)| (run.urgency, *place));
        while self.running.len() < SLOTS
            && let Some((_, run)) = self.waiting.first()
        {
            let needed: u32 = run.levels.iter().map(|level| level.tokens).sum();
            let used: u64 = self.running.iter().map(Running::tokens).sum();
            if used + u64::from(needed) > KV_TOKENS && !self.running.is_empty() {
                return;
            }
            let (admitted, run) = self.waiting.remove(0);
            let (fetched, unread) = self.to_read(&run);
            let fetch = f64::from(fetched) * run.fetch_ms_per_token / 1e3;
            let begin = self.link_free_at.max(now);
            let ready_at = begin + Duration::from_secs_f64(fetch);
            if fetched > 0 {
                self.link_free_at = ready_at;
            }
            // Even a prompt that is held whole is read for its last token.
            let unread = unread.max(1);
            let read = needed - unread.min(needed);
            self.running.push(Running { run, admitted, unread, read, ready_at, made: 0 });
        }
    }

    /// Puts requests back while the memory is too small: the newest of the least urgent first.
    fn fit(&mut self, now: Timestamp) {
        let used = |running: &[Running]| running.iter().map(Running::tokens).sum::<u64>();
        while used(&self.running) > KV_TOKENS && self.running.len() > 1 {
            let newest = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, running)| (running.run.urgency, running.admitted));
            let Some((place, _)) = newest else { return };
            let running = self.running.remove(place);
            self.cached.discard_unfinished(&running.run.levels, now);
            self.preempted += 1;
            self.waiting.push((running.admitted, running.run));
        }
        let uncached: u64 = self.running.iter().map(Running::uncached_tokens).sum();
        let free = KV_TOKENS.saturating_sub(uncached);
        self.cached.set_capacity(free.max(u64::from(PIECE_TOKENS)));
    }

    /// Tells how many of a prompt's prefixes it holds.
    pub(super) fn held(&self, levels: &[PrefixSegment]) -> usize {
        self.cached.matched(levels)
    }
}
