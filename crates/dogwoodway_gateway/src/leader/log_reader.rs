//! Background reader of the routers' log.

use std::{sync::Arc, time::Duration};

use dogwoodway_types::LogOffset;
use tokio::sync::{mpsc, watch};

use crate::{
    clock,
    feeds::{Feeds, SharedFeeds, wait_until_due},
    leader::{Event, FAILED_PAUSE_MS, RouterRecord, decode},
    platform_api::{RecordPage, RouterLog, StoreError},
};

/// Duration of one long poll, in milliseconds. It bounds the age of the watchers' reports.
const READ_WAIT_MS: u64 = 1_500;

/// Least pause between two reads by a router that neither leads nor is a watcher, in milliseconds,
/// so that events that arrive together are read together.
const READ_PAUSE_MS: u64 = 400;

/// Reads the routers' log: without pauses while the router leads, is a watcher or must know the
/// log's end, otherwise when watchers report new events or no longer report.
pub(super) struct LogReader {
    pub(super) log: Arc<dyn RouterLog>,
    pub(super) shared_feeds: SharedFeeds,
    pub(super) feeds: watch::Receiver<Feeds>,
    /// Whether the router leads or must know where the log ends.
    pub(super) is_eager: watch::Receiver<bool>,
}

impl LogReader {
    /// Reads until the receiver of the events is dropped.
    pub(super) async fn run(mut self, events: mpsc::Sender<Event>) {
        let mut from = LogOffset(0);
        let mut events_end = LogOffset(0);
        loop {
            let wait_ms = if self.reads_continuously() { READ_WAIT_MS } else { 0 };
            match self.log.read(from, wait_ms).await {
                Ok(page) => {
                    from = LogOffset(page.base_offset.0 + page.records.len() as u64);
                    events_end = end_of_events(&page).unwrap_or(events_end);
                    if from >= page.end_offset {
                        self.shared_feeds.mark_events_read(events_end.0);
                    }
                    if events.send(Event::Page(page)).await.is_err() {
                        return;
                    }
                    self.pause().await;
                }
                Err(StoreError::Expired(first)) => from = first,
                Err(e) => {
                    log::debug!("could not read the routers' log, retrying: {e}");
                    tokio::time::sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
                }
            }
        }
    }

    fn reads_continuously(&self) -> bool {
        self.feeds.borrow().is_watcher || *self.is_eager.borrow()
    }

    async fn pause(&mut self) {
        let pause_until = clock::now() + Duration::from_millis(READ_PAUSE_MS);
        while !self.reads_continuously() {
            let is_due = async {
                clock::sleep_until(pause_until).await;
                wait_until_due(&mut self.feeds, Feeds::events).await;
            };
            tokio::select! {
                Ok(()) = self.is_eager.changed() => {}
                () = is_due => return,
            }
        }
    }
}

/// Returns the offset after the last event in a page.
fn end_of_events(page: &RecordPage) -> Option<LogOffset> {
    let is_event = |bytes: &Vec<u8>| matches!(decode(bytes), Ok(RouterRecord::Fingerprint(_)));
    let last = page.records.iter().rposition(is_event)?;
    Some(LogOffset(page.base_offset.0 + last as u64 + 1))
}
