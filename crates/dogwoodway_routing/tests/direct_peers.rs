//! Distribution of datagrams among routers, and the choice of watchers.

use std::{collections::BTreeSet, net::SocketAddr};

use dogwoodway_routing::direct::peers::{Peers, ZoneTag};
use dogwoodway_types::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn address(zone: u16, n: u16) -> SocketAddr {
    format!("10.{zone}.0.{n}:7340").parse().unwrap()
}

/// The peers of router 1 in zone 1, given `per_zone` routers in each of `zones` zones.
fn peers(zones: u16, per_zone: u16) -> Peers {
    let mut peers = Peers::new(ZoneTag(1));
    for zone in 1..=zones {
        for n in 1..=per_zone {
            if (zone, n) != (1, 1) {
                peers.record_datagram(at(0), address(zone, n), ZoneTag(zone));
            }
        }
    }
    peers
}

#[test]
fn a_datagram_is_sent_to_each_other_zone_once() {
    let mut peers = peers(8, 47);
    let recipients = peers.recipients(at(1), 3);
    assert_eq!(recipients.iter().filter(|recipient| recipient.should_relay).count(), 7);
    assert_eq!(recipients.iter().filter(|recipient| !recipient.should_relay).count(), 46);
}

#[test]
fn each_router_receives_a_datagram_once() {
    let mut sender = peers(3, 5);
    let mut receivers = Vec::new();
    for recipient in sender.recipients(at(1), 9) {
        receivers.push(recipient.address);
        if recipient.should_relay {
            let zone = match recipient.address {
                SocketAddr::V4(v4) => u16::from(v4.ip().octets()[1]),
                SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
            };
            let mut relay = Peers::new(ZoneTag(zone));
            for other in 1..=3 {
                for n in (1..=5).map(|n| address(other, n)).filter(|n| *n != recipient.address) {
                    relay.record_datagram(at(0), n, ZoneTag(other));
                }
            }
            receivers.extend(relay.relay_targets(at(1), address(1, 1)));
        }
    }
    let distinct: BTreeSet<_> = receivers.iter().collect();
    assert_eq!((receivers.len(), distinct.len()), (14, 14));
}

#[test]
fn the_relay_of_a_zone_varies() {
    let mut peers = peers(2, 5);
    let relays: BTreeSet<_> = (0..50)
        .flat_map(|draw| peers.recipients(at(1), draw))
        .filter(|recipient| recipient.should_relay)
        .map(|recipient| recipient.address)
        .collect();
    assert_eq!(relays.len(), 5);
}

#[test]
fn a_silent_router_is_no_relay_and_is_sent_to_less_often() {
    let mut peers = peers(2, 2);
    peers.record_datagram(at(2_500), address(2, 2), ZoneTag(2));
    peers.record_datagram(at(2_500), address(1, 2), ZoneTag(1));
    for draw in 0..20 {
        let recipients = peers.recipients(at(2_600), draw);
        let silent = recipients.iter().find(|recipient| recipient.address == address(2, 1));
        assert_eq!(silent.is_some(), draw == 0, "it is sent to once per second, directly");
        assert!(!silent.is_some_and(|recipient| recipient.should_relay));
        assert!(recipients.iter().any(|recipient| recipient.address == address(2, 2)));
    }
    assert!(!peers.remove_expired(at(50_000)));
    assert!(peers.remove_expired(at(61_000)));
    assert_eq!(peers.router_count(), 3);
}

#[test]
fn an_announced_router_is_sent_to_directly() {
    let mut peers = Peers::new(ZoneTag(1));
    assert!(peers.add(at(0), address(2, 1)));
    assert!(!peers.add(at(0), address(2, 1)));
    let recipients = peers.recipients(at(1), 1);
    assert_eq!((recipients.len(), recipients[0].should_relay), (1, false));
}

#[test]
fn two_routers_are_watchers_and_others_replace_silent_ones() {
    let routers: Vec<_> = (1..=6).map(|n| address(1, n)).collect();
    let is_watcher = |own: SocketAddr, silent: &[SocketAddr]| {
        let mut peers = Peers::new(ZoneTag(1));
        for other in routers.iter().filter(|other| **other != own) {
            peers.record_datagram(
                at(if silent.contains(other) { 0 } else { 5_000 }),
                *other,
                ZoneTag(1),
            );
        }
        peers.is_watcher(at(5_001), own, true)
    };
    let watchers: Vec<_> = routers.iter().copied().filter(|own| is_watcher(*own, &[])).collect();
    assert_eq!(watchers.len(), 2);
    let next: Vec<_> = routers.iter().copied().filter(|own| is_watcher(*own, &watchers)).collect();
    assert_eq!(next.len(), 4, "the two silent ones still count themselves as watchers");
    assert!(
        Peers::new(ZoneTag(1)).is_watcher(at(0), routers[0], true),
        "a router without peers is a watcher"
    );
}

#[test]
fn routers_that_do_not_reach_the_store_are_no_watchers_while_others_do() {
    let routers: Vec<_> = (1..=9).map(|n| address(1, n)).collect();
    let watchers = |without_store: &[SocketAddr]| -> Vec<SocketAddr> {
        let is_watcher = |own: &SocketAddr| {
            let mut peers = Peers::new(ZoneTag(1));
            for router in routers.iter().filter(|router| *router != own) {
                peers.record_datagram(at(0), *router, ZoneTag(1));
                peers.record_store_access(*router, !without_store.contains(router));
            }
            peers.is_watcher(at(1), *own, !without_store.contains(own))
        };
        routers.iter().copied().filter(is_watcher).collect()
    };
    let first = watchers(&[]);
    assert_eq!(first.len(), 2);
    let next = watchers(&first);
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|router| !first.contains(router)));
    assert_eq!(watchers(&routers), first, "the store is lost for all, so the same two try it");
}
