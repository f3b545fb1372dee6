//! What the router knows of the store's feeds, shared by those who read them and those who tell
//! other routers.

use std::sync::Arc;

use dogwoodway_routing::direct::feed::{Feed, FeedLimits, FeedReport, RevisionOrder};
use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{clock, platform_api::DirectoryPart};

/// How long other routers are relied on for the configuration: watchers wait up to a second for a
/// change, and a router must take up changes within two seconds.
const OPERATOR_LIMITS: FeedLimits =
    FeedLimits { max_report_age_ms: 1_400, max_read_interval_ms: 10_000 };

/// The same for the list of servers, which watchers read every 0.6 s. A leaving server must have
/// no new requests within two seconds. Its own reading brings a router the entries' weights.
const SERVERS_LIMITS: FeedLimits =
    FeedLimits { max_report_age_ms: 1_100, max_read_interval_ms: 5_000 };

/// What a router tells others of its reading of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sightings {
    operator: Option<FeedReport>,
    servers: Option<FeedReport>,
}

/// The feeds, and whether this router reads them all the time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Feeds {
    pub(crate) is_watcher: bool,
    operator: Feed,
    servers: Feed,
}

impl Feeds {
    /// Returns the feed of a part of the directory.
    pub(crate) fn of(&self, part: DirectoryPart) -> &Feed {
        match part {
            DirectoryPart::Operator => &self.operator,
            DirectoryPart::Servers => &self.servers,
        }
    }

    fn of_mut(&mut self, part: DirectoryPart) -> &mut Feed {
        match part {
            DirectoryPart::Operator => &mut self.operator,
            DirectoryPart::Servers => &mut self.servers,
        }
    }
}

/// The shared knowledge of the store's feeds.
#[derive(Clone, Debug)]
pub(crate) struct SharedFeeds(Arc<watch::Sender<Feeds>>);

impl SharedFeeds {
    /// Builds the knowledge of a router that has read nothing.
    pub(crate) fn new() -> SharedFeeds {
        SharedFeeds(Arc::new(watch::Sender::new(Feeds {
            is_watcher: true,
            operator: Feed::new(RevisionOrder::Ascending, OPERATOR_LIMITS),
            servers: Feed::new(RevisionOrder::Unordered, SERVERS_LIMITS),
        })))
    }

    /// Returns a receiver that tells when a feed should be read earlier than planned.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Feeds> {
        self.0.subscribe()
    }

    /// Notes that this router has read a feed.
    pub(crate) fn mark_read(&self, part: DirectoryPart, mark: u64) {
        self.0.send_if_modified(|feeds| {
            feeds.of_mut(part).record_read(clock::now(), mark);
            false
        });
    }

    /// Takes in what another router has read, and whether this one is a watcher.
    pub(crate) fn apply_peer(&self, now: Timestamp, peer: &Sightings, is_watcher: bool) {
        self.0.send_if_modified(|feeds| {
            let is_role_changed =
                std::mem::replace(&mut feeds.is_watcher, is_watcher) != is_watcher;
            if is_role_changed {
                log::info!(is_watcher = is_watcher; "role at the store changed");
            }
            let operator = peer.operator.is_some_and(|seen| feeds.operator.hear(now, &seen));
            let servers = peer.servers.is_some_and(|seen| feeds.servers.hear(now, &seen));
            is_role_changed || operator || servers
        });
    }

    /// Returns what to tell other routers.
    pub(crate) fn sightings(&self, now: Timestamp) -> Sightings {
        let feeds = self.0.borrow();
        Sightings { operator: feeds.operator.report(now), servers: feeds.servers.report(now) }
    }

    /// Returns when the configuration was last known to be the newest.
    pub(crate) fn configuration_verified_at(&self) -> Timestamp {
        self.0.borrow().operator.held_at()
    }
}

/// Waits until a feed is due to be read.
pub(crate) async fn wait_until_due(feeds: &mut watch::Receiver<Feeds>, part: DirectoryPart) {
    loop {
        let due_at = {
            let feeds = feeds.borrow_and_update();
            if feeds.is_watcher {
                return;
            }
            feeds.of(part).next_read_at()
        };
        if due_at <= clock::now() {
            return;
        }
        tokio::select! {
            Ok(()) = feeds.changed() => {}
            () = clock::sleep_until(due_at) => {}
        }
    }
}
