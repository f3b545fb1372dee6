//! Reading the store in turn.

use std::time::Duration;

use dogwoodway_routing::direct::feed::{Feed, FeedLimits, FeedReport, RevisionOrder};
use dogwoodway_types::Timestamp;

const LIMITS: FeedLimits = FeedLimits { max_report_age_ms: 1_400, max_read_interval_ms: 10_000 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

#[test]
fn a_feed_that_was_not_read_is_read_at_once() {
    let mut feed = Feed::new(RevisionOrder::Ascending, LIMITS);
    assert!(!feed.apply_report(at(0), &FeedReport { revision: 3, age_ms: 0 }));
    assert!(feed.next_read_at() <= at(0));
    assert_eq!(feed.report(at(0)), None);
}

#[test]
fn silent_watchers_are_relied_on_no_longer_than_the_limit() {
    let mut feed = Feed::new(RevisionOrder::Ascending, LIMITS);
    feed.record_read(at(0), 5);
    for ms in (0..20_000).step_by(100) {
        feed.apply_report(at(ms), &FeedReport { revision: 5, age_ms: 900 });
        // Its own reading counts until what it was told is later.
        let known_at = at(ms.saturating_sub(900));
        let rely_until = known_at + Duration::from_millis(LIMITS.max_report_age_ms);
        // Its own reading is due in any case.
        assert_eq!(feed.next_read_at(), rely_until.min(at(LIMITS.max_read_interval_ms)));
    }
}

#[test]
fn a_late_word_of_an_older_list_is_no_news() {
    let mut feed = Feed::new(RevisionOrder::Unordered, LIMITS);
    feed.record_read(at(1_000), 77);
    assert!(!feed.apply_report(at(1_200), &FeedReport { revision: 66, age_ms: 500 }));
    assert_eq!(feed.next_read_at(), at(2_400));
    assert!(feed.apply_report(at(1_600), &FeedReport { revision: 66, age_ms: 500 }));
    assert!(
        !feed.apply_report(at(1_601), &FeedReport { revision: 66, age_ms: 501 }),
        "once is enough"
    );
    feed.record_read(at(1_650), 66);
    assert_eq!(feed.next_read_at(), at(3_050));
}

#[test]
fn only_own_readings_are_told_and_not_for_long() {
    let mut feed = Feed::new(RevisionOrder::Ascending, LIMITS);
    feed.record_read(at(0), 5);
    feed.apply_report(at(1_900), &FeedReport { revision: 5, age_ms: 0 });
    assert_eq!(feed.report(at(1_900)), Some(FeedReport { revision: 5, age_ms: 1_900 }));
    assert_eq!(feed.report(at(2_000)), None);
    assert_eq!(feed.verified_at(), at(1_900));
}
