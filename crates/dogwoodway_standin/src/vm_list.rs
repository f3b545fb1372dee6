//! Stand-in for the platform's list of VMs.

use std::sync::{Arc, Mutex, PoisonError};

use dogwoodway_http::{Body, Handler, full_body, json_response};
use dogwoodway_vms::Vm;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fault::FaultInjector, read_json};

#[derive(Debug)]
struct VmListService {
    vms: Mutex<Vec<Vm>>,
    faults: FaultInjector,
}

/// Creates the handler of a list that initially holds `vms`; `PUT /vms` replaces it.
///
/// ```
/// let _handler = dogwoodway_standin::vm_list_handler(Vec::new());
/// ```
pub fn vm_list_handler(vms: Vec<Vm>) -> Handler {
    let list = Arc::new(VmListService { vms: Mutex::new(vms), faults: FaultInjector::default() });
    Arc::new(move |req| {
        let list = list.clone();
        Box::pin(async move { list.handle(req).await })
    })
}

impl VmListService {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/fault" {
            return self.faults.handle_request(req).await;
        }
        if let Err(resp) = self.faults.before_call().await {
            return *resp;
        }
        let client_etag = req.headers().get(header::IF_NONE_MATCH);
        let client_etag = client_etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        if *req.method() == Method::PUT {
            match read_json::<Vec<Vm>>(req).await {
                Ok(vms) => *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms,
                Err(resp) => return *resp,
            }
        }
        let vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner).clone();
        list_response(&vms, client_etag.as_deref())
    }
}

/// Returns the list with its entity tag, or status 304 if `client_etag` is the tag of this list.
fn list_response(vms: &[Vm], client_etag: Option<&str>) -> Response<Body> {
    let json = serde_json::to_vec(vms).unwrap_or_default();
    let etag = format!("\"{:016x}\"", xxh3_64(&json));
    if client_etag == Some(etag.as_str()) {
        let mut resp = Response::new(full_body(""));
        *resp.status_mut() = StatusCode::NOT_MODIFIED;
        return resp;
    }
    let mut resp = json_response(StatusCode::OK, vms);
    if let Ok(etag) = header::HeaderValue::from_str(&etag) {
        resp.headers_mut().insert(header::ETAG, etag);
    }
    resp
}
