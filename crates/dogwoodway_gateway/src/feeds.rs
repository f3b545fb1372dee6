//! How current the router's view of the platform's store is.
//!
//! A feed is one part of the directory, as this router follows it. The followers of the directory
//! record here what they have read, and gossip shares it with other routers. A few routers, the
//! watchers, read the feeds continuously. Any other router reads a feed only when another one has
//! seen a newer state, when the reports of others are too old, or when its own last read is too
//! old.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use dogwoodway_routing::direct::feed::{Feed, FeedLimits, FeedReport, RevisionOrder, StoreReach};
use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::{clock, platform_api::DirectoryPart};

/// How long a router relies on others for the configuration. Watchers poll for up to a second, and
/// a router must apply changes within two seconds.
const OPERATOR_LIMITS: FeedLimits =
    FeedLimits { max_report_age_ms: 1_400, max_read_interval_ms: 60_000 };

/// How long a router relies on others for the list of servers, which watchers read every 0.6 s. A
/// server that leaves must get no new requests after two seconds. A router still reads the list
/// itself from time to time to learn the weights that the entries name; answers and the leader name
/// them earlier.
const SERVERS_LIMITS: FeedLimits =
    FeedLimits { max_report_age_ms: 1_100, max_read_interval_ms: 15_000 };

/// How long a router relies on others for the events in the routers' log. Watchers poll it for up to
/// 1.5 s, and a request that crashes servers must be known everywhere within three seconds.
const EVENTS_LIMITS: FeedLimits =
    FeedLimits { max_report_age_ms: 2_200, max_read_interval_ms: 60_000 };

/// Least time between two reads of the list of servers that requests cause, in milliseconds, so that
/// requests that come together share one.
const MIN_ON_DEMAND_READ_INTERVAL_MS: u64 = 20;

/// Part of that time for each router, in milliseconds: all routers together cause at most 1,000 such
/// reads a second, half of what the store bears.
const ON_DEMAND_READ_MS_PER_ROUTER: u64 = 1;

/// What a router has last read from the store, as it reports it to other routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FeedReports {
    operator: Option<FeedReport>,
    servers: Option<FeedReport>,
    /// Events in the routers' log; records of the leadership do not count.
    events: Option<FeedReport>,
}

impl FeedReports {
    /// Returns whether any feed was read recently.
    pub(crate) fn is_useful(&self) -> bool {
        [self.operator, self.servers, self.events].iter().any(Option::is_some)
    }

    /// Returns the age of the oldest report, in milliseconds; the largest number if one is missing.
    pub(crate) fn age_ms(&self) -> u32 {
        let reports = [self.operator, self.servers, self.events];
        let ages = reports.map(|report| report.map_or(u32::MAX, |report| report.age_ms));
        ages.into_iter().max().unwrap_or(u32::MAX)
    }

    /// Returns the reports as they are after some time.
    pub(crate) fn aged(&self, by: Duration) -> FeedReports {
        let by_ms = by.as_millis() as u32;
        let aged = |report: Option<FeedReport>| {
            report
                .map(|report| FeedReport { age_ms: report.age_ms.saturating_add(by_ms), ..report })
        };
        FeedReports {
            operator: aged(self.operator),
            servers: aged(self.servers),
            events: aged(self.events),
        }
    }
}

/// State of both feeds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Feeds {
    /// Whether this router is one of the few that read the store continuously for all others.
    pub(crate) is_watcher: bool,
    operator: Feed,
    servers: Feed,
    events: Feed,
    /// Parts of the directory whose last read failed.
    failed: [bool; 2],
}

impl Feeds {
    /// Returns the feed of a part of the directory.
    pub(crate) fn of(&self, part: DirectoryPart) -> &Feed {
        match part {
            DirectoryPart::Operator => &self.operator,
            DirectoryPart::Servers => &self.servers,
        }
    }

    /// Returns the feed of events in the routers' log.
    pub(crate) fn events(&self) -> &Feed {
        &self.events
    }

    /// Returns whether the last reads of the directory succeeded.
    pub(crate) fn reaches_store(&self) -> bool {
        self.failed == [false; 2]
    }

    fn of_mut(&mut self, part: DirectoryPart) -> &mut Feed {
        match part {
            DirectoryPart::Operator => &mut self.operator,
            DirectoryPart::Servers => &mut self.servers,
        }
    }
}

/// This router's own reads of the list of servers.
#[derive(Clone, Copy, Debug, Default)]
struct ServerListReads {
    /// When the last one that was answered was sent, or the start of the process.
    sent_at: Timestamp,
    failures: u64,
}

/// The state of the feeds, shared between tasks.
#[derive(Clone, Debug)]
pub(crate) struct SharedFeeds {
    feeds: Arc<watch::Sender<Feeds>>,
    server_list_reads: Arc<watch::Sender<ServerListReads>>,
    /// Latest time from which on a request needs the list of servers.
    server_list_needed_at: Arc<watch::Sender<Timestamp>>,
    /// Number of routers that share the store.
    router_count: Arc<AtomicU32>,
    /// Notified when there is a new read to report to other routers.
    changed: Arc<Notify>,
    /// Since when the store answers.
    reach: Arc<Mutex<StoreReach>>,
}

impl SharedFeeds {
    /// Builds the state of a router that has read nothing. It is no watcher until it has had the
    /// time to hear from other routers.
    pub(crate) fn new(changed: Arc<Notify>) -> SharedFeeds {
        let feeds = Arc::new(watch::Sender::new(Feeds {
            is_watcher: false,
            operator: Feed::new(RevisionOrder::Ascending, OPERATOR_LIMITS),
            servers: Feed::new(RevisionOrder::Unordered, SERVERS_LIMITS),
            events: Feed::new(RevisionOrder::Ascending, EVENTS_LIMITS),
            failed: [false; 2],
        }));
        SharedFeeds {
            feeds,
            server_list_reads: Arc::default(),
            server_list_needed_at: Arc::default(),
            router_count: Arc::new(AtomicU32::new(1)),
            changed,
            reach: Arc::default(),
        }
    }

    /// Records that the store has answered. Returns when it first did since the last failure.
    pub(crate) fn mark_reached(&self, now: Timestamp) -> Timestamp {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner).record_success(now)
    }

    /// Returns a receiver that is notified when a feed should be read earlier than scheduled.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Feeds> {
        self.feeds.subscribe()
    }

    /// Records that this router has read a feed up to `revision`, and has applied it, with a call sent
    /// at `sent_at`. `current_at` is when the answer is known to have been the newest state.
    pub(crate) fn mark_read(
        &self,
        part: DirectoryPart,
        revision: u64,
        sent_at: Timestamp,
        current_at: Timestamp,
    ) {
        self.feeds.send_if_modified(|feeds| {
            feeds.failed[part as usize] = false;
            feeds.of_mut(part).record_read(current_at, revision);
            false
        });
        if part == DirectoryPart::Servers {
            self.server_list_reads.send_modify(|reads| reads.sent_at = sent_at);
        }
        self.changed.notify_one();
    }

    /// Records that this router could not read a part of the directory.
    pub(crate) fn mark_failed(&self, part: DirectoryPart) {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner).record_failure();
        self.feeds.send_if_modified(|feeds| {
            feeds.failed[part as usize] = true;
            false
        });
        if part == DirectoryPart::Servers {
            self.server_list_reads.send_modify(|reads| reads.failures += 1);
        }
    }

    /// Records that this router has read the routers' log to its end; `revision` is the offset
    /// after the last event, and `current_at` as for [`SharedFeeds::mark_read`].
    pub(crate) fn mark_events_read(&self, revision: u64, current_at: Timestamp) {
        self.feeds.send_if_modified(|feeds| {
            feeds.events.record_read(current_at, revision);
            false
        });
    }

    /// Waits until this router has itself read the list of servers with a call sent at `needed_at` or
    /// later, or until `give_up_at` at the latest, and returns when the last such call was sent.
    ///
    /// The call is made at once, for all requests that wait together, and not while the store is
    /// lost: its follower then tries as often as the store bears.
    pub(crate) async fn read_servers(
        &self,
        needed_at: Timestamp,
        give_up_at: Timestamp,
    ) -> Timestamp {
        let mut reads = self.server_list_reads.subscribe();
        let failures = reads.borrow().failures;
        let is_lost = self.feeds.borrow().failed[DirectoryPart::Servers as usize];
        if !is_lost && reads.borrow().sent_at < needed_at {
            self.server_list_needed_at.send_if_modified(|at| {
                let is_later = needed_at > *at;
                *at = needed_at.max(*at);
                is_later
            });
            let is_done = reads.wait_for(|r| r.sent_at >= needed_at || r.failures != failures);
            match tokio::time::timeout_at(clock::timer_instant(give_up_at), is_done).await {
                Ok(Ok(_)) => {}
                Ok(Err(e)) => log::error!("the list of servers is not read any more: {e}"),
                Err(_) => log::debug!("the store did not answer in time for a stream taken up"),
            }
        }
        self.server_list_reads.borrow().sent_at
    }

    /// Returns a receiver of the latest time from which on a request needs the list of servers.
    pub(crate) fn subscribe_needed(&self) -> watch::Receiver<Timestamp> {
        self.server_list_needed_at.subscribe()
    }

    /// Sets the number of routers that share the store, this one included.
    pub(crate) fn set_router_count(&self, count: u32) {
        self.router_count.store(count.max(1), Ordering::Relaxed);
    }

    /// Returns the number of routers that share the store, this one included.
    pub(crate) fn router_count(&self) -> u32 {
        self.router_count.load(Ordering::Relaxed)
    }

    /// Returns the least time between two reads of the list of servers that requests cause.
    pub(crate) fn on_demand_read_interval(&self) -> Duration {
        let routers = u64::from(self.router_count());
        Duration::from_millis(
            MIN_ON_DEMAND_READ_INTERVAL_MS.max(routers * ON_DEMAND_READ_MS_PER_ROUTER),
        )
    }

    /// Sets whether this router is a watcher.
    pub(crate) fn set_watcher(&self, is_watcher: bool) {
        self.feeds.send_if_modified(|feeds| {
            let is_changed = std::mem::replace(&mut feeds.is_watcher, is_watcher) != is_watcher;
            if is_changed {
                log::info!(is_watcher = is_watcher, reaches_store = feeds.reaches_store();
                    "role at the store changed");
            }
            is_changed
        });
    }

    /// Returns whether this router is a watcher.
    pub(crate) fn is_watcher(&self) -> bool {
        self.feeds.borrow().is_watcher
    }

    /// Returns whether the last reads of the directory by this router succeeded.
    pub(crate) fn reaches_store(&self) -> bool {
        self.feeds.borrow().reaches_store()
    }

    /// Applies what another router has read.
    pub(crate) fn apply_peer(&self, now: Timestamp, peer: &FeedReports) {
        self.feeds.send_if_modified(|feeds| {
            let operator =
                peer.operator.is_some_and(|report| feeds.operator.apply_report(now, &report));
            let servers =
                peer.servers.is_some_and(|report| feeds.servers.apply_report(now, &report));
            let events = peer.events.is_some_and(|report| feeds.events.apply_report(now, &report));
            operator || servers || events
        });
    }

    /// Returns what this router has read, to report it to others.
    pub(crate) fn feed_reports(&self, now: Timestamp) -> FeedReports {
        let feeds = self.feeds.borrow();
        FeedReports {
            operator: feeds.operator.report(now),
            servers: feeds.servers.report(now),
            events: feeds.events.report(now),
        }
    }

    /// Returns when a part of the directory was last known to be current; the default time if it was not
    /// read yet.
    pub(crate) fn verified_at(&self, part: DirectoryPart) -> Timestamp {
        self.feeds.borrow().of(part).verified_at()
    }
}

/// Waits until a feed is due to be read, which is at once for a watcher. `feed` selects the feed.
pub(crate) async fn wait_until_due<F>(feeds: &mut watch::Receiver<Feeds>, feed: F)
where
    F: Fn(&Feeds) -> &Feed,
{
    loop {
        let due_at = {
            let feeds = feeds.borrow_and_update();
            if feeds.is_watcher {
                return;
            }
            feed(&feeds).next_read_at()
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
