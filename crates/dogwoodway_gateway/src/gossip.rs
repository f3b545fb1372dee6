//! Datagrams in which routers tell each other of their load and of new weights.
//!
//! Each datagram is whole in itself: it says all that its sender has in flight. A lost one is made
//! up for by the next, and a router that is not heard of counts as idle after a while.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_types::{RouterName, Timestamp};
use kameo::actor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

use crate::{
    clock,
    fleet_actor::{AskNews, FleetActor, RouterNews, SeePeer, SetRouters},
    metric,
};

/// Least time between two datagrams to the same router, in milliseconds.
const LEAST_PAUSE_MS: u64 = 20;

/// Further time between two datagrams for each router, in milliseconds, so that the work grows
/// slowly with the number of routers.
const PAUSE_PER_PEER_MS: u64 = 2;

/// Longest time between two datagrams, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 250;

/// Time without a word after which a router is told less often, in milliseconds.
const QUIET_MS: u64 = 2_000;

/// Pause between datagrams to such a router, in milliseconds: it may be back after a partition.
const QUIET_PAUSE_MS: u64 = 1_000;

/// Time without a word after which a router no longer counts, in milliseconds.
const GONE_MS: u64 = 60_000;

/// Time after the start in which all other routers are heard of, in milliseconds.
const SETTLED_AFTER_MS: u64 = 3_000;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    router: RouterName,
    news: RouterNews,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    heard_at: Timestamp,
    told_at: Timestamp,
}

pub(crate) struct Gossip {
    pub(crate) router: RouterName,
    pub(crate) address: SocketAddr,
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) loads_changed: Arc<Notify>,
    /// Addresses of routers that the log tells of.
    pub(crate) found: mpsc::Receiver<SocketAddr>,
}

impl Gossip {
    /// Tells and hears until the process ends.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.address).await?;
        let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut send_at = clock::now();
        let mut is_dirty = true;
        let settled_at = send_at + Duration::from_millis(SETTLED_AFTER_MS);
        let mut is_settled = false;
        loop {
            let now = clock::now();
            let longest = send_at + Duration::from_millis(LONGEST_PAUSE_MS);
            let due = if is_dirty { send_at } else { longest };
            tokio::select! {
                received = socket.recv_from(&mut buf) => match received {
                    Ok((length, from)) => self.hear(&mut peers, from, &buf[..length]).await,
                    Err(e) => log::debug!("a datagram was not received: {e}"),
                },
                Some(address) = self.found.recv() => {
                    if address != self.address {
                        let peer = Peer { heard_at: now, told_at: Timestamp::default() };
                        peers.entry(address).or_insert(peer);
                        self.count(&peers).await;
                    }
                }
                () = clock::sleep_until(settled_at), if !is_settled => {
                    is_settled = true;
                    self.count(&peers).await;
                }
                () = self.loads_changed.notified(), if !is_dirty => is_dirty = true,
                () = clock::sleep_until(due) => {
                    self.tell(&socket, &mut peers).await;
                    let pause_ms = LEAST_PAUSE_MS + PAUSE_PER_PEER_MS * peers.len() as u64;
                    send_at = clock::now() + Duration::from_millis(pause_ms);
                    is_dirty = false;
                }
            }
        }
    }

    async fn hear(&self, peers: &mut HashMap<SocketAddr, Peer>, from: SocketAddr, bytes: &[u8]) {
        let datagram: Datagram = match bincode::deserialize(bytes) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::debug!("a datagram from {from} cannot be read: {e}");
                return;
            }
        };
        if datagram.router == self.router {
            return;
        }
        let now = clock::now();
        let is_new = !peers.contains_key(&from);
        let peer = Peer { heard_at: now, told_at: Timestamp::default() };
        peers.entry(from).or_insert(peer).heard_at = now;
        if is_new {
            self.count(peers).await;
        }
        let peer = dogwoodway_routing::direct::load::router_id(&datagram.router);
        if let Err(e) = self.fleet.tell(SeePeer { peer, news: datagram.news }).await {
            log::error!("another router's load was not noted: {e}");
        }
    }

    async fn tell(&self, socket: &UdpSocket, peers: &mut HashMap<SocketAddr, Peer>) {
        let now = clock::now();
        let count = peers.len();
        peers.retain(|_, peer| now - peer.heard_at < Duration::from_millis(GONE_MS));
        if peers.len() != count {
            self.count(peers).await;
        }
        if peers.is_empty() {
            return;
        }
        let Ok(news) = self.fleet.ask(AskNews).await else { return };
        let datagram = Datagram { router: self.router.clone(), news };
        let bytes = match bincode::serialize(&datagram) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("a datagram could not be built: {e}");
                return;
            }
        };
        for (address, peer) in peers {
            let is_quiet = now - peer.heard_at > Duration::from_millis(QUIET_MS);
            if is_quiet && now - peer.told_at < Duration::from_millis(QUIET_PAUSE_MS) {
                continue;
            }
            peer.told_at = now;
            if let Err(e) = socket.try_send_to(&bytes, *address) {
                log::debug!("a datagram to {address} was not sent: {e}");
            }
        }
    }

    async fn count(&self, peers: &HashMap<SocketAddr, Peer>) {
        let routers = peers.len() as u32 + 1;
        metrics::gauge!(metric::ROUTERS).set(f64::from(routers));
        log::info!(routers = routers; "routers known");
        if let Err(e) = self.fleet.tell(SetRouters(routers)).await {
            log::error!("the number of routers was not noted: {e}");
        }
    }
}
