//! Seeded requests of the two kinds that engines serve.

use std::{str::FromStr, time::Duration};

use dogwoodway_routing::direct::prompt::{Prompt, PromptPart};
use dogwoodway_types::{IdError, ModelName, Timestamp};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::pattern::{LoadPattern, SimulationConfig};

/// The only model.
pub(super) const MODEL: &str = "m0";

/// Start of each replay.
pub(super) const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Longest prompt, in tokens: the largest that the users' comparisons have.
const MAX_OWN_TOKENS: f64 = 54_600.0;

/// Spread of prompt lengths, as the deviation of their logarithm.
const OWN_SPREAD: f64 = 1.0;

/// Share of all requests that are about one subject in [`LoadPattern::HotKey`].
const HOT_SHARE: f64 = 0.25;

/// A kind of request, with the users' figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Kind {
    pub(super) name: &'static str,
    /// Share of all requests.
    share: f64,
    /// Subjects that prompts share a part about.
    subjects: u32,
    shared_tokens: u32,
    own_tokens: f64,
    output_tokens: f64,
    pub(super) urgency: u8,
    pub(super) expected: Duration,
    pub(super) patience: Duration,
    /// Worth of an answer in time, and of a late one.
    pub(super) worth: (f64, f64),
}

/// Urgent look-ups and patient comparisons, as a seller's order desk has them.
pub(super) const KINDS: [Kind; 2] = [
    Kind {
        name: "look-up",
        share: 0.8,
        subjects: 215,
        shared_tokens: 568,
        own_tokens: 1_800.0,
        output_tokens: 5.0,
        urgency: 0,
        expected: Duration::from_millis(400),
        patience: Duration::from_millis(3_000),
        worth: (1.9, 0.58),
    },
    Kind {
        name: "comparison",
        share: 0.2,
        subjects: 120,
        shared_tokens: 5_382,
        own_tokens: 6_610.0,
        output_tokens: 76.0,
        urgency: 1,
        expected: Duration::from_millis(800),
        patience: Duration::from_millis(15_000),
        worth: (6.3, 1.9),
    },
];

/// Mean tokens of a request that no other request shares.
pub(super) fn mean_own_tokens() -> f64 {
    KINDS.iter().map(|kind| kind.share * kind.own_tokens).sum()
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Timestamp,
    /// Place in [`KINDS`].
    pub(super) kind: usize,
    pub(super) router: usize,
    pub(super) prompt: Prompt,
    /// Whether it comes back after a refusal.
    pub(super) is_return: bool,
    pub(super) expected_by: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) draw: u64,
}

impl Arrival {
    /// Returns the worth of the answer, in time or late. Large requests are worth more.
    pub(super) fn worth(&self, is_in_time: bool) -> f64 {
        let kind = &KINDS[self.kind];
        let mean = f64::from(kind.shared_tokens) + kind.own_tokens + 10.0 * kind.output_tokens;
        let size = f64::from(self.prompt.input_tokens + 10 * self.prompt.output_tokens);
        let factor = (0.3 + 0.7 * size / mean).min(4.0);
        factor * if is_in_time { kind.worth.0 } else { kind.worth.1 }
    }

    /// Returns the shared parts' tokens.
    pub(super) fn shared_tokens(&self) -> u32 {
        let parts = &self.prompt.parts;
        parts.split_last().map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum())
    }
}

/// Draws the requests of a replay, in order of time.
pub(super) fn draw(setting: &SimulationConfig, requests_per_s: f64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(setting.seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        let per_s = requests_per_s * setting.pattern.load_factor(at_s);
        at_s += -(1.0 - rng.random::<f64>()).ln() / per_s;
        if at_s >= setting.seconds {
            return arrivals;
        }
        let at = START + Duration::from_secs_f64(setting.pattern.arrives_at(at_s));
        arrivals.push(request(setting, &mut rng, at));
    }
}

fn request(setting: &SimulationConfig, rng: &mut StdRng, at: Timestamp) -> Arrival {
    let kind_place = usize::from(rng.random::<f64>() >= KINDS[0].share);
    let kind = &KINDS[kind_place];
    let is_hot = setting.pattern == LoadPattern::HotKey && rng.random::<f64>() < HOT_SHARE;
    let subject = if is_hot { 0 } else { rng.random_range(0..kind.subjects) };
    let (mean, spread) = match setting.pattern {
        LoadPattern::LargePrompts if kind_place == 1 => (kind.own_tokens * 2.0, 1.4),
        _ => (kind.own_tokens, OWN_SPREAD),
    };
    let own = log_normal(rng, mean, spread).clamp(16.0, MAX_OWN_TOKENS) as u32;
    let output = log_normal(rng, kind.output_tokens, 0.44).clamp(1.0, 400.0) as u32;
    let draw = rng.random();
    let part = |id: String, tokens| PromptPart { id, tokens };
    let parts = vec![
        part(format!("{}-{subject}", kind.name), kind.shared_tokens),
        part(format!("own-{draw:x}"), own),
    ];
    Arrival {
        at,
        kind: kind_place,
        router: rng.random_range(0..setting.routers),
        prompt: Prompt {
            model: plain::<ModelName>(MODEL),
            input_tokens: kind.shared_tokens + own,
            output_tokens: output,
            parts,
        },
        is_return: false,
        expected_by: at + kind.expected,
        deadline: at + kind.patience,
        draw,
    }
}

/// Draws from the log-normal distribution of the given mean.
fn log_normal(rng: &mut StdRng, mean: f64, spread: f64) -> f64 {
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt() * angle.cos();
    (mean.ln() - spread * spread / 2.0 + spread * normal).exp()
}

/// Reads a name that is written in this program.
pub(super) fn plain<T>(name: &str) -> T
where
    T: FromStr<Err = IdError>,
{
    name.parse().unwrap_or_else(|e| unreachable!("{name} is a valid name: {e}"))
}
