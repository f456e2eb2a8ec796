//! HTTP/1.1 over blocking sockets.

use crate::lock;
use std::{
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line of the head.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, whose name is in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        let target = self.first_line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, without decoding it.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let target = self.first_line.split(' ').nth(1)?;
        let query = target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads one chunk of a body; empty at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(chunk)
}

/// Reads the body of a message whose head says how long it is. A body of unknown length ends with
/// its connection if `may_end_with_connection`.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Message,
    may_end_with_connection: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if may_end_with_connection {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Connection of a server to one caller.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Reads the next request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = read_head(&mut self.reader)? else {
            return Ok(None);
        };
        head.body = read_body(&mut self.reader, &head, false)?;
        Ok(Some(head))
    }

    /// Writes a whole response.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.stream.write_all(&response(status, headers, body))
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns the bytes of a whole response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Server of a stand-in. Each connection has a thread of its own.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    is_stopped: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Ends the server as the end of its process would: open connections are closed and new ones
    /// refused.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }
}

/// Serves connections on a free port.
pub fn serve<F>(handle: F) -> io::Result<Arc<Server>>
where
    F: Fn(&mut Connection) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
    serve_on(listener, handle)
}

/// Serves connections on a listener.
pub fn serve_on<F>(listener: TcpListener, handle: F) -> io::Result<Arc<Server>>
where
    F: Fn(&mut Connection) -> io::Result<()> + Send + Sync + 'static,
{
    let server = Arc::new(Server {
        address: listener.local_addr()?,
        is_stopped: AtomicBool::new(false),
        streams: Mutex::default(),
    });
    let (handle, accepting) = (Arc::new(handle), Arc::clone(&server));
    thread::spawn(move || {
        for stream in listener.incoming() {
            if accepting.is_stopped() {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Ok(copy) = stream.try_clone() {
                lock(&accepting.streams).push(copy);
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                if let Ok(mut connection) = Connection::new(stream) {
                    // An error is the end of the connection.
                    let _ = handle(&mut connection);
                    connection.close();
                }
            });
        }
    });
    Ok(server)
}

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the whole response.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(&self.bytes())?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        let mut head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        head.body = read_body(&mut reader, &head, true)?;
        Ok(head)
    }
}
