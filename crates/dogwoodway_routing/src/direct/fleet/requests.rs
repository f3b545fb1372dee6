//! Requests in flight, and what the router learns from them about the servers.

use std::time::Duration;

use dogwoodway_types::Timestamp;

use crate::direct::{
    cost::{self, PrefillWork},
    fleet::{BackendKey, Fleet, RequestKey, Server},
    health::HealthSignal,
    load::Load,
    prompt::PrefixSegment,
};

/// Lower bound of the measured time to compute one prompt token, in milliseconds.
const MIN_PREFILL_MS_PER_TOKEN: f64 = 0.002;

/// Fewest computed or fetched tokens for which the first output is used to measure the speed of
/// prefill or of fetching.
const MIN_SAMPLE_TOKENS: u32 = 1_500;

/// Part of the time to first output that is not prefill, in milliseconds: the network round trip,
/// and the steps of an engine that also decodes other requests.
const FIRST_OUTPUT_OVERHEAD_MS: f64 = 15.0;

/// Weight of the newest sample in the exponentially weighted moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A request that was sent to a server and has not ended.
#[derive(Clone, Debug)]
pub(super) struct InFlightRequest {
    pub(super) server: BackendKey,
    pub(super) started_at_ms: u64,
    pub(super) load: Load,
    pub(super) segments: Vec<PrefixSegment>,
    pub(super) sent_at: Timestamp,
    pub(super) predicted_latency: Duration,
    /// Predicted time to the first output if the server were as fast as the estimates assume.
    pub(super) predicted_at_nominal_speed: Duration,
    /// The work for the prompt and the prompt tokens queued ahead of it. Present only if few tokens
    /// are queued ahead, so that the time to first output measures the server's speed.
    pub(super) speed_sample: Option<(PrefillWork, u64)>,
    pub(super) has_output: bool,
}

impl Fleet {
    /// Records the first output of a request, and updates the speed estimates from its latency.
    pub fn record_first_output(&mut self, now: Timestamp, request_key: RequestKey) {
        let Some(request) = self.in_flight.get_mut(request_key) else { return };
        if std::mem::replace(&mut request.has_output, true) {
            return;
        }
        let finished_prefill =
            Load { pending_prefill_tokens: request.load.pending_prefill_tokens, ..Load::default() };
        request.load = request.load - finished_prefill;
        let latency = now - request.sent_at;
        let speed_sample = request.speed_sample;
        let (key, started_at_ms, predicted) =
            (request.server, request.started_at_ms, request.predicted_at_nominal_speed);
        if let Some((prefill, queued_tokens)) = speed_sample {
            let queue_ms = queued_tokens as f64 * self.prefill_ms_per_token;
            let latency_ms = latency.as_secs_f64() * 1e3 - FIRST_OUTPUT_OVERHEAD_MS - queue_ms;
            self.update_speed_estimates(now, key, &prefill, latency_ms);
        }
        if let Some(server) = self.servers.get_mut(key)
            && server.listing.started_at_ms == started_at_ms
        {
            server.own_load = server.own_load - finished_prefill;
            server.awaiting_output.retain(|(other, _)| *other != request_key);
            server.health.record_first_output(now, latency, predicted);
        }
    }

    /// Updates the estimated speed of prefill or of the link, from a prompt that took `latency_ms`
    /// milliseconds without queueing and fixed overhead.
    fn update_speed_estimates(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        prefill: &PrefillWork,
        latency_ms: f64,
    ) {
        if prefill.fetched_tokens >= MIN_SAMPLE_TOKENS {
            let prefill_ms = f64::from(prefill.computed_tokens) * self.prefill_ms_per_token;
            if let Some(server) = self.servers.get_mut(key) {
                let nominal_ms = cost::fetch_ms(prefill) / server.link_slowdown.factor(now);
                server.link_slowdown.record(now, latency_ms - prefill_ms, nominal_ms);
            }
        } else if prefill.computed_tokens >= MIN_SAMPLE_TOKENS {
            let prefill_ms = latency_ms - cost::fetch_ms(prefill);
            // Requests of other routers can only make the prompt look slower than it is, so the
            // sample has an upper bound.
            let ms = (prefill_ms / f64::from(prefill.computed_tokens))
                .clamp(MIN_PREFILL_MS_PER_TOKEN, self.prefill_ms_per_token * 2.0);
            self.prefill_ms_per_token += (ms - self.prefill_ms_per_token) * SAMPLE_WEIGHT;
        }
    }

    /// Records that a server sent some bytes of an answer.
    pub fn record_activity(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.health.record_activity(now);
        }
    }

    /// Records the end of a request. `signal` is absent if the end says nothing about the server, for
    /// example because the caller disconnected.
    pub fn end_request(
        &mut self,
        now: Timestamp,
        request_key: RequestKey,
        signal: Option<HealthSignal>,
    ) {
        let Some(request) = self.release(now, request_key) else { return };
        let Some(server) = self.servers.get_mut(request.server) else { return };
        if let Some(signal) = signal {
            server.health.record(now, signal);
        } else if !request.has_output {
            server.health.record_unanswered(now, request.sent_at + request.predicted_latency);
        }
    }

    /// Takes back a placement whose request was not sent, which says nothing about the server.
    pub fn cancel_request(&mut self, now: Timestamp, request_key: RequestKey) {
        self.release(now, request_key);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Ends what a request takes up at its server.
    fn release(&mut self, now: Timestamp, request_key: RequestKey) -> Option<InFlightRequest> {
        let request = self.in_flight.remove(request_key)?;
        if let Some(server) = self.servers.get_mut(request.server) {
            if server.listing.started_at_ms == request.started_at_ms {
                server.own_load = server.own_load - request.load;
                server.awaiting_output.retain(|(other, _)| *other != request_key);
            }
            if !request.has_output {
                server.prefix_cache.discard_unfinished(&request.segments, now);
            }
        }
        Some(request)
    }

    /// Returns the servers that have sent nothing for too long while an output is overdue.
    pub fn unresponsive_servers(&self, now: Timestamp) -> Vec<BackendKey> {
        let is_unresponsive = |server: &Server| {
            server.health.is_up()
                && self.due_since(server).is_some_and(|at| server.health.is_unresponsive(now, at))
        };
        self.servers
            .iter()
            .filter(|(_, server)| is_unresponsive(server))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns whether a server owes an output, or owed one to a request that has ended, and has sent
    /// nothing for too long. It may accept connections.
    pub(super) fn is_stalled(&self, now: Timestamp, server: &Server) -> bool {
        server.health.is_stalled(now, self.due_since(server))
    }

    /// Returns when the first output of a server was due that has not arrived.
    fn due_since(&self, server: &Server) -> Option<Timestamp> {
        let due_times = server.awaiting_output.iter().filter_map(|(request_key, sent_at)| {
            Some(*sent_at + self.in_flight.get(*request_key)?.predicted_latency)
        });
        due_times.min()
    }

    /// Returns the servers that are down and due for a probe connection, and records the probes as
    /// started.
    pub fn start_probes(&mut self, now: Timestamp) -> Vec<BackendKey> {
        let servers = self.servers.iter_mut();
        servers.filter_map(|(key, s)| s.health.start_probe(now).then_some(key)).collect()
    }

    /// Records whether a probe connection to a server succeeded.
    pub fn record_probe(&mut self, now: Timestamp, key: BackendKey, is_reachable: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.health.record_probe(now, is_reachable);
        }
    }

    /// Returns whether requests may be sent to a server.
    pub fn is_up(&self, key: BackendKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.health.is_up())
    }
}
