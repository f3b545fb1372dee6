//! The configuration model that operators publish: teams, traffic classes, labels and selectors.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZone, BackendServerName, ClassName, LogOffset, ModelName, SelectorName, TeamName,
    WeightsVersion,
};

/// Keyed hash of a bearer key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a bearer key under the deployment's pepper.
    ///
    /// ```
    /// use dogwoodway_types::KeyHash;
    ///
    /// let a = KeyHash::new("pepper", "sk-1");
    /// assert!(a.matches(&KeyHash::new("pepper", "sk-1")));
    /// assert!(!a.matches(&KeyHash::new("other", "sk-1")));
    /// ```
    pub fn new(pepper: &str, key: &str) -> KeyHash {
        let secret = blake3::derive_key("dogwoodway bearer keys v1", pepper.as_bytes());
        KeyHash(*blake3::keyed_hash(&secret, key.as_bytes()).as_bytes())
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = ConfigError;

    fn try_from(text: String) -> Result<KeyHash, ConfigError> {
        match blake3::Hash::from_hex(&text) {
            Ok(hash) => Ok(KeyHash(*hash.as_bytes())),
            Err(_) => Err(ConfigError::BadKeyHash),
        }
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        blake3::Hash::from_bytes(hash.0).to_hex().to_string()
    }
}

/// Scheduling priority; a higher number is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A team: the customer that requests are billed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: TeamName,
    /// Keyed hashes of its bearer keys.
    pub keys: Vec<KeyHash>,
    /// Prompt tokens computed plus tokens generated that the team may use per minute.
    pub tokens_per_minute: u64,
    /// Most requests in flight over all entries.
    pub max_in_flight: u32,
}

/// A traffic class: how a kind of request is treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    /// Unique name; a caller names it in the `x-dogwoodway-class` header.
    pub name: ClassName,
    /// Paths of plain-service calls that always belong to the class, as prefixes.
    #[serde(default)]
    pub paths: Vec<String>,
    /// Scheduling priority.
    pub priority: Priority,
    /// Whether a request may be run again after it may have run.
    pub repeatable: bool,
    /// Milliseconds from acceptance to the deadline.
    pub answer_within_ms: u32,
}

/// Labels that an operator gives to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendLabels {
    /// The backend server.
    pub name: BackendServerName,
    /// The labels.
    pub labels: BTreeMap<String, String>,
}

/// A selector: which requests may go to which backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Unique name; among matching selectors the first by name decides.
    pub name: SelectorName,
    /// Teams that it applies to; empty means all.
    #[serde(default)]
    pub teams: Vec<TeamName>,
    /// Traffic classes that it applies to; empty means all.
    #[serde(default)]
    pub classes: Vec<ClassName>,
    /// Model that it applies to; absent for plain services.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Weights version to run.
    #[serde(default)]
    pub version: Option<WeightsVersion>,
    /// Labels that a backend server must carry, all of them.
    pub labels: BTreeMap<String, String>,
    /// Priority that replaces the class's.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// Kinds of objects in a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A [`Team`].
    Team,
    /// A [`TrafficClass`].
    Class,
    /// A [`BackendLabels`].
    Labels,
    /// A [`Selector`].
    Selector,
}

/// Identifies an object in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ObjectKind::Team => "team",
            ObjectKind::Class => "class",
            ObjectKind::Labels => "labels",
            ObjectKind::Selector => "selector",
        };
        write!(f, "{kind}/{}", self.name)
    }
}

/// One edit of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigEdit {
    /// Creates or replaces a team.
    Team(Team),
    /// Creates or replaces a traffic class.
    Class(TrafficClass),
    /// Creates or replaces the labels of a backend server.
    Labels(BackendLabels),
    /// Creates or replaces a selector.
    Selector(Selector),
    /// Removes an object.
    Remove(ObjectId),
}

impl ConfigEdit {
    /// Returns the object that the edit touches.
    pub fn object_id(&self) -> ObjectId {
        let id = |kind, name: &str| ObjectId { kind, name: name.to_owned() };
        match self {
            ConfigEdit::Team(team) => id(ObjectKind::Team, team.name.as_str()),
            ConfigEdit::Class(class) => id(ObjectKind::Class, class.name.as_str()),
            ConfigEdit::Labels(labels) => id(ObjectKind::Labels, labels.name.as_str()),
            ConfigEdit::Selector(selector) => id(ObjectKind::Selector, selector.name.as_str()),
            ConfigEdit::Remove(object) => object.clone(),
        }
    }
}

/// A whole configuration, as in force from one log offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Offset of the last record that changed it.
    pub offset: LogOffset,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Traffic classes by name.
    pub classes: BTreeMap<ClassName, TrafficClass>,
    /// Labels by backend server.
    pub labels: BTreeMap<BackendServerName, BackendLabels>,
    /// Selectors by name.
    pub selectors: BTreeMap<SelectorName, Selector>,
}

impl Configuration {
    /// Finds the team whose bearer key has the given hash.
    ///
    /// Every key is compared, so that the time taken does not tell which one matched.
    pub fn team_by_key(&self, hash: &KeyHash) -> Option<&Team> {
        let mut found = None;
        for team in self.teams.values() {
            for key in &team.keys {
                if key.matches(hash) {
                    found = Some(team);
                }
            }
        }
        found
    }

    /// Finds the selector that decides a request.
    pub fn selector_for(
        &self,
        team: &TeamName,
        class: &ClassName,
        model: Option<&ModelName>,
    ) -> Option<&Selector> {
        self.selectors.values().find(|selector| selector.applies_to(team, class, model))
    }

    /// Tells whether a backend server in `zone` with its own labels `own` satisfies a selector.
    ///
    /// Published labels go before the server's own; `zone` is a label that cannot be replaced.
    pub fn is_eligible(
        &self,
        selector: &Selector,
        server: &BackendServerName,
        zone: &AvailabilityZone,
        own: &BTreeMap<String, String>,
    ) -> bool {
        let published = self.labels.get(server).map(|labels| &labels.labels);
        selector.labels.iter().all(|(name, wanted)| {
            if name == "zone" {
                return wanted == zone.as_str();
            }
            let value = published.and_then(|labels| labels.get(name)).or_else(|| own.get(name));
            value == Some(wanted)
        })
    }

    /// Finds the traffic class of a plain-service call by its path; the longest prefix decides.
    pub fn class_for_path(&self, path: &str) -> Option<&TrafficClass> {
        let prefix_len = |class: &TrafficClass| {
            class.paths.iter().filter(|p| path.starts_with(p.as_str())).map(String::len).max()
        };
        self.classes
            .values()
            .filter_map(|class| prefix_len(class).map(|len| (len, class)))
            .max_by_key(|(len, _)| *len)
            .map(|(_, class)| class)
    }
}

impl Selector {
    fn applies_to(&self, team: &TeamName, class: &ClassName, model: Option<&ModelName>) -> bool {
        let team_fits = self.teams.is_empty() || self.teams.contains(team);
        let class_fits = self.classes.is_empty() || self.classes.contains(class);
        team_fits && class_fits && self.model.as_ref() == model
    }
}

/// The reason why a configuration object is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// A key hash is not 64 hexadecimal digits.
    BadKeyHash,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::BadKeyHash => write!(f, "a key hash must have 64 hexadecimal digits"),
        }
    }
}

impl std::error::Error for ConfigError {}
