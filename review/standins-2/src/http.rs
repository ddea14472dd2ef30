//! Just enough of HTTP/1.1 for stand-ins.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field, empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message. Returns `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return match message.first_line.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        match (message.first_line.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => message.first_line = line,
            (false, true) => return Ok(Some(message)),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                let name = name.to_ascii_lowercase();
                message.fields.push((name, value.trim().to_owned()));
            }
        }
    }
}

/// Reads the body of a message whose head states how it ends. Without that, there is no body.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message) -> Result<()> {
    if message.field("transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader)?.filter(|chunk| !chunk.is_empty()) {
            message.body.extend(chunk);
        }
        return Ok(());
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)
}

/// Reads a chunk of a body, empty at the end of the body. Returns `None` at the end of the connection.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let size = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| Error::other("a chunk without a size"))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    reader.read_line(&mut String::new())?;
    Ok(Some(chunk))
}

/// Reads a complete message. Returns `None` at the end of the connection.
pub fn read_message<R: BufRead>(reader: &mut R) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Opens a connection whose reads end after `timeout`.
pub fn connect(address: SocketAddr, timeout: Duration) -> Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(BufReader::new(stream))
}
