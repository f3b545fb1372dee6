//! The requests of a scenario, drawn from a seeded random generator.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::load::scenario::Scenario;

/// A request to send. Its prompt consists of the system prompt of a team, a catalogue of that team
/// and a case that no other request shares.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Arrival time in microseconds after the start of the run.
    pub arrival_us: u64,
    /// Index of the entry to send it to.
    pub entry: usize,
    /// Index of the team.
    pub team: usize,
    /// Index of the catalogue among those of the team.
    pub catalogue: usize,
    /// Index of the request class.
    pub class: usize,
    /// Random number that makes the text of the case unique.
    pub case_id: u64,
}

/// Draws all requests of a run in order of arrival, at a rate of `load` times the scenario's
/// capacity.
///
/// Arrivals form a Poisson process. The result is the same for the same seed, load and number of
/// entries.
pub fn plan_requests(scenario: &Scenario, load: f64, entries: usize) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let catalogue_weights =
        (1..=scenario.catalogues).map(|rank| (rank as f64).powf(-scenario.skew));
    let catalogue_weights: Vec<f64> = catalogue_weights.collect();
    let class_weights: Vec<f64> = scenario.classes.iter().map(|class| class.share).collect();
    let (end, rate) = (f64::from(scenario.seconds), scenario.capacity_rps * load);
    let mut planned = Vec::new();
    let mut arrival = 0.0;
    loop {
        arrival -= (1.0 - rng.random::<f64>()).ln() / rate;
        if arrival >= end {
            return planned;
        }
        let team = pick_weighted(&mut rng, &scenario.team_weights);
        let rank = pick_weighted(&mut rng, &catalogue_weights);
        let is_shifted = scenario.shift_at_s.is_some_and(|shift| arrival >= shift);
        planned.push(PlannedRequest {
            arrival_us: (arrival * 1e6) as u64,
            entry: rng.random_range(0..entries),
            team,
            catalogue: if is_shifted { scenario.catalogues - 1 - rank } else { rank },
            class: pick_weighted(&mut rng, &class_weights),
            case_id: rng.random(),
        });
    }
}

/// Returns filler text of `tokens` tokens, taken as 4 bytes each. It repeats `name`, so that texts
/// of different names differ.
pub(crate) fn filler_text(name: &str, tokens: u32) -> String {
    let bytes = tokens as usize * 4;
    let line = format!("{name}: quarter sawn spruce, tight grain; ");
    let mut text = line.repeat(bytes / line.len() + 1);
    text.truncate(bytes);
    text
}

/// Draws an index with a probability proportional to its weight.
fn pick_weighted(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}
