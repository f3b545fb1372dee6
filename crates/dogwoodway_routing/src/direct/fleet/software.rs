//! Software versions of the servers of each service, now and in the past.

use dogwoodway_types::{ServiceName, Timestamp};

use crate::direct::{
    fleet::{BackendKey, Fleet},
    software::{DEFAULT_STREAM_LIFETIME, OBSERVATION_INTERVAL, SoftwareHistory},
    stream_origin::{ServiceSoftware, StreamOrigin},
};

impl Fleet {
    /// Records the software of all listed servers, at most once in each [`OBSERVATION_INTERVAL`].
    pub fn observe_software(&mut self, now: Timestamp) {
        if now - self.software_observed_at < OBSERVATION_INTERVAL {
            return;
        }
        self.software_observed_at = now;
        let keys: Vec<_> = self.servers.keys().collect();
        keys.into_iter().for_each(|key| self.record_software(now, key));
    }

    /// Begins the history of all services' software anew, because changes of the list of servers were
    /// missed.
    pub fn interrupt_software_histories(&mut self) {
        self.software_histories.values_mut().for_each(SoftwareHistory::interrupt);
    }

    pub(super) fn record_software(&mut self, now: Timestamp, key: BackendKey) {
        let Some(server) = self.servers.get(key) else { return };
        let service = &server.listing.service;
        match self.software_histories.get_mut(service) {
            Some(history) => history.observe(now, server.software),
            None => {
                let history = self.software_histories.entry(service.clone()).or_default();
                history.observe(now, server.software);
            }
        }
    }

    /// Checks the origin of a stream against the process that is listed at its server now. `None` if
    /// the stream may have begun at a process before.
    pub fn check_origin(&self, origin: StreamOrigin) -> Option<StreamOrigin> {
        let key = origin.began.and_then(|began| self.find_by_tag(began.server));
        let Some(server) = key.and_then(|key| self.servers.get(key)) else { return Some(origin) };
        let started_at = Timestamp::from_millis(server.listing.started_at_ms);
        origin.checked(server.software, started_at)
    }

    /// Returns the software of a service.
    pub fn service_software(&self, now: Timestamp, service: &ServiceName) -> ServiceSoftware {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let mut listed: Vec<_> = servers.map(|server| server.software).collect();
        listed.sort_unstable();
        listed.dedup();
        let lifetime = self.stream_lifetime.unwrap_or(DEFAULT_STREAM_LIFETIME);
        let history = self.software_histories.get(service);
        ServiceSoftware {
            listed,
            sole: history.and_then(|history| history.sole(now, lifetime)),
            since: history.and_then(SoftwareHistory::since),
        }
    }
}
