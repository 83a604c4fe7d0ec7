//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header of a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, place: usize) -> &str {
        self.first.split(' ').nth(place).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages off a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1_024];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn head(&mut self) -> io::Result<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message { first, headers, body: Vec::new() });
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.line()?;
            let size = size.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message, false)?;
        Ok(message)
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> io::Result<Message> {
        loop {
            let mut message = self.head()?;
            if message.status() / 100 == 1 {
                continue;
            }
            self.body(&mut message, true)?;
            return Ok(message);
        }
    }

    fn body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        message.body = match (chunked, length) {
            (true, _) => self.chunks()?,
            (false, Some(length)) => self.take(length)?,
            (false, None) if is_answer && !matches!(message.status(), 204 | 304) => {
                while self.fill()? > 0 {}
                std::mem::take(&mut self.buffer)
            }
            (false, None) => Vec::new(),
        };
        Ok(())
    }
}

/// A connection of a client that is kept for more than one request.
pub struct Connection {
    stream: TcpStream,
    reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(within))?;
        Ok(Self { reader: Reader::new(stream.try_clone()?), stream })
    }

    /// Tells whether the other end has closed it, as far as it is known here.
    pub fn is_closed(&self) -> bool {
        let mut one = [0];
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut one);
        let _ = self.stream.set_nonblocking(false);
        !seen.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, first: &str, headers: &[(&str, &str)]) -> io::Result<Message> {
        send(&self.stream, first, headers, b"")?;
        self.reader.answer()
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    send(&stream, first, headers, body)?;
    Reader::new(stream).answer()
}

/// Writes a message.
pub fn send(
    mut stream: &TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || !first.starts_with("GET") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
