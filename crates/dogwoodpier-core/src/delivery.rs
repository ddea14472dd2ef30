//! Assembles one answer from the events of one or more decode streams.
//!
//! Events are matched by request id and index, never by order of arrival. Each token is handed on
//! once and in order. An answer is whole only with a finish event whose count is met.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

/// Tokens that may arrive ahead of their turn before a stream counts as broken.
pub const EARLY_WINDOW_TOKENS: usize = 64;

/// An event of a decode stream.
#[plain]
pub enum StreamEvent {
    /// One output token.
    Token {
        /// Id of the stream that the event belongs to.
        request_id: Arc<str>,
        /// Place in the whole answer, from zero.
        index: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The end of a whole answer.
    Finish {
        /// Id of the stream that the event belongs to.
        request_id: Arc<str>,
        /// Tokens of the whole answer.
        completion_tokens: u64,
        /// Why the answer ends.
        reason: Arc<str>,
    },
}

/// What an event brought.
#[plain]
#[derive(Default)]
pub struct Progress {
    /// Tokens to hand to the caller now, in order.
    pub tokens: Vec<Arc<str>>,
    /// Why the answer ended, if it is whole now.
    pub finished: Option<Arc<str>>,
}

/// Why a stream can't go on. The answer may be resumed on another stream.
#[plain]
#[derive(Copy, Eq, thiserror::Error)]
pub enum StreamFault {
    /// A token is missing: later ones filled the window.
    #[error("token {index} is missing")]
    Gap {
        /// First missing token.
        index: u64,
    },
    /// The stream ended before the answer was whole.
    #[error("the stream ended after {delivered_tokens} tokens without a whole answer")]
    Cut {
        /// Tokens handed on.
        delivered_tokens: u64,
    },
    /// The finish event's count contradicts the tokens.
    #[error("the stream announced {announced_tokens} tokens but sent {sent_tokens}")]
    Count {
        /// Tokens according to the finish event.
        announced_tokens: u64,
        /// Tokens seen.
        sent_tokens: u64,
    },
    /// The stream went on past the most tokens asked for.
    #[error("the stream went past {max_tokens} tokens")]
    TooLong {
        /// Most tokens asked for.
        max_tokens: u64,
    },
}

/// One answer on its way to its caller.
#[derive(Debug)]
pub struct Delivery {
    request_id: Arc<str>,
    max_tokens: u64,
    delivered: Vec<Arc<str>>,
    early: BTreeMap<u64, Arc<str>>,
    announced: Option<Announced>,
    whole: bool,
    ignored_events: u64,
}

#[plain]
struct Announced {
    completion_tokens: u64,
    reason: Arc<str>,
}

impl Delivery {
    /// Returns an answer without tokens that follows the stream `request_id`.
    pub fn new(request_id: Arc<str>, max_tokens: u64) -> Self {
        Self {
            request_id,
            max_tokens,
            delivered: Vec::new(),
            early: BTreeMap::new(),
            announced: None,
            whole: false,
            ignored_events: 0,
        }
    }

    /// Follows another stream from now on, which must begin at [`Delivery::delivered_tokens`].
    /// Events of earlier streams are ignored.
    pub fn resume(&mut self, request_id: Arc<str>) {
        self.request_id = request_id;
        self.early.clear();
        self.announced = None;
    }

    /// Takes in an event.
    pub fn handle_event(&mut self, event: StreamEvent) -> Result<Progress, StreamFault> {
        match event {
            StreamEvent::Token {
                request_id,
                index,
                text,
            } => self.take_token(&request_id, index, text),
            StreamEvent::Finish {
                request_id,
                completion_tokens,
                reason,
            } => self.take_finish(&request_id, completion_tokens, reason),
        }
    }

    /// Takes in the end of the stream. An answer that is not whole by then was cut.
    pub fn end(&self) -> Result<(), StreamFault> {
        if self.whole {
            return Ok(());
        }
        match &self.announced {
            Some(announced) => Err(self.count_fault(announced.completion_tokens)),
            None => Err(StreamFault::Cut {
                delivered_tokens: self.delivered_tokens(),
            }),
        }
    }

    /// Returns the number of tokens handed on.
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered.len() as u64
    }

    /// Returns the text handed on.
    pub fn delivered_text(&self) -> String {
        self.delivered.concat()
    }

    /// Returns true once the answer is whole.
    pub fn is_complete(&self) -> bool {
        self.whole
    }

    /// Returns the number of events that were repeated or belonged to another stream.
    pub fn ignored_events(&self) -> u64 {
        self.ignored_events
    }

    fn take_token(
        &mut self,
        request_id: &str,
        index: u64,
        text: Arc<str>,
    ) -> Result<Progress, StreamFault> {
        if !self.follows(request_id) || index < self.delivered_tokens() {
            self.ignored_events += 1;
            return Ok(Progress::default());
        }
        if index >= self.max_tokens {
            return Err(StreamFault::TooLong {
                max_tokens: self.max_tokens,
            });
        }
        // The first copy of a token counts.
        self.early.entry(index).or_insert(text);
        let tokens = self.drain_early();
        if self.early.len() > EARLY_WINDOW_TOKENS {
            return Err(StreamFault::Gap {
                index: self.delivered_tokens(),
            });
        }
        self.progress(tokens)
    }

    fn take_finish(
        &mut self,
        request_id: &str,
        completion_tokens: u64,
        reason: Arc<str>,
    ) -> Result<Progress, StreamFault> {
        if !self.follows(request_id) {
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
                self.announced = Some(Announced {
                    completion_tokens,
                    reason,
                });
            }
        }
        self.progress(Vec::new())
    }

    // Nothing is taken in after the answer is whole.
    fn follows(&self, request_id: &str) -> bool {
        !self.whole && *self.request_id == *request_id
    }

    fn drain_early(&mut self) -> Vec<Arc<str>> {
        let mut tokens = Vec::new();
        while let Some(text) = self.early.remove(&self.delivered_tokens()) {
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
        let seen_tokens = self
            .early
            .last_key_value()
            .map_or(self.delivered_tokens(), |(index, _)| index + 1);
        if seen_tokens > announced.completion_tokens {
            return Err(self.count_fault(announced.completion_tokens));
        }
        self.whole = self.delivered_tokens() == announced.completion_tokens;
        Ok(Progress {
            tokens,
            finished: self.whole.then(|| announced.reason.clone()),
        })
    }

    fn count_fault(&self, announced_tokens: u64) -> StreamFault {
        StreamFault::Count {
            announced_tokens,
            sent_tokens: self.delivered_tokens(),
        }
    }
}
