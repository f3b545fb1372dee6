//! Follows the configuration stream of the platform log.

use std::{sync::Arc, time::Duration};

use dogwoodway_control::{ConfigRecord, ConfigState};
use dogwoodway_log::{PlatformLog, StreamName};
use dogwoodway_types::{Configuration, LogOffset};
use tokio::sync::watch;

/// Longest wait of one read for a new record.
const READ_WAIT_MS: u64 = 5_000;

/// Pause after a failed read.
const RETRY_MS: u64 = 250;

/// Most records of one read.
const READ_RECORDS: u32 = 500;

/// The configuration in force at this process; `None` until the log was read once.
pub(crate) type ConfigWatch = watch::Receiver<Option<Arc<Configuration>>>;

/// Starts to follow the configuration.
pub(crate) fn follow(log: Arc<dyn PlatformLog>) -> ConfigWatch {
    let (tx, rx) = watch::channel(None);
    tokio::spawn(async move {
        let mut state = ConfigState::default();
        while !tx.is_closed() {
            if let Err(e) = read_once(&*log, &mut state, &tx).await {
                log::warn!("the configuration could not be read: {e}");
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    });
    rx
}

async fn read_once(
    log: &dyn PlatformLog,
    state: &mut ConfigState,
    tx: &watch::Sender<Option<Arc<Configuration>>>,
) -> Result<(), dogwoodway_log::LogError> {
    let from = LogOffset(state.applied.0 + 1);
    let wait_ms = if tx.borrow().is_some() { READ_WAIT_MS } else { 0 };
    let answer = log.read(StreamName::Config, from, READ_RECORDS, wait_ms).await?;
    for record in &answer.records {
        match serde_json::from_value::<ConfigRecord>(record.data.clone()) {
            Ok(change) => drop(state.apply(record.offset, &change)),
            Err(e) => log::error!("record {} of the configuration is invalid: {e}", record.offset),
        }
    }
    let caught_up = LogOffset(state.applied.0 + 1) >= answer.next;
    let unseen = tx.borrow().as_ref().is_none_or(|cfg| cfg.offset != state.configuration.offset);
    if caught_up && unseen {
        tx.send_replace(Some(Arc::new(state.configuration.clone())));
    }
    Ok(())
}
