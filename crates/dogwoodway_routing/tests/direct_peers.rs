//! The choice of aggregators and watchers among the routers.

use std::{collections::BTreeSet, net::SocketAddr};

use dogwoodway_routing::direct::peers::{Peers, RouterInfo, ZoneTag};
use dogwoodway_types::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn address(zone: u16, n: u16) -> SocketAddr {
    format!("10.{zone}.0.{n}:7340").parse().unwrap()
}

/// Routers 1 and 2 of each zone have half a core, the others a tenth.
fn info(zone: u16, n: u16) -> RouterInfo {
    let cpu_percent = if n <= 2 { 50 } else { 9 };
    RouterInfo { address: address(zone, n), zone: ZoneTag(zone), cpu_percent, reaches_store: true }
}

/// The peers of router `own`, given `per_zone` routers in each of `zones` zones.
fn peers(zones: u16, per_zone: u16, own: &RouterInfo) -> Peers {
    let mut peers = Peers::default();
    for zone in 1..=zones {
        for info in (1..=per_zone).map(|n| info(zone, n)).filter(|info| info != own) {
            peers.record_info(at(0), info);
        }
    }
    peers
}

#[test]
fn all_routers_of_a_zone_choose_the_same_strong_aggregator() {
    let chosen: BTreeSet<_> =
        (1..=47).map(|n| peers(8, 47, &info(3, n)).aggregator(at(1), &info(3, n))).collect();
    assert_eq!(chosen.len(), 1);
    assert!(chosen.is_subset(&[address(3, 1), address(3, 2)].into()));
}

#[test]
fn a_digest_goes_to_all_aggregators_and_to_two_routers_of_zones_that_have_none() {
    let mut peers = peers(8, 47, &info(1, 1));
    assert_eq!(peers.digest_targets(at(1), ZoneTag(1)).len(), 14);
    // A thin router aggregates because others cannot reach the strong ones.
    peers.record_digest(at(1), address(2, 40));
    peers.record_digest(at(1), address(1, 40));
    let targets = peers.digest_targets(at(2), ZoneTag(1));
    assert_eq!(targets.len(), 14);
    assert!(targets.contains(&address(2, 40)) && targets.contains(&address(1, 40)));
    assert_eq!(peers.digest_targets(at(1_500), ZoneTag(1)).len(), 14);
}

#[test]
fn silent_and_avoided_aggregators_are_replaced() {
    let own = info(1, 7);
    let mut peers = peers(1, 9, &own);
    let first = peers.aggregator(at(1), &own);
    peers.avoid(at(1), first);
    let second = peers.aggregator(at(2), &own);
    assert_ne!(first, second);
    assert_eq!(peers.aggregator(at(3_500), &own), own.address, "all others are silent by then");
    for n in (1..=9).filter(|n| *n != 7) {
        peers.record_info(at(3_500), info(1, n));
    }
    assert_eq!(peers.aggregator(at(3_501), &own), first, "it is no longer avoided");
}

#[test]
fn an_announced_router_is_greeted_until_it_answers() {
    let mut peers = Peers::default();
    assert!(peers.add(at(0), address(2, 1)));
    assert!(!peers.add(at(0), address(2, 1)));
    assert_eq!(peers.routers_to_greet(at(1)), [address(2, 1)]);
    assert_eq!(peers.routers_to_greet(at(50)), []);
    assert_eq!(peers.routers_to_greet(at(300)), [address(2, 1)]);
    assert!(!peers.record_info(at(310), info(2, 1)));
    assert_eq!(peers.routers_to_greet(at(900)), []);
}

#[test]
fn a_silent_router_is_greeted_each_second_and_each_ten_seconds_after_a_minute() {
    let mut peers = peers(1, 2, &info(1, 1));
    let mut count_greetings = |from: u64, to: u64| {
        let times = (from..to).step_by(100);
        times.filter(|ms| !peers.routers_to_greet(at(*ms)).is_empty()).count()
    };
    assert_eq!(count_greetings(0, 60_000), 58);
    assert_eq!(count_greetings(60_000, 600_000), 54);
    assert!(!peers.remove_expired(at(599_000)));
    assert_eq!(peers.router_count(), 2);
    assert!(peers.remove_expired(at(601_000)));
    assert_eq!(peers.router_count(), 1);
    let times = (601_000..701_000).step_by(100);
    let greetings = times.filter(|ms| !peers.routers_to_greet(at(*ms)).is_empty());
    assert_eq!(greetings.count(), 10, "it is greeted after it was removed");
}

/// Lets two routers know each other, cuts them off from each other for `cut_ms`, and returns how many
/// routers each counts at the end of the cut and 11 s later.
fn counts_after_cut(cut_ms: u64) -> [[u32; 2]; 2] {
    let infos = [info(1, 1), info(1, 2)];
    let mut routers = [peers(1, 2, &infos[0]), peers(1, 2, &infos[1])];
    let count = |routers: &[Peers; 2]| [routers[0].router_count(), routers[1].router_count()];
    let mut at_heal = [0, 0];
    for ms in (0..cut_ms + 11_000).step_by(100) {
        if ms == cut_ms {
            at_heal = count(&routers);
        }
        for own in 0..2 {
            routers[own].remove_expired(at(ms));
            let is_heard = !routers[own].routers_to_greet(at(ms)).is_empty() && ms >= cut_ms;
            if is_heard {
                // The greeting and the reply to it.
                routers[1 - own].record_info(at(ms), infos[own]);
                routers[own].record_info(at(ms), infos[1 - own]);
            }
        }
    }
    [at_heal, count(&routers)]
}

// After a cut of more than a minute, each part took the whole of the common limits.
#[test]
fn routers_count_each_other_during_a_cut_of_minutes() {
    assert_eq!(counts_after_cut(61_000)[0], [2, 2]);
    assert_eq!(counts_after_cut(300_000)[0], [2, 2]);
}

// After a cut of more than a minute, routers did not hear of each other until one of them restarted.
#[test]
fn routers_meet_again_after_a_cut_of_any_length() {
    for cut_ms in [5_000, 61_000, 700_000, 3_600_000] {
        assert_eq!(counts_after_cut(cut_ms)[1], [2, 2], "after {cut_ms} ms");
    }
}

#[test]
fn two_routers_are_watchers_and_others_replace_silent_ones() {
    let routers: Vec<_> = (1..=6).map(|n| info(1, n)).collect();
    let is_watcher = |own: &RouterInfo, silent: &[RouterInfo]| {
        let mut peers = Peers::default();
        for other in routers.iter().filter(|other| *other != own) {
            peers.record_info(at(if silent.contains(other) { 0 } else { 5_000 }), *other);
        }
        peers.is_watcher(at(5_001), own.address, true)
    };
    let watchers: Vec<_> = routers.iter().copied().filter(|own| is_watcher(own, &[])).collect();
    assert_eq!(watchers.len(), 2);
    let next: Vec<_> = routers.iter().copied().filter(|own| is_watcher(own, &watchers)).collect();
    assert_eq!(next.len(), 4, "the two silent ones still count themselves as watchers");
    assert!(
        Peers::default().is_watcher(at(0), routers[0].address, true),
        "a router without peers is a watcher"
    );
}

#[test]
fn routers_that_do_not_reach_the_store_are_no_watchers_while_others_do() {
    let routers: Vec<_> = (1..=9).map(|n| address(1, n)).collect();
    let watchers = |without_store: &[SocketAddr]| -> Vec<SocketAddr> {
        let is_watcher = |own: &SocketAddr| {
            let mut peers = Peers::default();
            for n in 1..=9 {
                let info = info(1, n);
                let reaches_store = !without_store.contains(&info.address);
                if info.address != *own {
                    peers.record_info(at(0), RouterInfo { reaches_store, ..info });
                }
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
