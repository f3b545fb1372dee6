//! Validated names and numeric identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than 100 bytes; holds its length in bytes.
    TooLong(usize),
    /// The text contains a character other than ASCII letters, digits, `.`, `_`, `-`, `/` and `:`.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "a name must not be empty"),
            IdError::TooLong(n) => write!(f, "a name has at most {MAX_NAME_BYTES} bytes, not {n}"),
            IdError::BadCharacter(c) => {
                write!(f, "a name holds letters, digits and . _ - / : only, not {c:?}")
            }
        }
    }
}

impl std::error::Error for IdError {}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    match text.chars().find(|c| !(c.is_ascii_alphanumeric() || "._-/:".contains(*c))) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use dogwoodway_types::", stringify!($name), ";")]
        #[doc = concat!("assert!(", stringify!($name), "::try_from(\"a-1\").is_ok());")]
        #[doc = concat!("assert!(", stringify!($name), "::try_from(\"a b\").is_err());")]
        /// ```
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_name(&text)?;
                Ok($name(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self, IdError> {
                $name::try_from(text.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                $name::try_from(text)
            }
        }
    )*};
}

name_types! {
    /// Names a team, a customer that requests are billed to.
    TeamName;
    /// Names a traffic class, see [`TrafficClass`](crate::TrafficClass).
    ClassName;
    /// Names a selector, see [`Selector`](crate::Selector).
    SelectorName;
    /// Names a backend server: a model engine, a plain service or a KV store.
    BackendServerName;
    /// Names an availability zone, as `region/zone` or just `zone`.
    AvailabilityZone;
    /// Names a language model, whatever the version of its weights.
    ModelName;
    /// Identifies a configuration change, so that appending it to the log again has no effect.
    ChangeId;
    /// Identifies a request of one team that must not run twice; chosen by the caller.
    IdempotencyKey;
    /// Names a service: a group of backend servers that answer the same requests.
    ServiceName;
    /// Names a route, a rule that matches requests by host and path.
    RouteName;
    /// Names a router process after the VM that it runs on.
    RouterName;
}

/// Version of a backend server's software, which is independent of the weights that it runs.
///
/// The text is opaque: versions have no order, and two are the same only if their texts are. It is
/// empty if a server does not state its version.
///
/// ```
/// use dogwoodway_types::SoftwareVersion;
///
/// assert_ne!(SoftwareVersion::from("v1.1"), SoftwareVersion::from("v1.10"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> SoftwareVersion {
        SoftwareVersion(text.to_owned())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident($repr:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

number_types! {
    /// Identifies one run of an agent's process; a restarted agent has another one.
    AgentIncarnation(u64);
    /// Identifies one run of an entry's process; a restarted entry has another one.
    EntryIncarnation(u64);
    /// Identifies one run of a model engine's process; each starts with an empty cache.
    EngineIncarnation(u64);
    /// Position of a record in a log. In the streams of the platform log, the first record has
    /// offset 1, and 0 stands for the position before all records. In the logs that routers without
    /// agents read from the platform's store, the first record has offset 0.
    LogOffset(u64);
    /// Version of a model's weights.
    WeightsVersion(u32);
    /// A generated token, as its number in the engine's vocabulary.
    Token(u32);
}

macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }
    )*};
}

id_types! {
    /// Identifies a request, from its acceptance at an entry on.
    RequestId;
    /// Identifies one attempt to run a request on one backend server.
    AttemptId;
}
