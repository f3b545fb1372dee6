//! Questions to all other routers which software they have listed.
//!
//! While the store does not answer, a router cannot tell whether its list of servers is current, and a
//! stream may have begun at a server that it does not know. But only a router that has listed a server
//! sends requests to it. So if all routers have listed one version alone, the stream began at that one,
//! however old their lists are.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::direct::software::SoftwareTag;

/// One question to all other routers, and their answers.
///
/// ```
/// use dogwoodway_routing::direct::{software::SoftwareTag, software_survey::SoftwareSurvey};
/// use dogwoodway_types::{ServiceName, SoftwareVersion};
///
/// let service = ServiceName::try_from("llm").unwrap();
/// let v1 = SoftwareTag::new(&service, &SoftwareVersion::from("v1"));
/// let routers = ["10.0.0.1:7340", "10.0.0.2:7340"].map(|text| text.parse().unwrap());
/// let mut survey = SoftwareSurvey::default();
/// survey.begin(routers);
/// survey.record(routers[0], Some(v1));
/// assert_eq!(survey.to_ask(), [routers[1]]);
/// assert_eq!(survey.sole(), None);
/// survey.record(routers[1], Some(v1));
/// assert_eq!(survey.sole(), Some(v1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SoftwareSurvey {
    /// Absent until the survey has begun.
    asked: Option<BTreeSet<SocketAddr>>,
    /// The only version that each router has listed; empty if there were several, or if it has not
    /// followed the list for long enough.
    answers: BTreeMap<SocketAddr, Option<SoftwareTag>>,
}

impl SoftwareSurvey {
    /// Asks these routers, unless the survey has begun. They must be all that may have begun a stream
    /// that a client may still take up, those that are silent included.
    pub fn begin<I>(&mut self, routers: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        self.asked.get_or_insert_with(|| routers.into_iter().collect());
    }

    /// Returns the routers that have not answered.
    pub fn to_ask(&self) -> Vec<SocketAddr> {
        let asked = self.asked.iter().flatten();
        asked.filter(|router| !self.answers.contains_key(router)).copied().collect()
    }

    /// Records the answer of a router.
    pub fn record(&mut self, router: SocketAddr, sole: Option<SoftwareTag>) {
        self.answers.insert(router, sole);
    }

    /// Returns whether further answers change nothing.
    pub fn is_decided(&self) -> bool {
        let is_contradicted = self.answers.values().any(Option::is_none);
        self.asked.is_some() && (is_contradicted || self.to_ask().is_empty())
    }

    /// Returns the only version that all routers have listed. There is none if a router has not
    /// answered, or if there is no other one: a router that hears nobody may be cut off from all.
    pub fn sole(&self) -> Option<SoftwareTag> {
        let asked = self.asked.as_ref()?;
        let mut answers = asked.iter().map(|router| self.answers.get(router).copied().flatten());
        let first = answers.next()??;
        answers.all(|answer| answer == Some(first)).then_some(first)
    }
}
