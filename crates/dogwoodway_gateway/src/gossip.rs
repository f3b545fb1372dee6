//! Gossip over UDP, by which routers share their loads and changes of weights.
//!
//! Each datagram contains the complete load of its sender, so a lost datagram is replaced by the
//! next one. A router that has not been heard from for some time counts as idle. [`Peers`] decides
//! which routers get a datagram directly and which through another router.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bincode::Options;
use dogwoodway_routing::direct::{
    load::router_id,
    peers::{Peers, ZoneTag},
};
use dogwoodway_types::Timestamp;
use kameo::actor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

use crate::{
    clock,
    feeds::{FeedReports, SharedFeeds},
    fleet_actor::{ApplyPeerUpdate, CollectRouterUpdate, FleetActor, RouterUpdate, SetRouterCount},
    metric,
};

/// Least interval between two datagrams to the same router, in milliseconds.
const MIN_INTERVAL_MS: u64 = 20;

/// Increase of the interval for each other router, in milliseconds, so that the work grows slowly
/// with the number of routers.
const INTERVAL_PER_PEER_MS: u64 = 1;

/// Time by which the next datagram is put off beyond the least interval if there is nothing new to
/// report, in milliseconds.
const HEARTBEAT_DELAY_MS: u64 = 250;

/// Time after the start in which a router hears from all others, in milliseconds. At its end the
/// router reports how many it knows, so that it no longer assumes a number if it is the only one.
const DISCOVERY_PERIOD_MS: u64 = 3_000;

/// Time after the start in which a router takes no role at the store, in milliseconds. Routers that
/// start together hear from each other within that time; otherwise each of them would take it.
const ROLE_DELAY_MS: u64 = 1_000;

/// Time for which a router that the log has announced is introduced to the others, in milliseconds;
/// long enough for several datagrams, of which some may be lost.
const INTRODUCTION_MS: u64 = 700;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// First byte of a datagram that its receiver keeps to itself.
const DIRECT: u8 = 0;

/// First byte of a datagram that its receiver relays to the routers of its zone.
const RELAY_IN_ZONE: u8 = 1;

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    /// The router whose state this is; the datagram may have been relayed by another one.
    origin: SocketAddr,
    zone: ZoneTag,
    /// What `origin` has last read from the store.
    #[serde(rename = "sightings")]
    feed_reports: FeedReports,
    /// Routers that have just started. Most routers do not read the log that announces them.
    introduced: Vec<SocketAddr>,
    #[serde(rename = "news")]
    update: RouterUpdate,
}

/// Routers that this one introduces to the others, each until the time given.
type Introductions = Vec<(SocketAddr, Timestamp)>;

/// The task that exchanges datagrams with other routers.
pub(crate) struct Gossip {
    pub(crate) zone: ZoneTag,
    /// Where this router receives datagrams; identifies it among the routers.
    pub(crate) address: SocketAddr,
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) feeds: SharedFeeds,
    pub(crate) loads_changed: Arc<Notify>,
    /// Addresses of routers that the log has announced.
    pub(crate) discovered: mpsc::Receiver<SocketAddr>,
}

impl Gossip {
    /// Sends and receives until the process ends.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be bound.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.address).await?;
        let mut peers = Peers::new(self.zone);
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut send_at = clock::now();
        let mut has_changes = true;
        let discovery_ends_at = send_at + Duration::from_millis(DISCOVERY_PERIOD_MS);
        let mut is_discovery_over = false;
        let role_from = send_at + Duration::from_millis(ROLE_DELAY_MS);
        let mut introductions = Introductions::new();
        loop {
            let heartbeat_at = send_at + Duration::from_millis(HEARTBEAT_DELAY_MS);
            let due = if has_changes { send_at } else { heartbeat_at };
            tokio::select! {
                received = socket.recv_from(&mut buf) => match received {
                    Ok((length, _)) => self.receive(&socket, &mut peers, &mut buf[..length]).await,
                    Err(e) => log::debug!("could not receive a gossip datagram: {e}"),
                },
                Some(address) = self.discovered.recv() => {
                    let now = clock::now();
                    introductions.push((address, now + Duration::from_millis(INTRODUCTION_MS)));
                    self.add_peer(&mut peers, now, address).await;
                }
                () = clock::sleep_until(discovery_ends_at), if !is_discovery_over => {
                    is_discovery_over = true;
                    self.publish_router_count(&peers).await;
                }
                () = self.loads_changed.notified(), if !has_changes => has_changes = true,
                () = clock::sleep_until(due) => {
                    let now = clock::now();
                    introductions.retain(|(_, until)| *until > now);
                    if now >= role_from {
                        self.update_role(&peers, now);
                    }
                    self.send_update(&socket, &mut peers, &introductions).await;
                    let others = u64::from(peers.router_count() - 1);
                    let pause_ms = MIN_INTERVAL_MS + INTERVAL_PER_PEER_MS * others;
                    send_at = clock::now() + Duration::from_millis(pause_ms);
                    has_changes = false;
                }
            }
        }
    }

    async fn receive(&self, socket: &UdpSocket, peers: &mut Peers, bytes: &mut [u8]) {
        let now = clock::now();
        let Some((&delivery, body)) = bytes.split_first() else { return };
        let datagram: Datagram = match codec().deserialize(body) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::debug!("dropped an invalid gossip datagram: {e}");
                return;
            }
        };
        if datagram.origin == self.address {
            return;
        }
        if peers.record_datagram(now, datagram.origin, datagram.zone) {
            self.publish_router_count(peers).await;
        }
        peers.record_store_access(datagram.origin, datagram.feed_reports.reaches_store);
        self.feeds.apply_peer(now, &datagram.feed_reports);
        for address in datagram.introduced {
            self.add_peer(peers, now, address).await;
        }
        if delivery == RELAY_IN_ZONE {
            bytes[0] = DIRECT;
            for address in peers.relay_targets(now, datagram.origin) {
                send(socket, bytes, address);
            }
        }
        let update = ApplyPeerUpdate { peer: router_id(datagram.origin), update: datagram.update };
        if let Err(e) = self.fleet.tell(update).await {
            log::error!("could not apply the update of another router: {e}");
        }
    }

    async fn add_peer(&self, peers: &mut Peers, now: Timestamp, address: SocketAddr) {
        if address != self.address && peers.add(now, address) {
            self.publish_router_count(peers).await;
        }
    }

    fn update_role(&self, peers: &Peers, now: Timestamp) {
        let is_watcher = peers.is_watcher(now, self.address, self.feeds.reaches_store());
        self.feeds.set_watcher(is_watcher);
    }

    async fn send_update(
        &self,
        socket: &UdpSocket,
        peers: &mut Peers,
        introductions: &[(SocketAddr, Timestamp)],
    ) {
        let now = clock::now();
        if peers.remove_expired(now) {
            self.publish_router_count(peers).await;
        }
        let recipients = peers.recipients(now, rand::random());
        if recipients.is_empty() {
            return;
        }
        let Ok(update) = self.fleet.ask(CollectRouterUpdate).await else { return };
        let feed_reports = self.feeds.feed_reports(now);
        let introduced = introductions.iter().map(|(address, _)| *address).collect();
        let (origin, zone) = (self.address, self.zone);
        let datagram = Datagram { origin, zone, feed_reports, introduced, update };
        let mut bytes = vec![DIRECT];
        if let Err(e) = codec().serialize_into(&mut bytes, &datagram) {
            log::error!("could not serialize a gossip datagram: {e}");
            return;
        }
        for recipient in recipients {
            bytes[0] = if recipient.should_relay { RELAY_IN_ZONE } else { DIRECT };
            send(socket, &bytes, recipient.address);
        }
    }

    async fn publish_router_count(&self, peers: &Peers) {
        let routers = peers.router_count();
        metrics::gauge!(metric::ROUTERS).set(f64::from(routers));
        log::info!(routers = routers; "routers known");
        if let Err(e) = self.fleet.tell(SetRouterCount(routers)).await {
            log::error!("could not set the number of routers in the fleet: {e}");
        }
    }
}

/// Returns the encoding of datagrams, which writes small integers in few bytes.
fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}

fn send(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    metrics::counter!(metric::GOSSIP_BYTES).increment(bytes.len() as u64);
    if let Err(e) = socket.try_send_to(bytes, address) {
        log::debug!("could not send a gossip datagram to {address}: {e}");
    }
}
