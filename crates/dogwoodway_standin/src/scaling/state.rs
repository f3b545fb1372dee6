//! Measurements of the memory, encoded size and processor time of single data structures.

use std::{collections::BTreeMap, hint::black_box, time::Instant};

use dogwoodway_control::{ConfigState, Snapshot};
use dogwoodway_routing::prefix_index::PrefixIndex;
use dogwoodway_types::{
    EngineIncarnation, KeyHash, LogOffset, PieceHash, Selector, SelectorName, Team, TeamName,
};

use crate::scaling::{ScalingMeasurement, process::resident_kb};

/// Measures the configuration and the prefix index at several sizes. The sizes in memory are far
/// above those of the target deployment, because resident memory is counted in whole pages.
pub fn measure_scaling() -> Vec<ScalingMeasurement> {
    let measurements = [
        ScalingMeasurement::measure(
            "configuration in memory",
            "bytes/team",
            &[2_000, 4_000, 8_000, 16_000],
            |teams| resident_bytes(|| configuration(teams)),
        ),
        ScalingMeasurement::measure(
            "configuration encoded",
            "bytes/team",
            &[150, 300, 600, 1_200],
            |teams| encoded_bytes(&configuration(teams)),
        ),
        ScalingMeasurement::measure(
            "prefix index in memory",
            "bytes/block",
            &[50_000, 100_000, 200_000, 400_000],
            |pieces| resident_bytes(|| prefix_index(pieces)),
        ),
        ScalingMeasurement::measure(
            "prefix index update",
            "ns/event",
            &[50_000, 100_000, 200_000, 400_000],
            |pieces| elapsed_ns(|| prefix_index(pieces)),
        ),
    ];
    measurements.into_iter().flatten().collect()
}

/// Returns the number of bytes by which the resident memory grows when `build` is called.
fn resident_bytes<T, F>(build: F) -> f64
where
    F: FnOnce() -> T,
{
    let pid = std::process::id();
    let before = resident_kb(pid).unwrap_or(0);
    let value = black_box(build());
    let after = resident_kb(pid).unwrap_or(0);
    // If the value were dropped, the next one would reuse its memory, and no growth would be seen.
    std::mem::forget(value);
    (after.saturating_sub(before) * 1_024) as f64
}

fn elapsed_ns<T, F>(build: F) -> f64
where
    F: FnOnce() -> T,
{
    let started_at = Instant::now();
    black_box(build());
    started_at.elapsed().as_nanos() as f64
}

fn encoded_bytes(state: &ConfigState) -> f64 {
    Snapshot::new(state).text.len() as f64
}

/// Creates a configuration with one selector for each team.
fn configuration(teams: u32) -> ConfigState {
    let mut state = ConfigState::default();
    for i in 0..teams {
        let name = format!("team-{i}");
        let (Ok(team), Ok(selector)) =
            (TeamName::try_from(name.as_str()), SelectorName::try_from(name.as_str()))
        else {
            continue;
        };
        let cfg = &mut state.configuration;
        cfg.offset = LogOffset(u64::from(i));
        cfg.selectors.insert(
            selector.clone(),
            Selector {
                name: selector,
                teams: vec![team.clone()],
                classes: Vec::new(),
                model: None,
                version: None,
                labels: BTreeMap::from([("pool".to_owned(), name.clone())]),
                priority: None,
            },
        );
        let keys = vec![KeyHash::new("pepper", &name)];
        let value =
            Team { name: team.clone(), keys, tokens_per_minute: 1_000_000, max_in_flight: 100 };
        cfg.teams.insert(team, value);
    }
    state
}

/// Creates a prefix index with `pieces` prompt pieces of one engine.
fn prefix_index(pieces: u32) -> PrefixIndex {
    let mut index = PrefixIndex::new(pieces as usize);
    index.set_engine(EngineIncarnation(1), pieces as usize);
    for i in 0..pieces {
        let piece =
            PieceHash(u128::from(i).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835));
        index.insert(EngineIncarnation(1), &[piece]);
    }
    index
}
