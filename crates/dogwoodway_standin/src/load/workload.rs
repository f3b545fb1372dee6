//! The requests of a scenario, in the order of their arrival.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::load::scenario::Scenario;

/// One request to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Microseconds after the start.
    pub at_us: u64,
    /// Index of the entry.
    pub entry: usize,
    /// Index of the team.
    pub team: usize,
    /// Index of the team's catalogue.
    pub catalogue: usize,
    /// Index of the class.
    pub class: usize,
    /// Number that makes the case unique.
    pub case: u64,
}

/// Plans all requests of a run; the same for the same seed, load and number of entries.
pub fn plan(scenario: &Scenario, load: f64, entries: usize) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let ranks = (1..=scenario.catalogues).map(|rank| (rank as f64).powf(-scenario.skew));
    let ranks: Vec<f64> = ranks.collect();
    let classes: Vec<f64> = scenario.classes.iter().map(|class| class.share).collect();
    let (end, rate) = (f64::from(scenario.seconds), scenario.capacity_rps * load);
    let mut planned = Vec::new();
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at >= end {
            return planned;
        }
        let team = pick(&mut rng, &scenario.team_weights);
        let rank = pick(&mut rng, &ranks);
        let is_shifted = scenario.shift_at_s.is_some_and(|shift| at >= shift);
        planned.push(Planned {
            at_us: (at * 1e6) as u64,
            entry: rng.random_range(0..entries),
            team,
            catalogue: if is_shifted { scenario.catalogues - 1 - rank } else { rank },
            class: pick(&mut rng, &classes),
            case: rng.random(),
        });
    }
}

/// Returns filler text of about the given number of tokens, unique to its name.
pub(crate) fn text(name: &str, tokens: u32) -> String {
    let bytes = tokens as usize * 4;
    let line = format!("{name}: quarter sawn spruce, tight grain; ");
    let mut text = line.repeat(bytes / line.len() + 1);
    text.truncate(bytes);
    text
}

fn pick(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}
