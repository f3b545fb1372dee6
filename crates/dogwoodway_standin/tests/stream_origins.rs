//! What routers know of broken-off streams during a release of the engines.

use dogwoodway_standin::stream_origins::{Knowledge, simulate};

const SHARES: (f64, f64) = (0.1, 0.66);

#[test]
fn home_routers_know_nearly_all_streams_and_confuse_none() {
    for (routers, zones) in [(4, 3), (30, 3), (103, 3)] {
        let outcome = simulate(Knowledge::Homes, routers, zones, SHARES, 1);
        assert_eq!(outcome.wrong, 0, "{routers} routers");
        let share = f64::from(outcome.went_on) / f64::from(outcome.taken_up);
        assert!(share >= 0.9, "{routers} routers: {share}");
    }
}

#[test]
fn version_that_follows_from_the_id_confuses_streams() {
    let outcome = simulate(Knowledge::ById, 30, 3, SHARES, 1);
    assert!(outcome.wrong > 0, "{outcome:?}");
}

#[test]
fn traffic_of_home_routers_does_not_grow_with_the_fleet() {
    assert_eq!(Knowledge::Homes.bytes_per_s(380), Knowledge::Homes.bytes_per_s(4));
    assert!(Knowledge::Homes.bytes_per_s(380) < 12_000.0);
    assert!(Knowledge::ToAll.bytes_per_s(380) > 12_000.0);
}
