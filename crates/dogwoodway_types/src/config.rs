//! Configuration that operators publish: teams, traffic classes, labels and selectors.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZone, BackendServerName, ClassName, LogOffset, ModelName, SelectorName, TeamName,
    WeightsVersion,
};

/// Keyed hash of a bearer key, so that the configuration does not contain the key itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a bearer key with the deployment's pepper, a secret that is not part of the
    /// configuration.
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

    /// Compares two hashes in constant time, so that the time does not reveal how much of them
    /// matches.
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

/// Scheduling priority; requests with higher numbers are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A team: a customer that requests are billed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: TeamName,
    /// Keyed hashes of the team's bearer keys.
    pub keys: Vec<KeyHash>,
    /// Token budget per minute: computed prompt tokens plus generated tokens. Cached prompt tokens
    /// are free.
    pub tokens_per_minute: u64,
    /// Maximum number of requests in flight over all entries.
    pub max_in_flight: u32,
}

/// A traffic class: priority, retry policy and deadline of one kind of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    /// Unique name; callers select the class by this name in the `x-dogwoodway-class` header.
    pub name: ClassName,
    /// Path prefixes of the plain-service calls that always belong to the class.
    #[serde(default)]
    pub paths: Vec<String>,
    /// Scheduling priority.
    pub priority: Priority,
    /// Whether a request may be retried although an earlier attempt may have run.
    pub repeatable: bool,
    /// Time from the acceptance of a request to its deadline, in milliseconds.
    pub answer_within_ms: u32,
}

/// Labels that an operator assigns to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendLabels {
    /// Name of the backend server.
    pub name: BackendServerName,
    /// Values by label name.
    pub labels: BTreeMap<String, String>,
}

/// A selector: which requests may go to which backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Unique name; if several selectors match a request, the first one by name applies.
    pub name: SelectorName,
    /// Teams that the selector applies to; empty means all.
    #[serde(default)]
    pub teams: Vec<TeamName>,
    /// Traffic classes that the selector applies to; empty means all.
    #[serde(default)]
    pub classes: Vec<ClassName>,
    /// Model that the selector applies to; absent for calls to plain services.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Weights version that matching requests run on, if it is fixed.
    #[serde(default)]
    pub version: Option<WeightsVersion>,
    /// Label values that a backend server must all have.
    pub labels: BTreeMap<String, String>,
    /// Priority that replaces the one of the traffic class, if present.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// Kind of an object in a configuration.
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
    /// Name of the object, unique within its kind.
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
    /// Returns the id of the object that the edit creates, replaces or removes.
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

/// A complete configuration, as in force after the record at one log offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Offset of the last record that changed the configuration.
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
    /// All keys are compared even after a match, so that the response time does not reveal which
    /// key matched.
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

    /// Finds the selector that applies to a request: the first matching one by name.
    pub fn selector_for(
        &self,
        team: &TeamName,
        class: &ClassName,
        model: Option<&ModelName>,
    ) -> Option<&Selector> {
        self.selectors.values().find(|selector| selector.applies_to(team, class, model))
    }

    /// Returns whether a backend server satisfies the labels of a selector.
    ///
    /// Labels from the configuration take precedence over `own_labels`, which the server reports
    /// itself. The label `zone` always has the value of the argument and cannot be overridden.
    pub fn is_eligible(
        &self,
        selector: &Selector,
        server: &BackendServerName,
        zone: &AvailabilityZone,
        own_labels: &BTreeMap<String, String>,
    ) -> bool {
        let published = self.labels.get(server).map(|labels| &labels.labels);
        selector.labels.iter().all(|(name, required)| {
            if name == "zone" {
                return required == zone.as_str();
            }
            let value =
                published.and_then(|labels| labels.get(name)).or_else(|| own_labels.get(name));
            value == Some(required)
        })
    }

    /// Returns whether a backend server may run a chat of a team on these weights, in any traffic class.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use dogwoodway_types::{
    ///     BackendServerName, Configuration, ModelName, Selector, SelectorName, Team, TeamName,
    ///     WeightsVersion,
    /// };
    ///
    /// let model = ModelName::try_from("m").unwrap();
    /// let selector = Selector {
    ///     name: SelectorName::try_from("chat").unwrap(),
    ///     teams: Vec::new(),
    ///     classes: Vec::new(),
    ///     model: Some(model.clone()),
    ///     version: Some(WeightsVersion(2)),
    ///     labels: BTreeMap::new(),
    ///     priority: None,
    /// };
    /// let mut cfg = Configuration::default();
    /// cfg.selectors.insert(selector.name.clone(), selector);
    /// let (name, zone) = (TeamName::try_from("desk").unwrap(), "zone-1".parse().unwrap());
    /// let team = Team { name, keys: Vec::new(), tokens_per_minute: 1_000, max_in_flight: 1 };
    /// cfg.teams.insert(team.name.clone(), team.clone());
    /// let server = BackendServerName::try_from("worker-1").unwrap();
    /// let may_run = |version| {
    ///     let weights = (&model, WeightsVersion(version));
    ///     cfg.may_run_on(&team.name, weights, &server, &zone, &BTreeMap::new())
    /// };
    /// assert!(may_run(2) && !may_run(1));
    /// ```
    pub fn may_run_on(
        &self,
        team: &TeamName,
        (model, version): (&ModelName, WeightsVersion),
        server: &BackendServerName,
        zone: &AvailabilityZone,
        own_labels: &BTreeMap<String, String>,
    ) -> bool {
        if !self.teams.contains_key(team) {
            return false;
        }
        for selector in self.selectors.values() {
            if !selector.applies_to_team(team) || selector.model.as_ref() != Some(model) {
                continue;
            }
            if selector.version.is_none_or(|wanted| wanted == version)
                && self.is_eligible(selector, server, zone, own_labels)
            {
                return true;
            }
            // Applies to all classes, so that no later selector applies to any.
            if selector.classes.is_empty() {
                return false;
            }
        }
        false
    }

    /// Finds the traffic class of a plain-service call by the longest matching path prefix.
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
        let class_matches = self.classes.is_empty() || self.classes.contains(class);
        self.applies_to_team(team) && class_matches && self.model.as_ref() == model
    }

    fn applies_to_team(&self, team: &TeamName) -> bool {
        self.teams.is_empty() || self.teams.contains(team)
    }
}

/// Why a configuration object is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// A key hash does not consist of 64 hexadecimal digits.
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
