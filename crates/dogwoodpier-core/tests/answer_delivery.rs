//! Each token reaches the caller once and in order, and an answer counts as whole only if it is.
//!
//! Engines send events late, crossed, repeated and out of order, and cut streams; cut ones are
//! resumed. The oracle is the list of expected tokens: what the caller got is always a prefix of
//! it, and the whole of it if and only if the answer was called whole.

mod common;

use std::sync::Arc;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use dogwoodpier_core::delivery::Delivery;
use dogwoodpier_core::delivery::StreamEvent;
use dogwoodpier_core::delivery::StreamFault;

const MAX_ANSWER_TOKENS: u64 = 24;

#[derive(Clone, Debug)]
enum Step {
    /// A token of the stream that is followed.
    Token { index: u64 },
    /// A token that another request's stream or an earlier stream of this request sends.
    ForeignToken { stream: u64, index: u64 },
    /// The finish of the stream that is followed; its count may be too high.
    Finish { excess_tokens: u64 },
    /// The finish of another stream.
    ForeignFinish { stream: u64, tokens: u64 },
    /// The connection ends, and the answer is resumed on another stream.
    Cut,
    /// The rest of the answer arrives, in steps out of order and repeated.
    Rest { stride: u64, finish_first: bool },
}

/// What the world knows of the answer.
#[derive(Clone, Debug)]
struct Answer {
    tokens: u64,
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Answer;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Answer> {
        (0..=MAX_ANSWER_TOKENS)
            .prop_map(|tokens| Answer { tokens })
            .boxed()
    }

    fn transitions(state: &Answer) -> BoxedStrategy<Step> {
        let tokens = state.tokens;
        prop_oneof![
            6 => (0..=tokens + 1).prop_map(|index| Step::Token { index }),
            2 => (0..4_u64, 0..=tokens).prop_map(|(stream, index)| Step::ForeignToken {
                stream,
                index
            }),
            1 => (0..3_u64).prop_map(|excess_tokens| Step::Finish { excess_tokens }),
            1 => (0..4_u64, 0..=tokens).prop_map(|(stream, tokens)| Step::ForeignFinish {
                stream,
                tokens
            }),
            1 => Just(Step::Cut),
            1 => (1..6_u64, proptest::bool::ANY).prop_map(|(stride, finish_first)| Step::Rest {
                stride,
                finish_first
            }),
        ]
        .boxed()
    }

    fn apply(state: Answer, _step: &Step) -> Answer {
        state
    }
}

struct Caller {
    expected: Vec<Arc<str>>,
    delivery: Delivery,
    stream: u64,
    got: Vec<Arc<str>>,
    told_whole: bool,
    // The stream that is followed is broken and must be replaced.
    broken: bool,
}

impl Caller {
    fn take(&mut self, event: StreamEvent) {
        if self.broken {
            return;
        }
        match self.delivery.handle_event(event) {
            Ok(progress) => {
                assert!(!self.told_whole || progress.tokens.is_empty());
                assert!(!self.told_whole || progress.finished.is_none());
                self.got.extend(progress.tokens);
                self.told_whole |= progress.finished.is_some();
            }
            Err(_) => self.broken = true,
        }
    }

    fn token(&mut self, index: u64) {
        let text = match self.expected.get(index as usize) {
            Some(text) => text.clone(),
            None => "beyond".into(),
        };
        self.take(StreamEvent::Token {
            request_id: name(self.stream),
            index,
            text,
        });
    }

    fn finish(&mut self, completion_tokens: u64) {
        self.take(StreamEvent::Finish {
            request_id: name(self.stream),
            completion_tokens,
            reason: "stop".into(),
        });
    }

    fn resume(&mut self) {
        self.stream += 1;
        self.delivery.resume(name(self.stream));
        self.broken = false;
    }

    fn rest(&mut self, stride: u64, finish_first: bool) {
        if self.broken {
            self.resume();
        }
        let total = self.expected.len() as u64;
        let first = self.delivery.delivered_tokens();
        if finish_first {
            self.finish(total);
        }
        for offset in 0..stride {
            let mut index = first + offset;
            while index < total {
                self.token(index);
                self.token(index);
                index += stride;
            }
        }
        self.finish(total);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Caller;
    type Reference = Machine;

    fn init_test(state: &Answer) -> Caller {
        let expected = (0..state.tokens).map(|n| format!("t{n} ").into()).collect();
        Caller {
            expected,
            // An engine that goes on past the end is caught by the count, not by the maximum.
            delivery: Delivery::new(name(0), MAX_ANSWER_TOKENS + 2),
            stream: 0,
            got: Vec::new(),
            told_whole: false,
            broken: false,
        }
    }

    fn apply(mut caller: Caller, _state: &Answer, step: Step) -> Caller {
        match step {
            // Tokens beyond the answer come only from a stream that is broken anyway.
            Step::Token { index } if index < caller.expected.len() as u64 => caller.token(index),
            Step::Token { .. } => {}
            Step::ForeignToken { stream, index } => {
                let stream = foreign(stream, caller.stream);
                caller.take(StreamEvent::Token {
                    request_id: stream,
                    index,
                    text: "foreign".into(),
                });
            }
            Step::Finish { excess_tokens } => {
                caller.finish(caller.expected.len() as u64 + excess_tokens);
                // A count that is too high is found out by the end of the stream at the latest.
                if excess_tokens > 0 && !caller.told_whole && !caller.broken {
                    assert!(matches!(
                        caller.delivery.end(),
                        Err(StreamFault::Count { .. })
                    ));
                    caller.resume();
                }
            }
            Step::ForeignFinish { stream, tokens } => {
                let stream = foreign(stream, caller.stream);
                caller.take(StreamEvent::Finish {
                    request_id: stream,
                    completion_tokens: tokens,
                    reason: "foreign".into(),
                });
            }
            Step::Cut => {
                assert_eq!(caller.delivery.end().is_ok(), caller.told_whole);
                caller.resume();
            }
            Step::Rest {
                stride,
                finish_first,
            } => {
                caller.rest(stride, finish_first);
                assert!(caller.told_whole, "a stream with all events is whole");
            }
        }
        caller
    }

    fn check_invariants(caller: &Caller, _state: &Answer) {
        assert!(caller.expected.starts_with(&caller.got));
        assert_eq!(caller.delivery.delivered_tokens(), caller.got.len() as u64);
        assert_eq!(caller.delivery.is_complete(), caller.told_whole);
        if caller.told_whole {
            assert_eq!(caller.got, caller.expected, "called whole while it is not");
        }
    }
}

fn name(stream: u64) -> Arc<str> {
    format!("request-{stream}").into()
}

// Another request's stream, or an earlier one of this request.
fn foreign(stream: u64, followed: u64) -> Arc<str> {
    if stream < followed {
        name(stream)
    } else {
        "another-request".into()
    }
}

prop_state_machine! {
    #![proptest_config(common::config(0x6465_6c69_7665_7279, 512))]

    #[test]
    fn answers_are_whole_and_in_order(sequential 1..80 => Machine);
}
