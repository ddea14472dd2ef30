//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// A request or the head of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Body; empty until it has been read.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding") == Some("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head. Returns `None` if the connection ends before its first byte.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(invalid("the head ends early")),
            };
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            line.clone_into(&mut message.start);
        } else if line.is_empty() {
            return Ok(Some(message));
        } else {
            let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
            let value = value.trim().to_owned();
            message.headers.push((name.to_lowercase(), value));
        }
    }
}

/// Reads a request with its body.
pub fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.is_chunked() || message.length().is_some() {
        let end = read_body(reader, &message.clone(), |bytes| {
            message.body.extend_from_slice(bytes);
        });
        end?;
    }
    Ok(Some(message))
}

/// Reads the body of a response piece by piece. Fails if it ends early.
pub fn read_body<R, P>(reader: &mut R, head: &Message, mut piece: P) -> io::Result<()>
where
    R: BufRead,
    P: FnMut(&[u8]),
{
    let mut buffer = [0; 16_384];
    let mut read_exact = |reader: &mut R, mut left: usize, piece: &mut P| -> io::Result<()> {
        while left > 0 {
            let limit = left.min(buffer.len());
            let count = reader.read(&mut buffer[..limit])?;
            if count == 0 {
                return Err(invalid("the body ends early"));
            }
            piece(&buffer[..count]);
            left -= count;
        }
        Ok(())
    };
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("the body ends between chunks"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("no chunk"))?;
            read_exact(reader, size, &mut piece)?;
            reader.read_line(&mut line)?;
            if size == 0 {
                return match line.ends_with("\r\n") {
                    true => Ok(()),
                    false => Err(invalid("the body ends in its last chunk")),
                };
            }
        }
    }
    if let Some(length) = head.length() {
        return read_exact(reader, length, &mut piece);
    }
    loop {
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        piece(&buffer[..count]);
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection with a thread. `answer` returns whether the connection stays open.
pub fn serve<A>(listener: TcpListener, answer: A)
where
    A: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(request) = read_request(&mut reader)? {
                    if !answer(&request, &mut stream)? {
                        break;
                    }
                }
                Ok(())
            });
        }
    });
}
