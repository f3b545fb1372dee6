//! Records of one router that must be in the shared log, though the store may forget them.
//!
//! After a return of the store from a copy, each router writes those of its own records again that
//! the log has lost, and no others, so that hundreds of routers do not all write the same ones.

use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct OwnRecord {
    bytes: Vec<u8>,
    is_in_log: bool,
}

/// The newest records of this router, and whether the log holds them.
///
/// ```
/// use dogwoodway_routing::direct::own_records::OwnRecords;
///
/// let mut own = OwnRecords::new(8);
/// own.remember(b"started".to_vec());
/// own.remember(b"crashed".to_vec());
/// assert_eq!(own.take_missing(), Vec::<Vec<u8>>::new());
/// own.begin_era();
/// own.observe(b"started");
/// assert_eq!(own.take_missing(), [b"crashed".to_vec()]);
/// ```
#[derive(Clone, Debug)]
pub struct OwnRecords {
    records: VecDeque<OwnRecord>,
    capacity: usize,
}

impl OwnRecords {
    /// Creates a list that holds the newest `capacity` records.
    pub fn new(capacity: usize) -> OwnRecords {
        OwnRecords { records: VecDeque::new(), capacity }
    }

    /// Adds a record that this router has written.
    pub fn remember(&mut self, bytes: Vec<u8>) {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(OwnRecord { bytes, is_in_log: true });
    }

    /// Begins a new era of the store: the log is read again from its start.
    pub fn begin_era(&mut self) {
        for record in &mut self.records {
            record.is_in_log = false;
        }
    }

    /// Notes a record that was read from the log.
    pub fn observe(&mut self, bytes: &[u8]) {
        for record in &mut self.records {
            record.is_in_log |= record.bytes == bytes;
        }
    }

    /// Returns the records that are to be written again. Must be called only when the log has been
    /// read to its end.
    pub fn take_missing(&mut self) -> Vec<Vec<u8>> {
        let missing = self.records.iter_mut().filter(|record| !record.is_in_log);
        missing
            .map(|record| {
                record.is_in_log = true;
                record.bytes.clone()
            })
            .collect()
    }

    /// Notes that a record could not be written again; it is returned by the next
    /// [`OwnRecords::take_missing`].
    pub fn mark_missing(&mut self, bytes: &[u8]) {
        for record in self.records.iter_mut().filter(|record| record.bytes == bytes) {
            record.is_in_log = false;
        }
    }
}
