//! Messages about attempts: their placement, progress and end.

use std::{sync::Arc, time::Duration};

use dogwoodway_routing::direct::{
    fleet::{BackendKey, Placement, PlacementRequest, Refusal, RequestKey, ServerListing},
    health::HealthSignal,
    process_end::EndSign,
};
use dogwoodway_routing::part_blame::{PartKey, PartStatus};
use dogwoodway_types::{NotRunReason, RequestFingerprint, ServiceName, Timestamp};
use kameo::{
    Reply,
    message::{Context, Message},
};
use tokio::sync::watch;

use crate::{
    clock,
    connection::Connection,
    fleet_actor::{
        FleetActor, ServerProcess,
        placement_claim::{PlacementClaim, PlacementCounts},
    },
    metric,
    platform_api::DirectoryChange,
};

/// Chooses a server for a request and registers the attempt in the fleet.
pub(crate) struct PlaceRequest {
    pub(crate) placement_request: PlacementRequest,
    /// Whether the request was sent to a server before; a retry is taken from the retry budget.
    pub(crate) is_retry: bool,
    /// Whether a server may have run the request before.
    pub(crate) may_have_run: bool,
    /// Parts of the prompt that other requests may share, in order.
    pub(crate) shared_parts: Arc<[PartKey]>,
    /// Present while requests are tracked for crashes.
    pub(crate) fingerprint: Option<RequestFingerprint>,
}

impl PlaceRequest {
    /// Returns the keys under which crashes count against the request.
    fn parts(&self) -> Vec<PartKey> {
        let whole = self.shared_parts.first().zip(self.fingerprint);
        let whole = whole.map(|(part, request)| part.of_request(request));
        self.shared_parts.iter().copied().chain(whole).collect()
    }
}

/// Reply to [`PlaceRequest`].
#[derive(Reply)]
pub(crate) enum PlacementReply {
    /// The server to send the request to.
    Assigned(Box<AssignedServer>),
    /// The request must not be sent to any server now.
    Refused(Refusal),
    /// A part of the prompt is in quarantine, or the request must not be sent again because a part
    /// is suspected.
    PartBlamed {
        /// The part in quarantine; absent if there is only a suspicion.
        part: Option<PartKey>,
        /// When the part is tried again.
        retry_at: Timestamp,
    },
}

/// The server chosen for a request.
pub(crate) struct AssignedServer {
    pub(crate) placement: Placement,
    /// Owns the placement until the request is sent.
    pub(crate) claim: PlacementClaim,
    /// Turns true when the server is marked as lost.
    pub(crate) lost: watch::Receiver<bool>,
}

impl Message<PlaceRequest> for FleetActor {
    type Reply = PlacementReply;

    async fn handle(
        &mut self,
        msg: PlaceRequest,
        cx: &mut Context<Self, Self::Reply>,
    ) -> PlacementReply {
        let now = clock::now();
        if let Some(fingerprint) = msg.fingerprint
            && let Some(until) =
                self.crash_tracker.refused_until(now, &fingerprint, msg.may_have_run)
        {
            return PlacementReply::Refused(Refusal {
                reason: NotRunReason::Quarantined,
                retry_at: until,
                is_retry_at_known: false,
                wait_ms: 0,
            });
        }
        let part_status = self.part_evidence.status(now, &msg.parts());
        match part_status {
            PartStatus::Quarantined { part, until } => {
                return PlacementReply::PartBlamed { part: Some(part), retry_at: until };
            }
            PartStatus::Suspect | PartStatus::Trial(_) if msg.may_have_run => {
                return PlacementReply::PartBlamed { part: None, retry_at: now };
            }
            PartStatus::Clear | PartStatus::Suspect | PartStatus::Trial(_) => {}
        }
        let share = self.retry_share(&msg.placement_request.service);
        if !msg.is_retry {
            share.record_first_attempt(now);
        } else if !share.try_take_retry(now) {
            metrics::counter!(metric::RETRIES_DENIED).increment(1);
            let retry_at = now + Duration::from_secs(1);
            return PlacementReply::Refused(Refusal {
                reason: NotRunReason::Overloaded,
                retry_at,
                is_retry_at_known: false,
                wait_ms: 0,
            });
        }
        let service = msg.placement_request.service.clone();
        match self.fleet.place(now, &msg.placement_request) {
            Ok(placement) => {
                let trial = match part_status {
                    PartStatus::Trial(part) => Some(part),
                    _ => None,
                };
                let retry = msg.is_retry.then_some((service, now));
                let counts = self.count_placement(now, &placement, retry, trial);
                if let Some(fingerprint) = msg.fingerprint {
                    self.crash_tracker.record_try(now, fingerprint);
                }
                let claim = PlacementClaim::new(cx.actor_ref(), counts);
                let lost = self.subscribe_lost(placement.server);
                PlacementReply::Assigned(Box::new(AssignedServer { placement, claim, lost }))
            }
            Err(refusal) => {
                if msg.is_retry {
                    self.retry_share(&service).return_retry(now);
                }
                PlacementReply::Refused(refusal)
            }
        }
    }
}

impl FleetActor {
    /// Starts the trial of a part and takes an idle connection for a placement. Returns all that the
    /// placement takes up, to be owned by its claim.
    fn count_placement(
        &mut self,
        now: Timestamp,
        placement: &Placement,
        retry: Option<(ServiceName, Timestamp)>,
        trial: Option<PartKey>,
    ) -> PlacementCounts {
        if let Some(part) = trial {
            self.part_evidence.start_trial(now, part);
        }
        self.loads_changed.notify_one();
        let Placement { request: request_key, server, .. } = *placement;
        let connection = self.take_idle(now, server);
        PlacementCounts { request_key, server, connection, retry, trial }
    }
}

/// The first bytes of a response body have arrived. For a response that is read completely before
/// it is passed on, this is sent at its end.
pub(crate) struct FirstOutputReceived(pub(crate) RequestKey);

impl Message<FirstOutputReceived> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: FirstOutputReceived, _: &mut Context<Self, Self::Reply>) {
        self.fleet.record_first_output(clock::now(), msg.0);
        self.loads_changed.notify_one();
    }
}

/// Further bytes have arrived from a server, which shows that it is alive and that the answer goes
/// on.
pub(crate) struct BytesReceived {
    pub(crate) server: BackendKey,
    /// Until when the answer is known to have gone on.
    pub(crate) alive_at: Timestamp,
    /// When the answer began.
    pub(crate) answer_started_at: Option<Timestamp>,
    /// Parts of the prompt that other requests may share, in order.
    pub(crate) shared_parts: Arc<[PartKey]>,
}

impl Message<BytesReceived> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: BytesReceived, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.record_activity(now, msg.server);
        self.crash_tracker.record_service(msg.server);
        if let Some(started_at) = msg.answer_started_at {
            self.part_evidence.record_progress(msg.alive_at, &msg.shared_parts, started_at);
        }
    }
}

/// What is known of the request of an attempt if its server turns out to have crashed.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptedRequest {
    /// Id chosen by the client.
    pub(crate) id: String,
    /// Parts of the prompt that other requests may share, in order.
    pub(crate) shared_parts: Arc<[PartKey]>,
    /// Key of the model; absent if there is no prompt.
    pub(crate) model: Option<PartKey>,
    /// When it was sent to the server.
    pub(crate) sent_at: Timestamp,
    /// When the server began to answer; absent if it did not.
    pub(crate) answer_started_at: Option<Timestamp>,
    /// Whether its client left while the server was silent, so that its connection was not lost.
    pub(crate) was_abandoned: bool,
}

/// Ends an attempt and releases its place in the fleet.
pub(crate) struct EndAttempt {
    /// Identifies the request in the fleet.
    pub(crate) request_key: RequestKey,
    pub(crate) server: BackendKey,
    /// Process of the server that the request was sent to.
    pub(crate) process: ServerProcess,
    /// How it ended; absent if that says nothing about the server's health, such as when the client
    /// disconnected.
    pub(crate) signal: Option<HealthSignal>,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
    /// Present if the connection was lost, if the client left while the server was silent, or while
    /// requests are tracked for crashes.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) request: AttemptedRequest,
}

impl FleetActor {
    /// Records that a request may have crashed its server.
    fn add_suspect(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        process: ServerProcess,
        fingerprint: RequestFingerprint,
        request: AttemptedRequest,
    ) {
        let started_at_ms = process.started_at_ms;
        let is_known_ended =
            self.crash_tracker.add_suspect(now, key, process, fingerprint, request);
        if is_known_ended || self.fleet.has_process_ended(key, started_at_ms) {
            self.confirm_crash(now, key, started_at_ms, EndSign::KnownBefore);
        } else if self.fleet.listing(key).is_none() {
            self.record_removal(now, key);
        }
    }
}

impl Message<EndAttempt> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: EndAttempt, cx: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        self.fleet.end_request(now, msg.request_key, msg.signal);
        self.loads_changed.notify_one();
        if let Some(connection) = msg.connection {
            self.store_idle(now, msg.server, connection);
        }
        match msg.signal {
            Some(HealthSignal::Unreachable) => {
                self.mark_lost(msg.server);
                self.probe(msg.server, cx.actor_ref());
            }
            Some(HealthSignal::ConnectionRejected) => self.probe(msg.server, cx.actor_ref()),
            Some(HealthSignal::ConnectionLost) => {
                if let Some(fingerprint) = msg.fingerprint {
                    self.add_suspect(now, msg.server, msg.process, fingerprint, msg.request);
                }
                self.probe(msg.server, cx.actor_ref());
            }
            None => {
                if let Some(fingerprint) = msg.fingerprint {
                    self.add_suspect(now, msg.server, msg.process, fingerprint, msg.request);
                    self.probe(msg.server, cx.actor_ref());
                }
            }
            Some(signal @ (HealthSignal::Answered | HealthSignal::Failed)) => {
                self.crash_tracker.record_service(msg.server);
                let AttemptedRequest { shared_parts, model, answer_started_at, .. } = msg.request;
                if let (HealthSignal::Answered, Some(started_at)) = (signal, answer_started_at) {
                    let mut parts = shared_parts.to_vec();
                    let whole = shared_parts.first().zip(msg.fingerprint);
                    parts.extend(model.filter(|_| shared_parts.is_empty()));
                    parts.extend(whole.map(|(part, request)| part.of_request(request)));
                    self.part_evidence.record_answer(now, &parts, started_at);
                }
                if let Some(fingerprint) = msg.fingerprint {
                    self.crash_tracker.record_response(now, fingerprint);
                }
            }
            _ => {}
        }
    }
}

/// Records that another server has answered at the address of a server, and removes that one.
pub(crate) struct ServerReplaced {
    pub(crate) server: BackendKey,
    /// Process that was expected to answer.
    pub(crate) process: ServerProcess,
}

impl Message<ServerReplaced> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ServerReplaced, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        let ServerProcess { name, started_at_ms } = msg.process;
        self.confirm_crash(now, msg.server, started_at_ms, EndSign::OtherServerAnswered);
        let is_listed = |listing: &ServerListing| listing.started_at_ms == started_at_ms;
        if self.fleet.listing(msg.server).is_some_and(is_listed) {
            self.apply(now, DirectoryChange::ServerRemoved(name));
        }
    }
}
