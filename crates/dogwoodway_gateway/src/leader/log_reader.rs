//! Background reader of the routers' log.

use std::{sync::Arc, time::Duration};

use dogwoodway_types::LogOffset;
use tokio::sync::{mpsc, watch};

use crate::{
    clock,
    feeds::Feeds,
    leader::{Event, FAILED_PAUSE_MS},
    platform_api::{RouterLog, StoreError},
};

/// Duration of one long poll, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;

/// Pause between two reads by a router that is neither leader nor watcher, in milliseconds. Such a
/// router reads the log for crashes that others have seen, which it must know within three seconds.
const READ_PAUSE_MS: u64 = 2_000;

/// Reads the routers' log: without pauses while the router leads, is a watcher or must know the
/// log's end, otherwise every [`READ_PAUSE_MS`].
pub(super) struct LogReader {
    pub(super) log: Arc<dyn RouterLog>,
    pub(super) feeds: watch::Receiver<Feeds>,
    /// Whether the router leads or must know where the log ends.
    pub(super) is_eager: watch::Receiver<bool>,
}

impl LogReader {
    /// Reads until the receiver of the events is dropped.
    pub(super) async fn run(mut self, events: mpsc::Sender<Event>) {
        let mut from = LogOffset(0);
        loop {
            match self.log.read(from, READ_WAIT_MS).await {
                Ok(page) => {
                    from = LogOffset(page.base_offset.0 + page.records.len() as u64);
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

    async fn pause(&mut self) {
        let until = clock::now() + Duration::from_millis(READ_PAUSE_MS);
        while !self.feeds.borrow_and_update().is_watcher && !*self.is_eager.borrow_and_update() {
            tokio::select! {
                Ok(()) = self.feeds.changed() => {}
                Ok(()) = self.is_eager.changed() => {}
                () = clock::sleep_until(until) => return,
            }
        }
    }
}
