//! Checks that answers are assembled correctly from lost, late, duplicate and interleaved frames.

use assert_matches::assert_matches;
use dogwoodway_routing::answer_stream::{AnswerStream, StreamEvent, StreamFault};
use dogwoodway_types::{
    AttemptId, EngineIncarnation, FinishReason, Frame, FrameKind, Token, Usage, WeightsVersion,
};
use proptest::prelude::*;

const MAX_TOKENS: u32 = 6;

/// A network fault before the next frame of the current attempt is delivered.
#[derive(Clone, Copy, Debug)]
enum NetworkFault {
    None,
    /// Delivers an earlier frame of the current attempt again.
    Duplicate(usize),
    /// Delivers a frame of an earlier attempt, given the indices of both.
    Late(usize, usize),
    /// Drops the next frame and delivers the one after it.
    Drop,
}

/// One attempt: the weights version that runs it, the number of frames before it breaks off, and
/// the network fault before each frame.
#[derive(Clone, Debug)]
struct AttemptScript {
    version: u32,
    frames: usize,
    faults: Vec<NetworkFault>,
}

/// Returns all frames that an engine sends for an answer resumed after `resume_after` tokens.
fn engine_frames(version: u32, resume_after: u32) -> Vec<Frame> {
    let started = FrameKind::Started {
        engine: EngineIncarnation(7),
        version: WeightsVersion(version),
        cached_tokens: 10 * version + resume_after,
    };
    let tokens = (resume_after..MAX_TOKENS).map(|index| FrameKind::Token {
        token: Token(100 * version + index),
        text: format!("v{version}-{index} "),
    });
    let completion_tokens = MAX_TOKENS - resume_after;
    let usage = Usage { prompt_tokens: 50, cached_tokens: 3, completion_tokens };
    let end = FrameKind::End { finish: FinishReason::Length, usage };
    let kinds = std::iter::once(started).chain(tokens).chain(std::iter::once(end));
    (0..).zip(kinds).map(|(seq, kind)| Frame { seq, kind }).collect()
}

fn complete_answer(version: u32) -> String {
    (0..MAX_TOKENS).map(|index| format!("v{version}-{index} ")).collect()
}

/// Runs the attempts in turn through `accept` and checks what the caller receives.
fn check<F>(scripts: &[AttemptScript], mut accept: F) -> Result<(), TestCaseError>
where
    F: FnMut(&mut AnswerStream, AttemptId, Frame) -> StreamEvent,
{
    let mut stream = AnswerStream::new(MAX_TOKENS);
    let mut earlier_attempts: Vec<(AttemptId, Vec<Frame>)> = Vec::new();
    let (mut text, mut starts) = (String::new(), 0);
    for (number, script) in scripts.iter().enumerate() {
        let id = AttemptId(number as u128);
        stream.begin_attempt(id);
        let frames = engine_frames(script.version, stream.delivered().len() as u32);
        'attempt: for (i, frame) in frames.iter().take(script.frames).enumerate() {
            let mut arrivals = vec![(id, frame.clone())];
            match script.faults[i] {
                NetworkFault::None => {}
                NetworkFault::Duplicate(j) => arrivals.insert(0, (id, frames[j % (i + 1)].clone())),
                NetworkFault::Late(a, j) if !earlier_attempts.is_empty() => {
                    let (old, frames) = &earlier_attempts[a % earlier_attempts.len()];
                    arrivals.insert(0, (*old, frames[j % frames.len()].clone()));
                }
                NetworkFault::Late(..) => {}
                NetworkFault::Drop => {
                    let next = frames.get(i + 1).map(|next| (id, next.clone()));
                    arrivals = next.into_iter().collect();
                }
            }
            for (attempt, frame) in arrivals {
                match accept(&mut stream, attempt, frame) {
                    StreamEvent::Text(part) => text.push_str(&part),
                    StreamEvent::Started { .. } => starts += 1,
                    StreamEvent::Complete { usage, .. } => {
                        let version = stream.version().map_or(0, |v| v.0);
                        prop_assert_eq!(&text, &complete_answer(version));
                        prop_assert_eq!(usage.completion_tokens, MAX_TOKENS);
                        prop_assert_eq!(usage.prompt_tokens, 50);
                        return Ok(());
                    }
                    StreamEvent::Broken(_) => break 'attempt,
                    _ => {}
                }
                let version = stream.version().map_or(0, |v| v.0);
                prop_assert!(complete_answer(version).starts_with(&text), "{text:?}");
                prop_assert!(starts <= 1);
            }
        }
        earlier_attempts.push((id, frames));
    }
    Ok(())
}

fn scripts() -> impl Strategy<Value = Vec<AttemptScript>> {
    let faults = prop_oneof![
        6 => Just(NetworkFault::None),
        2 => (0..9_usize).prop_map(NetworkFault::Duplicate),
        2 => (0..4_usize, 0..9_usize).prop_map(|(a, j)| NetworkFault::Late(a, j)),
        1 => Just(NetworkFault::Drop),
    ];
    let faults = proptest::collection::vec(faults, 9);
    let version = prop_oneof![3 => Just(1_u32), 1 => Just(2)];
    let script = (version, 0..9_usize, faults);
    let script =
        script.prop_map(|(version, frames, faults)| AttemptScript { version, frames, faults });
    proptest::collection::vec(script, 1..5)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn caller_receives_a_prefix_of_one_answer_and_its_end_only_if_complete(scripts in scripts()) {
        check(&scripts, AnswerStream::accept)?;
    }
}

fn script(version: u32, frames: usize, faults: &[(usize, NetworkFault)]) -> AttemptScript {
    let mut all = vec![NetworkFault::None; 9];
    for (i, fault) in faults {
        all[*i] = *fault;
    }
    AttemptScript { version, frames, faults: all }
}

#[test]
fn check_detects_late_frames_taken_for_the_current_attempt() {
    let scripts = [script(1, 4, &[]), script(1, 9, &[(1, NetworkFault::Late(0, 1))])];
    let accepts_late_frames = |stream: &mut AnswerStream, id: AttemptId, frame: Frame| {
        let current = AttemptId(id.0.max(u128::from(!stream.delivered().is_empty())));
        stream.accept(current, frame)
    };
    assert_matches!(check(&scripts, accepts_late_frames), Err(_));
    check(&scripts, AnswerStream::accept).unwrap();
}

#[test]
fn answer_is_resumed_without_duplicate_or_gap_after_a_loss_at_any_frame() {
    for frames in 0..=8 {
        check(&[script(1, frames, &[]), script(1, 9, &[])], AnswerStream::accept).unwrap();
    }
}

#[test]
fn attempt_on_other_weights_does_not_continue_an_answer() {
    let mut stream = AnswerStream::new(MAX_TOKENS);
    stream.begin_attempt(AttemptId(1));
    for frame in engine_frames(1, 0).into_iter().take(3) {
        stream.accept(AttemptId(1), frame);
    }
    stream.begin_attempt(AttemptId(2));
    let other = engine_frames(2, 2).remove(0);
    let expected = StreamEvent::Broken(StreamFault::VersionMismatch(WeightsVersion(2)));
    assert_eq!(stream.accept(AttemptId(2), other), expected);
}
