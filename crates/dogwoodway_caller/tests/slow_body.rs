//! Keys that are revoked while a caller sends its request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dogwoodway_caller::{
    AnswerReceiver, CallerApi, CallerLimits, CallerRequest, Dispatcher, Readiness,
};
use dogwoodway_http::{ServerLimits, serve};
use dogwoodway_types::{ModelName, RequestId, TeamName};
use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// Knows one key until it is revoked, and records whether a request was submitted.
#[derive(Default)]
struct Keys {
    is_checked: AtomicBool,
    is_revoked: AtomicBool,
    is_submitted: AtomicBool,
}

impl Dispatcher for Keys {
    fn authenticate(&self, _: String) -> BoxFuture<'_, Option<TeamName>> {
        self.is_checked.store(true, Ordering::SeqCst);
        let is_known = !self.is_revoked.load(Ordering::SeqCst);
        async move { is_known.then(|| TeamName::try_from("t").unwrap()) }.boxed()
    }

    fn models(&self, _: TeamName) -> BoxFuture<'_, Vec<ModelName>> {
        async { vec![ModelName::try_from("m").unwrap()] }.boxed()
    }

    fn submit(&self, _: CallerRequest) -> AnswerReceiver {
        self.is_submitted.store(true, Ordering::SeqCst);
        mpsc::channel(1).1
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        async { Readiness::Ready }.boxed()
    }
}

// Guards against requests that run with a key that was revoked while their body arrived.
#[tokio::test]
async fn request_whose_key_is_revoked_while_its_body_arrives_does_not_run() {
    for path in ["/v1/chat/completions", "/services/ping"] {
        let keys = Arc::new(Keys::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let api = CallerApi::new(keys.clone(), CallerLimits::default(), || RequestId(1));
        let limits = ServerLimits::default();
        tokio::spawn(serve(listener, limits, api.into_handler(), std::future::pending()));
        let body = r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sk-1\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        while !keys.is_checked.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        keys.is_revoked.store(true, Ordering::SeqCst);
        stream.write_all(body.as_bytes()).await.unwrap();
        let mut buf = [0; 4_096];
        let n = stream.read(&mut buf).await.unwrap();
        let response = String::from_utf8_lossy(&buf[..n]);
        assert!(response.starts_with("HTTP/1.1 401"), "{path}: {response}");
        assert!(!keys.is_submitted.load(Ordering::SeqCst), "{path}");
    }
}
