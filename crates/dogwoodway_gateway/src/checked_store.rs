//! Access to the platform's store that detects when the store was restored from a copy.

use std::sync::{Arc, Mutex, PoisonError};

use dogwoodway_routing::direct::store_era::EraTracker;
use dogwoodway_types::{LogPosition, StoreEra};

use crate::{
    metric,
    platform_api::{Directory, DirectoryPage, DirectoryPart, RecordPage, RouterLog, StoreError},
};

/// The platform's store. Responses of earlier eras are errors, and a position is used only in its own
/// era. Clones share the newest known era.
#[derive(Clone)]
pub(crate) struct CheckedStore {
    directory: Arc<dyn Directory>,
    log: Arc<dyn RouterLog>,
    eras: Arc<Mutex<EraTracker>>,
}

impl CheckedStore {
    pub(crate) fn new(directory: Arc<dyn Directory>, log: Arc<dyn RouterLog>) -> CheckedStore {
        CheckedStore { directory, log, eras: Arc::default() }
    }

    /// Reads the current state of a part of the directory.
    pub(crate) async fn snapshot(&self, part: DirectoryPart) -> Result<DirectoryPage, StoreError> {
        let page = self.directory.snapshot(part).await?;
        self.admit(page.next.era)?;
        Ok(page)
    }

    /// Reads the changes of a part of the directory from a position on. Fails with
    /// [`StoreError::EraChanged`] if the position belongs to an earlier era.
    pub(crate) async fn changes(
        &self,
        part: DirectoryPart,
        from: LogPosition,
        wait_ms: u64,
    ) -> Result<DirectoryPage, StoreError> {
        let page = self.directory.changes(part, from.offset, wait_ms).await?;
        self.admit(page.next.era)?;
        match page.next.era == from.era {
            true => Ok(page),
            false => Err(StoreError::EraChanged(page.next.era)),
        }
    }

    /// Reads records of the routers' log from a position on. The start of the log may be read
    /// without an era. Fails with [`StoreError::EraChanged`] if the position belongs to an
    /// earlier era.
    pub(crate) async fn read_log(
        &self,
        from: LogPosition,
        wait_ms: u64,
    ) -> Result<RecordPage, StoreError> {
        let page = self.log.read(from.offset, wait_ms).await?;
        self.admit(page.base.era)?;
        match page.base.era == from.era || from == LogPosition::default() {
            true => Ok(page),
            false => Err(StoreError::EraChanged(page.base.era)),
        }
    }

    /// Appends a record to the routers' log, on the condition that the log ends at `expected_end` if
    /// that is given. Fails with [`StoreError::EraChanged`] if the record was appended in a later
    /// era, in which the log happened to end at the same offset.
    pub(crate) async fn append_to_log(
        &self,
        record: Vec<u8>,
        expected_end: Option<LogPosition>,
    ) -> Result<LogPosition, StoreError> {
        let expected_offset = expected_end.map(|end| end.offset);
        let position = self.log.append(record, expected_offset).await?;
        self.admit(position.era)?;
        match expected_end.is_none_or(|end| end.era == position.era) {
            true => Ok(position),
            false => Err(StoreError::EraChanged(position.era)),
        }
    }

    fn admit(&self, era: Option<StoreEra>) -> Result<(), StoreError> {
        let admitted = self.eras.lock().unwrap_or_else(PoisonError::into_inner).admit(era);
        match (admitted, era) {
            (Ok(true), Some(era)) => {
                log::info!(
                    era = era.0;
                    "era of the store changed; positions of earlier eras are dropped"
                );
                metrics::gauge!(metric::STORE_ERA).set(era.0 as f64);
                Ok(())
            }
            (Ok(_), _) => Ok(()),
            (Err(e), _) => {
                log::warn!("response of the store rejected: {e}");
                metrics::counter!(metric::STORE_ANSWERS_UNUSED).increment(1);
                Err(StoreError::Unknown(e.to_string()))
            }
        }
    }
}
