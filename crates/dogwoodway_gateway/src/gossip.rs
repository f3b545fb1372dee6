//! Datagrams in which routers tell each other of their load and of new weights.
//!
//! Each datagram is whole in itself: it says all that its sender has in flight. A lost one is made
//! up for by the next, and a router that is not heard of counts as idle after a while. Who is told
//! directly and who by way of another router is decided by [`Peers`].

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bincode::Options;
use dogwoodway_routing::direct::{
    load::router_id,
    peers::{Peers, ZoneTag},
};
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
    store_watch::{Sightings, StoreWatch},
};

/// Least time between two datagrams to the same router, in milliseconds.
const LEAST_PAUSE_MS: u64 = 20;

/// Further time between two datagrams for each router, in milliseconds, so that the work grows
/// slowly with the number of routers.
const PAUSE_PER_PEER_MS: u64 = 1;

/// Longest time between two datagrams, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 250;

/// Time after the start in which all other routers are heard of, in milliseconds.
const SETTLED_AFTER_MS: u64 = 3_000;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// First byte of a datagram that is for its receiver alone.
const FOR_ONE: u8 = 0;

/// First byte of a datagram that its receiver passes on in its zone.
const FOR_ZONE: u8 = 1;

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    /// The router that it tells of; not always the one that sent it.
    origin: SocketAddr,
    zone: ZoneTag,
    /// How far it has read the store.
    sightings: Sightings,
    news: RouterNews,
}

pub(crate) struct Gossip {
    pub(crate) zone: ZoneTag,
    pub(crate) address: SocketAddr,
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) store: StoreWatch,
    pub(crate) loads_changed: Arc<Notify>,
    /// Addresses of routers that the log tells of.
    pub(crate) found: mpsc::Receiver<SocketAddr>,
}

impl Gossip {
    /// Tells and hears until the process ends.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.address).await?;
        let mut peers = Peers::new(self.zone);
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut send_at = clock::now();
        let mut is_dirty = true;
        let settled_at = send_at + Duration::from_millis(SETTLED_AFTER_MS);
        let mut is_settled = false;
        loop {
            let longest = send_at + Duration::from_millis(LONGEST_PAUSE_MS);
            let due = if is_dirty { send_at } else { longest };
            tokio::select! {
                received = socket.recv_from(&mut buf) => match received {
                    Ok((length, _)) => self.hear(&socket, &mut peers, &mut buf[..length]).await,
                    Err(e) => log::debug!("a datagram was not received: {e}"),
                },
                Some(address) = self.found.recv() => {
                    if address != self.address && peers.add(clock::now(), address) {
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
                    let others = u64::from(peers.router_count() - 1);
                    let pause_ms = LEAST_PAUSE_MS + PAUSE_PER_PEER_MS * others;
                    send_at = clock::now() + Duration::from_millis(pause_ms);
                    is_dirty = false;
                }
            }
        }
    }

    async fn hear(&self, socket: &UdpSocket, peers: &mut Peers, bytes: &mut [u8]) {
        let now = clock::now();
        let Some((&reach, body)) = bytes.split_first() else { return };
        let datagram: Datagram = match wire().deserialize(body) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::debug!("a datagram cannot be read: {e}");
                return;
            }
        };
        if datagram.origin == self.address {
            return;
        }
        if peers.record_datagram(now, datagram.origin, datagram.zone) {
            self.count(peers).await;
        }
        self.store.hear(now, &datagram.sightings, peers.is_watcher(now, self.address));
        if reach == FOR_ZONE {
            bytes[0] = FOR_ONE;
            for address in peers.relay_targets(now, datagram.origin) {
                send(socket, bytes, address);
            }
        }
        let seen = SeePeer { peer: router_id(datagram.origin), news: datagram.news };
        if let Err(e) = self.fleet.tell(seen).await {
            log::error!("another router's load was not noted: {e}");
        }
    }

    async fn tell(&self, socket: &UdpSocket, peers: &mut Peers) {
        let now = clock::now();
        if peers.remove_expired(now) {
            self.count(peers).await;
        }
        let addressees = peers.recipients(now, rand::random());
        if addressees.is_empty() {
            return;
        }
        let Ok(news) = self.fleet.ask(AskNews).await else { return };
        let sightings = self.store.sightings(now);
        let datagram = Datagram { origin: self.address, zone: self.zone, sightings, news };
        let mut bytes = vec![FOR_ONE];
        if let Err(e) = wire().serialize_into(&mut bytes, &datagram) {
            log::error!("a datagram could not be built: {e}");
            return;
        }
        for addressee in addressees {
            bytes[0] = if addressee.should_relay { FOR_ZONE } else { FOR_ONE };
            send(socket, &bytes, addressee.address);
        }
    }

    async fn count(&self, peers: &Peers) {
        let routers = peers.router_count();
        metrics::gauge!(metric::ROUTERS).set(f64::from(routers));
        log::info!(routers = routers; "routers known");
        if let Err(e) = self.fleet.tell(SetRouters(routers)).await {
            log::error!("the number of routers was not noted: {e}");
        }
    }
}

/// Writes small numbers in few bytes.
fn wire() -> impl Options {
    bincode::DefaultOptions::new()
}

fn send(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    metrics::counter!(metric::GOSSIP_BYTES).increment(bytes.len() as u64);
    if let Err(e) = socket.try_send_to(bytes, address) {
        log::debug!("a datagram to {address} was not sent: {e}");
    }
}
