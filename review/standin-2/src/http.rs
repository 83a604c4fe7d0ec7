//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// An answer, or a request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn connect(address: &str, within: Duration) -> io::Result<Self> {
        let address: SocketAddr = address.parse().expect("an address");
        TcpStream::connect_timeout(&address, within).map(Self::new)
    }

    fn fill(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 16_384];
        let length = self.stream.read(&mut piece)?;
        self.ahead.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Reads a message. `Ok(None)`: the other end closed before one began.
    pub fn read(&mut self, until: Instant) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill(until)? == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
        let mut message = Message { start, headers: headers.collect(), body: Vec::new() };
        let chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let size = self.line(until)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let piece = self.take(size, until)?;
                message.body.extend_from_slice(&piece);
                self.line(until)?;
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length =
            message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        message.body = self.take(length, until)?;
        Ok(Some(message))
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn ask(address: &str, head: &str, body: &[u8], within: Duration) -> io::Result<Message> {
    let until = Instant::now() + within;
    let mut wire = Wire::connect(address, within)?;
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    wire.write(format!("{head}{length}\r\n").as_bytes())?;
    wire.write(body)?;
    wire.read(until)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
