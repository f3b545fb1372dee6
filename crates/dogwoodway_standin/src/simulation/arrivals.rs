//! Random requests of two classes, generated from a seed.

use std::{str::FromStr, time::Duration};

use dogwoodway_routing::direct::prompt::{Prompt, PromptPart};
use dogwoodway_types::{IdError, ModelName, Timestamp};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::pattern::{LoadPattern, SimulationConfig};

/// Name of the only model.
pub(super) const MODEL: &str = "m0";

/// Simulated time at which each simulation starts.
pub(super) const START_TIME: Timestamp = Timestamp::from_millis(1_000_000);

/// Upper limit of the tokens of a prompt that no other prompt shares: the largest number in the
/// comparisons of the users' workload.
const MAX_OWN_TOKENS: f64 = 54_600.0;

/// Standard deviation of the logarithm of the number of unshared prompt tokens.
const OWN_TOKENS_LOG_STD_DEV: f64 = 1.0;

/// Share of the requests that have the first shared prefix of their class in
/// [`LoadPattern::HotKey`].
const HOT_KEY_SHARE: f64 = 0.25;

/// A class of requests, with the figures of the users' workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestClass {
    pub(super) name: &'static str,
    /// Share of all requests.
    share: f64,
    /// Number of different prefixes that prompts of the class share.
    shared_prefixes: u32,
    /// Tokens of each shared prefix.
    shared_tokens: u32,
    /// Mean tokens of a prompt after its shared prefix.
    mean_own_tokens: f64,
    mean_output_tokens: f64,
    /// Requests with lower values go first.
    pub(super) priority: u8,
    /// Time to the first output up to which an answer counts as in time.
    pub(super) expected_latency: Duration,
    /// Time from the first attempt to the deadline of the request.
    pub(super) timeout: Duration,
    /// Utility of an answer in time, and of a late one, for a request of mean size.
    pub(super) utility: (f64, f64),
}

/// Short look-ups with a tight latency target and long comparisons with a looser one, as in the
/// users' order processing.
pub(super) const CLASSES: [RequestClass; 2] = [
    RequestClass {
        name: "look-up",
        share: 0.8,
        shared_prefixes: 215,
        shared_tokens: 568,
        mean_own_tokens: 1_800.0,
        mean_output_tokens: 5.0,
        priority: 0,
        expected_latency: Duration::from_millis(400),
        timeout: Duration::from_millis(3_000),
        utility: (1.9, 0.58),
    },
    RequestClass {
        name: "comparison",
        share: 0.2,
        shared_prefixes: 120,
        shared_tokens: 5_382,
        mean_own_tokens: 6_610.0,
        mean_output_tokens: 76.0,
        priority: 1,
        expected_latency: Duration::from_millis(800),
        timeout: Duration::from_millis(15_000),
        utility: (6.3, 1.9),
    },
];

/// Returns the mean number of prompt tokens after the shared prefix, over all classes.
pub(super) fn mean_own_tokens() -> f64 {
    CLASSES.iter().map(|class| class.share * class.mean_own_tokens).sum()
}

/// A request that arrives at a router.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Timestamp,
    /// Index into [`CLASSES`].
    pub(super) class: usize,
    /// Index of the router that receives the request.
    pub(super) router: usize,
    pub(super) prompt: Prompt,
    /// Whether the request was refused before.
    pub(super) is_retry: bool,
    pub(super) expected_by: Timestamp,
    pub(super) deadline: Timestamp,
    /// Random number for the decisions of the policy.
    pub(super) draw: u64,
}

impl Arrival {
    /// Returns the utility of the answer, which grows with the size of the request. An output token
    /// counts as much as ten prompt tokens.
    pub(super) fn utility(&self, is_in_time: bool) -> f64 {
        let class = &CLASSES[self.class];
        let mean_size = f64::from(class.shared_tokens)
            + class.mean_own_tokens
            + 10.0 * class.mean_output_tokens;
        let size = f64::from(self.prompt.input_tokens + 10 * self.prompt.output_tokens);
        let factor = (0.3 + 0.7 * size / mean_size).min(4.0);
        factor * if is_in_time { class.utility.0 } else { class.utility.1 }
    }

    /// Returns the tokens of the shared prefix.
    pub(super) fn shared_tokens(&self) -> u32 {
        let parts = &self.prompt.parts;
        parts.split_last().map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum())
    }
}

/// Generates the requests of a simulation, with exponential inter-arrival times.
pub(super) fn generate_arrivals(config: &SimulationConfig, requests_per_s: f64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        let per_s = requests_per_s * config.pattern.arrival_rate_factor(at_s);
        at_s += -(1.0 - rng.random::<f64>()).ln() / per_s;
        if at_s >= config.seconds {
            return arrivals;
        }
        let at = START_TIME + Duration::from_secs_f64(config.pattern.arrival_time_s(at_s));
        arrivals.push(generate_arrival(config, &mut rng, at));
    }
}

fn generate_arrival(config: &SimulationConfig, rng: &mut StdRng, at: Timestamp) -> Arrival {
    let class_index = usize::from(rng.random::<f64>() >= CLASSES[0].share);
    let class = &CLASSES[class_index];
    let is_hot = config.pattern == LoadPattern::HotKey && rng.random::<f64>() < HOT_KEY_SHARE;
    let subject = if is_hot { 0 } else { rng.random_range(0..class.shared_prefixes) };
    let (mean, log_std_dev) = match config.pattern {
        LoadPattern::LargePrompts if class_index == 1 => (class.mean_own_tokens * 2.0, 1.4),
        _ => (class.mean_own_tokens, OWN_TOKENS_LOG_STD_DEV),
    };
    let own = log_normal(rng, mean, log_std_dev).clamp(16.0, MAX_OWN_TOKENS) as u32;
    let output = log_normal(rng, class.mean_output_tokens, 0.44).clamp(1.0, 400.0) as u32;
    let draw = rng.random();
    let part = |id: String, tokens| PromptPart { id, tokens };
    let parts = vec![
        part(format!("{}-{subject}", class.name), class.shared_tokens),
        part(format!("own-{draw:x}"), own),
    ];
    Arrival {
        at,
        class: class_index,
        router: rng.random_range(0..config.routers),
        prompt: Prompt {
            model: parse_id::<ModelName>(MODEL),
            input_tokens: class.shared_tokens + own,
            output_tokens: output,
            parts,
        },
        is_retry: false,
        expected_by: at + class.expected_latency,
        deadline: at + class.timeout,
        draw,
    }
}

/// Samples a log-normal distribution with the given mean and standard deviation of the logarithm.
fn log_normal(rng: &mut StdRng, mean: f64, log_std_dev: f64) -> f64 {
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt() * angle.cos();
    (mean.ln() - log_std_dev * log_std_dev / 2.0 + log_std_dev * normal).exp()
}

/// Parses an identifier that is a constant of this crate or built from one.
pub(super) fn parse_id<T>(name: &str) -> T
where
    T: FromStr<Err = IdError>,
{
    name.parse().unwrap_or_else(|e| unreachable!("{name} is a valid identifier: {e}"))
}
