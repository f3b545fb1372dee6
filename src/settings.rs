//! Settings files of the serving roles.

use std::{collections::BTreeMap, fmt, net::SocketAddr, path::Path};

use dogwoodway_types::{AvailabilityZone, BackendServerName};
use serde::{Deserialize, de::DeserializeOwned};

/// The reason why a settings file is refused; names all its faults.
#[derive(Debug)]
pub(crate) enum SettingsError {
    /// The file could not be read.
    Io(std::io::Error),
    /// The file is no valid YAML of the expected shape.
    Yaml(serde_yaml_ng::Error),
    /// Fields with invalid values.
    Fields(Vec<FieldError>),
}

/// One invalid field.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct FieldError {
    pub(crate) field: &'static str,
    pub(crate) value: String,
    pub(crate) allowed: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Io(e) => write!(f, "the settings file could not be read: {e}"),
            SettingsError::Yaml(e) => write!(f, "the settings file is not valid: {e}"),
            SettingsError::Fields(errors) => {
                let lines = errors.iter().map(|e| {
                    format!("{}: {:?} is not allowed; expected {}", e.field, e.value, e.allowed)
                });
                f.write_str(&lines.collect::<Vec<_>>().join("\n"))
            }
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEntry {
    listen: String,
    zone: String,
    log_url: String,
    vms_url: String,
    key_pepper: String,
}

/// Checked settings of an entry.
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
    /// Secret under which bearer keys are hashed.
    pub(crate) key_pepper: String,
}

impl TryFrom<RawEntry> for EntrySettings {
    type Error = SettingsError;

    fn try_from(raw: RawEntry) -> Result<EntrySettings, SettingsError> {
        let mut faults = Vec::new();
        let listen = address("listen", &raw.listen, &mut faults);
        let zone = name::<AvailabilityZone>("zone", &raw.zone, &mut faults);
        let log_url = base_url("log_url", raw.log_url, &mut faults);
        let vms_url = base_url("vms_url", raw.vms_url, &mut faults);
        match (listen, zone, faults.is_empty()) {
            (Some(listen), Some(zone), true) => {
                let key_pepper = raw.key_pepper;
                Ok(EntrySettings { listen, zone, log_url, vms_url, key_pepper })
            }
            _ => Err(SettingsError::Fields(faults)),
        }
    }
}

/// Kind of the backend server beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum BackendRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAgent {
    listen: String,
    zone: String,
    name: String,
    kind: BackendRole,
    backend_url: String,
    log_url: String,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// Checked settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentSettings {
    /// Address on which entries are served.
    pub(crate) listen: SocketAddr,
    /// Zone of the agent.
    pub(crate) zone: AvailabilityZone,
    /// Name of the backend server.
    pub(crate) name: BackendServerName,
    /// Kind of the backend server.
    pub(crate) kind: BackendRole,
    /// Base URL of the backend server.
    pub(crate) backend_url: String,
    /// Base URL of the platform's log.
    pub(crate) log_url: String,
    /// Labels of the backend server, which published ones replace.
    pub(crate) labels: BTreeMap<String, String>,
}

impl TryFrom<RawAgent> for AgentSettings {
    type Error = SettingsError;

    fn try_from(raw: RawAgent) -> Result<AgentSettings, SettingsError> {
        let mut faults = Vec::new();
        let listen = address("listen", &raw.listen, &mut faults);
        let zone = name::<AvailabilityZone>("zone", &raw.zone, &mut faults);
        let server = name::<BackendServerName>("name", &raw.name, &mut faults);
        let backend_url = base_url("backend_url", raw.backend_url, &mut faults);
        let log_url = base_url("log_url", raw.log_url, &mut faults);
        match (listen, zone, server, faults.is_empty()) {
            (Some(listen), Some(zone), Some(name), true) => {
                let (kind, labels) = (raw.kind, raw.labels);
                Ok(AgentSettings { listen, zone, name, kind, backend_url, log_url, labels })
            }
            _ => Err(SettingsError::Fields(faults)),
        }
    }
}

/// Reads the settings of an entry.
pub(crate) fn load_entry(path: &Path) -> Result<EntrySettings, SettingsError> {
    EntrySettings::try_from(load_raw::<RawEntry>(path)?)
}

/// Reads the settings of an agent.
pub(crate) fn load_agent(path: &Path) -> Result<AgentSettings, SettingsError> {
    AgentSettings::try_from(load_raw::<RawAgent>(path)?)
}

fn load_raw<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
{
    let text = std::fs::read_to_string(path).map_err(SettingsError::Io)?;
    serde_yaml_ng::from_str(&text).map_err(SettingsError::Yaml)
}

fn address(field: &'static str, text: &str, faults: &mut Vec<FieldError>) -> Option<SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let allowed = "an IP address and port, such as 127.0.0.1:8080".to_owned();
        faults.push(FieldError { field, value: text.to_owned(), allowed });
    }
    parsed
}

fn name<T>(field: &'static str, text: &str, faults: &mut Vec<FieldError>) -> Option<T>
where
    T: for<'a> TryFrom<&'a str, Error = dogwoodway_types::IdError>,
{
    match T::try_from(text) {
        Ok(name) => Some(name),
        Err(e) => {
            faults.push(FieldError { field, value: text.to_owned(), allowed: e.to_string() });
            None
        }
    }
}

fn base_url(field: &'static str, text: String, faults: &mut Vec<FieldError>) -> String {
    let host = text.strip_prefix("http://").unwrap_or_default();
    if host.is_empty() || host.ends_with('/') {
        let allowed = "a base URL such as http://127.0.0.1:7001, without a slash at its end";
        faults.push(FieldError { field, value: text.clone(), allowed: allowed.to_owned() });
    }
    text
}
