//! Answers put together from lost, late, repeated and crossed frames.

use assert_matches::assert_matches;
use dogwoodway_routing::answer_stream::{AnswerStream, StreamEvent, StreamFault};
use dogwoodway_types::{
    AttemptId, EngineIncarnation, FinishReason, Frame, FrameKind, Token, Usage, WeightsVersion,
};
use proptest::prelude::*;

const MAX_TOKENS: u32 = 6;

/// What the network does before it hands over the next frame of the current attempt.
#[derive(Clone, Copy, Debug)]
enum Noise {
    Nothing,
    /// Repeats a frame of the current attempt.
    Repeat(usize),
    /// Hands over a frame of a left attempt.
    Late(usize, usize),
    /// Loses the frame that is due.
    Lose,
}

/// One attempt: the weights that run it, and the frames that come until it is lost.
#[derive(Clone, Debug)]
struct Script {
    version: u32,
    frames: usize,
    noise: Vec<Noise>,
}

/// All frames that an engine sends for an answer that goes on after `resumed` tokens.
fn engine_frames(version: u32, resumed: u32) -> Vec<Frame> {
    let started = FrameKind::Started {
        engine: EngineIncarnation(7),
        version: WeightsVersion(version),
        cached_tokens: 10 * version + resumed,
    };
    let tokens = (resumed..MAX_TOKENS).map(|index| FrameKind::Token {
        token: Token(100 * version + index),
        text: format!("v{version}-{index} "),
    });
    let completion_tokens = MAX_TOKENS - resumed;
    let usage = Usage { prompt_tokens: 50, cached_tokens: 3, completion_tokens };
    let end = FrameKind::End { finish: FinishReason::Length, usage };
    let kinds = std::iter::once(started).chain(tokens).chain(std::iter::once(end));
    (0..).zip(kinds).map(|(seq, kind)| Frame { seq, kind }).collect()
}

fn whole_answer(version: u32) -> String {
    (0..MAX_TOKENS).map(|index| format!("v{version}-{index} ")).collect()
}

/// Runs the scripts one after the other through `accept` and checks what the caller sees.
fn check<F>(scripts: &[Script], mut accept: F) -> Result<(), TestCaseError>
where
    F: FnMut(&mut AnswerStream, AttemptId, Frame) -> StreamEvent,
{
    let mut stream = AnswerStream::new(MAX_TOKENS);
    let mut left: Vec<(AttemptId, Vec<Frame>)> = Vec::new();
    let (mut text, mut starts) = (String::new(), 0);
    for (number, script) in scripts.iter().enumerate() {
        let id = AttemptId(number as u128);
        stream.begin_attempt(id);
        let frames = engine_frames(script.version, stream.delivered().len() as u32);
        'attempt: for (i, frame) in frames.iter().take(script.frames).enumerate() {
            let mut arrivals = vec![(id, frame.clone())];
            match script.noise[i] {
                Noise::Nothing => {}
                Noise::Repeat(j) => arrivals.insert(0, (id, frames[j % (i + 1)].clone())),
                Noise::Late(a, j) if !left.is_empty() => {
                    let (old, frames) = &left[a % left.len()];
                    arrivals.insert(0, (*old, frames[j % frames.len()].clone()));
                }
                Noise::Late(..) => {}
                Noise::Lose => {
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
                        prop_assert_eq!(&text, &whole_answer(version));
                        prop_assert_eq!(usage.completion_tokens, MAX_TOKENS);
                        prop_assert_eq!(usage.prompt_tokens, 50);
                        return Ok(());
                    }
                    StreamEvent::Broken(_) => break 'attempt,
                    _ => {}
                }
                let version = stream.version().map_or(0, |v| v.0);
                prop_assert!(whole_answer(version).starts_with(&text), "{text:?}");
                prop_assert!(starts <= 1);
            }
        }
        left.push((id, frames));
    }
    Ok(())
}

fn scripts() -> impl Strategy<Value = Vec<Script>> {
    let noise = prop_oneof![
        6 => Just(Noise::Nothing),
        2 => (0..9_usize).prop_map(Noise::Repeat),
        2 => (0..4_usize, 0..9_usize).prop_map(|(a, j)| Noise::Late(a, j)),
        1 => Just(Noise::Lose),
    ];
    let noise = proptest::collection::vec(noise, 9);
    let version = prop_oneof![3 => Just(1_u32), 1 => Just(2)];
    let script = (version, 0..9_usize, noise);
    let script = script.prop_map(|(version, frames, noise)| Script { version, frames, noise });
    proptest::collection::vec(script, 1..5)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_caller_sees_a_prefix_of_one_answer_and_its_end_only_when_whole(scripts in scripts()) {
        check(&scripts, AnswerStream::accept)?;
    }
}

fn script(version: u32, frames: usize, noise: &[(usize, Noise)]) -> Script {
    let mut all = vec![Noise::Nothing; 9];
    for (i, n) in noise {
        all[*i] = *n;
    }
    Script { version, frames, noise: all }
}

#[test]
fn the_check_catches_late_frames_that_are_taken_for_the_current_attempt() {
    let scripts = [script(1, 4, &[]), script(1, 9, &[(1, Noise::Late(0, 1))])];
    let planted = |stream: &mut AnswerStream, id: AttemptId, frame: Frame| {
        let current = AttemptId(id.0.max(u128::from(!stream.delivered().is_empty())));
        stream.accept(current, frame)
    };
    assert_matches!(check(&scripts, planted), Err(_));
    check(&scripts, AnswerStream::accept).unwrap();
}

#[test]
fn every_single_loss_point_is_resumed_without_duplicate_or_gap() {
    for frames in 0..=8 {
        check(&[script(1, frames, &[]), script(1, 9, &[])], AnswerStream::accept).unwrap();
    }
}

#[test]
fn other_weights_never_continue_an_answer() {
    let mut stream = AnswerStream::new(MAX_TOKENS);
    stream.begin_attempt(AttemptId(1));
    for frame in engine_frames(1, 0).into_iter().take(3) {
        stream.accept(AttemptId(1), frame);
    }
    stream.begin_attempt(AttemptId(2));
    let other = engine_frames(2, 2).remove(0);
    let wanted = StreamEvent::Broken(StreamFault::VersionMismatch(WeightsVersion(2)));
    assert_eq!(stream.accept(AttemptId(2), other), wanted);
}
