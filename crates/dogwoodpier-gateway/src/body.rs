//! The body of a response to a client.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use dogwoodpier_process::drain::InFlight;

use crate::stream::StreamCut;
use crate::stream::UpstreamBody;
use crate::traffic::ActiveRequest;

enum Content {
    Full(Full<Bytes>),
    Streamed(Box<UpstreamBody>),
}

/// The body of a response: complete, or streamed from an upstream.
pub struct ResponseBody {
    content: Content,
    // Guards that are held until the response has been sent.
    in_flight: Option<InFlight>,
    active: Option<ActiveRequest>,
}

impl ResponseBody {
    /// Returns a complete body.
    pub fn full(bytes: Bytes) -> Self {
        Self {
            content: Content::Full(Full::new(bytes)),
            in_flight: None,
            active: None,
        }
    }

    /// Returns a body that is forwarded as it arrives.
    pub fn streamed(body: UpstreamBody) -> Self {
        Self {
            content: Content::Streamed(Box::new(body)),
            in_flight: None,
            active: None,
        }
    }

    /// Counts the request as in flight until its response has been sent.
    pub fn hold_in_flight(&mut self, in_flight: InFlight) {
        self.in_flight = Some(in_flight);
    }

    /// Counts the request on its connection until the response has been sent.
    pub fn hold_active(&mut self, active: ActiveRequest) {
        self.active = Some(active);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match &mut self.content {
            Content::Full(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Content::Streamed(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(full) => full.is_end_stream(),
            Content::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(full) => full.size_hint(),
            Content::Streamed(_) => SizeHint::default(),
        }
    }
}
