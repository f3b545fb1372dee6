//! Reads the state that the log gives.

use std::fmt;

use dogwoodway_follower::{ActiveState, ConfigView};
use dogwoodway_log::{LogError, PlatformLog, StreamName};

/// Most records of one read.
const READ_RECORDS: u32 = 500;

/// The reason why the log gives no state.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The log cannot be read.
    Log(LogError),
    /// The log is empty and was never begun, or was lost and is not restored yet.
    NotBegun,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Log(e) => write!(f, "{e}"),
            ReadError::NotBegun => write!(
                f,
                "the log holds no configuration; running nodes restore a lost one within seconds, \
                 and `publish --init` begins a new deployment"
            ),
        }
    }
}

/// Reads the log to its end.
pub(super) async fn read_state(log: &dyn PlatformLog) -> Result<ActiveState, ReadError> {
    let mut view = ConfigView::default();
    loop {
        let from = view.next_offset();
        let answer = log.read(StreamName::Config, from, READ_RECORDS, 0).await;
        let answer = answer.map_err(ReadError::Log)?;
        view.apply_read(&answer, None);
        if view.next_offset() >= answer.next {
            return view.active().cloned().ok_or(ReadError::NotBegun);
        }
    }
}
