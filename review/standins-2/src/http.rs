//! HTTP/1.1 messages over TCP: just enough for the stand-ins.

use std::io;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Fields of a message head, in order and as they were spelled.
pub type Fields = Vec<(String, String)>;

#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub target: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Head {
    pub status: u16,
    pub fields: Fields,
}

/// Returns the value of a field; the empty string if it is absent.
pub fn field<'a>(fields: &'a Fields, name: &str) -> &'a str {
    let found = fields
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.as_str())
}

async fn read_fields<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Fields> {
    let mut fields = Vec::new();
    loop {
        let line = read_line(reader).await?;
        if line.is_empty() {
            return Ok(fields);
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

async fn read_line<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a request; fails if the connection has ended.
pub async fn read_request<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Request> {
    let line = read_line(reader).await?;
    let target = line.split(' ').nth(1).unwrap_or("").to_owned();
    let fields = read_fields(reader).await?;
    let mut body = Vec::new();
    if field(&fields, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader).await? {
            body.extend(chunk);
        }
    } else {
        let length = field(&fields, "content-length").parse().unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body).await?;
    }
    Ok(Request {
        target,
        fields,
        body,
    })
}

/// Reads a chunk of a body; `None` after the last one.
pub async fn read_chunk<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader).await?;
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk).await?;
    read_line(reader).await?;
    Ok((length > 0).then_some(chunk))
}

/// Reads the head of a response, without interim ones.
pub async fn read_head<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Head> {
    loop {
        let line = read_line(reader).await?;
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        let fields = read_fields(reader).await?;
        if status >= 200 {
            return Ok(Head { status, fields });
        }
    }
}

/// Reads a whole body with a length or with chunks.
pub async fn read_body<R: AsyncBufRead + Unpin>(
    reader: &mut R,
    head: &Head,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if field(&head.fields, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader).await? {
            body.extend(chunk);
        }
    } else {
        let length = field(&head.fields, "content-length").parse().unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body).await?;
    }
    Ok(body)
}

/// Writes a response with a length.
pub async fn write_response<W: AsyncWrite + Unpin>(
    writer: &mut W,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    writer.write_all(text.as_bytes()).await?;
    writer.write_all(body).await
}
