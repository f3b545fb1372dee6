//! Gossip over UDP, by which routers share their loads, the prompts that they place and changes of
//! weights.
//!
//! Each router reports to the aggregator of its zone, which sends back a digest of the fleet; see
//! [`aggregation`](dogwoodway_routing::direct::aggregation). The loads of a
//! report or digest replace those of the one before, and prompts are sent twice, so a lost datagram
//! does little harm. [`Peers`] decides who aggregates.

mod datagram;
mod notice_board;
mod origin_messages;
mod quota_messages;
mod receive;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_routing::direct::{
    aggregation::{Aggregator, ReportHistory},
    arrival::ArrivalClock,
    fleet::OriginPrompt,
    load::router_id,
    peers::{Peers, RouterInfo, ZoneTag, rank},
    team_quota::QuotaLetter,
};
use dogwoodway_types::Timestamp;
use kameo::actor::ActorRef;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

use self::{
    datagram::{Content, Datagram, Notices},
    notice_board::NoticeBoard,
};
use crate::{
    clock,
    feeds::SharedFeeds,
    fleet_actor::{ClearPeerLoads, CollectRouterUpdate, FleetActor, SetRouters},
    metric,
    quotas::SharedQuotas,
    software_surveys::{SharedSurveys, SoftwareQuestion},
    stream_origins::{OriginQuestion, SharedOrigins},
};

/// Least interval between two reports or digests of a router, in milliseconds.
const MIN_INTERVAL_MS: u64 = 20;

/// Number of routers for each further millisecond between the digests of an aggregator.
const ROUTERS_PER_INTERVAL_MS: u64 = 5;

/// Time by which the next datagram is put off beyond the least interval if there is nothing new to
/// report, in milliseconds.
const HEARTBEAT_DELAY_MS: u64 = 250;

/// Time for which the periodic work may be put off by datagrams that wait, in milliseconds.
const MAX_PERIODIC_DELAY_MS: u64 = 50;

/// Time without a digest after which another aggregator is chosen, in milliseconds; two heartbeats
/// and some delay.
const DIGEST_TIMEOUT_MS: u64 = 600;

/// Interval at which digests name the routers that are alive, in milliseconds.
const ALIVE_INTERVAL_MS: u64 = 300;

/// Time after the start in which a router hears from all others, in milliseconds. At its end the
/// router reports how many it knows, so that it no longer assumes a number if it is the only one.
const DISCOVERY_PERIOD_MS: u64 = 3_000;

/// Time after the start in which a router takes no role at the store, in milliseconds. Routers that
/// start together hear from each other within that time; otherwise each of them would take it.
pub(crate) const ROLE_DELAY_MS: u64 = 1_000;

/// Time for which a router that the log has announced is introduced to the others, in milliseconds;
/// long enough for several datagrams, of which some may be lost.
const INTRODUCTION_MS: u64 = 700;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Settings and channels of the task that exchanges datagrams with other routers.
pub(crate) struct GossipConfig {
    pub(crate) zone: ZoneTag,
    /// Where this router receives datagrams; identifies it among the routers.
    pub(crate) address: SocketAddr,
    /// Share of a processor core that this router has, in percent.
    pub(crate) cpu_percent: u8,
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) feeds: SharedFeeds,
    pub(crate) loads_changed: Arc<Notify>,
    /// Addresses of routers that the log has announced.
    pub(crate) discovered: mpsc::Receiver<SocketAddr>,
    pub(crate) origins: SharedOrigins,
    /// Questions about the origins of streams, to be sent to other routers.
    pub(crate) origin_questions: mpsc::Receiver<OriginQuestion>,
    pub(crate) surveys: SharedSurveys,
    /// Questions about the software of services, to be sent to all other routers.
    pub(crate) software_questions: mpsc::Receiver<SoftwareQuestion>,
    /// Quotas whose tokens routers move.
    pub(crate) quotas: Arc<SharedQuotas>,
}

/// Sends and receives until the process ends.
///
/// # Errors
///
/// Fails if the socket cannot be bound.
pub(crate) async fn run(config: GossipConfig) -> io::Result<()> {
    let socket = UdpSocket::bind(config.address).await?;
    Gossip::new(config, socket).run().await;
    Ok(())
}

struct Gossip {
    config: GossipConfig,
    socket: UdpSocket,
    /// Tells when datagrams have arrived.
    arrivals: ArrivalClock,
    peers: Peers,
    aggregator: Aggregator,
    /// Router that this one reports to; its own address if it aggregates itself.
    chosen: SocketAddr,
    /// When the chosen router was last heard to aggregate.
    chosen_heard_at: Timestamp,
    seq: u64,
    history: ReportHistory,
    notices_for_zone: NoticeBoard,
    notices_for_others: NoticeBoard,
    /// Routers that this one introduces to the others, each until the time given.
    introductions: Vec<(SocketAddr, Timestamp)>,
    next_alive_at: Timestamp,
    /// Number of routers as last told to the fleet.
    router_count: u32,
    /// Ranks of the routers alive, as last told to the fleet.
    routers_alive: Vec<u64>,
    /// Whether there is something new to send.
    has_changes: bool,
    /// When messages about quotas are due, and those that are sent a second time then.
    quotas_due: Timestamp,
    letters_to_repeat: Vec<QuotaLetter>,
}

impl Gossip {
    fn new(config: GossipConfig, socket: UdpSocket) -> Gossip {
        let chosen = config.address;
        Gossip {
            config,
            socket,
            arrivals: ArrivalClock::new(clock::now()),
            peers: Peers::default(),
            aggregator: Aggregator::default(),
            chosen,
            chosen_heard_at: clock::now(),
            seq: 0,
            history: ReportHistory::default(),
            notices_for_zone: NoticeBoard::default(),
            notices_for_others: NoticeBoard::default(),
            introductions: Vec::new(),
            next_alive_at: Timestamp::default(),
            router_count: 0,
            routers_alive: Vec::new(),
            has_changes: true,
            quotas_due: clock::now(),
            letters_to_repeat: Vec::new(),
        }
    }

    async fn run(mut self) {
        let started_at = clock::now();
        let role_from = started_at + Duration::from_millis(ROLE_DELAY_MS);
        let count_from = started_at + Duration::from_millis(DISCOVERY_PERIOD_MS);
        let mut send_at = started_at;
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let heartbeat_at = send_at + Duration::from_millis(HEARTBEAT_DELAY_MS);
            let due = if self.has_changes { send_at } else { heartbeat_at };
            let loads_changed = self.config.loads_changed.clone();
            let entered_at = clock::now();
            self.arrivals.record_wakeup(entered_at);
            let moves_tokens = self.config.quotas.is_in_use();
            if moves_tokens && entered_at >= self.quotas_due {
                self.send_quota_letters(entered_at);
            }
            // Datagrams that never end keep the router from nothing.
            if entered_at > due + Duration::from_millis(MAX_PERIODIC_DELAY_MS) {
                send_at = self.do_periodic_work(role_from, count_from).await;
                continue;
            }
            tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((length, _)) => self.receive(&buf[..length]).await,
                    Err(e) => log::debug!("could not receive a gossip datagram: {e}"),
                },
                Some(address) = self.config.discovered.recv() => {
                    let now = clock::now();
                    let until = now + Duration::from_millis(INTRODUCTION_MS);
                    self.introductions.push((address, until));
                    self.add_peer(now, address);
                }
                Some(question) = self.config.origin_questions.recv() => {
                    self.send_origin_question(clock::now(), question);
                }
                Some(question) = self.config.software_questions.recv() => {
                    self.send_software_question(question);
                }
                () = clock::sleep_until(self.quotas_due), if moves_tokens => {}
                () = loads_changed.notified(), if !self.has_changes => self.has_changes = true,
                () = clock::sleep_until(due) => {
                    // Whatever waited in the socket would have come first.
                    self.arrivals.record_empty(entered_at);
                    send_at = self.do_periodic_work(role_from, count_from).await;
                }
            }
        }
    }

    /// Does the periodic work, and returns when it is due again at the earliest.
    async fn do_periodic_work(&mut self, role_from: Timestamp, count_from: Timestamp) -> Timestamp {
        let now = clock::now();
        if now >= role_from {
            self.update_role(now);
        }
        self.peers.remove_expired(now);
        self.update_quotas(now);
        self.publish_routers(now, now >= count_from).await;
        self.choose_aggregator(now).await;
        self.has_changes = false;
        self.send_all(now).await;
        clock::now() + self.interval(now)
    }

    fn info(&self) -> RouterInfo {
        RouterInfo {
            address: self.config.address,
            zone: self.config.zone,
            cpu_percent: self.config.cpu_percent,
            reaches_store: self.config.feeds.reaches_store(),
        }
    }

    fn is_aggregating(&self, now: Timestamp) -> bool {
        self.chosen == self.config.address || self.aggregator.has_members(now, self.config.address)
    }

    fn interval(&self, now: Timestamp) -> Duration {
        let routers = u64::from(self.peers.router_count());
        let further_ms = match self.is_aggregating(now) {
            true => routers / ROUTERS_PER_INTERVAL_MS,
            false => 0,
        };
        Duration::from_millis(MIN_INTERVAL_MS + further_ms)
    }

    fn update_role(&self, now: Timestamp) {
        let reaches_store = self.config.feeds.reaches_store();
        let is_watcher = self.peers.is_watcher(now, self.config.address, reaches_store);
        self.config.feeds.set_watcher(is_watcher);
    }

    /// Chooses the router to report to, and forgets what an earlier one has reported.
    async fn choose_aggregator(&mut self, now: Timestamp) {
        let timeout = Duration::from_millis(DIGEST_TIMEOUT_MS);
        if self.chosen != self.config.address && now - self.chosen_heard_at > timeout {
            log::info!(aggregator:% = self.chosen; "no digest from the aggregator of the zone");
            self.peers.avoid(now, self.chosen);
        }
        let chosen = self.peers.aggregator(now, &self.info());
        if chosen == self.chosen {
            return;
        }
        log::info!(from:% = self.chosen, to:% = chosen; "aggregator of the zone changed");
        self.chosen = chosen;
        self.chosen_heard_at = now;
        if let Err(e) = self.config.fleet.tell(ClearPeerLoads).await {
            log::error!("could not clear the loads of other routers: {e}");
        }
    }

    async fn send_all(&mut self, now: Timestamp) {
        let is_aggregator = self.chosen == self.config.address;
        let Ok(update) = self.config.fleet.ask(CollectRouterUpdate { is_aggregator }).await else {
            return;
        };
        let origin = router_id(self.config.address);
        let prompts = update.prompts.into_iter().map(|update| OriginPrompt { origin, update });
        let prompts: Vec<_> = prompts.collect();
        self.introductions.retain(|(_, until)| *until > now);
        let introduced: Vec<_> = self.introductions.iter().map(|(address, _)| *address).collect();
        let notices = Notices {
            weights: update.weights,
            versions: update.versions,
            leaving: update.leaving,
            parts: update.parts,
            limits: update.limits,
            sent_at: now,
            feed_reports: vec![self.config.feeds.feed_reports(now)],
            introduced: introduced.clone(),
        };
        self.seq += 1;
        if is_aggregator {
            self.notices_for_zone.add(now, &notices);
            self.notices_for_others.add(now, &notices);
            self.aggregator.apply_report(now, self.config.address, self.seq, update.loads, prompts);
        } else {
            self.history.record(self.seq, update.loads.clone());
            let (seq, loads) = (self.seq, update.loads);
            self.send(Content::Report { seq, loads, prompts, notices }, &[self.chosen]);
        }
        if self.is_aggregating(now) {
            self.send_digests(now);
        }
        self.send_origin_records(now);
        let to_greet = self.peers.routers_to_greet(now);
        self.send(Content::Greeting { wants_reply: true, introduced }, &to_greet);
    }

    fn send_digests(&mut self, now: Timestamp) {
        let own = self.config.address;
        let members: Vec<_> =
            self.aggregator.members(now).filter(|router| *router != own).collect();
        let targets = self.peers.digest_targets(now, self.config.zone);
        let names_alive = now >= self.next_alive_at;
        let mut alive: Vec<_> =
            if names_alive { self.peers.infos(now).collect() } else { Vec::new() };
        if names_alive {
            self.next_alive_at = now + Duration::from_millis(ALIVE_INTERVAL_MS);
        }
        let digest = self.aggregator.fleet_digest(now);
        let notices = self.notices_for_zone.current(now);
        self.send(Content::FleetDigest { digest, notices, alive: alive.clone() }, &members);
        // Only routers that report here, so that no two aggregators keep a lost one alive.
        alive.retain(|info| members.contains(&info.address));
        let digest = self.aggregator.zone_digest(now);
        let notices = self.notices_for_others.current(now);
        self.send(Content::ZoneDigest { digest, notices, alive }, &targets);
    }

    fn send(&self, content: Content, targets: &[SocketAddr]) {
        if targets.is_empty() {
            return;
        }
        let bytes = match (Datagram { sender: self.info(), content }).encode() {
            Ok(bytes) => bytes,
            Err(e) => return log::error!("could not serialize a gossip datagram: {e}"),
        };
        for target in targets {
            metrics::counter!(metric::GOSSIP_BYTES).increment(bytes.len() as u64);
            if let Err(e) = self.socket.try_send_to(&bytes, *target) {
                log::debug!("could not send a gossip datagram to {target}: {e}");
            }
        }
    }

    /// Tells the fleet which routers there are, once others are known or `is_discovery_over`.
    async fn publish_routers(&mut self, now: Timestamp, is_discovery_over: bool) {
        let count = self.peers.router_count();
        if count == 1 && !is_discovery_over {
            return;
        }
        let own = rank(self.config.address);
        let alive = self.peers.ranks_alive(now, self.config.address);
        if count == self.router_count && alive == self.routers_alive {
            return;
        }
        if count != self.router_count {
            metrics::gauge!(metric::ROUTERS).set(f64::from(count));
            log::info!(routers = count; "routers known");
            self.config.feeds.set_router_count(count);
        }
        (self.router_count, self.routers_alive) = (count, alive.clone());
        if let Err(e) = self.config.fleet.tell(SetRouters { count, own, alive }).await {
            log::error!("could not set the routers in the fleet: {e}");
        }
    }
}
