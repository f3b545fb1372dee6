//! Placement of requests by a router that reaches the backend servers itself, and replays of the
//! load patterns that the placement rules are made for.

use std::{collections::BinaryHeap, time::Duration};

use dogwoodway_routing::{
    direct::{
        fleet::{
            Availability, BackendKey, Fleet, Placement, PlacementRequest, RequestKey,
            ServerListing, ServerLoad, ServerTag, VersionAge,
        },
        health::HealthSignal,
        kv_stores::KvChange,
        prompt::{PrefixKey, PrefixSegment, Prompt, PromptPart},
        rollout::engines_to_load,
        software::SoftwareTag,
        table::{EngineSpec, KvStoreSpec, RoutingTable, Service, ServiceKind, TableParts},
    },
    rendezvous::ServerKey,
};
use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ModelName, NotRunReason, ServiceName, SoftwareVersion,
    Timestamp, WeightsVersion,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const MODEL: &str = "m0";

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::try_from(name).unwrap()
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

fn name(n: usize) -> BackendServerName {
    BackendServerName::try_from(format!("engine-{n}")).unwrap()
}

fn listing(n: usize, version: u32) -> ServerListing {
    ServerListing {
        name: name(n),
        service: service("llm"),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: zone("a"),
        software: SoftwareVersion::from("v1"),
        slots: 64,
        availability: Availability::Ready,
        weights: vec![(ModelName::try_from(MODEL).unwrap(), WeightsVersion(version))],
        started_at_ms: 1,
        revision: 1,
    }
}

fn table(stores: &[&str]) -> RoutingTable {
    let spec = EngineSpec {
        slots: 64,
        kv_tokens: 200_000,
        kv_token_bytes: 160_000,
        link_mbps: 370_000.0,
        models: vec![ModelName::try_from(MODEL).unwrap()],
    };
    let engines =
        Service { name: service("llm"), max_connections: 100, kind: ServiceKind::Engines(spec) };
    let stores = stores.iter().enumerate().map(|(n, address)| Service {
        name: service(&format!("store-{n}")),
        max_connections: 10,
        kind: ServiceKind::KvStore(KvStoreSpec {
            address: address.parse().unwrap(),
            zone: None,
            kv_tokens: 100_000,
            link_mbps: 240_000.0,
        }),
    });
    let services = std::iter::once(engines).chain(stores).collect();
    RoutingTable::from(TableParts { version: 1, services, ..TableParts::default() })
}

fn fleet(engines: usize) -> (Fleet, Vec<BackendKey>) {
    let mut fleet = Fleet::new(zone("a"));
    fleet.set_table(&table(&[]));
    let keys = (0..engines).filter_map(|n| fleet.apply_listing(at(0), listing(n, 1)));
    let keys = keys.map(|(key, _)| key).collect();
    (fleet, keys)
}

/// A prompt with a shared part of `shared` tokens, identified by `prefix`, and a part of `own`
/// tokens that no other prompt shares.
fn prompt(prefix: u32, shared: u32, own: u32, draw: u64) -> Prompt {
    let part = |id: String, tokens| PromptPart { id, tokens };
    Prompt {
        model: ModelName::try_from(MODEL).unwrap(),
        input_tokens: shared + own,
        output_tokens: 40,
        parts: vec![part(format!("c{prefix}"), shared), part(format!("o{draw}"), own)],
    }
}

fn placement_request(
    now: Timestamp,
    prompt: Prompt,
    priority: u8,
    expected_ms: u64,
    draw: u64,
) -> PlacementRequest {
    PlacementRequest {
        service: service("llm"),
        prompt: Some(prompt),
        isolated_team: None,
        required_version: None,
        preferred_version: None,
        required_software: None,
        priority,
        deadline: now + Duration::from_secs(15),
        expected_by: now + Duration::from_millis(expected_ms),
        tried: Vec::new(),
        draw,
    }
}

fn place(fleet: &mut Fleet, now: Timestamp, prefix: u32, draw: u64) -> Placement {
    let request = placement_request(now, prompt(prefix, 5_000, 1_000, draw), 1, 800, draw);
    fleet.place(now, &request).expect("a server accepts the request")
}

fn finish(fleet: &mut Fleet, now: Timestamp, request_key: RequestKey) {
    fleet.record_first_output(now, request_key);
    fleet.end_request(now, request_key, Some(HealthSignal::Answered));
}

#[test]
fn prompts_are_placed_where_their_shared_prefix_is_cached() {
    let (mut fleet, _) = fleet(9);
    let first = place(&mut fleet, at(0), 7, 1);
    finish(&mut fleet, at(200), first.request);
    for draw in 2..20 {
        let next = place(&mut fleet, at(200 * draw), 7, draw);
        assert_eq!(next.server, first.server);
        finish(&mut fleet, at(200 * draw + 100), next.request);
    }
}

#[test]
fn routers_that_exchange_prompt_updates_choose_the_same_engine() {
    let (mut a, _) = fleet(9);
    let (mut b, _) = fleet(9);
    let first = place(&mut a, at(0), 7, 1);
    finish(&mut a, at(200), first.request);
    let updates = a.take_prompt_updates();
    b.apply_prompt_updates(at(210), 1, &updates);
    b.apply_prompt_updates(at(211), 1, &updates);
    assert_eq!(place(&mut b, at(400), 7, 2).name, first.name);
    assert_eq!(
        a.take_prompt_updates().len(),
        1,
        "each update is sent again, since datagrams may be lost"
    );
}

#[test]
fn an_overloaded_engine_is_avoided_but_used_as_fetch_source() {
    let (mut fleet, keys) = fleet(3);
    let first = place(&mut fleet, at(0), 7, 1);
    finish(&mut fleet, at(200), first.request);
    let busy = fleet.listing(first.server).unwrap().name.clone();
    let load = dogwoodway_routing::direct::load::Load {
        running: 20,
        pending_prefill_tokens: 40_000,
        kv_tokens: 100_000,
    };
    let tag = ServerTag::from(ServerKey::new(&busy));
    let peer_load = ServerLoad::new(tag, load);
    fleet.apply_peer_loads(at(300), 1, &[peer_load]);
    let next = place(&mut fleet, at(301), 7, 2);
    assert_ne!(next.server, first.server);
    assert_eq!(next.fetch_from, Some(first.address));
    assert!(keys.contains(&next.server));
    // The load reported by a peer expires after a short time, which is longer the more routers
    // there are.
    fleet.set_router_count(380);
    fleet.expire_peer_loads(at(2_000));
    let third = place(&mut fleet, at(2_001), 7, 3);
    assert_ne!(third.server, first.server);
    finish(&mut fleet, at(2_002), third.request);
    fleet.set_router_count(4);
    fleet.expire_peer_loads(at(2_002));
    assert_eq!(fleet.find(&busy), Some(first.server));
    finish(&mut fleet, at(2_000), next.request);
    assert_eq!(fleet.own_loads().len(), 0);
}

#[test]
fn no_request_runs_on_weights_superseded_for_too_long() {
    let (mut fleet, _) = fleet(2);
    let model = ModelName::try_from(MODEL).unwrap();
    let age = Duration::ZERO;
    fleet.record_published_version(at(0), model.clone(), WeightsVersion(2), age);
    fleet.record_published_version(at(5_000), model.clone(), WeightsVersion(3), age);
    let request = |now| placement_request(now, prompt(1, 100, 100, 1), 1, 800, 1);
    assert!(fleet.place(at(6_000), &request(at(6_000))).is_ok());
    // The engines may have loaded the newest weights in the meantime; they refuse the request if
    // not.
    let unconfirmed = fleet.place(at(7_500), &request(at(7_500))).unwrap();
    assert_eq!(unconfirmed.version, Some(WeightsVersion(3)));
    assert_eq!(unconfirmed.scope.as_deref(), Some("w3"));
    fleet.end_request(at(7_510), unconfirmed.request, Some(HealthSignal::Refused));
    assert!(fleet.record_version_mismatch(at(7_510), unconfirmed.server));
    assert!(
        !fleet.record_version_mismatch(at(7_511), unconfirmed.server),
        "the server is asked only once"
    );
    let other = fleet.place(at(7_520), &request(at(7_520))).unwrap();
    assert_ne!(other.server, unconfirmed.server);
    fleet.record_served_version(other.server, Some(&model), WeightsVersion(3));
    fleet.end_request(at(7_540), other.request, Some(HealthSignal::Answered));
    let known = fleet.place(at(8_600), &request(at(8_600))).unwrap();
    assert_eq!(known.server, other.server);
}

#[test]
fn a_loading_engine_gets_no_requests_and_loses_its_cache() {
    let (mut fleet, keys) = fleet(1);
    let first = place(&mut fleet, at(0), 7, 1);
    finish(&mut fleet, at(100), first.request);
    fleet.mark_loading(at(200), keys[0]);
    let request = placement_request(at(300), prompt(7, 5_000, 1_000, 2), 1, 800, 2);
    assert!(fleet.place(at(300), &request).is_err());
    fleet.record_served_version(keys[0], None, WeightsVersion(2));
    let next = place(&mut fleet, at(900), 7, 3);
    assert_eq!(
        next.computed_and_fetched_tokens.0, 6_000,
        "prefixes of the old weights must not count"
    );
    assert_eq!(next.scope.as_deref(), Some("w2"));
}

#[test]
fn engines_with_the_oldest_weights_load_first() {
    let (mut fleet, _) = fleet(0);
    for (n, version) in [(1, 3), (2, 1), (3, 2), (4, 1)] {
        fleet.apply_listing(at(0), listing(n, version));
    }
    let model = ModelName::try_from(MODEL).unwrap();
    fleet.record_published_version(at(0), model, WeightsVersion(3), Duration::ZERO);
    let engines = fleet.engine_weights(at(1));
    let order: Vec<_> = engines_to_load(&engines).iter().map(|engine| engine.serving.0).collect();
    assert_eq!(order, [1, 1, 2]);
}

// Guards against a roll-out that waits for engines that never answer, or spares those that nobody uses.
#[test]
fn unanswered_orders_and_engines_out_of_use_do_not_hold_the_rollout_up() {
    let (mut fleet, _) = fleet(18);
    let model = ModelName::try_from(MODEL).unwrap();
    fleet.record_published_version(at(0), model, WeightsVersion(2), Duration::ZERO);
    let mut engines = fleet.engine_weights(at(1));
    assert_eq!(engines_to_load(&engines).len(), 6);
    for engine in &mut engines[..6] {
        engine.is_loading = true;
    }
    assert!(engines_to_load(&engines).is_empty(), "no more than six load at the same time");
    for engine in &mut engines[..6] {
        (engine.is_loading, engine.has_unanswered_order) = (false, true);
    }
    let due: Vec<_> = engines_to_load(&engines).iter().map(|engine| engine.server).collect();
    assert_eq!(due.len(), 6);
    assert!(due.iter().all(|server| engines[6..].iter().any(|engine| engine.server == *server)));
    let engines = fleet.engine_weights(at(7_900));
    assert_eq!(engines_to_load(&engines).len(), 18, "no request may start on them any more");
}

#[test]
fn outdated_listings_do_not_bring_a_server_back() {
    let (mut fleet, keys) = fleet(1);
    let newer = ServerListing { revision: 9, ..listing(0, 1) };
    assert_eq!(fleet.apply_listing(at(1), newer), Some((keys[0], false)));
    assert_eq!(fleet.apply_listing(at(2), ServerListing { revision: 4, ..listing(0, 1) }), None);
    fleet.remove(&name(0));
    assert_eq!(fleet.apply_listing(at(3), ServerListing { revision: 9, ..listing(0, 1) }), None);
    assert!(fleet.apply_listing(at(4), ServerListing { revision: 10, ..listing(0, 1) }).is_some());
    let restarted = ServerListing { started_at_ms: 2, revision: 1, ..listing(0, 1) };
    assert!(fleet.apply_listing(at(5), restarted).is_some_and(|(_, is_new)| is_new));
}

#[test]
fn a_server_missing_after_an_outage_is_used_until_the_grace_period_ends() {
    let (mut fleet, _) = fleet(1);
    fleet.mark_missing(&name(0), at(2_300));
    let place_at = |fleet: &mut Fleet, ms| {
        fleet.place(at(ms), &placement_request(at(ms), prompt(1, 10, 10, 1), 1, 800, 1)).is_ok()
    };
    assert!(place_at(&mut fleet, 1_000));
    assert!(!place_at(&mut fleet, 2_400));
    assert_eq!(fleet.remove_unlisted(at(2_400)).len(), 1);
}

#[test]
fn a_draining_or_unreachable_server_gets_no_requests() {
    let (mut fleet, keys) = fleet(2);
    let draining =
        ServerListing { availability: Availability::Draining, revision: 2, ..listing(0, 1) };
    fleet.apply_listing(at(1), draining);
    for draw in 0..20 {
        let placed = place(&mut fleet, at(10 + draw), draw as u32, draw);
        assert_eq!(placed.server, keys[1]);
        finish(&mut fleet, at(10 + draw), placed.request);
    }
    fleet.record_probe(at(50), keys[1], false);
    let request = placement_request(at(60), prompt(1, 10, 10, 1), 1, 800, 1);
    assert!(fleet.place(at(60), &request).is_err());
    assert_eq!(fleet.start_probes(at(300)), [keys[1]]);
    fleet.record_probe(at(310), keys[1], true);
    assert!(fleet.place(at(320), &request).is_ok());
}

#[test]
fn failures_are_noticed_even_if_most_servers_fail() {
    let (mut fleet, keys) = fleet(3);
    let mut chosen = 0;
    for draw in 0..200 {
        let now = at(20 * draw);
        let placed = place(&mut fleet, now, draw as u32, draw);
        let is_healthy = placed.server == keys[2];
        chosen += u32::from(draw >= 100 && is_healthy);
        fleet.end_request(
            now,
            placed.request,
            Some(if is_healthy { HealthSignal::Answered } else { HealthSignal::ConnectionLost }),
        );
    }
    assert!(chosen >= 90, "the healthy server got {chosen} of the last 100");
}

#[test]
fn an_engine_silent_with_an_overdue_answer_is_reported() {
    let (mut fleet, _) = fleet(1);
    let placed = place(&mut fleet, at(0), 1, 1);
    assert!(fleet.unresponsive_servers(at(300)).is_empty());
    assert_eq!(fleet.unresponsive_servers(at(1_000)), [placed.server]);
    fleet.record_activity(at(990), placed.server);
    assert!(fleet.unresponsive_servers(at(1_000)).is_empty());
}

/// Returns a fleet of three servers, of which the first one holds a prefix, owes an answer that is
/// overdue, and accepts connections; a retry of a request that the second one was sent; and the overdue
/// request.
fn fleet_with_mute_server() -> (Fleet, [BackendKey; 3], PlacementRequest, RequestKey) {
    let (mut fleet, keys) = fleet(3);
    let first = place(&mut fleet, at(0), 7, 1);
    finish(&mut fleet, at(200), first.request);
    let overdue = place(&mut fleet, at(300), 7, 2);
    assert_eq!(overdue.server, first.server);
    assert_eq!(fleet.unresponsive_servers(at(1_200)), [first.server]);
    fleet.record_probe(at(1_200), first.server, true);
    let others: Vec<_> = keys.into_iter().filter(|key| *key != first.server).collect();
    let mut retry = placement_request(at(1_300), prompt(7, 5_000, 1_000, 3), 1, 800, 3);
    retry.tried = vec![fleet.listing(others[0]).unwrap().name.clone()];
    (fleet, [first.server, others[0], others[1]], retry, overdue.request)
}

// A retry was sent to a server that stood still, which read it seconds later with too much time.
#[test]
fn retry_is_not_placed_on_a_server_that_accepts_connections_and_answers_nothing() {
    let (mut fleet, [_, _, other], retry, _) = fleet_with_mute_server();
    assert_eq!(fleet.place(at(1_300), &retry).unwrap().server, other);
}

#[test]
fn retry_is_not_placed_on_a_server_whose_overdue_request_has_ended() {
    let (mut fleet, [_, _, other], retry, overdue) = fleet_with_mute_server();
    fleet.end_request(at(3_200), overdue, None);
    assert_eq!(fleet.place(at(3_300), &retry).unwrap().server, other);
}

#[test]
fn server_that_answers_nothing_gets_first_attempts_and_retries_that_no_other_takes() {
    let (mut fleet, [mute, _, other], mut retry, _) = fleet_with_mute_server();
    assert_eq!(place(&mut fleet, at(1_300), 7, 4).server, mute);
    retry.tried.push(fleet.listing(other).unwrap().name.clone());
    assert_eq!(fleet.place(at(1_300), &retry).unwrap().server, mute);
}

#[test]
fn server_gets_retries_again_once_it_has_answered() {
    let (mut fleet, [awake, ..], retry, _) = fleet_with_mute_server();
    fleet.record_activity(at(1_250), awake);
    assert_eq!(fleet.place(at(1_300), &retry).unwrap().server, awake);
}

#[test]
fn an_unreachable_store_is_neither_fetched_from_nor_saved_to() {
    let mut fleet = Fleet::new(zone("a"));
    let store = "10.0.9.9:80".parse().unwrap();
    fleet.set_table(&table(&["10.0.9.9:80"]));
    fleet.apply_listing(at(0), listing(0, 1));
    let first = place(&mut fleet, at(0), 7, 1);
    assert_eq!(first.save_to, Some(store));
    fleet.mark_store_unreachable(store);
    let next = place(&mut fleet, at(10), 8, 2);
    assert_eq!((next.fetch_from, next.save_to), (None, None));
    // The store is reachable again and reports that it holds the first prefix.
    let key = PrefixKey::new("w1", MODEL, "c7");
    let stored = KvChange::Stored(PrefixSegment { key, tokens: 5_000 });
    fleet.apply_store_changes(at(500), store, true, &[stored]);
    fleet.remove(&name(0));
    fleet.apply_listing(at(510), listing(1, 1));
    let next = place(&mut fleet, at(520), 7, 3);
    assert_eq!((next.fetch_from, next.save_to), (Some(store), None));
    fleet.apply_store_changes(at(600), store, false, &[KvChange::Evicted(key)]);
    assert_eq!(place(&mut fleet, at(610), 7, 4).server, next.server);
}

#[test]
fn a_mostly_unshared_prompt_is_not_saved() {
    let mut fleet = Fleet::new(zone("a"));
    fleet.set_table(&table(&["10.0.9.9:80"]));
    fleet.apply_listing(at(0), listing(0, 1));
    let large = placement_request(at(0), prompt(7, 1_000, 9_000, 1), 1, 800, 1);
    let placed = fleet.place(at(0), &large).unwrap();
    assert_eq!(placed.save_to, None);
    finish(&mut fleet, at(1), placed.request);
    let small = placement_request(at(1), prompt(7, 1_000, 900, 2), 1, 800, 2);
    assert!(fleet.place(at(1), &small).unwrap().save_to.is_some());
}

/// An engine of the replay, which computes prompts one after the other.
#[derive(Clone, Debug)]
struct Engine {
    free_at_us: u64,
    is_lost: bool,
}

/// Results of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct Replay {
    arrivals: u32,
    in_time: u32,
    refused: u32,
    high_priority_arrivals: u32,
    high_priority_in_time: u32,
    computed_tokens: u64,
}

const US_PER_TOKEN: u64 = 18;

/// Replays seeded arrivals at engines of which the first `lost` are unreachable. `may_refuse` tells
/// whether routers may refuse requests because of their queueing time.
fn replay(load: f64, lost: usize, may_refuse: bool, seed: u64) -> Replay {
    const ENGINES: usize = 9;
    let (mut fleet, keys) = fleet(ENGINES);
    let mut engines = vec![Engine { free_at_us: 0, is_lost: false }; ENGINES];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut completions: BinaryHeap<std::cmp::Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut request_keys = Vec::new();
    let mut stats = Replay::default();
    let mean_us = US_PER_TOKEN as f64 * 2_600.0 / (ENGINES as f64 * load);
    let mut now_us = 0.0;
    for (n, engine) in engines.iter_mut().enumerate().take(lost) {
        engine.is_lost = true;
        fleet.record_probe(at(0), keys[n], false);
    }
    for draw in 0..6_000_u64 {
        now_us += -mean_us * (1.0 - rng.random::<f64>()).ln();
        let now = Timestamp(at(0).0 + now_us as u64);
        while let Some(std::cmp::Reverse((us, i))) = completions.peek().copied()
            && us <= now_us as u64
        {
            completions.pop();
            finish(&mut fleet, Timestamp(at(0).0 + us), request_keys[i as usize]);
        }
        let is_high_priority = rng.random::<f64>() < 0.8;
        let (own, expected_ms) = if is_high_priority { (1_400, 400) } else { (5_000, 800) };
        let shared = prompt(rng.random_range(0..40), 400, own, draw);
        let mut request =
            placement_request(now, shared, u8::from(!is_high_priority), expected_ms, draw);
        let expected_by = request.expected_by;
        if !may_refuse {
            request.expected_by = now + Duration::from_secs(3_600);
            request.deadline = request.expected_by;
        }
        stats.arrivals += 1;
        stats.high_priority_arrivals += u32::from(is_high_priority);
        let Ok(placed) = fleet.place(now, &request) else {
            stats.refused += 1;
            continue;
        };
        let index = keys.iter().position(|key| *key == placed.server).unwrap();
        assert!(!engines[index].is_lost);
        let start_us = engines[index].free_at_us.max(now_us as u64);
        let end_us = start_us + u64::from(placed.computed_and_fetched_tokens.0) * US_PER_TOKEN;
        engines[index].free_at_us = end_us;
        stats.computed_tokens += u64::from(placed.computed_and_fetched_tokens.0);
        let is_in_time = at(0).0 + end_us <= expected_by.0;
        stats.in_time += u32::from(is_in_time);
        stats.high_priority_in_time += u32::from(is_in_time && is_high_priority);
        completions.push(std::cmp::Reverse((end_us, request_keys.len() as u64)));
        request_keys.push(placed.request);
    }
    stats
}

#[test]
fn replay_loss_of_a_third_of_the_engines_in_a_peak() {
    let queueing = replay(0.95, 3, false, 1);
    let refusing = replay(0.95, 3, true, 1);
    println!("queueing {queueing:?}\nrefusing {refusing:?}");
    let share = |stats: &Replay| f64::from(stats.in_time) / f64::from(stats.arrivals);
    assert!(share(&queueing) < 0.2, "the replay does not overload the engines");
    assert!(share(&refusing) > 0.6);
    let high_priority_share =
        f64::from(refusing.high_priority_in_time) / f64::from(refusing.high_priority_arrivals);
    assert!(high_priority_share >= share(&refusing), "requests of lower priority give way first");
}

#[test]
fn replay_of_overload_keeps_the_throughput_at_capacity() {
    let at_capacity = replay(1.0, 0, true, 2);
    let overload = replay(1.7, 0, true, 2);
    println!("at capacity {at_capacity:?}\noverload {overload:?}");
    // The number of requests answered in time per second does not fall when more arrive.
    let relative_throughput = f64::from(overload.in_time) * 1.7 / f64::from(at_capacity.in_time);
    assert!(relative_throughput >= 0.95, "{relative_throughput}");
}

#[test]
fn replay_of_light_load_has_almost_no_refusals() {
    let light_load = replay(0.5, 0, true, 3);
    println!("light load {light_load:?}");
    assert!(light_load.refused * 200 < light_load.arrivals, "{light_load:?}");
    assert!(light_load.in_time * 100 > light_load.arrivals * 98, "{light_load:?}");
}

#[test]
fn prefill_speed_is_measured_even_if_a_fetch_source_is_named() {
    let mut fleet = Fleet::new(zone("a"));
    fleet.set_table(&table(&["10.0.9.9:80"]));
    fleet.apply_listing(at(0), listing(0, 1));
    let predicted = |fleet: &mut Fleet, n: u64| {
        let now = at(1_000 * n);
        let placed = fleet
            .place(now, &placement_request(now, prompt(n as u32, 500, 9_500, n), 1, 800, n))
            .unwrap();
        // The engine computes prompts three times as fast as assumed.
        finish(fleet, now + Duration::from_millis(75), placed.request);
        placed.predicted_ms
    };
    let first = predicted(&mut fleet, 1);
    let all: Vec<_> = (2..100).map(|n| predicted(&mut fleet, n)).collect();
    let last = *all.last().unwrap();
    assert!(first > 150 && last < 80, "{first} {last}");
}

#[test]
fn predictions_adapt_to_a_slow_server() {
    let (mut fleet, _) = fleet(1);
    let mut predicted_ms = 0;
    for n in 1..100 {
        let now = at(1_000 * n);
        let placed = fleet
            .place(now, &placement_request(now, prompt(n as u32, 0, 1_400, n), 1, 800, n))
            .unwrap();
        predicted_ms = placed.predicted_ms;
        finish(&mut fleet, now + Duration::from_millis(150), placed.request);
    }
    assert!((130..=170).contains(&predicted_ms), "{predicted_ms}");
}

#[test]
fn prompts_leave_the_region_only_if_it_has_no_servers() {
    let mut fleet = Fleet::new(zone("a"));
    let regions = [("a", "east"), ("b", "east"), ("c", "west")];
    fleet.set_regions(
        regions.map(|(name, region)| (zone(name), region.to_owned())).into_iter().collect(),
    );
    fleet.set_table(&table(&[]));
    for (n, name) in ["b", "b", "c", "c", "c", "c"].into_iter().enumerate() {
        fleet.apply_listing(at(0), ServerListing { zone: zone(name), ..listing(n, 1) });
    }
    let in_region =
        |fleet: &Fleet, placed: &Placement| fleet.listing(placed.server).unwrap().zone == zone("b");
    for draw in 0..40 {
        let now = at(50 * draw);
        let placed = place(&mut fleet, now, draw as u32 % 5, draw);
        assert!(in_region(&fleet, &placed), "{}", placed.name);
        finish(&mut fleet, now + Duration::from_millis(40), placed.request);
    }
    for n in [0, 1] {
        fleet.remove(&name(n));
    }
    let placed = place(&mut fleet, at(5_000), 1, 99);
    assert!(!in_region(&fleet, &placed));
}

#[test]
fn no_request_is_placed_on_old_weights_that_could_start_too_late_for_them() {
    // A request that waits for 1.6 s at its engine must still start on the weights that it names
    // within the limit of the platform.
    const WAIT_MS: u64 = 1_600;
    let model = ModelName::try_from(MODEL).unwrap();
    for limit_ms in [8_000, 10_000] {
        let (mut fleet, _) = fleet(3);
        fleet.set_stale_weights_limit(limit_ms);
        fleet.record_published_version(at(0), model.clone(), WeightsVersion(2), Duration::ZERO);
        for ms in (0..u64::from(limit_ms) + 1_000).step_by(100) {
            let placement = place(&mut fleet, at(ms), 7, ms);
            finish(&mut fleet, at(ms), placement.request);
            let names_old = placement.version == Some(WeightsVersion(1));
            assert!(!names_old || ms + WAIT_MS < u64::from(limit_ms), "{ms} ms after the new ones");
            assert!(names_old || ms > u64::from(limit_ms) / 2, "old weights serve for some time");
        }
    }
}

// Guards against a wait at the engine that nothing ends, however short it was predicted to be.
#[test]
fn requests_on_outdated_weights_carry_the_time_by_which_they_must_have_started() {
    let model = ModelName::try_from(MODEL).unwrap();
    let (mut fleet, _) = fleet(3);
    let before = place(&mut fleet, at(0), 7, 1);
    assert_eq!(before.refused_after, None);
    assert_eq!(fleet.start_limits().latest_start(&model, WeightsVersion(1)), None);
    fleet.record_published_version(at(100), model.clone(), WeightsVersion(2), Duration::ZERO);
    fleet.record_published_version(at(3_000), model.clone(), WeightsVersion(3), Duration::ZERO);
    for ms in (100..12_000).step_by(100) {
        let placement = place(&mut fleet, at(ms), 7, ms);
        finish(&mut fleet, at(ms), placement.request);
        let limits = fleet.start_limits();
        let version = placement.version.unwrap();
        assert_eq!(placement.refused_after, limits.latest_start(&model, version));
        let limit = [(WeightsVersion(1), 8_100), (WeightsVersion(2), 11_000)];
        if let Some((_, limit_ms)) = limit.iter().find(|(old, _)| *old == version) {
            let latest_start = placement.refused_after.expect("newer weights are known");
            assert!(at(ms) < latest_start && latest_start < at(*limit_ms), "{version:?} at {ms}");
        }
    }
    // The request that was sent before the publication has a limit now.
    let limits = fleet.start_limits();
    assert!(limits.latest_start(&model, WeightsVersion(1)).is_some_and(|until| until < at(8_100)));
}

// Guards against a publication that counts from when a router has read it, which may be late.
#[test]
fn time_for_starts_on_outdated_weights_counts_from_the_earliest_possible_publication() {
    let model = ModelName::try_from(MODEL).unwrap();
    let until = |fleet: &Fleet| fleet.start_limits().latest_start(&model, WeightsVersion(1));
    let (mut prompt, _) = fleet(1);
    let (mut late, _) = fleet(1);
    let age = Duration::from_millis(1_900);
    prompt.record_published_version(at(1_000), model.clone(), WeightsVersion(2), Duration::ZERO);
    late.record_published_version(at(2_900), model.clone(), WeightsVersion(2), age);
    assert_eq!(until(&late), until(&prompt), "both know that it was not there at 1,000 ms");
    // Reading it once more, or hearing of an observation that was late, proves nothing.
    late.record_published_version(at(5_000), model.clone(), WeightsVersion(2), Duration::ZERO);
    late.record_listed_version(at(5_000), model.clone(), WeightsVersion(2));
    for version_age in late.recent_versions(at(5_100)) {
        prompt.apply_version_age(at(5_100), &version_age);
    }
    assert_eq!(until(&late), until(&prompt));
    // A router that has just started relies on an observation that may have been late.
    let (mut restarted, _) = fleet(1);
    restarted.record_listed_version(at(5_000), model.clone(), WeightsVersion(2));
    for version_age in late.recent_versions(at(5_100)) {
        restarted.apply_version_age(at(5_100), &version_age);
    }
    assert!(until(&restarted) <= until(&prompt).map(|at| at + Duration::from_millis(200)));
}

// Guards against an observation that another router made earlier and that does not count.
#[test]
fn earlier_observation_of_another_router_shortens_the_time_for_outdated_weights() {
    let model = ModelName::try_from(MODEL).unwrap();
    let report = |version, age_ms| VersionAge { model: model.clone(), version, age_ms };
    let (mut restarted, _) = fleet(1);
    restarted.record_listed_version(at(3_000), model.clone(), WeightsVersion(3));
    // The first one has stood still and read late; the second one has watched all the while.
    restarted.apply_version_age(at(3_100), &report(WeightsVersion(3), 0));
    restarted.apply_version_age(at(3_200), &report(WeightsVersion(3), 3_000));
    // The list names only the newest version.
    restarted.apply_version_age(at(3_200), &report(WeightsVersion(2), 4_200));
    let limits = restarted.start_limits();
    let until = |version| limits.latest_start(&model, WeightsVersion(version)).unwrap();
    assert!(until(2) <= at(8_200), "{}", until(2));
    assert!(until(1) <= at(7_000), "{}", until(1));
}

// Guards against streams that start in time and are stopped at the time given to their engine.
#[test]
fn engines_are_told_to_refuse_only_requests_whose_outputs_end_before() {
    let model = ModelName::try_from(MODEL).unwrap();
    let last_on_old_weights = |output_tokens: u32| {
        let (mut fleet, _) = fleet(3);
        fleet.record_published_version(at(0), model.clone(), WeightsVersion(2), Duration::ZERO);
        let is_old = |ms: &u64| {
            let now = at(*ms);
            let prompt = Prompt { output_tokens, ..prompt(7, 5_000, 1_000, *ms) };
            let placement = fleet.place(now, &placement_request(now, prompt, 1, 800, *ms)).unwrap();
            finish(&mut fleet, now, placement.request);
            let end = now + Duration::from_millis(4 * u64::from(output_tokens));
            assert!(placement.refused_after.is_none_or(|at| at >= end), "{output_tokens} at {ms}");
            placement.version == Some(WeightsVersion(1))
        };
        (0..9_000).step_by(100).filter(is_old).max().unwrap()
    };
    let last = [5, 400, 1_000, 10_000].map(last_on_old_weights);
    assert!(last.is_sorted_by(|earlier, later| earlier >= later), "{last:?}");
    // However long its output is, a request is placed while there is much time for its start.
    assert!(last[0] >= 6_000 && last[3] >= 3_000, "{last:?}");
}

#[test]
fn a_prompt_is_placed_though_most_engines_load_and_many_prompts_are_on_their_way() {
    let (mut fleet, keys) = fleet(60);
    fleet.set_router_count(103);
    for n in 0..400 {
        let placement = place(&mut fleet, at(20 * n), n as u32, n);
        finish(&mut fleet, at(20 * n), placement.request);
    }
    // Only three engines serve. A sample of five out of sixty would often hold none of them.
    for key in &keys[3..] {
        fleet.mark_loading(at(8_000), *key);
    }
    for n in 0..400 {
        let placement = place(&mut fleet, at(8_001 + 5 * n), 1_000 + n as u32, n);
        assert!(keys[..3].contains(&placement.server));
        finish(&mut fleet, at(8_001 + 5 * n), placement.request);
    }
}

#[test]
fn continued_stream_is_placed_only_on_the_software_that_began_it() {
    let (mut fleet, _) = fleet(9);
    let other = SoftwareVersion::from("v1.1");
    for n in 0..8 {
        let software = other.clone();
        fleet.apply_listing(at(0), ServerListing { software, revision: 2, ..listing(n, 1) });
    }
    let tag = |software: &SoftwareVersion| SoftwareTag::new(&service("llm"), software);
    let v1 = SoftwareVersion::from("v1");
    for draw in 0..50 {
        let mut request = placement_request(at(10), prompt(7, 5_000, 1_000, draw), 1, 800, draw);
        request.required_software = Some(tag(&v1));
        let placement = fleet.place(at(10), &request).expect("the ninth engine accepts it");
        assert_eq!(placement.software, v1);
        request.tried.push(placement.name);
        let refusal = fleet.place(at(10), &request).expect_err("no other engine runs it");
        assert_eq!(refusal.reason, NotRunReason::NoBackendServer);
        finish(&mut fleet, at(20), placement.request);
    }
}

// Guards against a router that restarts and makes all others take new weights for old ones.
#[test]
fn a_router_that_has_just_started_tells_no_age_that_it_assumes() {
    let model = ModelName::try_from(MODEL).unwrap();
    let mut fleets = [Fleet::new(zone("zone-a")), Fleet::new(zone("zone-a"))];
    let [old, restarted] = &mut fleets;
    old.record_published_version(at(0), model.clone(), WeightsVersion(2), Duration::ZERO);
    restarted.record_listed_version(at(100), model.clone(), WeightsVersion(2));
    for age in restarted.recent_versions(at(100)) {
        old.apply_version_age(at(100), &age);
    }
    let ages = |fleet: &Fleet| {
        fleet.recent_versions(at(200)).iter().map(|age| age.age_ms).collect::<Vec<_>>()
    };
    assert_eq!(ages(old), [200]);
    for age in old.recent_versions(at(100)) {
        restarted.apply_version_age(at(100), &age);
    }
    assert_eq!(ages(restarted), [200]);
    // Reading the list again, for example after a gap in the log, changes nothing.
    old.record_listed_version(at(150), model, WeightsVersion(2));
    assert_eq!(ages(old), [200]);
}
