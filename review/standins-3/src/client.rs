//! Stand-in of a client: one request on a connection, and what came back.

use crate::http::{self, Head};
use socket2::{Domain, Socket, Type};
use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request, without its connection.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if the connection ended before the head of an answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its head declares.
    pub is_complete: bool,
}

impl Call {
    pub fn new(method: &str, path: &str, id: &str, deadline: Duration) -> Self {
        let field = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        Self {
            method: method.into(),
            path: path.into(),
            fields: vec![
                field("Host", "fit.example"),
                field("Godwithinge-Attempt-Id", id),
                field("Godwithinge-Deadline-Ms", &deadline.as_millis().to_string()),
                field("Api-Key", "k-1"),
            ],
            body: Vec::new(),
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.fields.push((name.into(), value.to_string()));
        self
    }

    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

impl Answer {
    /// Returns the numbers of the events that are whole.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let lines = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        lines.filter_map(|id| id.parse().ok()).collect()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = self.head.field("retry-after")?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Connects within the second that clients allow.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Size of the segments of a connection over Ethernet.
const ETHERNET_SEGMENT: u32 = 1_460;

/// Connects like a client with a small receive buffer behind Ethernet. On loopback, segments are 45 times as
/// large, and the sender's host takes megabytes at once.
pub fn connect_with_buffer(address: SocketAddr, bytes: usize) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(ETHERNET_SEGMENT)?;
    socket.set_recv_buffer_size(bytes)?;
    socket.connect_timeout(&address.into(), Duration::from_secs(1))?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and reads its answer until `until`.
pub fn send(address: SocketAddr, call: &Call, until: Instant) -> Answer {
    send_watched(address, call, until, &mut |_| ())
}

/// Like [`send`], and calls `watch` with the body whenever a part of it has arrived.
pub fn send_watched(
    address: SocketAddr,
    call: &Call,
    until: Instant,
    watch: &mut dyn FnMut(&[u8]),
) -> Answer {
    let mut answer = Answer::default();
    if let Ok(stream) = connect(address) {
        // A failure shows as an answer that is not complete.
        drop(exchange(stream, call, until, &mut answer, watch));
    }
    answer
}

/// Sends a request on a connection, and reads its answer.
pub fn exchange(
    mut stream: TcpStream,
    call: &Call,
    until: Instant,
    answer: &mut Answer,
    watch: &mut dyn FnMut(&[u8]),
) -> io::Result<()> {
    stream.write_all(&call.encode())?;
    let mut reader = BufReader::new(Timed { stream, until });
    let Some(head) = http::read_head(&mut reader)? else {
        return Ok(());
    };
    answer.status = head
        .start
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    answer.head = head;
    if answer.head.field("transfer-encoding").is_some() {
        loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend(chunk);
            watch(&answer.body);
        }
    } else {
        let length = answer
            .head
            .field("content-length")
            .and_then(|length| length.parse().ok());
        let length: usize = length.ok_or(io::ErrorKind::InvalidData)?;
        while answer.body.len() < length {
            let buffer = reader.fill_buf()?;
            if buffer.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let taken = buffer.len().min(length - answer.body.len());
            answer.body.extend_from_slice(&buffer[..taken]);
            reader.consume(taken);
            watch(&answer.body);
        }
    }
    answer.is_complete = true;
    Ok(())
}

/// Stream that is read until a moment.
struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
