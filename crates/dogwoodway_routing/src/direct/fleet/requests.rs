//! Requests in flight, and what their course tells of the servers.

use std::time::Duration;

use dogwoodway_types::Timestamp;

use crate::direct::{
    cost::{self, Reading},
    fleet::{BackendKey, Fleet, RequestKey, Server},
    health::HealthSignal,
    load::Load,
    prompt::PrefixSegment,
};

/// Milliseconds to compute one prompt token that are believed at the least.
const FASTEST_READ_MS: f64 = 0.002;

/// Tokens from which on a first event tells how fast prompts are computed, or fetched.
const MEASURED_TOKENS: u32 = 1_500;

/// Time of a first output besides reading the prompt, in milliseconds: the way there and back, and
/// the steps of an engine that decodes as well.
const FIRST_STEP_MS: f64 = 15.0;

/// Share of the newest measurement in the mean.
const NEWEST_SHARE: f64 = 0.05;

/// A request that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) server: BackendKey,
    pub(super) started_at_ms: u64,
    pub(super) load: Load,
    pub(super) levels: Vec<PrefixSegment>,
    pub(super) sent_at: Timestamp,
    pub(super) predicted: Duration,
    /// The same for a server that is as fast as assumed.
    pub(super) predicted_at_par: Duration,
    /// What the server has to do for it, and the prompt tokens ahead of it, if those are few.
    pub(super) alone: Option<(Reading, u64)>,
    pub(super) has_output: bool,
}

impl Fleet {
    /// Notes that a request brought its first output.
    pub fn record_first_output(&mut self, now: Timestamp, ticket: RequestKey) {
        let Some(running) = self.running.get_mut(ticket) else { return };
        if std::mem::replace(&mut running.has_output, true) {
            return;
        }
        let unread =
            Load { pending_prefill_tokens: running.load.pending_prefill_tokens, ..Load::default() };
        running.load = running.load - unread;
        let took = now - running.sent_at;
        let alone = running.alone;
        let (key, started_at_ms, predicted) =
            (running.server, running.started_at_ms, running.predicted_at_par);
        if let Some((reading, ahead_tokens)) = alone {
            let ahead_ms = ahead_tokens as f64 * self.read_ms_per_token;
            let took_ms = took.as_secs_f64() * 1e3 - FIRST_STEP_MS - ahead_ms;
            self.learn_speed(now, key, &reading, took_ms);
        }
        if let Some(server) = self.servers.get_mut(key)
            && server.listing.started_at_ms == started_at_ms
        {
            server.own = server.own - unread;
            server.owed.retain(|(other, _)| *other != ticket);
            server.health.record_first_output(now, took, predicted);
        }
    }

    /// Learns how fast prompts are computed and fetched from one that took `took_ms` milliseconds by
    /// itself.
    fn learn_speed(&mut self, now: Timestamp, key: BackendKey, reading: &Reading, took_ms: f64) {
        if reading.fetched_tokens >= MEASURED_TOKENS {
            let read_ms = f64::from(reading.computed_tokens) * self.read_ms_per_token;
            if let Some(server) = self.servers.get_mut(key) {
                let stated_ms = cost::fetch_ms(reading) / server.link.factor(now);
                server.link.record(now, took_ms - read_ms, stated_ms);
            }
        } else if reading.computed_tokens >= MEASURED_TOKENS {
            let read_ms = took_ms - cost::fetch_ms(reading);
            // Other routers' requests only ever make a prompt look slower.
            let ms = (read_ms / f64::from(reading.computed_tokens))
                .clamp(FASTEST_READ_MS, self.read_ms_per_token * 2.0);
            self.read_ms_per_token += (ms - self.read_ms_per_token) * NEWEST_SHARE;
        }
    }

    /// Notes that some bytes came for a request.
    pub fn record_activity(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.health.record_activity(now);
        }
    }

    /// Notes that a request has ended; `sign` is absent if the caller left.
    pub fn end_request(&mut self, now: Timestamp, ticket: RequestKey, sign: Option<HealthSignal>) {
        let Some(running) = self.running.remove(ticket) else { return };
        let Some(server) = self.servers.get_mut(running.server) else { return };
        if server.listing.started_at_ms == running.started_at_ms {
            server.own = server.own - running.load;
            server.owed.retain(|(other, _)| *other != ticket);
        }
        if let Some(sign) = sign {
            server.health.record(now, sign);
        }
        if !running.has_output {
            server.cached.discard_unfinished(&running.levels, now);
        }
    }

    /// Returns the servers that owe an answer and have been silent for too long.
    pub fn unresponsive_servers(&self, now: Timestamp) -> Vec<BackendKey> {
        let is_silent = |server: &Server| {
            let owed = server.owed.iter().filter_map(|(ticket, sent_at)| {
                Some(*sent_at + self.running.get(*ticket)?.predicted)
            });
            let owed_since = owed.min();
            server.health.is_up()
                && owed_since.is_some_and(|since| server.health.is_silent(now, since))
        };
        self.servers.iter().filter(|(_, server)| is_silent(server)).map(|(key, _)| key).collect()
    }

    /// Returns the servers that are out of use and due for a trial connection.
    pub fn start_probes(&mut self, now: Timestamp) -> Vec<BackendKey> {
        let servers = self.servers.iter_mut();
        servers.filter_map(|(key, s)| s.health.start_probe(now).then_some(key)).collect()
    }

    /// Notes the result of a trial connection.
    pub fn record_probe(&mut self, now: Timestamp, key: BackendKey, is_reached: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.health.record_probe(now, is_reached);
        }
    }

    /// Tells whether a server may be sent requests.
    pub fn is_up(&self, key: BackendKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.health.is_up())
    }
}
