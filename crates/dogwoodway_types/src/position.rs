//! Positions in the logs of a store that may lose its newest records.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::LogOffset;

/// Period between two restorations of a store from a copy.
///
/// A store that is restored from a copy loses the newest records and assigns their offsets again.
/// Each restoration increases the era by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Position of a record in a log. Offsets of different eras are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub struct LogPosition {
    /// Era in which the offset was assigned; `None` if the store states none.
    pub era: Option<StoreEra>,
    /// Offset in the log.
    pub offset: LogOffset,
}

impl LogPosition {
    /// Bits of [`LogPosition::ordinal`] that hold the offset.
    const OFFSET_BITS: u32 = 32;

    /// Returns the position after this one.
    ///
    /// ```
    /// use dogwoodway_types::{LogOffset, LogPosition};
    ///
    /// assert_eq!(LogPosition::default().next().offset, LogOffset(1));
    /// ```
    #[must_use]
    pub fn next(self) -> LogPosition {
        self.after(1)
    }

    /// Returns the position after `records` further records.
    ///
    /// ```
    /// use dogwoodway_types::{LogOffset, LogPosition};
    ///
    /// assert_eq!(LogPosition::default().after(3).offset, LogOffset(3));
    /// ```
    #[must_use]
    pub fn after(self, records: usize) -> LogPosition {
        LogPosition { offset: LogOffset(self.offset.0 + records as u64), ..self }
    }

    /// Returns a number that rises with the offset and with the era: it serves as a fencing token
    /// and to compare what two routers have read. Without an era it is the offset. Valid for
    /// offsets below 2^32; numbers up to era 2^21 are exact in JSON.
    ///
    /// ```
    /// use dogwoodway_types::{LogOffset, LogPosition, StoreEra};
    ///
    /// let position = |era, offset| LogPosition { era, offset: LogOffset(offset) };
    /// assert_eq!(position(None, 7).ordinal(), 7);
    /// assert!(position(Some(StoreEra(2)), 1).ordinal() > position(Some(StoreEra(1)), 9).ordinal());
    /// ```
    pub fn ordinal(self) -> u64 {
        let era = self.era.unwrap_or_default().0;
        (era << LogPosition::OFFSET_BITS).saturating_add(self.offset.0)
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(f, "{} of era {era}", self.offset),
            None => self.offset.fmt(f),
        }
    }
}
