//! The `replay` command, which simulates placement policies under load patterns.

use clap::{Args, ValueEnum};
use dogwoodway_standin::simulation::{
    LoadPattern, PolicyKind, SimulationConfig, Summary, simulate,
};
use serde::Serialize;

/// Arguments of the `replay` command.
#[derive(Debug, Args)]
pub(crate) struct ReplayArgs {
    /// Load pattern to simulate; may be repeated. Without it, all patterns are simulated.
    #[arg(long = "pattern", value_enum)]
    patterns: Vec<LoadPattern>,
    /// Placement policy to simulate; may be repeated. Without it, all policies are simulated.
    #[arg(long = "policy", value_enum)]
    policies: Vec<PolicyKind>,
    /// Request rate, relative to the rate at which all engines together can compute the unshared
    /// tokens of the prompts.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// Number of engines.
    #[arg(long, default_value_t = 9)]
    engines: usize,
    /// Number of routers.
    #[arg(long, default_value_t = 4)]
    routers: usize,
    /// Interval between the gossip datagrams of a router, in milliseconds; 0 turns gossip off.
    #[arg(long, default_value_t = 23)]
    gossip_ms: u64,
    /// Time during which requests arrive, in simulated seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// First seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to simulate; `mean_worth` is the mean over them.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
}

/// Results of one policy under one load pattern.
#[derive(Debug, Serialize)]
pub(crate) struct PolicyResult {
    pattern: LoadPattern,
    policy: PolicyKind,
    #[serde(rename = "mean_worth")]
    mean_relative_utility: f64,
    /// Results for the last seed.
    last: Summary,
}

impl ReplayArgs {
    /// Simulates each policy under each load pattern.
    pub(crate) fn run(&self) -> Vec<PolicyResult> {
        let patterns = match self.patterns.is_empty() {
            true => LoadPattern::value_variants().to_vec(),
            false => self.patterns.clone(),
        };
        let policies = match self.policies.is_empty() {
            true => PolicyKind::value_variants().to_vec(),
            false => self.policies.clone(),
        };
        let mut results = Vec::new();
        for pattern in patterns {
            for &policy in &policies {
                results.extend(self.simulate_seeds(pattern, policy));
            }
        }
        results
    }

    fn simulate_seeds(&self, pattern: LoadPattern, policy: PolicyKind) -> Option<PolicyResult> {
        let config = |seed| SimulationConfig {
            pattern,
            load: self.load,
            engines: self.engines,
            routers: self.routers,
            gossip_ms: (self.gossip_ms > 0).then_some(self.gossip_ms),
            seconds: self.seconds,
            seed,
        };
        let seeds = self.seed..self.seed + self.seeds;
        let summaries: Vec<_> = seeds.map(|seed| simulate(&config(seed), policy)).collect();
        let total: f64 = summaries.iter().map(|summary| summary.relative_utility).sum();
        let mean_relative_utility = total / summaries.len() as f64;
        let last = summaries.into_iter().next_back()?;
        Some(PolicyResult { pattern, policy, mean_relative_utility, last })
    }
}
