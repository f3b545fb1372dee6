//! An unchanged list of VMs is not transferred again, a changed one is noticed, and a list that
//! cannot be read is an error rather than an empty list.

use std::sync::Arc;

use dogwoodway_http::{Handler, HttpClient, ServerLimits, full_body, serve};
use dogwoodway_standin::vm_list_handler;
use dogwoodway_types::AvailabilityZone;
use dogwoodway_vms::{HttpVmList, Vm, VmList, VmRole, VmState};
use futures::FutureExt;
use hyper::{Method, Response};
use tokio::net::TcpListener;

fn vm(port: u16, state: VmState) -> Vm {
    let zone = AvailabilityZone::try_from("a").unwrap();
    Vm { address: ([127, 0, 0, 1], port).into(), zone, role: VmRole::Agent, state }
}

#[tokio::test]
async fn unchanged_list_is_cached_and_a_change_is_noticed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let first = vec![vm(1, VmState::Live), vm(2, VmState::Live)];
    let handler = vm_list_handler(first.clone());
    tokio::spawn(serve(listener, ServerLimits::default(), handler, std::future::pending()));

    let list = HttpVmList::new(url.clone());
    assert_eq!(list.list().await.unwrap(), first);
    assert_eq!(list.list().await.unwrap(), first);

    let http = HttpClient::new();
    let timeout = std::time::Duration::from_secs(10);
    let second = vec![vm(1, VmState::Leaving)];
    let _: Vec<Vm> = http.json(Method::PUT, &format!("{url}/vms"), &second, timeout).await.unwrap();
    assert_eq!(list.list().await.unwrap(), second);

    let etag = [("if-none-match", "\"0\"".to_owned())];
    let body = bytes::Bytes::new();
    let url = format!("{url}/vms");
    let resp = http.call_with_headers(Method::GET, &url, "", body, &etag, timeout).await.unwrap();
    let etag = [("if-none-match", resp.etag)];
    let body = bytes::Bytes::new();
    let resp = http.call_with_headers(Method::GET, &url, "", body, &etag, timeout).await.unwrap();
    assert_eq!((resp.status.as_u16(), resp.body.len()), (304, 0));
}

#[tokio::test]
async fn list_that_cannot_be_read_is_an_error() {
    let list = HttpVmList::new("http://127.0.0.1:1".to_owned());
    assert!(list.list().await.is_err());
}

#[tokio::test]
async fn odd_entry_hides_no_other_vm() {
    let nested = "[".repeat(40_000) + &"]".repeat(40_000);
    let odd = [
        &nested,
        &format!(r#"{{"address":"127.0.0.1:3","zone":{nested},"role":"agent","state":"live"}}"#),
        r#"{"address":"127.0.0.1:99999","zone":"a","role":"agent","state":"live"}"#,
        r#"{"address":1e999,"zone":"a","role":"agent","state":"live"}"#,
        r#"{"address":"127.0.0.1:3","zone":"a","role":"scribe","state":"live"}"#,
        r#"{"zone":"a"}"#,
        "18446744073709551616",
        "null",
    ];
    let [first, second] = [vm(1, VmState::Live), vm(2, VmState::Live)];
    for entry in odd {
        let [first_json, second_json] =
            [&first, &second].map(|vm| serde_json::to_string(vm).unwrap());
        let body = format!("[{first_json},{entry},{second_json}]");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let handler: Handler = Arc::new(move |_| {
            let resp = Response::new(full_body(body.clone()));
            async move { resp }.boxed()
        });
        tokio::spawn(serve(listener, ServerLimits::default(), handler, std::future::pending()));
        let entry = &entry[..entry.len().min(70)];
        let vms = HttpVmList::new(url).list().await;
        assert_eq!(vms, Ok(vec![first.clone(), second.clone()]), "{entry}");
    }
}
