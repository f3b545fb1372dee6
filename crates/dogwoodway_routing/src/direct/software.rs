//! Versions of the software that the servers of a service run.
//!
//! During a release, servers of several versions serve side by side. The events that two versions
//! write do not fit together, so a stream goes on only at the version that began it.

use dogwoodway_types::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a software version of one service: a hash of both names.
///
/// ```
/// use dogwoodway_routing::direct::software::SoftwareTag;
/// use dogwoodway_types::{ServiceName, SoftwareVersion};
///
/// let (llm, desk) = (ServiceName::try_from("llm").unwrap(), ServiceName::try_from("desk").unwrap());
/// let version = SoftwareVersion::from("v1");
/// assert_ne!(SoftwareTag::new(&llm, &version), SoftwareTag::new(&desk, &version));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareTag(u32);

impl SoftwareTag {
    /// Hashes the name of a service and one of its software versions.
    pub fn new(service: &ServiceName, version: &SoftwareVersion) -> SoftwareTag {
        // A service's name contains no space, so that the text is unambiguous.
        let text = format!("{service} {version}");
        SoftwareTag((xxh3_64(text.as_bytes()) >> 32) as u32)
    }
}
