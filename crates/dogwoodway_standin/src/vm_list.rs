//! Stand-in of the platform's list of VMs.

use std::sync::{Arc, Mutex, PoisonError};

use dogwoodway_http::{Body, Handler, json_response};
use dogwoodway_vms::Vm;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

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
        if *req.method() == Method::PUT {
            match read_json::<Vec<Vm>>(req).await {
                Ok(vms) => *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms,
                Err(resp) => return *resp,
            }
        }
        let vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner).clone();
        json_response(StatusCode::OK, &vms)
    }
}
