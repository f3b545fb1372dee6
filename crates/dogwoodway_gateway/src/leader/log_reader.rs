//! Background reader of the routers' log.

use std::time::Duration;

use dogwoodway_routing::direct::feed::current_at;
use dogwoodway_types::LogPosition;
use tokio::sync::{mpsc, watch};

use crate::{
    checked_store::CheckedStore,
    clock,
    feeds::{Feeds, SharedFeeds, wait_until_due},
    leader::{Event, FAILED_PAUSE_MS, RouterRecord, decode},
    platform_api::{RecordPage, StoreError},
};

/// Duration of one long poll, in milliseconds. It bounds the age of the watchers' reports.
const READ_WAIT_MS: u64 = 1_500;

/// Least pause between two reads by a router that neither leads nor is a watcher, in milliseconds,
/// so that events that arrive together are read together.
const READ_PAUSE_MS: u64 = 400;

/// Reads the routers' log: without pauses while the router leads, is a watcher or must know the
/// log's end, otherwise when watchers report new events or no longer report.
pub(super) struct LogReader {
    pub(super) store: CheckedStore,
    pub(super) shared_feeds: SharedFeeds,
    pub(super) feeds: watch::Receiver<Feeds>,
    /// Whether the router leads or must know where the log ends.
    pub(super) is_eager: watch::Receiver<bool>,
}

impl LogReader {
    /// Reads until the receiver of the events is dropped.
    pub(super) async fn run(mut self, events: mpsc::Sender<Event>) {
        let mut from = LogPosition::default();
        let mut events_end = LogPosition::default();
        loop {
            let wait_ms = if self.reads_continuously() { READ_WAIT_MS } else { 0 };
            let sent_at = clock::now();
            match self.store.read_log(from, wait_ms).await {
                Ok(page) => {
                    from = page.base.after(page.records.len());
                    let no_events_end = LogPosition { era: from.era, ..events_end };
                    events_end = end_of_events(&page).unwrap_or(no_events_end);
                    if from.offset >= page.end_offset {
                        let (wait, has_records) =
                            (Duration::from_millis(wait_ms), !page.records.is_empty());
                        let current_at = current_at(sent_at, wait, has_records, clock::now());
                        self.shared_feeds.mark_events_read(events_end.ordinal(), current_at);
                    }
                    if events.send(Event::Page(page)).await.is_err() {
                        return;
                    }
                    self.pause().await;
                }
                Err(StoreError::Expired(first)) => from.offset = first,
                Err(StoreError::EraChanged(era)) => {
                    from = LogPosition { era, ..LogPosition::default() };
                    events_end = from;
                    if events.send(Event::EraBegan(era)).await.is_err() {
                        return;
                    }
                }
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

/// Returns the position after the last event in a page.
fn end_of_events(page: &RecordPage) -> Option<LogPosition> {
    let is_event = |bytes: &Vec<u8>| matches!(decode(bytes), Ok(RouterRecord::Fingerprint(_)));
    let last = page.records.iter().rposition(is_event)?;
    Some(page.base.after(last + 1))
}
