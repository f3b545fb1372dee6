//! Client of the platform's list of VMs.
//!
//! The list lags behind: it may lack a running VM, or still contain one that no longer runs. It is
//! therefore only used to discover addresses; the process at an address reports what it runs.

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
use serde_json::value::RawValue;

/// Time limit for reading the list, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// Length up to which the reason for which an entry is ignored is logged, in characters.
const MAX_REASON_CHARS: usize = 200;

/// The role of the process that runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry, which accepts requests from callers.
    Entry,
    /// An agent, which runs requests on a backend server.
    Agent,
}

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform will stop the VM soon.
    Leaving,
}

/// One VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address at which the entry or agent on the VM listens.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Role of the process on the VM.
    pub role: VmRole,
    /// State of the VM according to the platform.
    pub state: VmState,
}

/// The list could not be read; the text states why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListError(pub String);

impl fmt::Display for VmListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to read the list of VMs: {}", self.0)
    }
}

impl std::error::Error for VmListError {}

/// Access to the platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Returns the current list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>>;
}

/// Reads the list over HTTP: `GET /vms` returns a JSON array of [`Vm`].
///
/// Each request sends the entity tag of the last response in `if-none-match`. An unchanged list,
/// the usual case, then takes an empty response with status 304 instead of the whole list.
#[derive(Debug)]
pub struct HttpVmList {
    http: HttpClient,
    base_url: String,
    cached: Mutex<Option<CachedList>>,
}

/// The list from an earlier response, with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    etag: String,
    vms: Vec<Vm>,
}

impl HttpVmList {
    /// Creates a client; `base_url` must not end with a slash. It connects on first use.
    ///
    /// ```
    /// let _vms = dogwoodway_vms::HttpVmList::new("http://127.0.0.1:7002".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpVmList {
        HttpVmList { http: HttpClient::new(), base_url, cached: Mutex::new(None) }
    }

    async fn read(&self) -> Result<Vec<Vm>, VmListError> {
        let url = format!("{}/vms", self.base_url);
        let timeout = Duration::from_millis(RESPONSE_TIMEOUT_MS);
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let etag = cached.iter().map(|cached| ("if-none-match", cached.etag.clone()));
        let headers: Vec<_> = etag.collect();
        let resp =
            self.http.call_with_headers(Method::GET, &url, "", Bytes::new(), &headers, timeout);
        let resp = resp.await.map_err(|e| VmListError(e.to_string()))?;
        match (resp.status, cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.vms),
            (StatusCode::OK, _) => {
                let vms = parse_list(&resp.body)?;
                let cached = CachedList { etag: resp.etag, vms: vms.clone() };
                let cached = Some(cached).filter(|cached| !cached.etag.is_empty());
                *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = cached;
                Ok(vms)
            }
            (status, _) => Err(VmListError(format!("status {status}"))),
        }
    }
}

/// Parses the list. An entry that cannot be read is left out, since another writer may have added it.
fn parse_list(json: &[u8]) -> Result<Vec<Vm>, VmListError> {
    let entries: Vec<&RawValue> =
        serde_json::from_slice(json).map_err(|e| VmListError(e.to_string()))?;
    let vms = entries.into_iter().filter_map(|entry| match serde_json::from_str(entry.get()) {
        Ok(vm) => Some(vm),
        Err(e) => {
            let reason: String = e.to_string().chars().take(MAX_REASON_CHARS).collect();
            log::warn!("entry in the list of VMs ignored: {reason}");
            None
        }
    });
    Ok(vms.collect())
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>> {
        self.read().boxed()
    }
}
