//! Each token must reach the caller once and in order, and an answer must be reported as complete
//! only if it is.
//!
//! Engines send events late, crossed, repeated and out of order, and cut streams, which are then
//! resumed. The oracle is the list of expected tokens: what the caller received is always a prefix
//! of it, and equals it if and only if the answer was reported as complete.

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
    /// A token of the current stream.
    Token { index: u64 },
    /// A token of another request's stream or of an earlier stream of this request.
    ForeignToken { stream: u64, index: u64 },
    /// The finish event of the current stream. Its count may be too high.
    Finish { excess_tokens: u64 },
    /// The finish event of another stream.
    ForeignFinish { stream: u64, tokens: u64 },
    /// The connection closes, and the answer is resumed on another stream.
    Cut,
    /// The rest of the answer arrives, with every token repeated and in the order of strides.
    DeliverRest { stride: u64, finish_first: bool },
}

/// The expected answer.
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
            1 => (1..6_u64, proptest::bool::ANY).prop_map(|(stride, finish_first)| Step::DeliverRest {
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
    received: Vec<Arc<str>>,
    reported_complete: bool,
    // Whether the current stream is broken and must be replaced.
    is_broken: bool,
}

impl Caller {
    fn handle_event(&mut self, event: StreamEvent) {
        if self.is_broken {
            return;
        }
        match self.delivery.handle_event(event) {
            Ok(progress) => {
                assert!(!self.reported_complete || progress.tokens.is_empty());
                assert!(!self.reported_complete || progress.finished.is_none());
                self.received.extend(progress.tokens);
                self.reported_complete |= progress.finished.is_some();
            }
            Err(_) => self.is_broken = true,
        }
    }

    fn send_token(&mut self, index: u64) {
        let text = match self.expected.get(index as usize) {
            Some(text) => text.clone(),
            None => "beyond".into(),
        };
        self.handle_event(StreamEvent::Token {
            request_id: stream_name(self.stream),
            index,
            text,
        });
    }

    fn send_finish(&mut self, completion_tokens: u64) {
        self.handle_event(StreamEvent::Finish {
            request_id: stream_name(self.stream),
            completion_tokens,
            reason: "stop".into(),
        });
    }

    fn resume(&mut self) {
        self.stream += 1;
        self.delivery.resume(stream_name(self.stream));
        self.is_broken = false;
    }

    fn deliver_rest(&mut self, stride: u64, finish_first: bool) {
        if self.is_broken {
            self.resume();
        }
        let total = self.expected.len() as u64;
        let first = self.delivery.delivered_tokens();
        if finish_first {
            self.send_finish(total);
        }
        for offset in 0..stride {
            let mut index = first + offset;
            while index < total {
                self.send_token(index);
                self.send_token(index);
                index += stride;
            }
        }
        self.send_finish(total);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Caller;
    type Reference = Machine;

    fn init_test(state: &Answer) -> Caller {
        let expected = (0..state.tokens).map(|n| format!("t{n} ").into()).collect();
        Caller {
            expected,
            // An engine that continues past the end must be detected by the count, not by the
            // maximum.
            delivery: Delivery::new(stream_name(0), MAX_ANSWER_TOKENS + 2),
            stream: 0,
            received: Vec::new(),
            reported_complete: false,
            is_broken: false,
        }
    }

    fn apply(mut caller: Caller, _state: &Answer, step: Step) -> Caller {
        match step {
            // Tokens past the end of the answer come only from a stream that is broken anyway.
            Step::Token { index } if index < caller.expected.len() as u64 => {
                caller.send_token(index)
            }
            Step::Token { .. } => {}
            Step::ForeignToken { stream, index } => {
                let stream = foreign_stream_name(stream, caller.stream);
                caller.handle_event(StreamEvent::Token {
                    request_id: stream,
                    index,
                    text: "foreign".into(),
                });
            }
            Step::Finish { excess_tokens } => {
                caller.send_finish(caller.expected.len() as u64 + excess_tokens);
                // A count that is too high is detected at the end of the stream at the latest.
                if excess_tokens > 0 && !caller.reported_complete && !caller.is_broken {
                    assert!(matches!(
                        caller.delivery.end(),
                        Err(StreamFault::Count { .. })
                    ));
                    caller.resume();
                }
            }
            Step::ForeignFinish { stream, tokens } => {
                let stream = foreign_stream_name(stream, caller.stream);
                caller.handle_event(StreamEvent::Finish {
                    request_id: stream,
                    completion_tokens: tokens,
                    reason: "foreign".into(),
                });
            }
            Step::Cut => {
                assert_eq!(caller.delivery.end().is_ok(), caller.reported_complete);
                caller.resume();
            }
            Step::DeliverRest {
                stride,
                finish_first,
            } => {
                caller.deliver_rest(stride, finish_first);
                assert!(
                    caller.reported_complete,
                    "a stream with all events must complete the answer"
                );
            }
        }
        caller
    }

    fn check_invariants(caller: &Caller, _state: &Answer) {
        assert!(caller.expected.starts_with(&caller.received));
        assert_eq!(
            caller.delivery.delivered_tokens(),
            caller.received.len() as u64
        );
        assert_eq!(caller.delivery.is_complete(), caller.reported_complete);
        if caller.reported_complete {
            assert_eq!(
                caller.received, caller.expected,
                "an incomplete answer was reported as complete"
            );
        }
    }
}

fn stream_name(stream: u64) -> Arc<str> {
    format!("request-{stream}").into()
}

// Returns the name of an earlier stream of this request, or of another request's stream.
fn foreign_stream_name(stream: u64, current: u64) -> Arc<str> {
    if stream < current {
        stream_name(stream)
    } else {
        "another-request".into()
    }
}

prop_state_machine! {
    #![proptest_config(common::config(0x6465_6c69_7665_7279, 512))]

    #[test]
    fn answers_are_complete_and_in_order(sequential 1..80 => Machine);
}
