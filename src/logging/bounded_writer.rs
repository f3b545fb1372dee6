//! A writer that never makes its callers wait.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

/// Log lines that wait to be written; more are dropped and counted.
const MAX_WAITING: usize = 4_096;

/// Pause between two writes, so that lines are written together.
const PAUSE: Duration = Duration::from_millis(40);

/// Log lines that were dropped because the reader of the log was too slow.
const DROPPED_LINES: &str = "dogwoodway_log_lines_dropped_total";

/// Hands whole writes to a thread.
pub(super) struct BoundedWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl BoundedWriter {
    /// Starts a thread that writes to `out`.
    pub(super) fn new<W>(out: W) -> BoundedWriter
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_WAITING);
        thread::spawn(move || write_all(&rx, out));
        BoundedWriter { tx, line: Vec::new() }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        match self.tx.try_send(std::mem::take(&mut self.line)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                metrics::counter!(DROPPED_LINES).increment(1);
                Ok(())
            }
        }
    }
}

fn write_all<W>(rx: &Receiver<Vec<u8>>, mut out: W)
where
    W: Write,
{
    while let Ok(mut lines) = rx.recv() {
        thread::sleep(PAUSE);
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            // Nobody reads the log any more.
            return;
        }
    }
}
