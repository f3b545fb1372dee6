//! A response with an unknown outcome has a `retry-after` header only if a retry is safe, that is,
//! only if the request has an idempotency key. Without one, a retry could run the request twice.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::{
    AnswerEvent, AnswerReceiver, CallerApi, CallerLimits, CallerRequest, Dispatcher, Readiness,
};
use dogwoodway_http::{HttpClient, ServerLimits, serve};
use dogwoodway_types::{ModelName, Outcome, RequestId, TeamName};
use futures::{FutureExt, future::BoxFuture};
use hyper::{Method, header};
use tokio::{net::TcpListener, sync::mpsc};

/// Ends every request with an unknown outcome.
struct UnknownOutcome;

impl Dispatcher for UnknownOutcome {
    fn authenticate(&self, _: String) -> BoxFuture<'_, Option<TeamName>> {
        async { TeamName::try_from("t").ok() }.boxed()
    }

    fn models(&self, _: TeamName) -> BoxFuture<'_, Vec<ModelName>> {
        async { Vec::new() }.boxed()
    }

    fn submit(&self, _: CallerRequest) -> AnswerReceiver {
        let (tx, rx) = mpsc::channel(1);
        tx.try_send(AnswerEvent::Error(Outcome::Unknown { message: String::new() })).unwrap();
        rx
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        async { Readiness::Ready }.boxed()
    }
}

#[tokio::test]
async fn only_requests_with_a_key_get_retry_after_for_an_unknown_outcome() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/services/reservations", listener.local_addr().unwrap());
    let limits = CallerLimits::default();
    let handler = CallerApi::new(Arc::new(UnknownOutcome), limits, || RequestId(1)).into_handler();
    tokio::spawn(serve(listener, ServerLimits::default(), handler, std::future::pending()));
    let http = HttpClient::new();
    for key in [Some("order-17"), None] {
        let mut headers = vec![("authorization", "Bearer k".to_owned())];
        headers.extend(key.map(|key| ("idempotency-key", key.to_owned())));
        let resp = http.send(Method::POST, &url, "", "".into(), &headers);
        let resp = tokio::time::timeout(Duration::from_secs(30), resp).await.unwrap().unwrap();
        assert_eq!(resp.status(), 504);
        assert_eq!(resp.headers().contains_key(header::RETRY_AFTER), key.is_some());
    }
}
