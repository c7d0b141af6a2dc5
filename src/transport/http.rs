//! HTTP POST requests, each on its own connection.

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for connecting, sending the request and reading the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The Retry-After header.
    pub retry_after: Option<String>,
    /// The body, without any bytes beyond its Content-Length.
    pub body: Vec<u8>,
}

/// Sends a protobuf body with POST and returns the response.
pub async fn post(to: SocketAddr, path: &str, body: &[u8]) -> io::Result<Response> {
    let timeout = async {
        Timer::after(REQUEST_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(send_request(to, path, body), timeout).await
}

async fn send_request(to: SocketAddr, path: &str, body: &[u8]) -> io::Result<Response> {
    let mut stream = Async::<TcpStream>::connect(to).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/x-protobuf\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(response) = parse_response(&received, false)? {
            return Ok(response);
        }
        let n = stream.read(&mut buffer).await?;
        if n == 0 {
            return parse_response(&received, true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
        }
        received.extend_from_slice(&buffer[..n]);
        if received.len() > MAX_RESPONSE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// Parses a response; `None` until it is complete, by its Content-Length or else by the end of the connection.
fn parse_response(received: &[u8], ended: bool) -> io::Result<Option<Response>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let status = head.parse(received).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    let httparse::Status::Complete(head_length) = status else { return Ok(None) };
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::to_owned)
    };
    let body = &received[head_length..];
    let length: Option<usize> = header("content-length").and_then(|l| l.trim().parse().ok());
    let complete = match length {
        Some(n) => body.len() >= n,
        None => ended,
    };
    let body = body[..length.unwrap_or(body.len()).min(body.len())].to_vec();
    let status = head.code.unwrap_or(0);
    Ok(complete.then(|| Response { status, retry_after: header("retry-after"), body }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_response_is_complete_by_its_length_or_at_the_end_of_the_connection() {
        let text = b"HTTP/1.1 429 Too Many\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nab";
        for at in 0..text.len() {
            assert!(parse_response(&text[..at], false).unwrap().is_none(), "cut at {at}");
        }
        let response = parse_response(text, false).unwrap().unwrap();
        assert_eq!(
            (response.status, response.retry_after.as_deref(), &response.body[..]),
            (429, Some("3"), &b"ab"[..])
        );
        assert!(parse_response(b"HTTP/1.1 200 OK\r\n\r\nab", false).unwrap().is_none());
        assert_eq!(parse_response(b"HTTP/1.1 200 OK\r\n\r\nab", true).unwrap().unwrap().body, b"ab");
        assert!(parse_response(b"nonsense\r\n\r\n", false).is_err());
    }
}
