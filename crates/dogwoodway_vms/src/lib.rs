//! Client of the platform's list of VMs.
//!
//! The list lags behind: a live VM may be missing, and a dead one may still be listed. It only
//! adds and removes addresses; what runs at an address is asked there.

use std::{fmt, net::SocketAddr, time::Duration};

use dogwoodway_http::HttpClient;
use dogwoodway_types::AvailabilityZone;
use futures::{FutureExt, future::BoxFuture};
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
#[derive(Clone, Debug)]
pub struct HttpVmList {
    http: HttpClient,
    base_url: String,
}

impl HttpVmList {
    /// Builds a client; `base_url` has no slash at its end.
    ///
    /// ```
    /// let _vms = dogwoodway_vms::HttpVmList::new("http://127.0.0.1:7002".to_owned());
    /// ```
    pub fn new(base_url: String) -> HttpVmList {
        HttpVmList { http: HttpClient::new(), base_url }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>> {
        async move {
            let url = format!("{}/vms", self.base_url);
            let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
            let list = self.http.json(hyper::Method::GET, &url, &(), limit).await;
            list.map_err(|e| VmListError(e.to_string()))
        }
        .boxed()
    }
}
