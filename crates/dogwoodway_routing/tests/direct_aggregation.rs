//! Aggregation of loads and prompts over zones, replayed with lost and late datagrams.

use std::{collections::BTreeMap, net::SocketAddr};

use dogwoodway_routing::direct::{
    aggregation::{Aggregator, Digest, ReportHistory},
    fleet::{OriginPrompt, PromptFilter, PromptUpdate, ServerLoad, ServerTag},
    load::{Load, router_id},
};
use dogwoodway_types::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn address(zone: u16, n: u16) -> SocketAddr {
    format!("10.{zone}.0.{n}:7340").parse().unwrap()
}

fn load(server: u32, running: u32) -> ServerLoad {
    let tokens = u64::from(running) * 512;
    let load = Load { running, pending_prefill_tokens: tokens, kv_tokens: tokens };
    ServerLoad::new(ServerTag(server), load)
}

fn prompt(origin: SocketAddr, seq: u64) -> OriginPrompt {
    let update = PromptUpdate {
        seq,
        server: ServerTag(1),
        shared: Vec::new(),
        own_tokens: 100,
        ready_in_ms: 20,
        is_saved: false,
    };
    OriginPrompt { origin: router_id(origin), update }
}

fn running(loads: &[ServerLoad]) -> BTreeMap<u32, u32> {
    let loads = loads.iter().map(|load| (load.server.0, load.load().running));
    loads.filter(|(_, running)| *running > 0).collect()
}

#[test]
fn a_router_learns_the_load_of_all_others_and_not_its_own() {
    let mut zones = [Aggregator::default(), Aggregator::default()];
    let mut histories = BTreeMap::new();
    for (zone, aggregator) in (1..).zip(&mut zones) {
        for n in 1..=3 {
            let router = address(zone, n);
            let loads = vec![load(u32::from(n), u32::from(zone)), load(9, 1)];
            let history: &mut ReportHistory = histories.entry(router).or_default();
            history.record(4, loads.clone());
            aggregator.apply_report(at(0), router, 4, loads, Vec::new());
        }
    }
    let other_zone = zones[1].zone_digest(at(1));
    zones[0].apply_zone(at(1), address(2, 1), other_zone.loads, other_zone.prompts);
    let digest = zones[0].fleet_digest(at(2));
    assert_eq!(running(&digest.loads), [(1, 3), (2, 3), (3, 3), (9, 6)].into());
    let history = histories.get_mut(&address(1, 2)).unwrap();
    let others = history.loads_of_others(&digest, address(1, 2));
    assert_eq!(running(&others), [(1, 3), (2, 2), (3, 3), (9, 5)].into());
}

#[test]
fn reports_of_lost_routers_and_zones_expire() {
    let mut aggregator = Aggregator::default();
    aggregator.apply_report(at(0), address(1, 1), 1, vec![load(1, 2)], Vec::new());
    aggregator.apply_zone(at(300), address(2, 1), vec![load(1, 4)], Vec::new());
    assert!(aggregator.has_members(at(301), address(1, 9)));
    assert!(!aggregator.has_members(at(301), address(1, 1)));
    assert_eq!(running(&aggregator.fleet_digest(at(700)).loads), [(1, 6)].into());
    assert_eq!(running(&aggregator.fleet_digest(at(900)).loads), [(1, 4)].into());
    assert_eq!(running(&aggregator.fleet_digest(at(1_200)).loads), [].into());
}

#[test]
fn prompts_are_sent_twice_and_applied_once() {
    let mut aggregator = Aggregator::default();
    let router = address(1, 1);
    for _ in 0..2 {
        aggregator.apply_report(at(0), router, 1, Vec::new(), vec![prompt(router, 5)]);
    }
    let mut filter = PromptFilter::default();
    let sent: Vec<_> = (0..4).map(|_| aggregator.fleet_digest(at(1)).prompts).collect();
    assert_eq!(sent.iter().map(Vec::len).collect::<Vec<_>>(), [1, 1, 0, 0]);
    let applied = sent.into_iter().flat_map(|prompts| filter.retain_new(prompts));
    assert_eq!(applied.count(), 1);
    // The zone that a prompt comes from does not get it back from another one.
    let own = aggregator.zone_digest(at(1));
    assert_eq!(own.prompts.len(), 1);
    aggregator.apply_zone(at(2), address(2, 1), Vec::new(), own.prompts);
    assert_eq!(aggregator.zone_digest(at(3)).prompts.len(), 1);
    assert_eq!(aggregator.zone_digest(at(4)).prompts.len(), 0);
}

#[test]
fn many_prompts_are_spread_over_digests_that_fit_into_datagrams() {
    let mut aggregator = Aggregator::default();
    for n in 0..30 {
        let router = address(1, n);
        let prompts = (1..=60).map(|seq| prompt(router, seq)).collect();
        aggregator.apply_report(at(0), router, 1, Vec::new(), prompts);
    }
    let sizes: Vec<_> = (0..12).map(|_| aggregator.fleet_digest(at(1)).prompts.len()).collect();
    assert!(sizes.iter().all(|size| *size <= 400), "{sizes:?}");
    assert_eq!(sizes.iter().sum::<usize>(), 2 * 30 * 60);
}

#[test]
fn lost_and_late_datagrams_leave_no_error_behind() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let routers: Vec<_> = (1..=8).map(|n| address(1, n)).collect();
        let mut aggregator = Aggregator::default();
        let mut histories = vec![ReportHistory::default(); routers.len()];
        let mut loads = vec![Vec::new(); routers.len()];
        let mut digest = Digest::default();
        let last_step = 400;
        for step in 1..=last_step {
            let now = at(step * 20);
            for (i, router) in routers.iter().enumerate() {
                if step < last_step - 50 {
                    let servers = 1..=rng.random_range(1..6_u32);
                    loads[i] = servers.map(|n| load(n, rng.random_range(0..4))).collect();
                }
                histories[i].record(step, loads[i].clone());
                if rng.random_range(0..10) > 0 {
                    aggregator.apply_report(now, *router, step, loads[i].clone(), Vec::new());
                }
            }
            if rng.random_range(0..10) > 0 {
                digest = aggregator.fleet_digest(now);
            }
            for (i, router) in routers.iter().enumerate() {
                let others = histories[i].loads_of_others(&digest, *router);
                // After the loads have stopped changing, each router knows those of all others.
                if step == last_step {
                    let mut expected = BTreeMap::new();
                    for (j, load) in loads.iter().enumerate().filter(|(j, _)| *j != i) {
                        assert_ne!(i, j);
                        for (server, count) in running(load) {
                            *expected.entry(server).or_insert(0) += count;
                        }
                    }
                    assert_eq!(running(&others), expected, "seed {seed}");
                }
            }
        }
    }
}
