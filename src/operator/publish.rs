//! The command `publish`, which appends a configuration change to the log and waits for the
//! verdict.

use std::{process::ExitCode, time::Duration};

use dogwoodway_control::{
    ConfigChange, ConfigRecord, ConfigState, Snapshot, SnapshotKind, Verdict, config_warnings,
};
use dogwoodway_follower::ActiveState;
use dogwoodway_log::{HttpLog, LogError, PlatformLog, StreamName};
use dogwoodway_types::{ChangeId, ConfigEdit, Timestamp};
use serde_json::{Value, json};

use crate::{
    cli::{EXIT_INVALID, EXIT_STALE, EXIT_UNKNOWN, OutputFormat, PublishArgs},
    operator::{
        audit::verdict_text,
        diff::diff,
        fail, read_edits,
        reader::{ReadError, read_state},
    },
};

/// Maximum time in milliseconds to wait for the verdict.
const VERDICT_TIMEOUT_MS: u64 = 10_000;

/// Delay in milliseconds between reads of the log while waiting for the verdict.
const VERDICT_POLL_INTERVAL_MS: u64 = 100;

/// Publishes a file of edits, or waits for the verdict on an earlier change.
pub(crate) async fn publish(args: &PublishArgs) -> ExitCode {
    let log = HttpLog::new(args.log.log_url.clone());
    let id = match &args.change_id {
        Some(id) => id.clone(),
        None => match ChangeId::try_from(format!("change-{:032x}", rand::random::<u128>())) {
            Ok(id) => id,
            Err(e) => return fail(e),
        },
    };
    let Some(path) = args.file.as_ref().filter(|_| !args.ask) else {
        return report(args, &id, wait_for_verdict(&log, &id).await);
    };
    let edits = match read_edits(path) {
        Ok(edits) => edits,
        Err(e) => return fail(e),
    };
    let state = match read_or_init_state(&log, args).await {
        Ok(state) => state,
        Err(e) => return fail(e),
    };
    if let Some(verdict) = state.trail.verdict(&id) {
        return report(args, &id, Some(verdict.clone()));
    }
    submit(&log, args, &state, id, edits).await
}

/// Reads the configuration state; with `--init`, starts a new deployment first if the log has none.
///
/// In a dry run, the state of a new deployment is only assumed.
async fn read_or_init_state(log: &HttpLog, args: &PublishArgs) -> Result<ActiveState, ReadError> {
    match read_state(log).await {
        Err(ReadError::NoConfiguration) if args.init && args.dry_run => {
            Ok(ActiveState::new(ConfigState::new_deployment()))
        }
        Err(ReadError::NoConfiguration) if args.init => {
            let snapshot = Snapshot::new(&ConfigState::new_deployment());
            let records = snapshot.into_records(SnapshotKind::Restore, 0, None, rand::random());
            log.append(StreamName::Config, to_json(&records)).await.map_err(ReadError::Log)?;
            read_state(log).await
        }
        result => result,
    }
}

/// Appends the change, unless it is invalid or a dry run, and reports the verdict.
async fn submit(
    log: &HttpLog,
    args: &PublishArgs,
    state: &ConfigState,
    id: ChangeId,
    edits: Vec<ConfigEdit>,
) -> ExitCode {
    eprint!("{}", diff(state, &edits));
    let change = ConfigChange {
        id: id.clone(),
        author: args.author.clone(),
        made_at: Timestamp::now(),
        bases: state.base_versions(&edits),
        edits,
    };
    let (verdict, after) = state.evaluate(&change);
    config_warnings(&after).iter().for_each(|warning| eprintln!("warning: {warning}"));
    if args.dry_run || matches!(verdict, Verdict::Invalid { .. }) {
        return report(args, &id, Some(verdict));
    }
    match log.append(StreamName::Config, to_json(&[ConfigRecord::Change(change)])).await {
        Ok(_) => {}
        Err(e @ LogError::Unavailable(_)) => return fail(format!("change not published: {e}")),
        Err(e @ LogError::Unknown(_)) => {
            eprintln!("dogwoodway: {e}; checking whether the change reached the log");
        }
    }
    report(args, &id, wait_for_verdict(log, &id).await)
}

/// Reads the log until it has the verdict on a change; returns `None` if it has none in time.
async fn wait_for_verdict(log: &HttpLog, id: &ChangeId) -> Option<Verdict> {
    let deadline = Timestamp::now() + Duration::from_millis(VERDICT_TIMEOUT_MS);
    loop {
        match read_state(log).await {
            Ok(state) => {
                if let Some(verdict) = state.trail.verdict(id) {
                    return Some(verdict.clone());
                }
            }
            Err(e) => eprintln!("dogwoodway: {e}"),
        }
        if Timestamp::now() >= deadline {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(VERDICT_POLL_INTERVAL_MS)).await;
    }
}

/// Prints the verdict and returns the exit code for it.
fn report(args: &PublishArgs, id: &ChangeId, verdict: Option<Verdict>) -> ExitCode {
    let text = match &verdict {
        Some(verdict) if args.dry_run => format!("would be {}", verdict_text(verdict)),
        Some(verdict) => verdict_text(verdict),
        None => format!("unknown: ask again with publish --change-id {id} --ask"),
    };
    match args.log.output {
        OutputFormat::Text => println!("{text}"),
        OutputFormat::Json => {
            println!("{}", json!({"change": id, "verdict": verdict, "dry_run": args.dry_run}));
        }
    }
    match verdict {
        Some(Verdict::Accepted { .. }) => ExitCode::SUCCESS,
        Some(Verdict::Stale { .. }) => ExitCode::from(EXIT_STALE),
        Some(Verdict::Invalid { .. }) => ExitCode::from(EXIT_INVALID),
        None => ExitCode::from(EXIT_UNKNOWN),
    }
}

fn to_json(records: &[ConfigRecord]) -> Vec<Value> {
    records.iter().filter_map(|record| serde_json::to_value(record).ok()).collect()
}
