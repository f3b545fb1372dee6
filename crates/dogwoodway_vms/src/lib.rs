//! Client of the platform's list of VMs.
//!
//! The list lags behind: a live VM may be missing, and a dead one may still be listed. It only
//! adds and removes addresses; what runs at an address is asked there.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dogwoodway_http::HttpClient;
use dogwoodway_types::AvailabilityZone;
use futures::{FutureExt, future::BoxFuture};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs an entry.
    Entry,
    /// Runs an agent beside a backend server.
    Agent,
}

/// What the platform knows of a VM's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the system's process on the VM.
    pub address: SocketAddr,
    /// Zone of the VM.
    pub zone: AvailabilityZone,
    /// What the VM is for.
    pub role: VmRole,
    /// What the platform knows of its life.
    pub state: VmState,
}

/// The list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListError(pub String);

impl fmt::Display for VmListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the list of VMs could not be read: {}", self.0)
    }
}

impl std::error::Error for VmListError {}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>>;
}

/// The list over HTTP: `GET /vms` answers a JSON array of [`Vm`].
///
/// The answer's entity tag is sent back with the next question, so that an unchanged list, the
/// usual case, costs a few bytes instead of its whole length.
#[derive(Debug)]
pub struct HttpVmList {
    http: HttpClient,
    base_url: String,
    last: Mutex<Option<TaggedList>>,
}

/// A list as read before, with its entity tag.
#[derive(Clone, Debug)]
struct TaggedList {
    etag: String,
    vms: Vec<Vm>,
}

impl HttpVmList {
    /// Builds a client; `base_url` has no slash at its end.
    ///
    /// ```
    /// let _vms = dogwoodway_vms::HttpVmList::new("http://127.0.0.1:7002".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpVmList {
        HttpVmList { http: HttpClient::new(), base_url, last: Mutex::new(None) }
    }

    async fn read(&self) -> Result<Vec<Vm>, VmListError> {
        let url = format!("{}/vms", self.base_url);
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let tag = last.iter().map(|last| ("if-none-match", last.etag.clone()));
        let headers: Vec<_> = tag.collect();
        let reply =
            self.http.call_with_headers(Method::GET, &url, "", Bytes::new(), &headers, limit);
        let reply = reply.await.map_err(|e| VmListError(e.to_string()))?;
        match (reply.status, last) {
            (StatusCode::NOT_MODIFIED, Some(last)) => Ok(last.vms),
            (StatusCode::OK, _) => {
                let vms: Vec<Vm> =
                    serde_json::from_slice(&reply.body).map_err(|e| VmListError(e.to_string()))?;
                let tagged = TaggedList { etag: reply.etag, vms: vms.clone() };
                let tagged = Some(tagged).filter(|tagged| !tagged.etag.is_empty());
                *self.last.lock().unwrap_or_else(PoisonError::into_inner) = tagged;
                Ok(vms)
            }
            (status, _) => Err(VmListError(format!("status {status}"))),
        }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>> {
        self.read().boxed()
    }
}
