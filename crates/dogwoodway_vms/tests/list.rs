//! An unchanged list of VMs is not transferred again, a changed one is noticed, and a list that
//! cannot be read is an error rather than an empty list.

use dogwoodway_http::{HttpClient, ServerLimits, serve};
use dogwoodway_standin::vm_list_handler;
use dogwoodway_types::AvailabilityZone;
use dogwoodway_vms::{HttpVmList, Vm, VmList, VmRole, VmState};
use hyper::Method;
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
