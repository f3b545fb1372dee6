//! Checks rendezvous hashing against a full sort, and placement and the spreading of hot prefixes.

use std::time::Duration;

use dogwoodway_routing::{
    placement::{Candidate, MAX_PROBES, PREFERRED_PROBES, choose, probe_targets},
    prefix_traffic::PrefixTraffic,
    rendezvous::{Server, ServerKey, cost, top_servers},
};
use dogwoodway_types::{PieceHash, Timestamp};
use proptest::prelude::*;

fn servers(weights: &[u32]) -> Vec<Server> {
    let server = |(i, weight): (usize, &u32)| Server { key: ServerKey(i as u64), weight: *weight };
    weights.iter().enumerate().map(server).collect()
}

proptest! {
    #[test]
    fn top_equals_a_full_sort(
        key: u128, weights in prop::collection::vec(0..5u32, 0..40), n in 0..10usize,
    ) {
        let servers = servers(&weights);
        let mut sorted: Vec<_> = (0..servers.len()).collect();
        let cost = |i: &usize| cost(PieceHash(key), servers[*i]);
        sorted.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        sorted.truncate(n);
        prop_assert_eq!(top_servers(PieceHash(key), &servers, n), sorted);
    }

    #[test]
    fn losing_a_server_moves_only_its_keys(key: u128, lost in 0..9usize) {
        let all = servers(&[1; 9]);
        let mut rest = all.clone();
        rest.remove(lost);
        let before = all[top_servers(PieceHash(key), &all, 1)[0]];
        let after = rest[top_servers(PieceHash(key), &rest, 1)[0]];
        prop_assert!(before == after || before == all[lost]);
    }

    #[test]
    fn probe_targets_are_few_and_distinct(
        key: u128, preferred_count in 0..60usize, seed: u64, n in 0..60usize,
    ) {
        let probes = probe_targets(PieceHash(key), preferred_count, &servers(&vec![1; n]), seed);
        let mut distinct = probes.clone();
        distinct.sort_unstable();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), probes.len());
        prop_assert!(probes.len() <= MAX_PROBES && probes.len() >= n.min(2));
        prop_assert!(probes.iter().all(|i| *i < n));
    }
}

#[test]
fn request_waits_for_its_cached_prefix_unless_it_is_urgent() {
    let (prefill_ns, is_preferred) = (100_000, true);
    let preferred =
        Candidate { wait_us: 4_000_000, uncached_tokens: 100, prefill_ns, is_preferred };
    let idle = Candidate { wait_us: 0, uncached_tokens: 12_000, prefill_ns, is_preferred };
    assert_eq!(choose(&[preferred, idle], Duration::from_secs(15)), Some(0));
    assert_eq!(choose(&[preferred, idle], Duration::from_secs(1)), Some(1));
}

#[test]
fn prefix_is_computed_on_a_preferred_server_if_that_is_in_time() {
    let (uncached_tokens, prefill_ns) = (10_000, 100_000);
    let preferred = Candidate { wait_us: 900_000, uncached_tokens, prefill_ns, is_preferred: true };
    let other = Candidate { wait_us: 0, uncached_tokens, prefill_ns, is_preferred: false };
    assert_eq!(choose(&[preferred, other], Duration::from_secs(5)), Some(0));
    assert_eq!(choose(&[preferred, other], Duration::from_secs(3)), Some(1));
}

#[test]
fn keys_are_distributed_by_weight() {
    let servers = servers(&[1, 2, 5]);
    let mut counts = [0_u32; 3];
    for key in 0..8_000_u128 {
        let hash = key.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        counts[top_servers(PieceHash(hash), &servers, 1)[0]] += 1;
    }
    for (count, expected) in counts.into_iter().zip([1_000, 2_000, 5_000]) {
        assert!(count.abs_diff(expected) < expected / 8, "{counts:?}");
    }
}

#[test]
fn hot_prefix_is_spread_until_its_traffic_decays_and_table_is_bounded() {
    let mut traffic = PrefixTraffic::default();
    let at = Timestamp::from_millis;
    let preferred_counts = (0..400)
        .map(|i| traffic.record_request(at(i * 10), PieceHash(1 + u128::from(i % 4 == 0)), 9));
    assert!(preferred_counts.last().unwrap() >= 9);
    for i in 0..20_000 {
        let preferred_count =
            traffic.record_request(at(4_000 + i), PieceHash(100 + u128::from(i)), 9);
        assert!(preferred_count == 1 || i < 2_000, "{i}");
    }
    assert_eq!(traffic.record_request(at(24_000), PieceHash(1), 9), 1);
    assert!(traffic.len() <= 4_096);
}

#[test]
fn fallback_servers_are_spread_evenly() {
    let servers = servers(&[1; 9]);
    let mut counts = [0; 9];
    for seed in 0..900 {
        let probes = probe_targets(PieceHash(5), 1, &servers, seed);
        if let Some(other) = probes.get(PREFERRED_PROBES) {
            counts[*other] += 1;
        }
    }
    assert!(counts.iter().sum::<u32>() > 500, "{counts:?}");
    assert!(counts.iter().all(|count| *count < 150), "{counts:?}");
}
