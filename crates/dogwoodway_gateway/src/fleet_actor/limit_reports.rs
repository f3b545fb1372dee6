//! Limits that servers state, as reported to the other routers and by them.

use std::time::Duration;

use dogwoodway_routing::direct::{
    fleet::{BackendKey, Fleet, LimitNotice},
    server_notice::ServerNotice,
};
use dogwoodway_types::Timestamp;
use kameo::message::{Context, Message};

use crate::{clock, fleet_actor::FleetActor, metric};

/// Time for which a new limit, or the end of one, is sent in each update, in milliseconds.
const NOTICE_TTL_MS: u64 = 300;

/// Interval at which all limits are sent again, for routers that have just started, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 500;

/// Limits to report to the other routers.
#[derive(Default)]
pub(super) struct LimitReports {
    /// New ones, each with the time until which it is sent.
    notices: Vec<(LimitNotice, Timestamp)>,
    next_summary_at: Timestamp,
}

impl LimitReports {
    fn add(&mut self, now: Timestamp, notice: LimitNotice) {
        self.notices.retain(|(other, _)| other.server != notice.server);
        self.notices.push((notice, now + Duration::from_millis(NOTICE_TTL_MS)));
    }

    /// Returns the notices to send now. If `repeats` is set, all limits are among them at intervals.
    pub(super) fn take_notices(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        repeats: bool,
    ) -> Vec<LimitNotice> {
        self.notices.retain(|(_, until)| *until > now);
        let new = self.notices.iter().map(|(notice, _)| *notice);
        if !repeats || now < self.next_summary_at {
            return new.collect();
        }
        self.next_summary_at = now + Duration::from_millis(SUMMARY_INTERVAL_MS);
        let ended = new.filter(|notice| notice.statement.has_ended);
        fleet.limit_notices().into_iter().chain(ended).collect()
    }
}

impl FleetActor {
    /// Applies what an answer of a server says about its limit. `sent_at` is when its request was
    /// sent; it is absent if an answer without a limit proves nothing.
    pub(super) fn apply_limit(
        &mut self,
        now: Timestamp,
        server: BackendKey,
        started_at_ms: u64,
        notice: &ServerNotice,
        sent_at: Option<Timestamp>,
    ) {
        let changed = self.fleet.apply_limit(now, server, started_at_ms, notice.limit, sent_at);
        if let Some(changed) = changed {
            self.log_limit(server, &changed, "its answer");
            self.limit_reports.add(now, changed);
            self.loads_changed.notify_one();
        }
    }

    fn log_limit(&self, server: BackendKey, notice: &LimitNotice, source: &str) {
        let name = self.fleet.listing(server).map(|listing| listing.name.clone());
        let rate = notice.statement.rate.per_second();
        metrics::counter!(metric::SERVER_LIMITS).increment(1);
        log::info!(
            server:? = name, per_second = rate, has_ended = notice.statement.has_ended,
            source = source;
            "limit of a backend server changed"
        );
    }
}

/// Applies what other routers report of servers' limits.
pub(crate) struct ApplyLimitNotices(pub(crate) Vec<LimitNotice>);

impl Message<ApplyLimitNotices> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyLimitNotices, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        for notice in msg.0 {
            let Some(server) = self.fleet.find_by_tag(notice.server) else { continue };
            let had_limit = self.fleet.has_limit(server);
            if let Some(newer) = self.fleet.apply_limit_notice(now, &notice) {
                self.limit_reports.add(now, newer);
            }
            if had_limit != self.fleet.has_limit(server) {
                self.log_limit(server, &notice, "another router");
            }
        }
    }
}
