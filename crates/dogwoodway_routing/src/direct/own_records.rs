//! Records of one router that must stay in the shared log.
//!
//! A store that was restored from a copy has lost the newest records. Each router appends only its
//! own lost records again, so that hundreds of routers do not append the same ones.

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

    /// Starts a new era of the store, whose log is read from its start.
    pub fn begin_era(&mut self) {
        for record in &mut self.records {
            record.is_in_log = false;
        }
    }

    /// Marks an own record as present. Must be called for each record read from the log.
    pub fn observe(&mut self, bytes: &[u8]) {
        for record in &mut self.records {
            record.is_in_log |= record.bytes == bytes;
        }
    }

    /// Returns the lost records, to be appended again. Must be called only when the log has been read
    /// to its end.
    pub fn take_missing(&mut self) -> Vec<Vec<u8>> {
        let missing = self.records.iter_mut().filter(|record| !record.is_in_log);
        missing
            .map(|record| {
                record.is_in_log = true;
                record.bytes.clone()
            })
            .collect()
    }

    /// Marks a record as lost, after an append has failed; it is returned by the next
    /// [`OwnRecords::take_missing`].
    pub fn mark_missing(&mut self, bytes: &[u8]) {
        for record in self.records.iter_mut().filter(|record| record.bytes == bytes) {
            record.is_in_log = false;
        }
    }
}
