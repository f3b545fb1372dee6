//! Compares ways to know where broken-off streams began, during a release of the engines.
//!
//!     cargo run --release -p dogwoodway_standin --example stream_origins -- --seeds 5

use clap::Parser;
use dogwoodway_standin::stream_origins::{Knowledge, Outcome, simulate};

/// Routers and zones of the simulated fleets.
const FLEETS: [(u32, u16); 4] = [(4, 3), (30, 3), (103, 3), (380, 8)];

/// Shares of the second version at the beginning and at the end of the release.
const SHARES: (f64, f64) = (0.1, 0.66);

#[derive(Debug, Parser)]
struct Args {
    /// Number of seeds, from 1 on.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

fn main() {
    let args = Args::parse();
    println!("| routers | way | taken up | went on | wrong version | delay ms | bytes/s |");
    println!("|---|---|---|---|---|---|---|");
    for (routers, zones) in FLEETS {
        for way in Knowledge::ALL {
            let outcomes = (1..=args.seeds).map(|seed| simulate(way, routers, zones, SHARES, seed));
            let sum = outcomes.fold(Outcome::default(), |a, b| Outcome {
                taken_up: a.taken_up + b.taken_up,
                went_on: a.went_on + b.went_on,
                wrong: a.wrong + b.wrong,
                delay_ms: a.delay_ms + b.delay_ms,
            });
            let found = f64::from((sum.went_on + sum.wrong).max(1));
            println!(
                "| {routers} | {} | {} | {:.4} | {} | {:.1} | {:.0} |",
                way.name(),
                sum.taken_up,
                f64::from(sum.went_on) / f64::from(sum.taken_up),
                sum.wrong,
                sum.delay_ms / found,
                way.bytes_per_s(routers),
            );
        }
    }
}
