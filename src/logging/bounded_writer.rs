//! Writer that never blocks its callers: lines are queued for a thread, and dropped if the queue is
//! full.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::Duration,
};

/// Maximum number of queued log lines; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Delay before each write, so that several lines are written at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);

/// Counter of log lines that were dropped because the output did not accept them fast enough.
const DROPPED_LINES: &str = "dogwoodway_log_lines_dropped_total";

/// Buffers a line until it is flushed and then queues it for the writer thread.
pub(super) struct BoundedWriter {
    tx: SyncSender<Vec<u8>>,
    /// The line written so far.
    line: Vec<u8>,
}

impl BoundedWriter {
    /// Starts the thread that writes to `out`.
    pub(super) fn new<W>(out: W) -> BoundedWriter
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
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
        thread::sleep(WRITE_INTERVAL);
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            // The reading end of the output was closed.
            return;
        }
    }
}
