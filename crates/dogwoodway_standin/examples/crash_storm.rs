//! Prints a table of simulated storms of crashing requests, under each policy.
//!
//!     cargo run --release -p dogwoodway_standin --example crash_storm -- --seeds 5

use clap::Parser;
use dogwoodway_standin::crash_storm::{Cause, Outcome, PolicyKind, Storm, simulate};

#[derive(Parser)]
struct Args {
    /// Number of seeds for each case.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Policies to play.
    #[arg(long, value_enum, default_values = ["no-blame", "crash-count", "part-blame"])]
    policies: Vec<PolicyKind>,
}

fn cases() -> Vec<(String, Storm)> {
    let mut cases = Vec::new();
    for share in [0.001, 0.01, 0.05, 0.3] {
        cases.push((
            format!("{:.1}% of requests", share * 1e2),
            Storm { cause_share: share, ..Storm::default() },
        ));
    }
    for batch in [4, 64] {
        let requests_per_s = 140.0 * batch as f64 / 16.0;
        cases.push((
            format!("batches of {batch}"),
            Storm { batch, requests_per_s, ..Storm::default() },
        ));
    }
    for (routers, engines, requests_per_s) in [(30, 100, 700.0), (103, 250, 1_700.0)] {
        let storm = Storm { routers, engines, requests_per_s, ..Storm::default() };
        cases.push((format!("{routers} routers, {engines} engines"), storm));
    }
    for knowledge_ms in [500, 2_000] {
        cases.push((
            format!("notices take up to {knowledge_ms} ms"),
            Storm { knowledge_ms, ..Storm::default() },
        ));
    }
    let other_crashes_per_hour = 120.0;
    cases.push((
        "engines crash for other reasons too".to_owned(),
        Storm { other_crashes_per_hour, ..Storm::default() },
    ));
    for (name, cause) in [
        ("two causes", Cause::TwoDocuments),
        ("last parts under a shared document", Cause::OwnParts),
        ("all requests", Cause::Everything),
    ] {
        cases.push((name.to_owned(), Storm { cause, ..Storm::default() }));
    }
    for share in [0.01, 0.05, 0.3] {
        let storm = Storm { crashes_before_answer: true, cause_share: share, ..Storm::default() };
        cases.push((format!("before the answer, {:.0}% of requests", share * 1e2), storm));
    }
    let before = Storm { crashes_before_answer: true, ..Storm::default() };
    cases.push((
        "before the answer, two causes".to_owned(),
        Storm { cause: Cause::TwoDocuments, ..before },
    ));
    cases.push((
        "before the answer, engines crash for other reasons too".to_owned(),
        Storm { other_crashes_per_hour, ..before },
    ));
    cases.push((
        "before the answer, 30 routers, 100 engines".to_owned(),
        Storm { routers: 30, engines: 100, requests_per_s: 700.0, ..before },
    ));
    let nothing =
        Storm { cause: Cause::Nothing, other_crashes_per_hour: 600.0, ..Storm::default() };
    cases.push(("only other reasons, 600 an hour each".to_owned(), nothing));
    cases
}

fn main() {
    let args = Args::parse();
    println!(
        "| case | policy | engines lost | late requests | sound answered | sound refused | refused after an answer |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, storm) in cases() {
        for policy in args.policies.iter().copied() {
            let outcomes: Vec<_> =
                (0..args.seeds).map(|seed| simulate(storm, policy, seed)).collect();
            println!("| {name} | {} | {} |", policy.name(), row(&outcomes));
        }
    }
}

/// Formats means over the seeds, and the largest numbers of engines lost and of late requests.
fn row(outcomes: &[Outcome]) -> String {
    let mean = |value: fn(&Outcome) -> usize| {
        outcomes.iter().map(value).sum::<usize>() as f64 / outcomes.len() as f64
    };
    let max = |value: fn(&Outcome) -> usize| outcomes.iter().map(value).max().unwrap_or(0);
    let share = |value: fn(&Outcome) -> usize| match mean(|o| o.sound) {
        0.0 => "-".to_owned(),
        sound => format!("{:.2}%", 1e2 * mean(value) / sound),
    };
    format!(
        "{:.1}, at most {} | {:.1}, at most {} | {} | {} | {}",
        mean(|o| o.lost_engines),
        max(|o| o.lost_engines),
        mean(|o| o.late_requests),
        max(|o| o.late_requests),
        share(|o| o.sound_answered),
        share(|o| o.sound_refused),
        share(|o| o.refused_after_answer),
    )
}
