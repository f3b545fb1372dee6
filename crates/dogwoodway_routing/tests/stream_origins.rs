//! Where streams began: who remembers it, and what follows from what is known.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use dogwoodway_routing::direct::{
    fleet::ServerTag,
    peers::{RouterInfo, ZoneTag},
    software::{SoftwareHistory, SoftwareTag},
    software_survey::SoftwareSurvey,
    stream_origin::{
        HOME_ZONES, HomeAnswer, ListState, MAX_REPORTED_LIST_AGE, OriginSource, ServiceSoftware,
        StreamBeginning, StreamKey, StreamOrigin, StreamOrigins, TOLD_PER_ZONE, homes, resolve,
        routers_to_ask,
    },
};
use dogwoodway_types::{ServiceName, SoftwareVersion, TeamName, Timestamp, WeightsVersion};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn software(version: &str) -> SoftwareTag {
    SoftwareTag::new(&ServiceName::try_from("llm").unwrap(), &SoftwareVersion::from(version))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { software: software(version), weights: Some(WeightsVersion(1)), began: None }
}

fn key(n: usize) -> StreamKey {
    StreamKey::new(None, &format!("r{n}"))
}

fn seconds(n: u64) -> Timestamp {
    START + Duration::from_secs(n)
}

/// Returns routers that are spread over zones.
fn routers(count: usize, zones: usize) -> Vec<RouterInfo> {
    let router = |n: usize| RouterInfo {
        address: format!("10.0.{}.{}:7340", n / 200, n % 200 + 1).parse().unwrap(),
        zone: ZoneTag((n % zones) as u16),
        cpu_percent: 20,
        reaches_store: true,
    };
    (0..count).map(router).collect()
}

/// Returns the homes that a router among `known` chooses.
fn homes_of(own: SocketAddr, known: &[RouterInfo], key: StreamKey) -> Vec<SocketAddr> {
    homes(known.iter().copied().filter(|info| info.address != own), key, TOLD_PER_ZONE)
}

#[test]
fn lost_router_or_zone_and_new_router_hide_no_origin() {
    for (count, zones) in [(4, 3), (30, 3), (103, 3), (380, 8)] {
        let all = routers(count + 1, zones);
        let (before, joined) = (&all[..count], &all[count]);
        for n in 0..4_000 / count + 8 {
            let began = before[n % count];
            let told = homes_of(began.address, before, key(n));
            let zones_told: BTreeSet<_> =
                before.iter().filter(|info| told.contains(&info.address)).map(|i| i.zone).collect();
            assert_eq!(zones_told.len(), HOME_ZONES, "homes are in different zones");
            // The router that began the stream is gone, and with it any other router or its zone.
            let mut views: Vec<Vec<RouterInfo>> = Vec::new();
            for lost in before.iter().step_by(count.div_ceil(12)) {
                let alive =
                    |info: &&RouterInfo| ![began.address, lost.address].contains(&info.address);
                views.push(before.iter().filter(alive).copied().collect());
            }
            views.push(before.iter().filter(|info| info.zone != began.zone).copied().collect());
            for view in views {
                for view in [view.clone(), view.into_iter().chain([*joined]).collect()] {
                    let asking = view[n % view.len()].address;
                    let others = view.iter().copied().filter(|info| info.address != asking);
                    let asked = routers_to_ask(others, key(n));
                    let is_known =
                        told.contains(&asking) || asked.iter().any(|home| told.contains(home));
                    assert!(is_known, "{count} routers: stream {n} is unknown at {asking}");
                }
            }
        }
    }
}

#[test]
fn homes_are_spread_evenly() {
    let all = routers(380, 8);
    let mut told = std::collections::HashMap::new();
    for n in 0..7_600 {
        for home in homes_of(all[n % 380].address, &all, key(n)) {
            *told.entry(home).or_insert(0_u32) += 1;
        }
    }
    // 40 in the mean; six standard deviations.
    assert!(told.len() == 380 && told.values().all(|count| (2..=78).contains(count)));
}

#[test]
fn stream_of_another_team_is_another_stream() {
    let team = |name| TeamName::try_from(name).unwrap();
    let keys = [
        StreamKey::new(Some(&team("desk")), "r1"),
        StreamKey::new(Some(&team("mill")), "r1"),
        StreamKey::new(None, "r1"),
        StreamKey::new(None, "deskr1"),
    ];
    for (n, key) in keys.iter().enumerate() {
        assert!(!keys[..n].contains(key), "{n}");
    }
}

#[test]
fn first_record_of_a_stream_holds_and_memory_is_bounded() {
    let mut origins = StreamOrigins::default();
    origins.record(START, key(0), origin("v1"), seconds(10));
    origins.record(START, key(0), origin("v1.1"), seconds(20));
    assert_eq!(origins.find(seconds(9), key(0)), Some(origin("v1")));
    assert_eq!(origins.find(seconds(10), key(0)), None);
    for n in 1..=100_000 {
        origins.record(seconds(1), key(n), origin("v1.1"), seconds(16));
    }
    assert!(origins.len() <= 32_768);
    assert_eq!(origins.find(seconds(2), key(100_000)), Some(origin("v1.1")));
    assert_eq!(origins.find(seconds(2), key(1)), None, "the oldest are dropped first");
    origins.record(seconds(20), key(200_000), origin("v1"), seconds(30));
    assert_eq!(origins.len(), 1, "expired origins are removed");
}

#[test]
fn origin_is_decided_from_what_is_known_for_certain() {
    let home = |origin| HomeAnswer { origin, sole_software: None };
    let unknown = home(None);
    let reports = |version| HomeAnswer { origin: None, sole_software: Some(software(version)) };
    let sole = |version| ServiceSoftware {
        listed: vec![software(version)],
        sole: Some(software(version)),
        since: Some(START),
    };
    let listed = |versions: &[&str]| ServiceSoftware {
        listed: versions.iter().copied().map(software).collect(),
        sole: None,
        since: Some(START),
    };
    let current = ListState { needed_at: seconds(60), current_at: seconds(60) };
    let resolve = |answers: &[HomeAnswer], software| resolve(answers, &software, current, None);
    let at = |version, source| {
        Some((StreamOrigin { software: software(version), weights: None, began: None }, source))
    };
    let reported = OriginSource::ReportedSoleSoftware;
    // A home that remembers the origin decides, whatever serves now.
    let known = Some((origin("v1"), OriginSource::Home));
    assert_eq!(resolve(&[unknown, home(Some(origin("v1")))], sole("v1.1")), known);
    assert_eq!(resolve(&[home(Some(origin("v1")))], listed(&[])), known);
    // Only one version has served for longer than streams last.
    assert_eq!(resolve(&[unknown], sole("v1")), at("v1", OriginSource::SoleSoftware));
    assert_eq!(resolve(&[], sole("v1")), at("v1", OriginSource::SoleSoftware));
    // This router has started lately and relies on the others.
    assert_eq!(resolve(&[reports("v1")], listed(&["v1"])), at("v1", reported));
    assert_eq!(resolve(&[reports("v1"), unknown], listed(&["v1"])), None);
    assert_eq!(resolve(&[reports("v1")], listed(&["v1", "v1.1"])), None);
    assert_eq!(resolve(&[reports("v1")], listed(&["v1.1"])), None);
    // Several versions, or nobody knows.
    assert_eq!(resolve(&[unknown, unknown], listed(&["v1", "v1.1"])), None);
    assert_eq!(resolve(&[], listed(&["v1"])), None);
}

#[test]
fn sole_software_counts_only_if_the_list_of_servers_is_newer_than_the_stream() {
    let v1 = software("v1");
    let (needed_at, late) = (seconds(60), Duration::from_millis(1));
    let reports = HomeAnswer { origin: None, sole_software: Some(v1) };
    let remembers = HomeAnswer { origin: Some(origin("v1.1")), sole_software: None };
    let followed = |since| ServiceSoftware { listed: vec![v1], sole: Some(v1), since };
    let begun = |since| ServiceSoftware { listed: vec![v1], sole: None, since };
    let (long, reported) = (Some(START), OriginSource::ReportedSoleSoftware);
    let margin = Some(needed_at.earlier_by(MAX_REPORTED_LIST_AGE));
    let short = margin.map(|since| since + late);
    let (current, old) = (needed_at, needed_at.earlier_by(late));
    for (answers, software, current_at, expected) in [
        // This router has followed the list for long enough.
        (&[][..], followed(long), current, Some(OriginSource::SoleSoftware)),
        (&[], followed(long), current + late, Some(OriginSource::SoleSoftware)),
        (&[], followed(long), old, None),
        (&[], followed(long), Timestamp::default(), None),
        // Other routers that may be out of step as well do not help an old list.
        (&[reports, reports], followed(long), old, None),
        (&[remembers], followed(long), old, Some(OriginSource::Home)),
        // It has not, and what the others know must reach up to where its own knowledge begins.
        (&[reports], begun(margin), current, Some(reported)),
        (&[reports], begun(margin), old, None),
        (&[reports], begun(short), current, None),
        (&[reports], begun(None), current, None),
        (&[], begun(margin), current, None),
    ] {
        let list = ListState { needed_at, current_at };
        let source = resolve(answers, &software, list, None).map(|(_, source)| source);
        assert_eq!(source, expected, "{answers:?} {software:?} {list:?}");
    }
}

#[test]
fn sole_software_counts_without_the_store_if_all_routers_have_listed_no_other() {
    let (v1, v2) = (software("v1"), software("v1.1"));
    let list = ListState { needed_at: seconds(60), current_at: START };
    let followed =
        ServiceSoftware { listed: vec![v1], sole: Some(v1), since: Some(Timestamp::default()) };
    let begun = ServiceSoftware { sole: None, ..followed.clone() };
    let source = |software, others| resolve(&[], software, list, others).map(|(_, source)| source);
    assert_eq!(source(&followed, Some(v1)), Some(OriginSource::AllRouters));
    assert_eq!(source(&followed, Some(v2)), None);
    assert_eq!(source(&followed, None), None);
    assert_eq!(source(&begun, Some(v1)), None, "it may have begun streams in a process before");
    let routers = |count: u8| {
        (1..=count).map(|n| format!("10.0.0.{n}:7340").parse().unwrap()).collect::<Vec<_>>()
    };
    for (known, answers, sole, is_decided) in [
        (2, &[Some(v1), Some(v1)][..], Some(v1), true),
        (2, &[Some(v1)], None, false),
        (2, &[Some(v1), Some(v2)], None, true),
        (2, &[None], None, true),
        (2, &[Some(v1), None], None, true),
        (2, &[], None, false),
        (1, &[Some(v1)], Some(v1), true),
        // A router that hears nobody may be cut off from all.
        (0, &[], None, true),
        // An answer of a router that was not asked.
        (1, &[Some(v1), Some(v1)], Some(v1), true),
    ] {
        let mut survey = SoftwareSurvey::default();
        assert!(!survey.is_decided() && survey.sole().is_none(), "it has not begun");
        survey.begin(routers(known));
        for (router, answer) in routers(9).into_iter().zip(answers) {
            survey.record(router, *answer);
        }
        assert_eq!(survey.sole(), sole, "{known} routers: {answers:?}");
        assert_eq!(survey.is_decided(), is_decided, "{known} routers: {answers:?}");
    }
}

#[test]
fn software_that_came_and_went_while_changes_were_missed_may_have_begun_a_stream() {
    let mut history = SoftwareHistory::default();
    let lifetime = Duration::from_secs(30);
    let seconds_until = |end| (0..end).map(seconds);
    seconds_until(60).for_each(|now| history.observe(now, software("v1")));
    assert_eq!(history.sole(seconds(60), lifetime), Some(software("v1")));
    history.interrupt();
    assert_eq!(history.sole(seconds(60), lifetime), None);
    assert_eq!(history.since(), None);
    for n in 60..120 {
        history.observe(seconds(n), software("v1"));
        assert_eq!(history.since(), Some(seconds(60)));
        let expected = (n >= 60 + 34).then_some(software("v1"));
        assert_eq!(history.sole(seconds(n), lifetime), expected, "second {n}");
    }
}

#[test]
fn stream_at_a_server_that_restarts_with_other_software_is_of_the_process_that_ran_it() {
    let began = Some(StreamBeginning { server: ServerTag(7), at: seconds(10) });
    let origin = StreamOrigin { began, ..origin("v1") };
    let other = software("v1.1");
    for (started_at, expected) in [
        (seconds(0), Some(other)),
        (seconds(8), Some(other)),
        (seconds(9), None),
        (seconds(10), None),
        (seconds(11), None),
        (seconds(12), Some(origin.software)),
        (seconds(60), Some(origin.software)),
    ] {
        let checked = origin.checked(other, started_at).map(|origin| origin.software);
        assert_eq!(checked, expected, "{started_at}");
        assert_eq!(origin.checked(origin.software, started_at), Some(origin));
    }
}

#[test]
fn software_counts_as_the_only_one_after_streams_of_others_have_ended() {
    let mut history = SoftwareHistory::default();
    for n in 0..100 {
        history.observe(seconds(n), software("v1"));
        if (40..60).contains(&n) {
            history.observe(seconds(n), software("v1.1"));
        }
        let sole = history.sole(seconds(n), Duration::from_secs(30));
        match n {
            0..=33 | 40..=93 => assert_eq!(sole, None, "second {n}"),
            _ => assert_eq!(sole, Some(software("v1")), "second {n}"),
        }
    }
    assert_eq!(
        history.sole(seconds(105), Duration::from_secs(30)),
        None,
        "the list of servers is not followed any more"
    );
    history.observe(seconds(105), software("v1"));
    assert_eq!(
        history.sole(seconds(105), Duration::from_secs(30)),
        None,
        "another version may have come and gone"
    );
}
