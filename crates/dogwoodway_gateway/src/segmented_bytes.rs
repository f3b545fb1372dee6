//! Bodies of requests, in memory that grows by exactly what was reserved for it.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

/// Size of a segment, in bytes. A contiguous buffer of unknown final length would be moved as it grows:
/// its capacity is up to twice its length, and the allocator keeps the holes that it leaves. Segments
/// of one size reuse each other's memory.
pub(crate) const SEGMENT_BYTES: usize = 64 << 10;

/// Bytes in segments, of which all but the last are full.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentedBytes(Arc<[Bytes]>);

impl SegmentedBytes {
    /// Returns the segments, none of which is empty.
    pub(crate) fn segments(&self) -> &[Bytes] {
        &self.0
    }
}

/// Bytes that are still being received.
#[derive(Debug, Default)]
pub(crate) struct SegmentedBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
}

impl SegmentedBuffer {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes. Segments are allocated when they are needed; that of the end of a body of
    /// `expected_len` bytes has only the size needed.
    pub(crate) fn extend(&mut self, mut data: &[u8], expected_len: Option<usize>) {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.end_segment();
                let missing =
                    expected_len.map_or(SEGMENT_BYTES, |len| len.saturating_sub(self.len));
                self.last = BytesMut::with_capacity(missing.clamp(1, SEGMENT_BYTES));
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            data = later;
        }
    }

    pub(crate) fn finish(mut self) -> SegmentedBytes {
        self.end_segment();
        SegmentedBytes(self.full.into())
    }

    fn end_segment(&mut self) {
        if !self.last.is_empty() {
            self.full.push(std::mem::take(&mut self.last).freeze());
        }
    }
}

/// A body that sends segments.
#[derive(Debug)]
pub(crate) struct SegmentedBody {
    bytes: SegmentedBytes,
    next: usize,
}

impl SegmentedBody {
    pub(crate) fn new(bytes: SegmentedBytes) -> SegmentedBody {
        SegmentedBody { bytes, next: 0 }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.bytes.0.get(self.next).cloned();
        self.next += 1;
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.next >= self.bytes.0.len()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.bytes.0.iter().skip(self.next);
        SizeHint::with_exact(left.map(|segment| segment.len() as u64).sum())
    }
}
