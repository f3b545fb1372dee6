//! Notices that an aggregator passes on for a short time after they have arrived.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_routing::{
    direct::fleet::{LeavingServer, LimitNotice, VersionAge},
    part_blame::PartNotice,
};
use dogwoodway_types::Timestamp;

use crate::{feeds::FeedReports, fleet_actor::WeightsUpdate, gossip::datagram::Notices};

/// Time for which a notice is passed on, in milliseconds: several digests, of which some may be
/// lost.
const NOTICE_TTL_MS: u64 = 150;

/// Most feed reports that are passed on. The youngest are from the watchers.
const MAX_FEED_REPORTS: usize = 4;

/// Most parts that the notices of crashed engines name in one datagram, some 6 kB. The first notices
/// go; where many engines are lost at once, the others add little.
const MAX_NOTICED_PARTS: usize = 256;

/// The latest notices, each with the time at which it arrived.
#[derive(Debug, Default)]
pub(super) struct NoticeBoard {
    weights: Vec<(WeightsUpdate, Timestamp)>,
    versions: Vec<(VersionAge, Timestamp)>,
    feed_reports: Vec<(FeedReports, Timestamp)>,
    introduced: Vec<(SocketAddr, Timestamp)>,
    leaving: Vec<(LeavingServer, Timestamp)>,
    parts: Vec<(PartNotice, Timestamp)>,
    limits: Vec<(LimitNotice, Timestamp)>,
}

impl NoticeBoard {
    /// Adds notices; later ones replace earlier ones about the same subject.
    pub(super) fn add(&mut self, now: Timestamp, notices: &Notices) {
        for update in &notices.weights {
            self.weights.retain(|(other, _)| other.server != update.server);
            self.weights.push((*update, now));
        }
        for age in &notices.versions {
            self.versions
                .retain(|(other, _)| (&other.model, other.version) != (&age.model, age.version));
            self.versions.push((age.clone(), now));
        }
        for address in &notices.introduced {
            self.introduced.retain(|(other, _)| other != address);
            self.introduced.push((*address, now));
        }
        for leaving in &notices.leaving {
            self.leaving.retain(|(other, _)| other != leaving);
            self.leaving.push((*leaving, now));
        }
        for notice in &notices.parts {
            match self.parts.iter_mut().find_map(|(known, at)| known.merge(notice).then_some(at)) {
                Some(at) => *at = now,
                None => self.parts.push((notice.clone(), now)),
            }
        }
        for notice in &notices.limits {
            let is_newer = |(known, _): &(LimitNotice, Timestamp)| {
                known.server == notice.server && known.statement.at > notice.statement.at
            };
            if !self.limits.iter().any(is_newer) {
                self.limits.retain(|(known, _)| known.server != notice.server);
                self.limits.push((*notice, now));
            }
        }
        let useful = notices.feed_reports.iter().filter(|reports| reports.is_useful());
        self.feed_reports.extend(useful.map(|reports| (*reports, now)));
        self.feed_reports.sort_by_key(|(reports, at)| reports.aged(now - *at).age_ms());
        self.feed_reports.truncate(MAX_FEED_REPORTS);
    }

    fn parts_to_send(&self) -> Vec<PartNotice> {
        let mut named = 0;
        let (trials, evidence): (Vec<_>, Vec<_>) =
            self.parts.iter().partition(|(notice, _)| notice.is_about_trial());
        let fitting = trials.into_iter().chain(evidence).take_while(|(notice, _)| {
            named += notice.part_count();
            named <= MAX_NOTICED_PARTS
        });
        fitting.map(|(notice, _)| notice.clone()).collect()
    }

    /// Returns the notices to send now, with ages as of now.
    pub(super) fn current(&mut self, now: Timestamp) -> Notices {
        let is_fresh = |at: Timestamp| now - at < Duration::from_millis(NOTICE_TTL_MS);
        self.weights.retain(|(_, at)| is_fresh(*at));
        self.versions.retain(|(_, at)| is_fresh(*at));
        self.feed_reports.retain(|(_, at)| is_fresh(*at));
        self.introduced.retain(|(_, at)| is_fresh(*at));
        self.leaving.retain(|(_, at)| is_fresh(*at));
        self.parts.retain(|(_, at)| is_fresh(*at));
        self.limits.retain(|(_, at)| is_fresh(*at));
        let aged = |age: &VersionAge, at: Timestamp| VersionAge {
            age_ms: age.age_ms + (now - at).as_millis() as u64,
            ..age.clone()
        };
        Notices {
            weights: self.weights.iter().map(|(update, _)| *update).collect(),
            versions: self.versions.iter().map(|(age, at)| aged(age, *at)).collect(),
            feed_reports: self
                .feed_reports
                .iter()
                .map(|(reports, at)| reports.aged(now - *at))
                .collect(),
            introduced: self.introduced.iter().map(|(address, _)| *address).collect(),
            leaving: self.leaving.iter().map(|(leaving, _)| *leaving).collect(),
            parts: self.parts_to_send(),
            limits: self.limits.iter().map(|(notice, _)| *notice).collect(),
            sent_at: now,
        }
    }
}
