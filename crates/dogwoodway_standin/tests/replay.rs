//! The router's decisions under the loads that they answer, against other ways to choose.
//!
//! Bounds are those that the project has set itself: nineteen twentieths of what an oracle earns, and
//! as much beyond capacity as at capacity.

use dogwoodway_standin::simulation::{
    LoadPattern, PolicyKind, SimulationConfig, Summary, simulate,
};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Share of the oracle's worth that the router must reach.
const OF_ORACLE: f64 = 0.95;

fn setting(pattern: LoadPattern, load: f64) -> SimulationConfig {
    SimulationConfig { pattern, load, ..SimulationConfig::default() }
}

fn replays(setting: &SimulationConfig, policy: PolicyKind) -> Vec<Summary> {
    SEEDS.map(|seed| simulate(&SimulationConfig { seed, ..*setting }, policy)).into()
}

fn mean_worth(summaries: &[Summary]) -> f64 {
    summaries.iter().map(|summary| summary.relative_utility).sum::<f64>() / summaries.len() as f64
}

fn worth(setting: &SimulationConfig, policy: PolicyKind) -> f64 {
    mean_worth(&replays(setting, policy))
}

/// Expects the router to earn nearly as much as the oracle, and more than the simple ways.
fn expect_near_oracle(pattern: LoadPattern, load: f64) {
    let setting = setting(pattern, load);
    let summaries = replays(&setting, PolicyKind::Router);
    let router = mean_worth(&summaries);
    let oracle = worth(&setting, PolicyKind::Oracle);
    assert!(router >= oracle * OF_ORACLE, "{pattern:?}: {router:.3} of the oracle's {oracle:.3}");
    for simple in [PolicyKind::Random, PolicyKind::LeastLoaded, PolicyKind::Rendezvous] {
        let simple_worth = worth(&setting, simple);
        assert!(router >= simple_worth, "{pattern:?}: {router:.3}, {simple:?} {simple_worth:.3}");
    }
    // Patient requests give way to urgent ones, not the other way round.
    let served = |kind: usize| {
        let of_kind = || summaries.iter().map(|summary| &summary.classes[kind]);
        let served: usize = of_kind().map(|kind| kind.in_time + kind.late).sum();
        let asked: usize = of_kind().map(|kind| kind.requests).sum();
        served as f64 / asked as f64
    };
    assert!(served(0) >= served(1), "{pattern:?}: {:.3} {:.3}", served(0), served(1));
}

#[test]
fn calm() {
    expect_near_oracle(LoadPattern::Steady, 0.6);
}

#[test]
fn a_burst() {
    expect_near_oracle(LoadPattern::Burst, 0.8);
}

#[test]
fn one_subject_with_a_quarter_of_the_requests() {
    expect_near_oracle(LoadPattern::HotKey, 0.8);
}

#[test]
fn all_callers_back_at_once() {
    expect_near_oracle(LoadPattern::ThunderingHerd, 0.8);
}

#[test]
fn callers_that_repeat_at_once() {
    expect_near_oracle(LoadPattern::ImmediateRetries, 0.8);
}

#[test]
fn a_third_of_the_engines_gone() {
    expect_near_oracle(LoadPattern::EngineLoss, 0.8);
}

#[test]
fn engines_that_fail_fast() {
    expect_near_oracle(LoadPattern::GrayFailures, 0.8);
}

#[test]
fn engines_emptied_one_after_the_other() {
    expect_near_oracle(LoadPattern::RollingDrain, 0.8);
}

#[test]
fn new_weights_in_a_peak() {
    expect_near_oracle(LoadPattern::WeightsRollout, 0.8);
}

#[test]
fn large_prompts_in_front_of_small_ones() {
    expect_near_oracle(LoadPattern::LargePrompts, 0.8);
}

#[test]
fn slow_links() {
    expect_near_oracle(LoadPattern::SlowLinks, 0.8);
}

#[test]
fn a_bit_beyond_capacity() {
    expect_near_oracle(LoadPattern::Steady, 1.1);
}

#[test]
fn far_beyond_capacity_as_much_is_earned_as_at_capacity() {
    let earned = |load: f64| {
        let summaries = replays(&setting(LoadPattern::Steady, load), PolicyKind::Router);
        summaries.iter().map(|summary| summary.total_utility).sum::<f64>()
    };
    let (at, beyond) = (earned(1.0), earned(1.5));
    assert!(beyond >= at * 0.95, "{beyond:.0} beyond capacity, {at:.0} at capacity");
}

#[test]
fn news_of_other_routers_is_worth_having() {
    let told = setting(LoadPattern::Steady, 0.8);
    let silent = SimulationConfig { gossip_ms: None, routers: 20, ..told };
    let told = SimulationConfig { routers: 20, gossip_ms: Some(39), ..told };
    let (with, without) = (worth(&told, PolicyKind::Router), worth(&silent, PolicyKind::Router));
    assert!(with > without, "{with:.3} with, {without:.3} without");
}
