//! Boundaries of events, in streams that arrive in pieces of any size.

use dogwoodway_http::{BodyFraming, EventScanner, EventSplitter, EventStreamError};
use proptest::prelude::*;

/// Reads a stream in pieces of the given size and returns the offsets after each event.
fn event_ends(stream: &str, piece_bytes: usize) -> (Vec<usize>, EventScanner) {
    let mut scanner = EventScanner::default();
    let mut ends = Vec::new();
    for (i, piece) in stream.as_bytes().chunks(piece_bytes).enumerate() {
        let end = scanner.scan(piece).expect("the events are small");
        ends.extend(end.map(|end| i * piece_bytes + end));
    }
    (ends, scanner)
}

#[test]
fn an_event_ends_with_a_blank_line_whatever_ends_its_lines() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{line_end}data: a{line_end}{line_end}");
        let (ends, scanner) = event_ends(&format!("{event}{event}"), 1);
        let expected = match line_end {
            // The event has ended with the CR; the LF belongs to the same line end.
            "\r\n" => vec![event.len() - 1, event.len(), 2 * event.len() - 1, 2 * event.len()],
            _ => vec![event.len(), 2 * event.len()],
        };
        assert_eq!(ends, expected, "{line_end:?}");
        assert_eq!(scanner.incomplete_bytes(), 0);
        assert_eq!(scanner.check_end(BodyFraming::CloseDelimited), Ok(()));
    }
}

#[test]
fn every_proper_prefix_of_an_event_is_incomplete() {
    for event in ["id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r"] {
        for length in 1..event.len() {
            let (ends, scanner) = event_ends(&event[..length], 3);
            assert_eq!(ends, [0usize; 0], "{:?}", &event[..length]);
            assert_eq!(scanner.incomplete_bytes(), length);
            for framing in [BodyFraming::CloseDelimited, BodyFraming::Chunked, BodyFraming::Length]
            {
                let error = EventStreamError::EndedInsideEvent(length);
                assert_eq!(scanner.check_end(framing), Err(error));
            }
        }
    }
}

#[test]
fn blank_lines_alone_are_no_event() {
    let (_, scanner) = event_ends("\n\r\n\n", 1);
    assert_eq!(scanner.incomplete_bytes(), 0);
    let error = EventStreamError::EndedBeforeFirstEvent;
    assert_eq!(scanner.check_end(BodyFraming::CloseDelimited), Err(error));
    // A stream that continues another one may have nothing left to send.
    assert_eq!(scanner.check_end(BodyFraming::Chunked), Ok(()));
}

#[test]
fn bytes_without_end_are_no_event() {
    let mut splitter = EventSplitter::default();
    let mut received = 0;
    let error = loop {
        match splitter.push(vec![b'x'; 1_000].into()) {
            Ok(out) => assert!(out.is_empty()),
            Err(e) => break e,
        }
        received += 1_000;
    };
    assert_eq!(error, EventStreamError::EventTooLarge);
    assert!(received <= 64 << 10);
}

proptest! {
    #[test]
    fn the_pieces_of_a_stream_do_not_change_its_events(
        stream in "(id: [0-9]{1,3}(\n|\r\n)data: [a-z]{0,9}(\n|\r\n){2}){0,6}(data: [a-z]{1,9})?",
        cuts in prop::collection::vec(1_usize..12, 1..40),
    ) {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = stream.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            let events = splitter.push(piece.to_vec().into());
            out.extend_from_slice(&events.expect("the events are small"));
            rest = tail;
        }
        let incomplete = splitter.scanner().incomplete_bytes();
        prop_assert_eq!(out.as_slice(), &stream.as_bytes()[..stream.len() - incomplete]);
        let tail = stream.rfind("data").filter(|_| !stream.ends_with('\n'));
        prop_assert_eq!(incomplete, tail.map_or(0, |start| stream.len() - start));
    }
}
