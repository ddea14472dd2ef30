//! Builds the answers of the stand-ins and parses their requests.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

use dogwoodpier_derive::plain;

use crate::server::Answer;
use crate::server::Cut;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// One chunk of a streamed body, or an error that closes the connection in mid-body.
pub type BodyChunk = Result<Bytes, Cut>;

/// Returns an answer with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Answer
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).map_err(|_| Cut)?;
    with_body(
        status,
        "application/json",
        Full::from(body).boxed_unsync_body(),
    )
}

/// Returns an answer with a plain-text body.
pub fn text(status: StatusCode, text: &str) -> Answer {
    let body = Full::from(text.to_owned()).boxed_unsync_body();
    with_body(status, "text/plain", body)
}

/// Returns a successful answer that states the length of its body.
pub fn sized(content_type: &'static str, body: String) -> Answer {
    let body = Full::from(body).boxed_unsync_body();
    with_body(StatusCode::OK, content_type, body)
}

/// Returns an answer whose body is streamed from a channel.
pub fn stream(content_type: &'static str, chunks: mpsc::Receiver<BodyChunk>) -> Answer {
    let frames = ReceiverStream::new(chunks).map(|chunk| chunk.map(Frame::data));
    let body = StreamBody::new(frames).boxed_unsync();
    with_body(StatusCode::OK, content_type, body)
}

/// An error answer to a request.
#[plain]
pub struct ErrorAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Body of the answer.
    pub message: String,
}

impl ErrorAnswer {
    /// Returns an error answer with a status and a message.
    pub fn new(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            message: message.to_owned(),
        }
    }

    /// Returns this error as a plain-text answer.
    pub fn to_answer(&self) -> Answer {
        text(self.status, &self.message)
    }
}

/// Parses the JSON body of a request.
pub fn parse<T>(request: &Request<Bytes>) -> Result<T, ErrorAnswer>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(request.body())
        .map_err(|error| ErrorAnswer::new(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Returns the raw value of a query parameter.
pub fn query<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Decodes the percent-encoding of a part of a URI.
pub fn unescape(part: &str) -> String {
    percent_encoding::percent_decode_str(part)
        .decode_utf8_lossy()
        .into_owned()
}

trait IntoBody {
    fn boxed_unsync_body(self) -> Body;
}

impl IntoBody for Full<Bytes> {
    fn boxed_unsync_body(self) -> Body {
        self.map_err(|never| match never {}).boxed_unsync()
    }
}

fn with_body(status: StatusCode, content_type: &'static str, body: Body) -> Answer {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(body)
        .map_err(|_| Cut)
}
