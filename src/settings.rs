//! Settings files of the roles entry and agent, which are validated before the role starts.

mod field;

use std::{collections::BTreeMap, fmt, net::SocketAddr, path::Path};

use dogwoodway_types::{AvailabilityZone, BackendServerName};
use serde::{Deserialize, de::DeserializeOwned};
use serde_yaml_ng::Value;

use crate::settings::field::FieldValidator;

/// Default of `shutdown_limit_ms`, in milliseconds.
const DEFAULT_SHUTDOWN_LIMIT_MS: u64 = 900_000;

/// Reason why a settings file is refused.
#[derive(Debug)]
pub(crate) enum SettingsError {
    /// The file cannot be read.
    Io(std::io::Error),
    /// The file is not valid YAML, or its structure is not the expected one.
    Yaml(serde_yaml_ng::Error),
    /// All fields that are missing, invalid or unknown.
    Fields(Vec<FieldError>),
}

/// A field that is missing, invalid or unknown.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct FieldError {
    pub(crate) field: String,
    /// Value in the file, `None` if the field is missing.
    pub(crate) value: Option<String>,
    /// Description of the values that are allowed.
    pub(crate) expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Io(e) => write!(f, "cannot read the settings file: {e}"),
            SettingsError::Yaml(e) => write!(f, "the settings file is not valid: {e}"),
            SettingsError::Fields(errors) => {
                write!(f, "the settings file is not valid:")?;
                errors.iter().try_for_each(|e| write!(f, "\n  {e}"))
            }
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => {
                write!(f, "{}: {value:?} is not allowed; expected {}", self.field, self.expected)
            }
            None => write!(f, "{}: is missing; expected {}", self.field, self.expected),
        }
    }
}

/// Default of `loading_slots`.
const DEFAULT_LOADING_SLOTS: usize = 2;

#[derive(Debug, Deserialize)]
struct RawEntry {
    listen: Option<String>,
    zone: Option<String>,
    log_url: Option<String>,
    vms_url: Option<String>,
    key_pepper: Option<String>,
    metrics_listen: Option<String>,
    shutdown_limit_ms: Option<Value>,
    #[serde(flatten)]
    unknown: BTreeMap<String, Value>,
}

/// Validated settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntrySettings {
    /// Address on which callers are served.
    pub(crate) listen: SocketAddr,
    /// Zone of the entry.
    pub(crate) zone: AvailabilityZone,
    /// Base URL of the platform's log.
    pub(crate) log_url: String,
    /// Base URL of the platform's list of VMs.
    pub(crate) vms_url: String,
    /// Secret that is hashed together with bearer keys.
    pub(crate) key_pepper: String,
    /// Address on which metrics are served, `None` to serve none.
    pub(crate) metrics_listen: Option<SocketAddr>,
    /// Maximum time in milliseconds from the first shutdown signal until requests in flight are
    /// aborted. Must not exceed the time that the platform allows.
    pub(crate) shutdown_limit_ms: u64,
}

impl TryFrom<RawEntry> for EntrySettings {
    type Error = SettingsError;

    fn try_from(raw: RawEntry) -> Result<EntrySettings, SettingsError> {
        let mut validator = FieldValidator::default();
        let listen = validator.address("listen", raw.listen);
        let zone = validator.name::<AvailabilityZone>("zone", raw.zone);
        let log_url = validator.base_url("log_url", raw.log_url);
        let vms_url = validator.base_url("vms_url", raw.vms_url);
        let key_pepper = validator.text("key_pepper", raw.key_pepper);
        let metrics_listen = validator.optional_address("metrics_listen", raw.metrics_listen);
        let shutdown_limit_ms =
            validator.millis("shutdown_limit_ms", raw.shutdown_limit_ms, DEFAULT_SHUTDOWN_LIMIT_MS);
        validator.reject_unknown(&raw.unknown);
        let errors = validator.into_errors();
        match (listen, zone, log_url, vms_url, key_pepper) {
            (Some(listen), Some(zone), Some(log_url), Some(vms_url), Some(key_pepper))
                if errors.is_empty() =>
            {
                Ok(EntrySettings {
                    listen,
                    zone,
                    log_url,
                    vms_url,
                    key_pepper,
                    metrics_listen,
                    shutdown_limit_ms,
                })
            }
            _ => Err(SettingsError::Fields(errors)),
        }
    }
}

/// Kind of the backend server beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

#[derive(Debug, Deserialize)]
struct RawAgent {
    listen: Option<String>,
    zone: Option<String>,
    name: Option<String>,
    kind: Option<String>,
    backend_url: Option<String>,
    log_url: Option<String>,
    kv_store_url: Option<String>,
    vms_url: Option<String>,
    #[serde(default)]
    checks_fencing: bool,
    loading_slots: Option<usize>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
    metrics_listen: Option<String>,
    shutdown_limit_ms: Option<Value>,
    #[serde(flatten)]
    unknown: BTreeMap<String, Value>,
}

/// Validated settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentSettings {
    /// Address on which entries are served.
    pub(crate) listen: SocketAddr,
    /// Zone of the agent.
    pub(crate) zone: AvailabilityZone,
    /// Name of the backend server.
    pub(crate) name: BackendServerName,
    /// Kind of the backend server.
    pub(crate) kind: BackendServerKind,
    /// Base URL of the backend server.
    pub(crate) backend_url: String,
    /// Base URL of the platform's log.
    pub(crate) log_url: String,
    /// Base URL of the KV store that extends the engine's prefix cache, if there is one.
    pub(crate) kv_store_url: Option<String>,
    /// Base URL of the platform's list of VMs. With it, the agent can ask other agents for the
    /// configuration while the log is unavailable.
    pub(crate) vms_url: Option<String>,
    /// Whether the engine refuses orders with an outdated fencing token.
    pub(crate) checks_fencing: bool,
    /// Maximum number of engines of the deployment that load weights at the same time, at least 1.
    pub(crate) loading_slots: usize,
    /// Labels of the backend server; those in the published configuration take precedence.
    pub(crate) labels: BTreeMap<String, String>,
    /// Address on which metrics are served, `None` to serve none.
    pub(crate) metrics_listen: Option<SocketAddr>,
    /// Maximum time in milliseconds from the first shutdown signal until attempts in flight are
    /// aborted. Must not exceed the time that the platform allows.
    pub(crate) shutdown_limit_ms: u64,
}

impl TryFrom<RawAgent> for AgentSettings {
    type Error = SettingsError;

    fn try_from(raw: RawAgent) -> Result<AgentSettings, SettingsError> {
        let mut validator = FieldValidator::default();
        let listen = validator.address("listen", raw.listen);
        let zone = validator.name::<AvailabilityZone>("zone", raw.zone);
        let name = validator.name::<BackendServerName>("name", raw.name);
        let kinds =
            [("engine", BackendServerKind::Engine), ("service", BackendServerKind::Service)];
        let kind = validator.choice("kind", raw.kind, &kinds);
        let backend_url = validator.base_url("backend_url", raw.backend_url);
        let log_url = validator.base_url("log_url", raw.log_url);
        let kv_store_url =
            raw.kv_store_url.and_then(|u| validator.base_url("kv_store_url", Some(u)));
        let vms_url = raw.vms_url.and_then(|url| validator.base_url("vms_url", Some(url)));
        let metrics_listen = validator.optional_address("metrics_listen", raw.metrics_listen);
        let shutdown_limit_ms =
            validator.millis("shutdown_limit_ms", raw.shutdown_limit_ms, DEFAULT_SHUTDOWN_LIMIT_MS);
        validator.reject_unknown(&raw.unknown);
        let errors = validator.into_errors();
        let labels = raw.labels;
        let checks_fencing = raw.checks_fencing;
        let loading_slots = raw.loading_slots.unwrap_or(DEFAULT_LOADING_SLOTS).max(1);
        match (listen, zone, name, kind, backend_url, log_url) {
            (
                Some(listen),
                Some(zone),
                Some(name),
                Some(kind),
                Some(backend_url),
                Some(log_url),
            ) if errors.is_empty() => Ok(AgentSettings {
                listen,
                zone,
                name,
                kind,
                backend_url,
                log_url,
                kv_store_url,
                vms_url,
                checks_fencing,
                loading_slots,
                labels,
                metrics_listen,
                shutdown_limit_ms,
            }),
            _ => Err(SettingsError::Fields(errors)),
        }
    }
}

/// Reads and validates the settings of an entry.
pub(crate) fn load_entry(path: &Path) -> Result<EntrySettings, SettingsError> {
    EntrySettings::try_from(read_yaml::<RawEntry>(path)?)
}

/// Reads and validates the settings of an agent.
pub(crate) fn load_agent(path: &Path) -> Result<AgentSettings, SettingsError> {
    AgentSettings::try_from(read_yaml::<RawAgent>(path)?)
}

fn read_yaml<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
{
    let text = std::fs::read_to_string(path).map_err(SettingsError::Io)?;
    serde_yaml_ng::from_str(&text).map_err(SettingsError::Yaml)
}
