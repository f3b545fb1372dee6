//! Stand-in of the platform's list of VMs.

use std::sync::{Arc, Mutex, PoisonError};

use dogwoodway_http::{Body, Handler, full_body, json_response};
use dogwoodway_vms::Vm;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fault::FaultSwitch, read_json};

#[derive(Debug)]
struct VmListService {
    vms: Mutex<Vec<Vm>>,
    faults: FaultSwitch,
}

/// Builds the handler of a list that starts with `vms`; `PUT /vms` replaces it.
///
/// ```
/// let _handler = dogwoodway_standin::vm_list_handler(Vec::new());
/// ```
pub fn vm_list_handler(vms: Vec<Vm>) -> Handler {
    let list = Arc::new(VmListService { vms: Mutex::new(vms), faults: FaultSwitch::default() });
    Arc::new(move |req| {
        let list = list.clone();
        Box::pin(async move { list.handle(req).await })
    })
}

impl VmListService {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/fault" {
            return self.faults.set(req).await;
        }
        if let Err(resp) = self.faults.before().await {
            return *resp;
        }
        let asked_tag = req.headers().get(header::IF_NONE_MATCH);
        let asked_tag = asked_tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        if *req.method() == Method::PUT {
            match read_json::<Vec<Vm>>(req).await {
                Ok(vms) => *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms,
                Err(resp) => return *resp,
            }
        }
        let vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner).clone();
        tagged_response(&vms, asked_tag.as_deref())
    }
}

/// Answers with the list, or with status 304 if the client has it already.
fn tagged_response(vms: &[Vm], asked_tag: Option<&str>) -> Response<Body> {
    let json = serde_json::to_vec(vms).unwrap_or_default();
    let tag = format!("\"{:016x}\"", xxh3_64(&json));
    if asked_tag == Some(tag.as_str()) {
        let mut resp = Response::new(full_body(""));
        *resp.status_mut() = StatusCode::NOT_MODIFIED;
        return resp;
    }
    let mut resp = json_response(StatusCode::OK, vms);
    if let Ok(tag) = header::HeaderValue::from_str(&tag) {
        resp.headers_mut().insert(header::ETAG, tag);
    }
    resp
}
