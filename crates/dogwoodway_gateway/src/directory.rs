//! Followers of the platform's directory: the operator's configuration and the list of servers.
//!
//! A follower reads a snapshot, then polls for changes and passes them to the fleet actor. When a
//! poll fails, the last known state stays in use.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dogwoodway_routing::direct::{feed::current_at, fleet::ServerListing, table::RoutingTable};
use dogwoodway_types::{BackendServerName, LogPosition, Timestamp};
use kameo::actor::ActorRef;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    checked_store::CheckedStore,
    clock,
    feeds::{Feeds, SharedFeeds, wait_until_due},
    fleet_actor::{
        ApplyDirectoryChanges, FleetActor, GetServerNames, InterruptSoftwareHistories,
        MarkServersMissing,
    },
    metric,
    platform_api::{DirectoryChange, DirectoryPage, DirectoryPart, StoreError},
};

/// Duration of one long poll for configuration changes, in milliseconds. It bounds for how long the
/// configuration can be outdated without the router's knowledge.
const OPERATOR_POLL_MS: u64 = 1_000;

/// Duration of one long poll for changes in the list of servers, in milliseconds. Together with
/// [`SERVERS_PAUSE_MS`] it bounds the age of the watchers' reports, on which the other routers rely.
const SERVERS_POLL_MS: u64 = 300;

/// Pause between two polls of the list of servers, in milliseconds. Each server writes its entry
/// about once a second, so polls without a pause would always return at once. The pause must be
/// short enough that a server that leaves gets no new requests after two seconds.
const SERVERS_PAUSE_MS: u64 = 600;

/// First pause after a failed read, in milliseconds; the pause doubles each time.
const FIRST_RETRY_PAUSE_MS: u64 = 50;

/// Longest pause after a failed read of a watcher, in milliseconds.
const WATCHER_RETRY_PAUSE_MS: u64 = 400;

/// Longest pause after a failed read of another router, in milliseconds. The watchers report when
/// the store is back, and hundreds of routers would add to the load that it fails under.
const RETRY_PAUSE_MS: u64 = 1_500;

/// Time since the configuration was last known to be current after which it counts as stale, in
/// milliseconds.
const STALE_AFTER_MS: u64 = 2_500;

/// Time after the store has become reachable again, or was restored from a copy, in which its list
/// of servers may be incomplete, in milliseconds. Running servers write their entries again within
/// two seconds.
const RELIST_GRACE_MS: u64 = 2_300;

/// The current routing table, and how long ago it was known to be current.
#[derive(Clone)]
pub(crate) struct TableWatch {
    table: watch::Receiver<Option<Arc<RoutingTable>>>,
    feeds: SharedFeeds,
    has_servers: watch::Receiver<bool>,
}

impl TableWatch {
    /// Returns the current table, or `None` if none has been read yet.
    pub(crate) fn current(&self) -> Option<Arc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Returns a receiver of later tables.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<RoutingTable>>> {
        self.table.clone()
    }

    /// Returns whether changes may have been missed.
    pub(crate) fn is_stale(&self, now: Timestamp) -> bool {
        self.age_ms(now) > STALE_AFTER_MS
    }

    /// Returns the milliseconds since the configuration was last known to be current.
    pub(crate) fn age_ms(&self, now: Timestamp) -> u64 {
        (now - self.feeds.verified_at(DirectoryPart::Operator)).as_millis() as u64
    }

    /// Returns whether requests can be served: a routing table and a list of servers were read.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && *self.has_servers.borrow()
    }
}

/// Starts the followers of both parts of the directory.
pub(crate) fn follow(
    store: &CheckedStore,
    feeds: &SharedFeeds,
    fleet: &ActorRef<FleetActor>,
) -> TableWatch {
    let (table_tx, table) = watch::channel(None);
    let (servers_tx, has_servers) = watch::channel(false);
    let follower = |part| Follower::new(store.clone(), feeds.clone(), fleet.clone(), part);
    tokio::spawn(follower(DirectoryPart::Operator).run(Sink::Table(table_tx)));
    tokio::spawn(follower(DirectoryPart::Servers).run(Sink::Servers(servers_tx)));
    TableWatch { table, feeds: feeds.clone(), has_servers }
}

/// Where a follower publishes what it has read, besides the fleet actor.
enum Sink {
    /// The current routing table.
    Table(watch::Sender<Option<Arc<RoutingTable>>>),
    /// Whether the list of servers has been read.
    Servers(watch::Sender<bool>),
}

/// Follows one part of the directory.
struct Follower {
    store: CheckedStore,
    /// Where reads are recorded.
    shared_feeds: SharedFeeds,
    /// Tells when the next read is due.
    feeds: watch::Receiver<Feeds>,
    fleet: ActorRef<FleetActor>,
    part: DirectoryPart,
    /// Latest time from which on a request needs the list of servers.
    needed_at: watch::Receiver<Timestamp>,
    /// When a request may next cause a read.
    next_on_demand_read_at: Timestamp,
    /// When the last read that was answered was sent.
    read_sent_at: Timestamp,
    /// Position of the next poll; absent if a snapshot must be read first.
    next: Option<LogPosition>,
    /// Consecutive failed reads.
    failures: u32,
    /// Until when the list of servers may lack servers that are running.
    grace_until: Timestamp,
    /// Hashes of the servers' entries, see [`entry_hash`].
    entry_hashes: BTreeMap<BackendServerName, u64>,
}

impl Follower {
    fn new(
        store: CheckedStore,
        shared_feeds: SharedFeeds,
        fleet: ActorRef<FleetActor>,
        part: DirectoryPart,
    ) -> Follower {
        let (feeds, needed_at) = (shared_feeds.subscribe(), shared_feeds.subscribe_needed());
        Follower {
            store,
            shared_feeds,
            feeds,
            fleet,
            part,
            needed_at,
            next_on_demand_read_at: Timestamp::default(),
            read_sent_at: Timestamp::default(),
            next: None,
            failures: 0,
            grace_until: Timestamp::default(),
            entry_hashes: BTreeMap::new(),
        }
    }

    async fn run(mut self, sink: Sink) {
        loop {
            match self.read().await {
                Ok(Read { page, is_snapshot, sent_at, current_at }) => {
                    self.record_success();
                    self.next = Some(page.next);
                    let revision = self.current_revision(&page, is_snapshot);
                    self.publish(page, is_snapshot, &sink).await;
                    self.read_sent_at = sent_at;
                    self.shared_feeds.mark_read(self.part, revision, sent_at, current_at);
                    self.pause().await;
                }
                Err(StoreError::Expired(first)) => {
                    log::info!(part:? = self.part, from:? = self.next, first = first.0;
                        "directory changes are no longer retained; reading a snapshot");
                    self.next = None;
                }
                Err(StoreError::EraChanged(era)) => {
                    log::info!(part:? = self.part, from:? = self.next, era:? = era;
                        "directory changes may be lost; reading a snapshot");
                    self.next = None;
                    self.grace_until = clock::now() + Duration::from_millis(RELIST_GRACE_MS);
                }
                Err(e) => {
                    self.record_failure(&e);
                    let longest_ms = match self.feeds.borrow().is_watcher {
                        true => WATCHER_RETRY_PAUSE_MS,
                        false => RETRY_PAUSE_MS,
                    };
                    let pause_ms = FIRST_RETRY_PAUSE_MS.checked_shl(self.failures);
                    let pause_ms = pause_ms.unwrap_or(longest_ms).min(longest_ms);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Polls for changes, or reads a snapshot. A request that needs the list of servers ends a poll
    /// early, since its answer counts only from when it was sent.
    async fn read(&mut self) -> Result<Read, StoreError> {
        let sent_at = clock::now();
        let Some(next) = self.next else {
            let page = self.store.snapshot(self.part).await?;
            return Ok(Read { page, is_snapshot: true, sent_at, current_at: sent_at });
        };
        let wait_ms = match self.part {
            DirectoryPart::Operator => OPERATOR_POLL_MS,
            DirectoryPart::Servers => SERVERS_POLL_MS,
        };
        let (store, part) = (self.store.clone(), self.part);
        tokio::select! {
            biased;
            () = self.wait_until_needed() => {}
            page = poll(&store, part, next, wait_ms) => return page,
        }
        let interval = self.shared_feeds.on_demand_read_interval();
        self.next_on_demand_read_at = clock::now() + interval;
        metrics::counter!(metric::ON_DEMAND_READS).increment(1);
        poll(&self.store, self.part, next, 0).await
    }

    /// Waits until the next read is due, or a request needs it.
    async fn pause(&mut self) {
        let (mut feeds, part) = (self.feeds.clone(), self.part);
        let is_due = async {
            if part == DirectoryPart::Servers {
                tokio::time::sleep(Duration::from_millis(SERVERS_PAUSE_MS)).await;
            }
            wait_until_due(&mut feeds, |feeds| feeds.of(part)).await;
        };
        tokio::select! {
            () = is_due => {}
            () = self.wait_until_needed() => {}
        }
    }

    /// Waits until a request needs a newer list of servers than was read last.
    async fn wait_until_needed(&mut self) {
        if self.part != DirectoryPart::Servers {
            return std::future::pending().await;
        }
        let read_sent_at = self.read_sent_at;
        if self.needed_at.wait_for(|needed_at| *needed_at > read_sent_at).await.is_err() {
            return std::future::pending().await;
        }
        if clock::now() < self.next_on_demand_read_at {
            clock::sleep_until(self.next_on_demand_read_at).await;
        }
    }

    /// Returns a number that identifies the state read so far, by which routers compare what they
    /// have read: the position for the configuration, a hash of all entries for the servers.
    fn current_revision(&mut self, page: &DirectoryPage, is_snapshot: bool) -> u64 {
        if self.part == DirectoryPart::Operator {
            return page.next.ordinal();
        }
        if is_snapshot {
            self.entry_hashes.clear();
        }
        for change in &page.changes {
            match change {
                DirectoryChange::ServerUpdated(listing) => {
                    self.entry_hashes.insert(listing.name.clone(), entry_hash(listing));
                }
                DirectoryChange::ServerRemoved(name) => {
                    self.entry_hashes.remove(name);
                }
                _ => {}
            }
        }
        self.entry_hashes.values().fold(0, |sum, hash| sum ^ hash)
    }

    fn record_success(&mut self) {
        // The other part may have reached the store earlier, from when on entries are written again.
        let reached_at = self.shared_feeds.mark_reached(clock::now());
        if self.failures > 0 {
            log::info!(part:? = self.part, failures = self.failures; "store reached again");
            self.failures = 0;
            self.grace_until = reached_at + Duration::from_millis(RELIST_GRACE_MS);
        }
    }

    fn record_failure(&mut self, e: &StoreError) {
        if self.failures == 0 {
            log::warn!(part:? = self.part; "store lost: {e}");
        }
        metrics::counter!(metric::STORE_FAILURES).increment(1);
        self.shared_feeds.mark_failed(self.part);
        self.failures = self.failures.saturating_add(1);
    }

    /// Passes changes to the fleet actor and the sink. While the list of servers may be incomplete,
    /// servers that disappear are only marked as missing.
    async fn publish(&self, page: DirectoryPage, is_snapshot: bool, sink: &Sink) {
        let mut changes = page.changes;
        let verified_at = self.shared_feeds.verified_at(self.part);
        let absent_at = (verified_at != Timestamp::default()).then_some(verified_at);
        if let Sink::Table(tx) = sink {
            changes.retain(|change| match change {
                DirectoryChange::TableUpdated(table) => install_table(tx, table),
                _ => true,
            });
        }
        if let Sink::Servers(_) = sink {
            let mut missing = Vec::new();
            if is_snapshot {
                missing = self.missing_servers(&changes).await;
                if let Err(e) = self.fleet.tell(InterruptSoftwareHistories).await {
                    log::error!("could not interrupt the histories of software: {e}");
                }
            }
            if clock::now() < self.grace_until {
                let gone =
                    changes.extract_if(.., |c| matches!(c, DirectoryChange::ServerRemoved(_)));
                missing.extend(gone.filter_map(|change| match change {
                    DirectoryChange::ServerRemoved(name) => Some(name),
                    _ => None,
                }));
                self.mark_missing(missing).await;
            } else {
                changes.extend(missing.into_iter().map(DirectoryChange::ServerRemoved));
            }
        }
        if !changes.is_empty()
            && let Err(e) = self.fleet.tell(ApplyDirectoryChanges { changes, absent_at }).await
        {
            log::error!("could not apply directory changes to the fleet: {e}");
        }
        if let Sink::Servers(tx) = sink {
            tx.send_replace(true);
        }
    }

    /// Returns the servers that the fleet knows and that a snapshot does not list.
    async fn missing_servers(&self, changes: &[DirectoryChange]) -> Vec<BackendServerName> {
        let listed: HashSet<_> = changes
            .iter()
            .filter_map(|change| match change {
                DirectoryChange::ServerUpdated(listing) => Some(&listing.name),
                _ => None,
            })
            .collect();
        match self.fleet.ask(GetServerNames).await {
            Ok(known) => known.into_iter().filter(|name| !listed.contains(name)).collect(),
            Err(e) => {
                log::error!("fleet actor did not return the names of known servers: {e}");
                Vec::new()
            }
        }
    }

    async fn mark_missing(&self, names: Vec<BackendServerName>) {
        if names.is_empty() {
            return;
        }
        log::info!(servers = names.len(); "servers missing from the list after a store failure");
        if let Err(e) = self.fleet.tell(MarkServersMissing { names, until: self.grace_until }).await
        {
            log::error!("could not mark servers as missing in the fleet: {e}");
        }
    }
}

/// What one call to the store has read.
struct Read {
    page: DirectoryPage,
    is_snapshot: bool,
    sent_at: Timestamp,
    /// When the page is known to have been the newest state.
    current_at: Timestamp,
}

/// Reads the changes of a part of the directory; a long poll that waits up to `wait_ms` milliseconds.
async fn poll(
    store: &CheckedStore,
    part: DirectoryPart,
    from: LogPosition,
    wait_ms: u64,
) -> Result<Read, StoreError> {
    let sent_at = clock::now();
    let page = store.changes(part, from, wait_ms).await?;
    let (wait, has_changes) = (Duration::from_millis(wait_ms), page.next != from);
    let current_at = current_at(sent_at, wait, has_changes, clock::now());
    Ok(Read { page, is_snapshot: false, sent_at, current_at })
}

/// Hashes the fields of an entry that decide whether a server gets requests. The weights are left
/// out: they change often, and routers report them to each other.
fn entry_hash(listing: &ServerListing) -> u64 {
    let text = format!(
        "{} {} {} {:?} {}",
        listing.name, listing.started_at_ms, listing.address, listing.availability, listing.service,
    );
    xxh3_64(text.as_bytes())
}

/// Replaces the current table unless that is as new or newer; returns whether it was replaced.
fn install_table(tx: &watch::Sender<Option<Arc<RoutingTable>>>, table: &Arc<RoutingTable>) -> bool {
    let known = tx.borrow().as_ref().map(|known| known.version());
    if known.is_some_and(|known| known >= table.version()) {
        return false;
    }
    log::info!(from:? = known, to = table.version(), routes = table.routes().len();
        "configuration in force");
    metrics::gauge!(metric::TABLE_VERSION).set(table.version() as f64);
    tx.send_replace(Some(table.clone()));
    true
}
