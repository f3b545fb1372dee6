//! Eras of the platform's store, and which of its responses are valid.
//!
//! A store that is restored from a copy loses the newest acknowledged writes and assigns their
//! offsets again. It then starts a new era, which each response states. A late response of an
//! earlier era must not be used.

use std::fmt;

use dogwoodway_types::StoreEra;

/// Why an answer of the store must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraError {
    /// The answer names no era, unlike earlier ones.
    Missing,
    /// The answer is of an earlier era than others before it.
    Outdated {
        /// Era of the answer.
        era: StoreEra,
        /// Newest era known.
        newest: StoreEra,
    },
}

impl fmt::Display for EraError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EraError::Missing => write!(f, "the response states no era of the store"),
            EraError::Outdated { era, newest } => {
                write!(f, "the response is of era {era} of the store, the newest is {newest}")
            }
        }
    }
}

impl std::error::Error for EraError {}

/// Remembers the newest era of a store.
///
/// ```
/// use dogwoodway_routing::direct::store_era::{EraError, EraTracker};
/// use dogwoodway_types::StoreEra;
///
/// let mut eras = EraTracker::default();
/// assert_eq!(eras.admit(None), Ok(false));
/// assert_eq!(eras.admit(Some(StoreEra(3))), Ok(true));
/// assert_eq!(eras.admit(Some(StoreEra(3))), Ok(false));
/// assert_eq!(eras.admit(None), Err(EraError::Missing));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    newest: Option<StoreEra>,
}

impl EraTracker {
    /// Checks whether an answer may be used; `era` is the one that it names. Returns whether a new
    /// era begins with it. A store that never names an era has a single one.
    ///
    /// # Errors
    ///
    /// Fails if the answer is older than others, or names no era although others did.
    pub fn admit(&mut self, era: Option<StoreEra>) -> Result<bool, EraError> {
        match (era, self.newest) {
            (None, None) => Ok(false),
            (None, Some(_)) => Err(EraError::Missing),
            (Some(era), Some(newest)) if era < newest => Err(EraError::Outdated { era, newest }),
            (Some(era), newest) => {
                self.newest = Some(era);
                Ok(newest != Some(era))
            }
        }
    }
}
