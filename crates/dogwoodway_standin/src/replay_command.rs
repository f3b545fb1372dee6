//! The command that replays loads.

use clap::{Args, ValueEnum};
use dogwoodway_standin::simulation::{
    LoadPattern, PolicyKind, SimulationConfig, Summary, simulate,
};
use serde::Serialize;

/// Which loads are replayed, and how.
#[derive(Debug, Args)]
pub(crate) struct ReplayArgs {
    /// Load patterns; all if none is given.
    #[arg(long = "pattern", value_enum)]
    patterns: Vec<LoadPattern>,
    /// Ways to choose an engine; all if none is given.
    #[arg(long = "policy", value_enum)]
    policies: Vec<PolicyKind>,
    /// Requests, relative to what the engines can compute.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// Engines.
    #[arg(long, default_value_t = 9)]
    engines: usize,
    /// Routers.
    #[arg(long, default_value_t = 4)]
    routers: usize,
    /// Milliseconds between two datagrams of a router; 0 for routers that tell nothing.
    #[arg(long, default_value_t = 23)]
    gossip_ms: u64,
    /// Seconds of arrivals.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds to replay; the worth is their mean.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
}

/// One line of the result.
#[derive(Debug, Serialize)]
pub(crate) struct Line {
    pattern: LoadPattern,
    policy: PolicyKind,
    #[serde(rename = "mean_worth")]
    mean_relative_utility: f64,
    last: Summary,
}

impl ReplayArgs {
    /// Replays all that was asked for.
    pub(crate) fn run(&self) -> Vec<Line> {
        let patterns = match self.patterns.is_empty() {
            true => LoadPattern::value_variants().to_vec(),
            false => self.patterns.clone(),
        };
        let policies = match self.policies.is_empty() {
            true => PolicyKind::value_variants().to_vec(),
            false => self.policies.clone(),
        };
        let mut lines = Vec::new();
        for pattern in patterns {
            for &policy in &policies {
                lines.extend(self.line(pattern, policy));
            }
        }
        lines
    }

    fn line(&self, pattern: LoadPattern, policy: PolicyKind) -> Option<Line> {
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
        Some(Line { pattern, policy, mean_relative_utility, last })
    }
}
