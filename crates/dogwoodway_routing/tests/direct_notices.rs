//! Servers that are about to stop or ask for a pause, as a router that places requests sees them.

use std::time::Duration;

use dogwoodway_routing::direct::{
    fleet::{Availability, BackendKey, Fleet, PlacementRequest, ServerListing},
    server_notice::{MAX_PAUSE_MS, PauseRequest, ServerNotice},
};
use dogwoodway_types::{
    AvailabilityZone, BackendServerName, NotRunReason, ServiceName, SoftwareVersion, Timestamp,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn listing(n: usize, started_at_ms: u64, revision: u64) -> ServerListing {
    ServerListing {
        name: BackendServerName::try_from(format!("desk-{n}")).unwrap(),
        service: ServiceName::try_from("desk").unwrap(),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        software: SoftwareVersion::from("v1"),
        slots: 6,
        availability: Availability::Ready,
        weights: Vec::new(),
        started_at_ms,
        revision,
    }
}

fn fleet(servers: usize) -> (Fleet, Vec<BackendKey>) {
    let mut fleet = Fleet::new(AvailabilityZone::try_from("a").unwrap());
    let keys = (0..servers).filter_map(|n| fleet.apply_listing(at(0), listing(n, 1, 1)));
    let keys = keys.map(|(key, _)| key).collect();
    (fleet, keys)
}

#[test]
fn a_server_is_expected_to_stop_once_it_said_so_or_is_not_listed() {
    let (mut fleet, keys) = fleet(4);
    assert!(keys.iter().all(|key| !fleet.is_expected_to_stop(*key)));
    let draining = ServerListing { availability: Availability::Draining, ..listing(0, 1, 2) };
    fleet.apply_listing(at(1), draining);
    fleet.mark_leaving(keys[1], 1);
    fleet.remove(&listing(2, 1, 1).name);
    let expected: Vec<_> = keys.iter().map(|key| fleet.is_expected_to_stop(*key)).collect();
    assert_eq!(expected, [true, true, true, false]);
}

/// Returns the servers that get requests at `now`.
fn servers_in_use(fleet: &mut Fleet, now: Timestamp) -> Vec<BackendKey> {
    let mut servers = Vec::new();
    for draw in 0..40 {
        if let Ok(placement) = fleet.place(now, &request(now, draw)) {
            servers.push(placement.server);
            fleet.end_request(now, placement.request, None);
        }
    }
    servers.sort();
    servers.dedup();
    servers
}

fn request(now: Timestamp, draw: u64) -> PlacementRequest {
    PlacementRequest {
        service: ServiceName::try_from("desk").unwrap(),
        prompt: None,
        isolated_team: None,
        required_version: None,
        preferred_version: None,
        required_software: None,
        priority: 0,
        deadline: now + Duration::from_secs(1),
        expected_by: now + Duration::from_millis(100),
        tried: Vec::new(),
        draw: draw << 50,
    }
}

fn pause(ms: u64) -> ServerNotice {
    let pause = Some(PauseRequest::For(Duration::from_millis(ms)));
    ServerNotice { pause, ..ServerNotice::default() }
}

const LEAVING: ServerNotice = ServerNotice { is_leaving: true, pause: None, limit: None };

#[test]
fn a_leaving_server_gets_no_requests_until_it_has_restarted() {
    let (mut fleet, keys) = fleet(2);
    assert_eq!(servers_in_use(&mut fleet, at(0)), keys);
    assert_eq!(fleet.apply_notice(at(1), keys[0], 1, LEAVING), (true, None));
    assert_eq!(fleet.apply_notice(at(2), keys[0], 1, LEAVING), (false, None));
    assert_eq!(servers_in_use(&mut fleet, at(3)), [keys[1]]);
    // The list still calls the process ready.
    fleet.apply_listing(at(4), listing(0, 1, 9));
    assert_eq!(servers_in_use(&mut fleet, at(5)), [keys[1]]);
    fleet.apply_listing(at(6), listing(0, 2, 1));
    assert_eq!(servers_in_use(&mut fleet, at(7)), keys);
    // A late answer of the process before.
    assert_eq!(fleet.apply_notice(at(8), keys[0], 1, LEAVING), (false, None));
    assert_eq!(servers_in_use(&mut fleet, at(9)), keys);
}

#[test]
fn a_leaving_server_that_is_listed_again_still_gets_no_requests() {
    let (mut fleet, keys) = fleet(2);
    fleet.apply_notice(at(1), keys[0], 1, LEAVING);
    fleet.remove(&listing(0, 1, 1).name);
    let (again, _) = fleet.apply_listing(at(2), listing(0, 1, 5)).expect("it is newer");
    assert_ne!(again, keys[0]);
    assert_eq!(servers_in_use(&mut fleet, at(3)), [keys[1]]);
    let reported = fleet.leaving_server(again).expect("it is leaving");
    assert_eq!(fleet.find_by_tag(reported.server), Some(again));
    assert_eq!(reported.started_at_ms, 1);
}

#[test]
fn a_paused_server_gets_no_requests_until_its_longest_pause_ends() {
    let (mut fleet, keys) = fleet(2);
    assert_eq!(fleet.apply_notice(at(0), keys[0], 1, pause(2_000)), (false, Some(at(2_000))));
    assert_eq!(fleet.apply_notice(at(100), keys[0], 1, pause(500)), (false, None));
    assert_eq!(fleet.apply_notice(at(100), keys[0], 1, pause(0)), (false, None));
    assert!(!fleet.wants_requests(at(1_999), keys[0]));
    assert_eq!(servers_in_use(&mut fleet, at(1_999)), [keys[1]]);
    assert_eq!(servers_in_use(&mut fleet, at(2_000)), keys);
    // A pause asked of a process does not hold for the next one.
    fleet.apply_notice(at(3_000), keys[0], 1, pause(60_000));
    fleet.apply_listing(at(3_100), listing(0, 2, 1));
    assert_eq!(servers_in_use(&mut fleet, at(3_200)), keys);
}

#[test]
fn a_refusal_names_the_end_of_the_first_pause_and_nothing_else_is_taken_for_known() {
    let (mut fleet, keys) = fleet(3);
    fleet.apply_notice(at(0), keys[0], 1, pause(9_000));
    fleet.apply_notice(at(0), keys[1], 1, pause(4_000));
    fleet.apply_notice(at(0), keys[2], 1, LEAVING);
    let refusal = fleet.place(at(10), &request(at(10), 1)).expect_err("all are away");
    assert_eq!(refusal.reason, NotRunReason::Overloaded);
    assert!(refusal.is_retry_at_known);
    assert_eq!(refusal.retry_at, at(4_000));
    // The one whose pause ends first has already been tried.
    let tried = PlacementRequest { tried: vec![listing(1, 1, 1).name], ..request(at(10), 1) };
    assert_eq!(fleet.place(at(10), &tried).expect_err("all are away").retry_at, at(9_000));
    for key in &keys {
        fleet.apply_notice(at(20), *key, 1, LEAVING);
    }
    let refusal = fleet.place(at(30), &request(at(30), 1)).expect_err("all are leaving");
    assert_eq!(refusal.reason, NotRunReason::NoBackendServer);
    assert!(!refusal.is_retry_at_known);
}

#[test]
fn pauses_of_any_length_are_bounded() {
    let longest = at(0) + Duration::from_millis(MAX_PAUSE_MS);
    assert_eq!(PauseRequest::For(Duration::MAX).deadline(at(0)), Some(longest));
    assert_eq!(PauseRequest::For(Duration::from_millis(1)).deadline(at(0)), Some(at(1)));
}
