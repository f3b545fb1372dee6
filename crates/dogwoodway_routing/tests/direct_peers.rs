//! Who is told what among routers, and what they may rely on.

use std::{collections::BTreeSet, net::SocketAddr};

use dogwoodway_routing::direct::peers::{Peers, ZoneTag};
use dogwoodway_types::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn address(zone: u16, n: u16) -> SocketAddr {
    format!("10.{zone}.0.{n}:7340").parse().unwrap()
}

/// A router of the first zone among `per_zone` routers in each of `zones` zones.
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
fn a_datagram_crosses_to_each_other_zone_once() {
    let mut peers = peers(8, 47);
    let told = peers.recipients(at(1), 3);
    assert_eq!(told.iter().filter(|to| to.should_relay).count(), 7);
    assert_eq!(told.iter().filter(|to| !to.should_relay).count(), 46);
}

#[test]
fn everybody_hears_of_a_datagram_once() {
    let mut sender = peers(3, 5);
    let mut heard = Vec::new();
    for to in sender.recipients(at(1), 9) {
        heard.push(to.address);
        if to.should_relay {
            let zone = match to.address {
                SocketAddr::V4(v4) => u16::from(v4.ip().octets()[1]),
                SocketAddr::V6(_) => unreachable!("addresses are of version 4"),
            };
            let mut relay = Peers::new(ZoneTag(zone));
            for other in 1..=3 {
                for n in (1..=5).map(|n| address(other, n)).filter(|n| *n != to.address) {
                    relay.record_datagram(at(0), n, ZoneTag(other));
                }
            }
            heard.extend(relay.relay_targets(at(1), address(1, 1)));
        }
    }
    let distinct: BTreeSet<_> = heard.iter().collect();
    assert_eq!((heard.len(), distinct.len()), (14, 14));
}

#[test]
fn the_router_that_passes_on_changes() {
    let mut peers = peers(2, 5);
    let relays: BTreeSet<_> = (0..50)
        .flat_map(|draw| peers.recipients(at(1), draw))
        .filter(|to| to.should_relay)
        .map(|to| to.address)
        .collect();
    assert_eq!(relays.len(), 5);
}

#[test]
fn a_silent_router_passes_nothing_on_and_is_told_seldom() {
    let mut peers = peers(2, 2);
    peers.record_datagram(at(2_500), address(2, 2), ZoneTag(2));
    peers.record_datagram(at(2_500), address(1, 2), ZoneTag(1));
    for draw in 0..20 {
        let told = peers.recipients(at(2_600), draw);
        let silent = told.iter().find(|to| to.address == address(2, 1));
        assert_eq!(silent.is_some(), draw == 0, "it is told once a second, directly");
        assert!(!silent.is_some_and(|to| to.should_relay));
        assert!(told.iter().any(|to| to.address == address(2, 2)));
    }
    assert!(!peers.remove_expired(at(50_000)));
    assert!(peers.remove_expired(at(61_000)));
    assert_eq!(peers.router_count(), 3);
}

#[test]
fn a_router_that_was_only_announced_is_told_directly() {
    let mut peers = Peers::new(ZoneTag(1));
    assert!(peers.add(at(0), address(2, 1)));
    assert!(!peers.add(at(0), address(2, 1)));
    let told = peers.recipients(at(1), 1);
    assert_eq!((told.len(), told[0].should_relay), (1, false));
}

#[test]
fn two_routers_watch_the_store_and_others_take_over_from_silent_ones() {
    let all: Vec<_> = (1..=6).map(|n| address(1, n)).collect();
    let of = |own: SocketAddr, silent: &[SocketAddr]| {
        let mut peers = Peers::new(ZoneTag(1));
        for other in all.iter().filter(|other| **other != own) {
            peers.record_datagram(
                at(if silent.contains(other) { 0 } else { 5_000 }),
                *other,
                ZoneTag(1),
            );
        }
        peers.is_watcher(at(5_001), own)
    };
    let watchers: Vec<_> = all.iter().copied().filter(|own| of(*own, &[])).collect();
    assert_eq!(watchers.len(), 2);
    let next: Vec<_> = all.iter().copied().filter(|own| of(*own, &watchers)).collect();
    assert_eq!(next.len(), 4, "the two before still take themselves for watchers");
    assert!(Peers::new(ZoneTag(1)).is_watcher(at(0), all[0]), "who knows nobody reads itself");
}
