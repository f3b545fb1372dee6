//! Simulations of the router's placement decisions under each load pattern, compared with
//! baselines.
//!
//! The project's targets are 95 % of the utility that an oracle reaches, and as much utility beyond
//! capacity as at capacity.

use dogwoodway_standin::simulation::{
    LoadPattern, PolicyKind, SimulationConfig, Summary, simulate,
};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Share of the oracle's utility that the router must reach.
const MIN_SHARE_OF_ORACLE: f64 = 0.95;

fn config(pattern: LoadPattern, load: f64) -> SimulationConfig {
    SimulationConfig { pattern, load, ..SimulationConfig::default() }
}

fn summaries(config: &SimulationConfig, policy: PolicyKind) -> Vec<Summary> {
    SEEDS.map(|seed| simulate(&SimulationConfig { seed, ..*config }, policy)).into()
}

fn mean_relative_utility(summaries: &[Summary]) -> f64 {
    summaries.iter().map(|summary| summary.relative_utility).sum::<f64>() / summaries.len() as f64
}

fn relative_utility(config: &SimulationConfig, policy: PolicyKind) -> f64 {
    mean_relative_utility(&summaries(config, policy))
}

/// Asserts that the router reaches nearly the utility of the oracle, and at least that of the other
/// baselines.
fn assert_near_oracle(pattern: LoadPattern, load: f64) {
    let config = config(pattern, load);
    let summaries = summaries(&config, PolicyKind::Router);
    let router = mean_relative_utility(&summaries);
    let oracle = relative_utility(&config, PolicyKind::Oracle);
    assert!(
        router >= oracle * MIN_SHARE_OF_ORACLE,
        "{pattern:?}: relative utility {router:.3}, oracle {oracle:.3}"
    );
    for baseline in [PolicyKind::Random, PolicyKind::LeastLoaded, PolicyKind::Rendezvous] {
        let utility = relative_utility(&config, baseline);
        assert!(
            router >= utility,
            "{pattern:?}: relative utility {router:.3}, {baseline:?} {utility:.3}"
        );
    }
    // Requests of low priority are shed before those of high priority.
    let served_share = |class: usize| {
        let results = || summaries.iter().map(|summary| &summary.classes[class]);
        let served: usize = results().map(|class| class.in_time + class.late).sum();
        let requests: usize = results().map(|class| class.requests).sum();
        served as f64 / requests as f64
    };
    assert!(
        served_share(0) >= served_share(1),
        "{pattern:?}: share served of high priority {:.3}, of low priority {:.3}",
        served_share(0),
        served_share(1)
    );
}

#[test]
fn steady_load() {
    assert_near_oracle(LoadPattern::Steady, 0.6);
}

#[test]
fn burst() {
    assert_near_oracle(LoadPattern::Burst, 0.8);
}

#[test]
fn hot_key() {
    assert_near_oracle(LoadPattern::HotKey, 0.8);
}

#[test]
fn thundering_herd() {
    assert_near_oracle(LoadPattern::ThunderingHerd, 0.8);
}

#[test]
fn immediate_retries() {
    assert_near_oracle(LoadPattern::ImmediateRetries, 0.8);
}

#[test]
fn engine_loss() {
    assert_near_oracle(LoadPattern::EngineLoss, 0.8);
}

#[test]
fn gray_failures() {
    assert_near_oracle(LoadPattern::GrayFailures, 0.8);
}

#[test]
fn rolling_drain() {
    assert_near_oracle(LoadPattern::RollingDrain, 0.8);
}

#[test]
fn weights_rollout() {
    assert_near_oracle(LoadPattern::WeightsRollout, 0.8);
}

#[test]
fn large_prompts() {
    assert_near_oracle(LoadPattern::LargePrompts, 0.8);
}

#[test]
fn slow_links() {
    assert_near_oracle(LoadPattern::SlowLinks, 0.8);
}

#[test]
fn slight_overload() {
    assert_near_oracle(LoadPattern::Steady, 1.1);
}

#[test]
fn heavy_overload_does_not_reduce_utility() {
    let total_utility = |load: f64| {
        let summaries = summaries(&config(LoadPattern::Steady, load), PolicyKind::Router);
        summaries.iter().map(|summary| summary.total_utility).sum::<f64>()
    };
    let (at, beyond) = (total_utility(1.0), total_utility(1.5));
    assert!(beyond >= at * 0.95, "total utility {beyond:.0} beyond capacity, {at:.0} at capacity");
}

#[test]
fn gossip_increases_utility() {
    let config = config(LoadPattern::Steady, 0.8);
    let without_gossip = SimulationConfig { gossip_ms: None, routers: 20, ..config };
    let with_gossip = SimulationConfig { routers: 20, gossip_ms: Some(39), ..config };
    let with = relative_utility(&with_gossip, PolicyKind::Router);
    let without = relative_utility(&without_gossip, PolicyKind::Router);
    assert!(with > without, "relative utility {with:.3} with gossip, {without:.3} without");
}

#[test]
fn many_routers_with_late_reports_place_nearly_as_well_as_few() {
    let utility = |routers, gossip_ms, pattern| {
        let config = SimulationConfig {
            engines: 60,
            routers,
            gossip_ms: Some(gossip_ms),
            seconds: 8.0,
            ..config(pattern, 0.8)
        };
        simulate(&config, PolicyKind::Router).relative_utility
    };
    for pattern in [LoadPattern::Steady, LoadPattern::Burst, LoadPattern::LargePrompts] {
        let (few, many) = (utility(20, 60, pattern), utility(60, 60, pattern));
        assert!(many >= few - 0.03, "{pattern:?}: {many:.3} with 60 routers, {few:.3} with 20");
    }
}
