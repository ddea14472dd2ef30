//! Clients.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// A client attempt.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Method and path.
    pub target: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
    /// How long the client waits for the whole answer.
    pub deadline: Duration,
    /// Time without a byte after which the client leaves.
    pub patience: Duration,
    /// Number of events after which the client's connection breaks, if it does.
    pub breaks_after: Option<usize>,
}

/// What the client has got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 without an answer.
    pub status: u16,
    /// Head of the answer.
    pub head: Message,
    /// Body as far as it came.
    pub body: String,
    /// Whether the answer has ended as complete.
    pub complete: bool,
    /// Time from the request to the end or to the client's leaving.
    pub elapsed: Duration,
    /// Why the answer isn't complete.
    pub problem: String,
}

impl Call {
    /// Returns a request for a stream.
    pub fn generation(id: &str, path: &str, prompt_tokens: u64, events: u64) -> Self {
        let header = |name: &str, value: String| (name.to_owned(), value);
        Self {
            id: id.to_owned(),
            target: format!("POST {path}"),
            headers: vec![
                header("Dogwoodpier-Model-Name", "m".to_owned()),
                header(
                    "Dogwoodpier-Token-Count",
                    format!("{prompt_tokens},{events}"),
                ),
            ],
            body: format!("prompt of {id}"),
            deadline: Duration::from_millis(14_000),
            patience: Duration::from_millis(3_600),
            breaks_after: None,
        }
    }

    /// Returns a request to a plain service.
    pub fn plain(id: &str, path: &str) -> Self {
        Self {
            id: id.to_owned(),
            target: format!("POST {path}"),
            headers: Vec::new(),
            body: format!("order of {id}"),
            deadline: Duration::from_millis(1_500),
            patience: Duration::from_millis(1_500),
            breaks_after: None,
        }
    }

    /// Returns the client's next try, which takes the stream up after the events that have come.
    pub fn resume(&self, answer: &Answer) -> Self {
        let last = answer.body.matches("\n\n").count().to_string();
        let mut again = Self {
            id: format!("{}-again", self.id),
            breaks_after: None,
            ..self.clone()
        };
        let headers = [("Last-Event-Id", last), ("Resumes", self.id.clone())];
        let headers = headers.map(|(name, value)| (name.to_owned(), value));
        again.headers.extend(headers);
        again
    }

    /// Sends the request over a new connection and reads its answer.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let started = Instant::now();
        let mut answer = Answer::default();
        if let Err(error) = self.try_send(to, started, &mut answer) {
            answer.problem = error.to_string();
        }
        answer.elapsed = started.elapsed();
        answer
    }

    fn try_send(&self, to: SocketAddr, started: Instant, answer: &mut Answer) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.patience.min(self.deadline)))?;
        let mut text = format!("{} HTTP/1.1\r\nHost: desk.example\r\n", self.target);
        text.push_str(&format!("Dogwoodpier-Request-Id: {}\r\n", self.id));
        let wait_ms = self.deadline.as_millis();
        text.push_str(&format!("Dogwoodpier-Deadline-Remaining: {wait_ms}\r\n"));
        text.push_str("Authorization: Bearer key-one\r\n");
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        text.push_str(&self.body);
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?;
        let head = head.ok_or_else(|| io::Error::other("closed without an answer"))?;
        answer.status = head.word(1).parse().unwrap_or(0);
        answer.head = head.clone();
        let mut late = false;
        let connection = reader.get_ref().try_clone()?;
        let body = http::read_body(&mut reader, &head, |bytes| {
            late |= started.elapsed() > self.deadline;
            answer.body.push_str(&String::from_utf8_lossy(bytes));
            let events = answer.body.matches("\n\n").count();
            if self.breaks_after.is_some_and(|limit| events >= limit) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        });
        body?;
        answer.complete = !late;
        Ok(())
    }
}
