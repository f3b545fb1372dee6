//! Boundaries of events, in streams that arrive in pieces of any size.

use dogwoodway_http::{BodyFraming, EventScanner, EventSplitter, EventStreamError, StreamPosition};
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
        let (ends, scanner) = event_ends(&format!("{event}{}", event.replace('1', "2")), 1);
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

#[test]
fn an_event_whose_id_does_not_increase_is_refused() {
    let events = |ids: &[&str]| {
        let events = ids.iter().map(|id| format!("id: {id}\ndata: a\n\n"));
        events.collect::<String>()
    };
    for (last_id, ids, refused) in [
        (None, &["1", "2", "9"][..], None),
        (None, &["9", "10"], None),
        (None, &["b", "a"], None),
        (None, &["1", "1"], Some(("1", "1"))),
        (None, &["10", "9"], Some(("10", "9"))),
        (None, &["a", "a"], Some(("a", "a"))),
        (Some("3"), &["4"], None),
        (Some("3"), &["3"], Some(("3", "3"))),
        (Some("3"), &["1"], Some(("3", "1"))),
    ] {
        let mut scanner = EventScanner::after(last_id.map(str::to_owned));
        let expected = refused.map(|(last, next)| EventStreamError::IdNotIncreasing {
            last: last.to_owned(),
            next: next.to_owned(),
        });
        assert_eq!(scanner.scan(events(ids).as_bytes()).err(), expected, "{last_id:?} {ids:?}");
    }
}

#[test]
fn the_head_of_a_second_response_is_no_event() {
    let events = "id: 1\ndata: HTTP/1.1 200 OK\nHTTP/1.1 200\n\n";
    for piece_bytes in [1, 5, 64] {
        let stream = format!("{events}HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n");
        let mut scanner = EventScanner::default();
        let mut pieces = stream.as_bytes().chunks(piece_bytes).map(|piece| scanner.scan(piece));
        let error = pieces.find_map(Result::err);
        assert_eq!(error, Some(EventStreamError::SecondResponse));
        let (ends, _) = event_ends(events, piece_bytes);
        assert_eq!(ends.last(), Some(&events.len()));
    }
}

#[test]
fn the_position_after_an_event_without_an_id_is_unknown() {
    let after = |id: &str| StreamPosition::After(id.to_owned());
    for (stream, expected) in [
        ("", StreamPosition::Start),
        (": comment\n\nretry: 10\n\n", StreamPosition::Start),
        ("data: a\n\n", StreamPosition::Unknown),
        ("id: 1\ndata: a\n\n", after("1")),
        ("id: 1\nid: 2\ndata: a\n\n", after("2")),
        ("id: 1\ndata: a\n\n: comment\n\n", after("1")),
        ("id: 1\ndata: a\n\nid: 2\ndata", after("1")),
        ("id: 1\ndata: a\n\ndata: b\n\n", StreamPosition::Unknown),
        ("id: 1\ndata: a\n\nid\ndata: b\n\n", StreamPosition::Unknown),
        ("id: 1\ndata: a\n\nid:\ndata: b\n\n", StreamPosition::Unknown),
        ("id: 1\ndata: a\n\nid: \0\ndata: b\n\n", StreamPosition::Unknown),
        ("data: a\n\nid: 1\ndata: b\n\n", after("1")),
    ] {
        let mut scanner = EventScanner::default();
        scanner.scan(stream.as_bytes()).expect("the ids increase");
        assert_eq!(scanner.position(), &expected, "{stream:?}");
    }
}

#[test]
fn a_continued_stream_starts_after_the_last_event_that_was_returned() {
    let mut splitter = EventSplitter::after(Some("2".to_owned()));
    assert_eq!(
        splitter.push("id: 3\ndata: a\n\nid: 4\nda".into()),
        Ok("id: 3\ndata: a\n\n".into())
    );
    assert_eq!(splitter.restart(), StreamPosition::After("3".to_owned()));
    assert_eq!(splitter.push("id: 4\ndata: b\n\n".into()), Ok("id: 4\ndata: b\n\n".into()));
    assert!(splitter.push("id: 5\ndata: c\n\nid: 4\ndata: b\n\n".into()).is_err());
    // Nothing of the refused bytes was returned.
    assert_eq!(splitter.restart(), StreamPosition::After("4".to_owned()));
}

#[test]
fn a_line_end_that_breaks_off_after_its_cr_is_completed() {
    let (first, second) = ("id: 1\r\ndata: a\r\n\r", "id: 2\r\ndata: b\r\n\r\n");
    let mut splitter = EventSplitter::default();
    let mut out = splitter.push(first.into()).expect("an event").to_vec();
    splitter.restart();
    for piece in second.as_bytes().chunks(4) {
        out.extend_from_slice(&splitter.push(piece.to_vec().into()).expect("an event"));
    }
    assert_eq!(String::from_utf8_lossy(&out), format!("{first}\n{second}"));
}

/// What a reader of the whole stream finds.
struct Reference {
    /// Offset after the last event before the first that is refused.
    end: usize,
    last_id: Option<String>,
    position: StreamPosition,
    is_refused: bool,
}

/// Reads a stream at once, line by line.
fn read_at_once(stream: &str) -> Reference {
    let position = StreamPosition::Start;
    let mut reference = Reference { end: 0, last_id: None, position, is_refused: false };
    let (mut id, mut has_content, mut start) = (String::new(), false, 0);
    while let Some(length) = stream[start..].find(['\r', '\n']) {
        let (line, rest) = stream[start..].split_at(length);
        let end_length = if rest.starts_with("\r\n") { 2 } else { 1 };
        start += length + end_length;
        if let Some(value) = line.strip_prefix("id:") {
            id = value.trim().to_owned();
        }
        has_content |= line.starts_with("data") || line.starts_with('i') && !line.starts_with("id");
        if !line.is_empty() {
            continue;
        }
        let (next, has_content) = (std::mem::take(&mut id), std::mem::take(&mut has_content));
        if next.is_empty() && has_content {
            reference.position = StreamPosition::Unknown;
        }
        if !next.is_empty() {
            let numbers = reference.last_id.as_ref().map(|last| (last.parse(), next.parse()));
            let is_refused = match numbers {
                Some((Ok::<u64, _>(last), Ok::<u64, _>(next))) => next <= last,
                Some(_) => reference.last_id.as_ref() == Some(&next),
                None => false,
            };
            if is_refused {
                reference.is_refused = true;
                return reference;
            }
            reference.position = StreamPosition::After(next.clone());
            reference.last_id = Some(next);
        }
        reference.end = start;
    }
    reference
}

proptest! {
    #[test]
    fn a_stream_in_pieces_has_the_events_of_the_whole_stream(
        stream in "(id: ?[0-9a]{0,2}(\n|\r|\r\n)|data: [a-z]{0,3}(\n|\r|\r\n)|:x\n|i|(\n|\r|\r\n)){0,24}",
        cuts in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let reference = read_at_once(&stream);
        let mut splitter = EventSplitter::default();
        let (mut out, mut rest, mut is_refused) = (Vec::new(), stream.as_bytes(), false);
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            match splitter.push(piece.to_vec().into()) {
                Ok(events) => out.extend_from_slice(&events),
                Err(_) => {
                    is_refused = true;
                    break;
                }
            }
            rest = tail;
        }
        prop_assert_eq!(is_refused, reference.is_refused);
        match is_refused {
            // Events that arrived in one piece with the refused one are not returned.
            true => prop_assert!(stream.as_bytes()[..reference.end].starts_with(&out)),
            false => prop_assert_eq!(&out, &stream.as_bytes()[..reference.end]),
        }
        if out.len() == reference.end {
            prop_assert_eq!(splitter.restart(), reference.position);
        }
    }

    #[test]
    fn the_pieces_of_a_stream_do_not_change_its_events(
        events in prop::collection::vec("data: [a-z]{0,9}(\n|\r\n){2}", 0..6),
        tail in "(data: [a-z]{1,9})?",
        cuts in prop::collection::vec(1_usize..12, 1..40),
    ) {
        let events = events.iter().enumerate();
        let stream = events.map(|(n, event)| format!("id: {n}\n{event}")).collect::<String>() + &tail;
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
