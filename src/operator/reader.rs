//! Reads the configuration state from the log.

use std::fmt;

use dogwoodway_follower::{ActiveState, ConfigView};
use dogwoodway_log::{LogError, PlatformLog, StreamName};

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// Reason why the configuration state cannot be read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The log cannot be read.
    Log(LogError),
    /// No deployment was started on the log, or the log was lost and is not restored yet.
    NoConfiguration,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Log(e) => write!(f, "{e}"),
            ReadError::NoConfiguration => write!(
                f,
                "the log has no configuration; running nodes restore a lost one within seconds, \
                 and `publish --init` starts a new deployment"
            ),
        }
    }
}

/// Reads the log to its end and returns the state that results.
pub(super) async fn read_state(log: &dyn PlatformLog) -> Result<ActiveState, ReadError> {
    let mut view = ConfigView::default();
    loop {
        let from = view.next_offset();
        let response = log.read(StreamName::Config, from, MAX_READ_RECORDS, 0).await;
        let response = response.map_err(ReadError::Log)?;
        view.apply_read(&response, None);
        if view.next_offset() >= response.next {
            return view.active().cloned().ok_or(ReadError::NoConfiguration);
        }
    }
}
