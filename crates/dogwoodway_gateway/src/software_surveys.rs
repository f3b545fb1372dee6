//! Questions to all other routers which software they have listed, on behalf of requests.
//!
//! The [gossip task](crate::gossip) sends them and records the answers. See
//! [`software_survey`](dogwoodway_routing::direct::software_survey) for what follows from them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dogwoodway_routing::direct::{software::SoftwareTag, software_survey::SoftwareSurvey};
use dogwoodway_types::{ServiceName, Timestamp};
use tokio::sync::{Notify, mpsc};

use crate::{clock, feeds::SharedFeeds, metric};

/// Times after which routers that have not answered are asked again, in milliseconds, and at the end
/// of which the survey fails.
const ASK_ROUNDS_MS: [u64; 3] = [30, 40, 80];

/// Questions that wait to be sent.
const QUESTION_QUEUE: usize = 16;

/// Least time between two surveys, in milliseconds, so that requests that come together share one.
const MIN_SURVEY_INTERVAL_MS: u64 = 20;

/// Part of that time for each router, in milliseconds: no router is asked more than 200 times a second
/// by all others together.
const SURVEY_MS_PER_ROUTER: u64 = 5;

/// Longest time for which a request waits until the next survey begins, in milliseconds.
const MAX_SURVEY_DELAY_MS: u64 = 150;

/// A question to all other routers.
#[derive(Clone, Debug)]
pub(crate) struct SoftwareQuestion {
    /// Tells the answers from late ones to earlier questions.
    pub(crate) nonce: u64,
    pub(crate) service: ServiceName,
}

/// The last survey that has ended.
#[derive(Debug, Default)]
struct LastSurvey {
    service: Option<ServiceName>,
    began_at: Timestamp,
    sole: Option<SoftwareTag>,
    /// When the next one may begin.
    next_at: Timestamp,
}

/// The surveys, shared between the requests and the gossip task. One is under way at a time.
#[derive(Clone, Debug)]
pub(crate) struct SharedSurveys {
    running: Arc<Mutex<HashMap<u64, SoftwareSurvey>>>,
    /// Notified when an answer has arrived.
    answered: Arc<Notify>,
    last: Arc<tokio::sync::Mutex<LastSurvey>>,
    questions: mpsc::Sender<SoftwareQuestion>,
    feeds: SharedFeeds,
}

impl SharedSurveys {
    /// Returns the shared state and the questions that the gossip task sends.
    pub(crate) fn new(feeds: &SharedFeeds) -> (SharedSurveys, mpsc::Receiver<SoftwareQuestion>) {
        let (questions, receiver) = mpsc::channel(QUESTION_QUEUE);
        let surveys = SharedSurveys {
            running: Arc::default(),
            answered: Arc::default(),
            last: Arc::default(),
            questions,
            feeds: feeds.clone(),
        };
        (surveys, receiver)
    }

    /// Begins a survey among the routers that are known, and returns those that have not answered.
    pub(crate) fn begin<I>(&self, nonce: u64, routers: I) -> Vec<SocketAddr>
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut running = self.lock();
        let Some(survey) = running.get_mut(&nonce) else { return Vec::new() };
        survey.begin(routers);
        let to_ask = survey.to_ask();
        drop(running);
        self.answered.notify_one();
        to_ask
    }

    /// Records the answer of another router.
    pub(crate) fn record(&self, nonce: u64, router: SocketAddr, sole: Option<SoftwareTag>) {
        if let Some(survey) = self.lock().get_mut(&nonce) {
            survey.record(router, sole);
        }
        self.answered.notify_one();
    }

    /// Returns the only software of a service that all other routers have listed, by a survey that
    /// began at `needed_at` or later; `None` if they disagree, one of them does not answer, or there
    /// was another survey just now.
    pub(crate) async fn sole_software(
        &self,
        service: &ServiceName,
        needed_at: Timestamp,
    ) -> Option<SoftwareTag> {
        let mut last = self.last.lock().await;
        if last.service.as_ref() == Some(service) && last.began_at >= needed_at {
            return last.sole;
        }
        let now = clock::now();
        if last.next_at > now + Duration::from_millis(MAX_SURVEY_DELAY_MS) {
            return None;
        }
        clock::sleep_until(last.next_at).await;
        let routers = u64::from(self.feeds.router_count());
        let interval_ms = MIN_SURVEY_INTERVAL_MS.max(routers * SURVEY_MS_PER_ROUTER);
        last.service = Some(service.clone());
        last.sole = None;
        last.began_at = clock::now();
        last.next_at = last.began_at + Duration::from_millis(interval_ms);
        last.sole = self.run(service).await;
        last.sole
    }

    async fn run(&self, service: &ServiceName) -> Option<SoftwareTag> {
        let survey = RunningSurvey::new(self);
        let question = SoftwareQuestion { nonce: survey.nonce, service: service.clone() };
        'rounds: for round_ms in ASK_ROUNDS_MS {
            if let Err(e) = self.questions.try_send(question.clone()) {
                log::warn!("a question about the software of {service} was not sent: {e}");
            }
            let until = clock::timer_instant(clock::now() + Duration::from_millis(round_ms));
            while tokio::time::timeout_at(until, self.answered.notified()).await.is_ok() {
                if survey.get().is_decided() {
                    break 'rounds;
                }
            }
        }
        let survey = survey.get();
        let (sole, missing) = (survey.sole(), survey.to_ask());
        let result = if sole.is_some() { "agreed" } else { "open" };
        metrics::counter!(metric::SOFTWARE_SURVEYS, "result" => result).increment(1);
        log::info!(service:% = service, sole:? = sole, missing = missing.len();
            "other routers asked which software they have listed");
        sole
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, SoftwareSurvey>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A survey under way. Dropping it ends it, also when the client disconnects.
struct RunningSurvey<'a> {
    surveys: &'a SharedSurveys,
    nonce: u64,
}

impl RunningSurvey<'_> {
    fn new(surveys: &SharedSurveys) -> RunningSurvey<'_> {
        let nonce = rand::random();
        surveys.lock().insert(nonce, SoftwareSurvey::default());
        RunningSurvey { surveys, nonce }
    }

    fn get(&self) -> SoftwareSurvey {
        self.surveys.lock().get(&self.nonce).cloned().unwrap_or_default()
    }
}

impl Drop for RunningSurvey<'_> {
    fn drop(&mut self) {
        self.surveys.lock().remove(&self.nonce);
    }
}
