//! The operator's commands.

use std::{process::ExitCode, sync::Arc};

use dogwoodway_control::{Base, ConfigChange, ConfigRecord, ConfigState, Verdict};
use dogwoodway_log::{HttpLog, LogError, PlatformLog, StreamName};
use dogwoodway_types::{ChangeId, ConfigEdit, KeyHash, LogOffset, Timestamp};

use crate::cli::{EXIT_FAILURE, HashKeyArgs, LogArgs, PublishArgs};

/// Publishes a file of edits and prints the verdict.
pub(crate) async fn publish(args: &PublishArgs) -> ExitCode {
    match try_publish(args).await {
        Ok(Verdict::Accepted { offset }) => {
            println!("accepted at offset {offset}");
            ExitCode::SUCCESS
        }
        Ok(verdict) => {
            println!("{verdict:?}");
            EXIT_FAILURE
        }
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            EXIT_FAILURE
        }
    }
}

/// Prints the configuration in force.
pub(crate) async fn get(args: &LogArgs) -> ExitCode {
    let log: Arc<dyn PlatformLog> = Arc::new(HttpLog::new(args.log_url.clone()));
    let state = match read_state(&*log).await {
        Ok(state) => state,
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            return EXIT_FAILURE;
        }
    };
    match serde_yaml_ng::to_string(&state.configuration) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("dogwoodway: {e}");
            EXIT_FAILURE
        }
    }
}

/// Prints the hash of the bearer key on standard input.
pub(crate) fn hash_key(args: &HashKeyArgs) -> ExitCode {
    let mut key = String::new();
    if let Err(e) = std::io::stdin().read_line(&mut key) {
        eprintln!("dogwoodway: the key could not be read: {e}");
        return EXIT_FAILURE;
    }
    println!("{}", String::from(KeyHash::new(&args.pepper, key.trim_end())));
    ExitCode::SUCCESS
}

async fn try_publish(args: &PublishArgs) -> Result<Verdict, String> {
    let text = std::fs::read_to_string(&args.file)
        .map_err(|e| format!("{} could not be read: {e}", args.file.display()))?;
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&text)
        .map_err(|e| format!("{} is not valid: {e}", args.file.display()))?;
    let log = HttpLog::new(args.log.log_url.clone());
    let state = read_state(&log).await.map_err(|e| e.to_string())?;
    let bases = edits.iter().map(ConfigEdit::object);
    let bases = bases.map(|object| Base { version: state.version_of(&object), object }).collect();
    let id = format!("change-{:032x}", rand::random::<u128>());
    let id = ChangeId::try_from(id).map_err(|e| e.to_string())?;
    let change = ConfigChange {
        id: id.clone(),
        author: args.author.clone(),
        made_at: Timestamp::now(),
        bases,
        edits,
    };
    let record = serde_json::to_value(ConfigRecord::Change(change)).map_err(|e| e.to_string())?;
    log.append(StreamName::Config, vec![record]).await.map_err(|e| e.to_string())?;
    let state = read_state(&log).await.map_err(|e| e.to_string())?;
    state.verdicts.get(&id).cloned().ok_or_else(|| "the change was not read back".to_owned())
}

async fn read_state(log: &dyn PlatformLog) -> Result<ConfigState, LogError> {
    let mut state = ConfigState::default();
    loop {
        let from = LogOffset(state.applied.0 + 1);
        let answer = log.read(StreamName::Config, from, 500, 0).await?;
        for record in answer.records {
            if let Ok(change) = serde_json::from_value::<ConfigRecord>(record.data) {
                state.apply(record.offset, &change);
            }
        }
        if LogOffset(state.applied.0 + 1) >= answer.next {
            return Ok(state);
        }
    }
}
