//! Signs that the process of a server has ended since a connection to it was lost.

use dogwoodway_routing::direct::{
    fleet::{Availability, Fleet, ServerListing},
    process_end::{ListingSign, PROBE_DELAYS_MS, ProbeHistory, ProbeResult, shows_end},
};
use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ServiceName, SoftwareVersion, Timestamp,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn listing(name: &str, port: u16, started_at_ms: u64) -> ServerListing {
    ServerListing {
        name: BackendServerName::try_from(name).unwrap(),
        service: ServiceName::try_from("desk").unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        zone: AvailabilityZone::try_from("zone-a").unwrap(),
        software: SoftwareVersion::from("v1"),
        slots: 4,
        availability: Availability::Ready,
        weights: Vec::new(),
        started_at_ms,
        revision: 1,
    }
}

#[test]
fn refused_probe_shows_the_end_at_once_and_closed_ones_only_in_a_row() {
    let mut history = ProbeHistory::new(at(0));
    assert!(history.record(ProbeResult::Refused));
    let mut history = ProbeHistory::new(at(0));
    assert!(!history.record(ProbeResult::Closed));
    assert!(!history.record(ProbeResult::Open));
    assert!(!history.record(ProbeResult::Closed));
    assert!(history.record(ProbeResult::Closed));
}

#[test]
fn link_that_was_cut_shows_no_end() {
    let mut history = ProbeHistory::new(at(0));
    for _ in 0..10 {
        assert!(!history.record(ProbeResult::Unanswered));
    }
    assert!(!history.record(ProbeResult::Open));
}

#[test]
fn probes_end_unless_another_connection_is_lost() {
    let mut history = ProbeHistory::new(at(0));
    let probes = |history: &mut ProbeHistory, from: u64| {
        (from..from + 2_000).filter(|ms| history.start_probe(at(*ms))).count()
    };
    assert_eq!(probes(&mut history, 0), PROBE_DELAYS_MS.len());
    assert_eq!(probes(&mut history, 2_000), 0);
    history.record_loss(at(4_000));
    assert_eq!(probes(&mut history, 4_000), PROBE_DELAYS_MS.len());
}

#[test]
fn listing_shows_the_end_of_earlier_processes_only() {
    assert!(shows_end(2_000, ListingSign::Itself(3_000)));
    assert!(!shows_end(2_000, ListingSign::Itself(2_000)));
    assert!(shows_end(2_000, ListingSign::OtherAtAddress(3_000)));
    assert!(!shows_end(2_000, ListingSign::OtherAtAddress(1_000)));
}

#[test]
fn server_that_is_listed_at_the_address_of_another_may_have_replaced_it() {
    let mut fleet = Fleet::new(AvailabilityZone::try_from("zone-a").unwrap());
    let (old, _) = fleet.apply_listing(at(0), listing("old", 7, 1_000)).unwrap();
    let (elsewhere, _) = fleet.apply_listing(at(0), listing("elsewhere", 8, 1_000)).unwrap();
    assert!(fleet.processes_replaced_at(([127, 0, 0, 1], 7).into()).is_empty());
    let (new, _) = fleet.apply_listing(at(1), listing("new", 7, 2_000)).unwrap();
    assert_eq!(fleet.processes_replaced_at(([127, 0, 0, 1], 7).into()), [(old, 1_000)]);
    // Another writer may have left the entry.
    assert!(!fleet.has_process_ended(old, 1_000));
    assert!(!fleet.has_process_ended(new, 2_000));
    assert!(!fleet.has_process_ended(elsewhere, 1_000));
    // The listed process followed the one that is asked for.
    assert!(fleet.has_process_ended(new, 1_500));
}
