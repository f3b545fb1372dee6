//! When a router reads a feed of the store itself, and when it relies on the reports of others.

use std::time::Duration;

use dogwoodway_routing::direct::feed::{Feed, FeedLimits, FeedReport, RevisionOrder};
use dogwoodway_types::Timestamp;

const LIMITS: FeedLimits = FeedLimits { max_report_age_ms: 1_400, max_read_interval_ms: 10_000 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

#[test]
fn an_unread_feed_is_due_at_once() {
    let mut feed = Feed::new(RevisionOrder::Ascending, LIMITS);
    assert!(!feed.apply_report(at(0), &FeedReport { revision: 3, age_ms: 0 }));
    assert!(feed.next_read_at() <= at(0));
    assert_eq!(feed.report(at(0)), None);
}

#[test]
fn reports_are_relied_on_no_longer_than_the_limit() {
    let mut feed = Feed::new(RevisionOrder::Ascending, LIMITS);
    feed.record_read(at(0), 5);
    for ms in (0..20_000).step_by(100) {
        feed.apply_report(at(ms), &FeedReport { revision: 5, age_ms: 900 });
        // The router's own read counts until a report confirms the revision at a later time.
        let verified_at = at(ms.saturating_sub(900));
        let trusted_until = verified_at + Duration::from_millis(LIMITS.max_report_age_ms);
        // The router reads by itself after the longest interval, whatever others report.
        assert_eq!(feed.next_read_at(), trusted_until.min(at(LIMITS.max_read_interval_ms)));
    }
}

#[test]
fn a_late_report_of_an_older_list_is_ignored() {
    let mut feed = Feed::new(RevisionOrder::Unordered, LIMITS);
    feed.record_read(at(1_000), 77);
    assert!(!feed.apply_report(at(1_200), &FeedReport { revision: 66, age_ms: 500 }));
    assert_eq!(feed.next_read_at(), at(2_400));
    assert!(feed.apply_report(at(1_600), &FeedReport { revision: 66, age_ms: 500 }));
    assert!(
        !feed.apply_report(at(1_601), &FeedReport { revision: 66, age_ms: 501 }),
        "only the first report of a change counts"
    );
    feed.record_read(at(1_650), 66);
    assert_eq!(feed.next_read_at(), at(3_050));
}

#[test]
fn only_recent_own_reads_are_reported() {
    let mut feed = Feed::new(RevisionOrder::Ascending, LIMITS);
    feed.record_read(at(0), 5);
    feed.apply_report(at(1_900), &FeedReport { revision: 5, age_ms: 0 });
    assert_eq!(feed.report(at(1_900)), Some(FeedReport { revision: 5, age_ms: 1_900 }));
    assert_eq!(feed.report(at(2_000)), None);
    assert_eq!(feed.verified_at(), at(1_900));
}
