//! The command `audit`, which prints the audit trail of configuration changes.

use std::process::ExitCode;

use dogwoodway_control::{TrailEntry, Verdict};
use dogwoodway_log::HttpLog;

use crate::{
    cli::{LogArgs, OutputFormat},
    operator::{fail, reader::read_state},
};

/// Prints the changes that the audit trail keeps, oldest first.
pub(crate) async fn audit(args: &LogArgs) -> ExitCode {
    let state = match read_state(&HttpLog::new(args.log_url.clone())).await {
        Ok(state) => state,
        Err(e) => return fail(e),
    };
    match args.output {
        OutputFormat::Text => {
            state.trail.entries().for_each(|entry| println!("{}", entry_line(entry)));
        }
        OutputFormat::Json => match serde_json::to_string_pretty(&state.trail) {
            Ok(text) => println!("{text}"),
            Err(e) => return fail(e),
        },
    }
    ExitCode::SUCCESS
}

/// Formats a verdict as one line.
pub(super) fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { offset } => format!("accepted at offset {offset}"),
        Verdict::Stale { object, changed_at, changed_by } => {
            let by = changed_by.as_deref().unwrap_or("an unknown author");
            format!("stale: {object} was changed at offset {changed_at} by {by}")
        }
        Verdict::Invalid { diagnostics } => {
            let diagnostics: Vec<_> = diagnostics.iter().map(ToString::to_string).collect();
            format!("invalid: {}", diagnostics.join("; "))
        }
    }
}

fn entry_line(entry: &TrailEntry) -> String {
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
