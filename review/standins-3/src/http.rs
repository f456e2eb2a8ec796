//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// Head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

/// Request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(of, _)| of.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

impl Request {
    pub fn method(&self) -> &str {
        self.head.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.head.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(of, _)| *of == name);
        found.next().map(|(_, value)| decode(value))
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.start.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.into();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads one chunk of a body in chunks; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads the body of a request.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.field("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if head.field("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    }
    Ok(body)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut impl Write,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections in threads of their own. `handle` answers one request.
pub fn serve<H>(listener: TcpListener, handle: H) -> SocketAddr
where
    H: Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let address = listener.local_addr().expect("the socket is bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                // The caller may close the connection at any time.
                drop(serve_connection(stream, &*handle));
            });
        }
    });
    address
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &impl Fn(Request, &mut TcpStream) -> io::Result<()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&head, &mut reader)?;
        handle(Request { head, body }, &mut stream)?;
    }
    Ok(())
}

/// Returns a listener on a free port of 127.0.0.1.
pub fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
