//! Boundaries of events, in streams that arrive in pieces of any size.

use dogwoodway_http::{EventScanner, EventSplitter};
use proptest::prelude::*;

/// Reads a stream in pieces of the given size and returns the offsets after each event.
fn event_ends(stream: &str, piece_bytes: usize) -> (Vec<usize>, EventScanner) {
    let mut scanner = EventScanner::default();
    let mut ends = Vec::new();
    for (i, piece) in stream.as_bytes().chunks(piece_bytes).enumerate() {
        ends.extend(scanner.scan(piece).map(|end| i * piece_bytes + end));
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
        assert!(scanner.has_events());
    }
}

#[test]
fn every_proper_prefix_of_an_event_is_incomplete() {
    for event in ["id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r"] {
        for length in 1..event.len() {
            let (ends, scanner) = event_ends(&event[..length], 3);
            assert_eq!(ends, [0usize; 0], "{:?}", &event[..length]);
            assert_eq!(scanner.incomplete_bytes(), length);
            assert!(!scanner.has_events());
        }
    }
}

#[test]
fn blank_lines_alone_are_no_event() {
    let (_, scanner) = event_ends("\n\r\n\n", 1);
    assert!(!scanner.has_events());
    assert_eq!(scanner.incomplete_bytes(), 0);
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
            out.extend_from_slice(&splitter.push(piece.to_vec().into()));
            rest = tail;
        }
        let incomplete = splitter.scanner().incomplete_bytes();
        prop_assert_eq!(out.as_slice(), &stream.as_bytes()[..stream.len() - incomplete]);
        let tail = stream.rfind("data").filter(|_| !stream.ends_with('\n'));
        prop_assert_eq!(incomplete, tail.map_or(0, |start| stream.len() - start));
    }
}
