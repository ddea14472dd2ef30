//! Assembles one answer from the events of one or more decode streams.
//!
//! Events are matched by request id and index, never by order of arrival. Each token is delivered
//! once and in order. An answer is complete only after a finish event whose token count was
//! delivered.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

/// Maximum number of tokens that are buffered ahead of a missing one. If more arrive, the stream is
/// considered broken.
pub const REORDER_WINDOW_TOKENS: usize = 64;

/// An event of a decode stream.
#[plain]
pub enum StreamEvent {
    /// One output token.
    Token {
        /// Id of the stream that the event belongs to.
        request_id: Arc<str>,
        /// Index of the token in the whole answer, from zero.
        index: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The end of a complete answer.
    Finish {
        /// Id of the stream that the event belongs to.
        request_id: Arc<str>,
        /// Number of tokens of the whole answer.
        completion_tokens: u64,
        /// Reason for which the answer ends.
        reason: Arc<str>,
    },
}

/// The result of an event.
#[plain]
#[derive(Default)]
pub struct Progress {
    /// Tokens to hand to the caller now, in order.
    pub tokens: Vec<Arc<str>>,
    /// Reason for which the answer ended, if it is complete now.
    pub finished: Option<Arc<str>>,
}

/// Fault that makes a stream unusable. The answer may be resumed on another stream.
#[plain]
#[derive(Copy, Eq, thiserror::Error)]
pub enum StreamFault {
    /// A token is missing, and later ones exceed [`REORDER_WINDOW_TOKENS`].
    #[error("token {index} is missing")]
    Gap {
        /// Index of the first missing token.
        index: u64,
    },
    /// The stream ended before the answer was complete.
    #[error("the stream ended after {delivered_tokens} tokens without a whole answer")]
    Cut {
        /// Number of tokens delivered.
        delivered_tokens: u64,
    },
    /// The token count of the finish event doesn't match the tokens.
    #[error("the stream announced {announced_tokens} tokens but sent {sent_tokens}")]
    Count {
        /// Number of tokens according to the finish event.
        announced_tokens: u64,
        /// Number of tokens delivered.
        sent_tokens: u64,
    },
    /// The stream exceeds the requested maximum number of tokens.
    #[error("the stream went past {max_tokens} tokens")]
    TooLong {
        /// Requested maximum number of tokens.
        max_tokens: u64,
    },
}

/// One answer that is being delivered to its caller.
#[derive(Debug)]
pub struct Delivery {
    request_id: Arc<str>,
    max_tokens: u64,
    delivered: Vec<Arc<str>>,
    out_of_order: BTreeMap<u64, Arc<str>>,
    announced: Option<FinishAnnouncement>,
    is_complete: bool,
    ignored_events: u64,
}

#[plain]
struct FinishAnnouncement {
    completion_tokens: u64,
    reason: Arc<str>,
}

impl Delivery {
    /// Returns an answer without tokens that accepts events of the stream `request_id`.
    pub fn new(request_id: Arc<str>, max_tokens: u64) -> Self {
        Self {
            request_id,
            max_tokens,
            delivered: Vec::new(),
            out_of_order: BTreeMap::new(),
            announced: None,
            is_complete: false,
            ignored_events: 0,
        }
    }

    /// Switches to another stream, which must begin at [`Delivery::delivered_tokens`].
    /// Events of earlier streams are ignored.
    pub fn resume(&mut self, request_id: Arc<str>) {
        self.request_id = request_id;
        self.out_of_order.clear();
        self.announced = None;
    }

    /// Handles an event.
    pub fn handle_event(&mut self, event: StreamEvent) -> Result<Progress, StreamFault> {
        match event {
            StreamEvent::Token {
                request_id,
                index,
                text,
            } => self.handle_token(&request_id, index, text),
            StreamEvent::Finish {
                request_id,
                completion_tokens,
                reason,
            } => self.handle_finish(&request_id, completion_tokens, reason),
        }
    }

    /// Handles the end of the stream. Returns an error unless the answer is complete.
    pub fn end(&self) -> Result<(), StreamFault> {
        if self.is_complete {
            return Ok(());
        }
        match &self.announced {
            Some(announced) => Err(self.count_fault(announced.completion_tokens)),
            None => Err(StreamFault::Cut {
                delivered_tokens: self.delivered_tokens(),
            }),
        }
    }

    /// Returns the number of tokens delivered.
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered.len() as u64
    }

    /// Returns the text delivered so far.
    pub fn delivered_text(&self) -> String {
        self.delivered.concat()
    }

    /// Returns whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the number of events that were repeated or belonged to another stream.
    pub fn ignored_events(&self) -> u64 {
        self.ignored_events
    }

    fn handle_token(
        &mut self,
        request_id: &str,
        index: u64,
        text: Arc<str>,
    ) -> Result<Progress, StreamFault> {
        if !self.accepts(request_id) || index < self.delivered_tokens() {
            self.ignored_events += 1;
            return Ok(Progress::default());
        }
        if index >= self.max_tokens {
            return Err(StreamFault::TooLong {
                max_tokens: self.max_tokens,
            });
        }
        // If a token arrives twice, the first copy is kept.
        self.out_of_order.entry(index).or_insert(text);
        let tokens = self.drain_in_order();
        if self.out_of_order.len() > REORDER_WINDOW_TOKENS {
            return Err(StreamFault::Gap {
                index: self.delivered_tokens(),
            });
        }
        self.progress(tokens)
    }

    fn handle_finish(
        &mut self,
        request_id: &str,
        completion_tokens: u64,
        reason: Arc<str>,
    ) -> Result<Progress, StreamFault> {
        if !self.accepts(request_id) {
            self.ignored_events += 1;
            return Ok(Progress::default());
        }
        if completion_tokens > self.max_tokens {
            return Err(StreamFault::TooLong {
                max_tokens: self.max_tokens,
            });
        }
        match &self.announced {
            Some(known) if known.completion_tokens != completion_tokens => {
                return Err(self.count_fault(completion_tokens));
            }
            Some(_) => self.ignored_events += 1,
            None => {
                self.announced = Some(FinishAnnouncement {
                    completion_tokens,
                    reason,
                });
            }
        }
        self.progress(Vec::new())
    }

    // Returns whether events of a stream are accepted. After the answer is complete, none are.
    fn accepts(&self, request_id: &str) -> bool {
        !self.is_complete && *self.request_id == *request_id
    }

    fn drain_in_order(&mut self) -> Vec<Arc<str>> {
        let mut tokens = Vec::new();
        while let Some(text) = self.out_of_order.remove(&self.delivered_tokens()) {
            self.delivered.push(text.clone());
            tokens.push(text);
        }
        tokens
    }

    fn progress(&mut self, tokens: Vec<Arc<str>>) -> Result<Progress, StreamFault> {
        let Some(announced) = &self.announced else {
            return Ok(Progress {
                tokens,
                finished: None,
            });
        };
        let received_tokens = self
            .out_of_order
            .last_key_value()
            .map_or(self.delivered_tokens(), |(index, _)| index + 1);
        if received_tokens > announced.completion_tokens {
            return Err(self.count_fault(announced.completion_tokens));
        }
        self.is_complete = self.delivered_tokens() == announced.completion_tokens;
        Ok(Progress {
            tokens,
            finished: self.is_complete.then(|| announced.reason.clone()),
        })
    }

    fn count_fault(&self, announced_tokens: u64) -> StreamFault {
        StreamFault::Count {
            announced_tokens,
            sent_tokens: self.delivered_tokens(),
        }
    }
}
