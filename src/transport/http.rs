//! One HTTP POST on a connection of its own.

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for the whole exchange.
const LIMIT: Duration = Duration::from_secs(5);
/// The longest response.
const LONGEST: usize = 64 * 1024;

/// A response.
#[derive(Debug)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its Retry-After.
    pub retry_after: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// Posts a protobuf body.
pub async fn post(to: SocketAddr, path: &str, body: &[u8]) -> io::Result<Response> {
    let late = async {
        Timer::after(LIMIT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(exchange(to, path, body), late).await
}

async fn exchange(to: SocketAddr, path: &str, body: &[u8]) -> io::Result<Response> {
    let mut stream = Async::<TcpStream>::connect(to).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/x-protobuf\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut got = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(response) = read(&got, false)? {
            return Ok(response);
        }
        let n = stream.read(&mut buffer).await?;
        if n == 0 {
            return read(&got, true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
        }
        got.extend_from_slice(&buffer[..n]);
        if got.len() > LONGEST {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// The response, once it is whole: by its length, or by the end of the connection.
fn read(got: &[u8], ended: bool) -> io::Result<Option<Response>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let status = head.parse(got).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    let httparse::Status::Complete(at) = status else { return Ok(None) };
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::to_owned)
    };
    let body = &got[at..];
    let length: Option<usize> = header("content-length").and_then(|l| l.trim().parse().ok());
    let whole = match length {
        Some(n) => body.len() >= n,
        None => ended,
    };
    let body = body[..length.unwrap_or(body.len()).min(body.len())].to_vec();
    let status = head.code.unwrap_or(0);
    Ok(whole.then(|| Response { status, retry_after: header("retry-after"), body }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_response_is_whole_by_its_length_or_by_the_end() {
        let text = b"HTTP/1.1 429 Too Many\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nab";
        for at in 0..text.len() {
            assert!(read(&text[..at], false).unwrap().is_none(), "cut at {at}");
        }
        let whole = read(text, false).unwrap().unwrap();
        assert_eq!(
            (whole.status, whole.retry_after.as_deref(), &whole.body[..]),
            (429, Some("3"), &b"ab"[..])
        );
        assert!(read(b"HTTP/1.1 200 OK\r\n\r\nab", false).unwrap().is_none());
        assert_eq!(read(b"HTTP/1.1 200 OK\r\n\r\nab", true).unwrap().unwrap().body, b"ab");
        assert!(read(b"nonsense\r\n\r\n", false).is_err());
    }
}
