//! The origins of streams that this router knows, and questions to other routers about them.
//!
//! The [gossip task](crate::gossip) tells other routers what this one records, and asks them on
//! behalf of requests. See [`stream_origin`](dogwoodway_routing::direct::stream_origin) for the
//! decisions.

use std::{
    collections::HashMap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dogwoodway_routing::direct::{
    software::SoftwareTag,
    stream_origin::{
        HomeAnswer, ListState, OriginRecord, OriginSource, ServiceSoftware, StreamKey,
        StreamOrigin, StreamOrigins, resolve,
    },
};
use dogwoodway_types::{ServiceName, Timestamp};
use kameo::actor::ActorRef;
use tokio::sync::{Notify, mpsc};

use crate::{
    clock,
    feeds::SharedFeeds,
    fleet_actor::{CheckOrigin, FleetActor, GetServiceSoftware},
    software_surveys::SharedSurveys,
};

/// Times after which other routers are asked again, in milliseconds, and at the end of which the
/// origin counts as unknown. A record travels for up to some 30 ms, and a client may come earlier.
const ASK_ROUNDS_MS: [u64; 3] = [30, 40, 80];

/// Longest time for which a request waits until the list of servers is read, in milliseconds. The store
/// answers within half a second when it is slow.
const LIST_TIMEOUT_MS: u64 = 500;

/// Answers of other routers that wait to be read.
const ANSWER_QUEUE: usize = 16;

/// Questions that wait to be sent.
const QUESTION_QUEUE: usize = 1_024;

/// Most records that wait to be sent to other routers.
const MAX_UNSENT_RECORDS: usize = 1_024;

/// Longest time for which a record is kept, in milliseconds, whatever deadline its client names.
const MAX_RECORD_MS: u64 = 60_000;

/// A question to other routers.
#[derive(Clone, Debug)]
pub(crate) struct OriginQuestion {
    pub(crate) key: StreamKey,
    /// Service that the request is for.
    pub(crate) service: ServiceName,
}

#[derive(Debug, Default)]
struct State {
    origins: StreamOrigins,
    /// Own records that other routers have not been told.
    unsent: Vec<OriginRecord>,
    /// Requests that wait for the answers of other routers.
    waiting: HashMap<StreamKey, Vec<mpsc::Sender<HomeAnswer>>>,
}

/// The origins of streams, shared between the requests and the gossip task.
#[derive(Clone, Debug)]
pub(crate) struct SharedOrigins {
    state: Arc<Mutex<State>>,
    questions: mpsc::Sender<OriginQuestion>,
    /// Notified when there are records to send.
    changed: Arc<Notify>,
}

impl SharedOrigins {
    /// Returns the shared state and the questions that the gossip task sends.
    pub(crate) fn new(changed: Arc<Notify>) -> (SharedOrigins, mpsc::Receiver<OriginQuestion>) {
        let (questions, receiver) = mpsc::channel(QUESTION_QUEUE);
        (SharedOrigins { state: Arc::default(), questions, changed }, receiver)
    }

    fn record(&self, key: StreamKey, origin: StreamOrigin, until: Timestamp) {
        let now = clock::now();
        let remaining_ms = ((until - now).as_millis() as u64).min(MAX_RECORD_MS);
        let mut state = self.lock();
        state.origins.record(now, key, origin, now + Duration::from_millis(remaining_ms));
        match state.unsent.len() < MAX_UNSENT_RECORDS {
            true => {
                let remaining_ms = remaining_ms as u32;
                state.unsent.push(OriginRecord { key, origin, remaining_ms });
            }
            false => log::warn!("too many records of streams wait to be sent to other routers"),
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Returns the records that other routers have not been told.
    pub(crate) fn take_unsent(&self) -> Vec<OriginRecord> {
        mem::take(&mut self.lock().unsent)
    }

    /// Records what another router tells.
    pub(crate) fn apply_records(&self, now: Timestamp, records: &[OriginRecord]) {
        let mut state = self.lock();
        for record in records {
            let remaining_ms = u64::from(record.remaining_ms).min(MAX_RECORD_MS);
            let expires_at = now + Duration::from_millis(remaining_ms);
            state.origins.record(now, record.key, record.origin, expires_at);
        }
    }

    /// Returns where a stream began, if this router remembers it.
    pub(crate) fn find(&self, now: Timestamp, key: StreamKey) -> Option<StreamOrigin> {
        self.lock().origins.find(now, key)
    }

    /// Passes the answer of another router on to the requests that wait for it.
    pub(crate) fn apply_answer(&self, now: Timestamp, key: StreamKey, answer: HomeAnswer) {
        let mut state = self.lock();
        for tx in state.waiting.get(&key).into_iter().flatten() {
            if let Err(e) = tx.try_send(answer) {
                log::debug!("an answer about stream {key} was not read: {e}");
            }
        }
        if let Some(origin) = answer.origin {
            let expires_at = now + Duration::from_millis(MAX_RECORD_MS);
            state.origins.record(now, key, origin, expires_at);
        }
    }

    /// Asks other routers, and returns their answers: all up to the first that names the origin.
    async fn ask(&self, question: OriginQuestion, deadline: Timestamp) -> Vec<HomeAnswer> {
        let key = question.key;
        let mut waiter = Waiter::new(self, key);
        let mut answers = Vec::new();
        for round_ms in ASK_ROUNDS_MS {
            if let Err(e) = self.questions.try_send(question.clone()) {
                log::warn!("a question about stream {key} was not sent: {e}");
            }
            let until = (clock::now() + Duration::from_millis(round_ms)).min(deadline);
            let until = clock::timer_instant(until);
            while let Ok(Some(answer)) = tokio::time::timeout_at(until, waiter.answers.recv()).await
            {
                answers.push(answer);
                if answer.origin.is_some() {
                    return answers;
                }
            }
        }
        answers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits for answers about a stream. Dropping it ends that, also when the client
/// disconnects.
struct Waiter<'a> {
    origins: &'a SharedOrigins,
    key: StreamKey,
    answers: mpsc::Receiver<HomeAnswer>,
}

impl Waiter<'_> {
    fn new(origins: &SharedOrigins, key: StreamKey) -> Waiter<'_> {
        let (tx, answers) = mpsc::channel(ANSWER_QUEUE);
        origins.lock().waiting.entry(key).or_default().push(tx);
        Waiter { origins, key, answers }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.answers.close();
        let mut state = self.origins.lock();
        if let Some(waiting) = state.waiting.get_mut(&self.key) {
            waiting.retain(|tx| !tx.is_closed());
            if waiting.is_empty() {
                state.waiting.remove(&self.key);
            }
        }
    }
}

/// A stream that a client takes up.
pub(crate) struct TakenUpStream<'a> {
    /// Absent if the client does not name the attempt.
    pub(crate) key: Option<StreamKey>,
    /// One of the services that may have begun the stream.
    pub(crate) service: &'a ServiceName,
    /// Whether no other service may have begun it.
    pub(crate) is_only_service: bool,
    /// When the client came.
    pub(crate) arrived_at: Timestamp,
    /// When the client wants its response.
    pub(crate) deadline: Timestamp,
}

/// What was found out about a stream that a client takes up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Resolution {
    /// Where the stream began; absent if nobody knows.
    pub(crate) found: Option<(StreamOrigin, OriginSource)>,
    /// The list of servers; absent if it was not needed.
    pub(crate) list: Option<ListState>,
}

/// Finds out where streams began.
#[derive(Clone)]
pub(crate) struct OriginResolver {
    origins: SharedOrigins,
    surveys: SharedSurveys,
    feeds: SharedFeeds,
    fleet: ActorRef<FleetActor>,
}

impl OriginResolver {
    pub(crate) fn new(
        origins: SharedOrigins,
        surveys: SharedSurveys,
        feeds: &SharedFeeds,
        fleet: &ActorRef<FleetActor>,
    ) -> OriginResolver {
        OriginResolver { origins, surveys, feeds: feeds.clone(), fleet: fleet.clone() }
    }

    /// Records where a stream of this router began. Its client may take it up until `until`.
    pub(crate) fn record(&self, key: StreamKey, origin: StreamOrigin, until: Timestamp) {
        self.origins.record(key, origin, until);
    }

    /// Finds out where a stream began that a client takes up.
    pub(crate) async fn resolve(&self, stream: &TakenUpStream<'_>) -> Resolution {
        let key = stream.key;
        if let Some(origin) = key.and_then(|key| self.origins.find(clock::now(), key)) {
            let origin = self.check(origin).await;
            let found = origin.map(|origin| (origin, OriginSource::Own));
            return Resolution { found, list: None };
        }
        let answers = match key {
            Some(key) => {
                let question = OriginQuestion { key, service: stream.service.clone() };
                self.origins.ask(question, stream.deadline).await
            }
            None => Vec::new(),
        };
        let is_known = answers.iter().any(|answer| answer.origin.is_some());
        let mut list = ListState { needed_at: stream.arrived_at, current_at: Timestamp::default() };
        let mut software = ServiceSoftware::default();
        // The software of one service says nothing if another one may have begun the stream.
        if !is_known && stream.is_only_service {
            let give_up_at = clock::now() + Duration::from_millis(LIST_TIMEOUT_MS);
            let give_up_at = give_up_at.min(stream.deadline);
            list.current_at = self.feeds.read_servers(list.needed_at, give_up_at).await;
            software = self.software(stream.service).await;
        }
        let others = match software.sole {
            Some(_) if !list.is_newer_than_stream() => {
                self.surveys.sole_software(stream.service, stream.arrived_at).await
            }
            _ => None,
        };
        let found = match resolve(&answers, &software, list, others) {
            Some((origin, source)) => self.check(origin).await.map(|origin| (origin, source)),
            None => None,
        };
        Resolution { found, list: (!is_known).then_some(list) }
    }

    /// Checks an origin against the process that is listed at its server now; `None` if the stream may
    /// have begun at another process.
    pub(crate) async fn check(&self, origin: StreamOrigin) -> Option<StreamOrigin> {
        match self.fleet.ask(CheckOrigin(origin)).await {
            Ok(origin) => origin,
            Err(e) => {
                log::error!("fleet actor did not check the origin of a stream: {e}");
                None
            }
        }
    }

    /// Returns the service among `services` that has servers of a software version.
    pub(crate) async fn service_of(
        &self,
        software: SoftwareTag,
        services: &[ServiceName],
    ) -> Option<ServiceName> {
        for service in services {
            if self.software(service).await.listed.contains(&software) {
                return Some(service.clone());
            }
        }
        None
    }

    async fn software(&self, service: &ServiceName) -> ServiceSoftware {
        match self.fleet.ask(GetServiceSoftware(service.clone())).await {
            Ok(reply) => reply.0,
            Err(e) => {
                log::error!("fleet actor did not name the software of a service: {e}");
                ServiceSoftware::default()
            }
        }
    }
}
