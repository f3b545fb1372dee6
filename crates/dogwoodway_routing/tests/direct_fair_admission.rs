//! Sharing of room between teams under overload, compared with other ways to admit prompts.

mod overload;

use overload::{Call, Class, Pattern, Policy, RUN_MS, START_MS, TEAMS, end_ms, replay};

const BIN_MS: u64 = 500;

const SEEDS: [u64; 8] = [101, 102, 103, 104, 105, 106, 107, 108];
const POLICIES: [Policy; 4] =
    [Policy::FirstCome, Policy::StrictPriority, Policy::WaitLimit, Policy::FairShares];
const PATTERNS: [Pattern; 6] = [
    Pattern::Normal,
    Pattern::Surge,
    Pattern::ZoneWave,
    Pattern::OneTeam,
    Pattern::HastyRetries,
    Pattern::EnginesLost,
];

/// Time from the end of the load to the end of the last half second of arrivals of which less than
/// 90% of the short ones were in time; absent if that is the last of the replay.
fn recovery_ms(calls: &[Call], pattern: Pattern) -> Option<u64> {
    let bin_count = RUN_MS / BIN_MS;
    let mut totals = vec![(0, 0); bin_count as usize];
    for call in calls.iter().filter(|call| call.class == Class::Short) {
        let (total, in_time) = &mut totals[(call.arrived_ms / BIN_MS) as usize];
        *total += 1;
        *in_time += u64::from(call.is_in_time());
    }
    let last = totals.iter().rposition(|(total, in_time)| in_time * 10 < total * 9);
    let end_bin = last.map_or(0, |bin| bin as u64 + 1);
    (end_bin < bin_count).then(|| (end_bin * BIN_MS).saturating_sub(end_ms(pattern)))
}

fn percent<F>(calls: &[&Call], predicate: F) -> f64
where
    F: Fn(&Call) -> bool,
{
    let matching = calls.iter().filter(|call| predicate(call)).count();
    100.0 * matching as f64 / calls.len().max(1) as f64
}

fn print_row(name: &str, calls: &[&Call]) {
    let served = |call: &&&Call| call.is_served;
    let mut waits: Vec<_> = calls
        .iter()
        .filter(served)
        .filter_map(|call| Some(call.first_output_ms? - call.arrived_ms))
        .collect();
    waits.sort_unstable();
    let quantile = |q: f64| waits.get((waits.len() as f64 * q) as usize).copied().unwrap_or(0);
    println!(
        "  {name:<13} n {:>5}  served {:>5.1}  in time {:>5.1}  refused {:>5.1}  late {:>5.1}  p50 {:>5}  p99 {:>5}",
        calls.len(),
        percent(calls, |call| call.is_served),
        percent(calls, Call::is_in_time),
        percent(calls, |call| !call.is_served && !call.is_late),
        percent(calls, |call| call.is_late),
        quantile(0.5),
        quantile(0.99),
    );
}

/// The calls that arrive during the load of a pattern, over all seeds, and the time to recover.
fn calls_under_load(pattern: Pattern, policy: Policy) -> (Vec<Call>, Option<u64>) {
    let mut calls: Vec<_> = SEEDS.iter().flat_map(|seed| replay(pattern, policy, *seed)).collect();
    let recovery_ms = recovery_ms(&calls, pattern);
    calls.retain(|call| (START_MS..end_ms(pattern)).contains(&call.arrived_ms));
    (calls, recovery_ms)
}

/// Share of the calls that were served, in percent, of those that match a predicate.
fn served<F>(calls: &[Call], predicate: F) -> f64
where
    F: Fn(&Call) -> bool,
{
    let calls: Vec<_> = calls.iter().filter(|call| predicate(call)).collect();
    percent(&calls, |call| call.is_served)
}

/// Guards against a team that takes the room of the others in proportion to what it sends.
#[test]
fn team_far_above_its_usual_load_displaces_its_own_prompts_first() {
    let [(before, _), (after, _)] = [Policy::WaitLimit, Policy::FairShares]
        .map(|policy| calls_under_load(Pattern::OneTeam, policy));
    for class in [Class::Short, Class::Long] {
        let in_time = |calls: &[Call], is_heavy: bool| {
            let of_class = calls.iter().filter(|call| call.class == class);
            let calls = of_class.filter(|call| (call.team == 0) == is_heavy).collect::<Vec<_>>();
            percent(&calls, Call::is_in_time)
        };
        let (others_before, others) = (in_time(&before, false), in_time(&after, false));
        assert!(
            others > others_before,
            "{class:?}: {others} of the others, {others_before} before"
        );
        let heavy = in_time(&after, true);
        assert!(others > heavy, "{class:?}: {others} of the others, {heavy} of the team");
    }
}

/// Guards against a less urgent class that fills the queue in which a more urgent one is refused, and
/// against refusing large prompts because they are large.
#[test]
fn urgent_prompts_are_served_at_least_as_often_and_no_class_or_size_starves() {
    for pattern in PATTERNS {
        let (calls, _) = calls_under_load(pattern, Policy::FairShares);
        let is_usual = |call: &Call| pattern != Pattern::OneTeam || call.team != 0;
        let short = served(&calls, |call| is_usual(call) && call.class == Class::Short);
        let long = served(&calls, |call| is_usual(call) && call.class == Class::Long);
        assert!(short >= long, "{pattern:?}: {short} of the short, {long} of the long");
        assert!(long > 30.0, "{pattern:?}: {long} of the long");
        let (large, all) = (served(&calls, |call| call.is_large), served(&calls, |_| true));
        assert!(large > 0.9 * all, "{pattern:?}: {large} of the largest, {all} of all");
        for team in 1..TEAMS {
            let of_team = served(&calls, |call| call.team == team);
            assert!(of_team > 0.8 * all, "{pattern:?}: {of_team} of team {team}, {all} of all");
        }
    }
}

/// Guards against refusing prompts for fairness while there is room.
#[test]
fn nothing_is_lost_at_the_usual_load() {
    let (calls, _) = calls_under_load(Pattern::Normal, Policy::FairShares);
    assert!(calls.iter().all(|call| call.is_served));
}

/// Prints the table of `docs/design/admission.md` if `ADMISSION_TABLE` is set.
#[test]
fn print_table() {
    if std::env::var_os("ADMISSION_TABLE").is_none() {
        return;
    }
    for pattern in PATTERNS {
        for policy in POLICIES {
            let (calls, recovery_ms) = calls_under_load(pattern, policy);
            println!("{pattern:?} {policy:?}: recovery {recovery_ms:?} ms");
            let group = |name: &str, predicate: &dyn Fn(&Call) -> bool| {
                print_row(name, &calls.iter().filter(|call| predicate(call)).collect::<Vec<_>>());
            };
            group("short", &|call| call.class == Class::Short);
            group("long", &|call| call.class == Class::Long);
            group("largest tenth", &|call| call.is_large);
            if pattern == Pattern::OneTeam {
                group("team at 8x", &|call| call.team == 0);
                group("others short", &|call| call.team != 0 && call.class == Class::Short);
                group("others long", &|call| call.team != 0 && call.class == Class::Long);
            }
        }
    }
}
