//! Clients, each attempt on a connection of its own.

use crate::{http, record::Record};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    time,
};

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if the connection ended without a response.
    pub status: u16,
    pub fields: http::Fields,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request and reads its response, for no longer than `limit`.
pub async fn send(
    front: SocketAddr,
    request: &[u8],
    id: &str,
    limit: Duration,
    record: &Record,
) -> Answer {
    record.line(&format!("sent {id} to {front}"));
    let mut answer = Answer::default();
    let exchange = exchange(front, request, &mut answer);
    let _ended = time::timeout(limit, exchange).await;
    let text = answer.text();
    let shown: String = text.chars().filter(|c| *c != '\n').take(400).collect();
    record.line(&format!(
        "answered {id}: status {} complete {} body {} B {shown}",
        answer.status,
        answer.is_complete,
        answer.body.len()
    ));
    answer
}

async fn exchange(front: SocketAddr, request: &[u8], answer: &mut Answer) -> std::io::Result<()> {
    let stream = TcpStream::connect(front).await?;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    writer.write_all(request).await?;
    let head = http::read_head(&mut reader).await?;
    answer.status = head.status;
    answer.fields.clone_from(&head.fields);
    if http::field(&head.fields, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = http::read_chunk(&mut reader).await? {
            answer.body.extend(chunk);
        }
    } else {
        answer.body = http::read_body(&mut reader, &head).await?;
    }
    answer.is_complete = true;
    Ok(())
}
