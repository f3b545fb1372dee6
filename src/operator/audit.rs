//! `audit`: prints the trail of changes.

use std::process::ExitCode;

use dogwoodway_control::{TrailEntry, Verdict};
use dogwoodway_log::HttpLog;

use crate::{
    cli::{LogArgs, Output},
    operator::{fail, reader::read_state},
};

/// Prints the newest changes, the oldest of them first.
pub(crate) async fn audit(args: &LogArgs) -> ExitCode {
    let state = match read_state(&HttpLog::new(args.log_url.clone())).await {
        Ok(state) => state,
        Err(e) => return fail(e),
    };
    match args.output {
        Output::Text => state.trail.entries().for_each(|entry| println!("{}", line_of(entry))),
        Output::Json => match serde_json::to_string_pretty(&state.trail) {
            Ok(text) => println!("{text}"),
            Err(e) => return fail(e),
        },
    }
    ExitCode::SUCCESS
}

/// Describes a verdict in one line.
pub(super) fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { offset } => format!("accepted at offset {offset}"),
        Verdict::Stale { object, changed_at, changed_by } => {
            let by = changed_by.as_deref().unwrap_or("an unknown author");
            format!("stale: {object} was changed at offset {changed_at} by {by}")
        }
        Verdict::Invalid { diagnostics: faults } => {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            format!("invalid: {}", faults.join("; "))
        }
    }
}

fn line_of(entry: &TrailEntry) -> String {
    let bases = entry.bases.iter().map(|base| format!("{}@{}", base.object, base.version));
    format!(
        "{} {} {} {} [{}] {}",
        entry.offset,
        entry.made_at,
        entry.author,
        entry.id,
        bases.collect::<Vec<_>>().join(" "),
        verdict_text(&entry.verdict)
    )
}
