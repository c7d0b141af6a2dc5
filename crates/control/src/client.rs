//! The other end of the control socket, for programs that operators start.

use crate::frames::{line, Body, Frame, Operation, Request, LONGEST_REPLY, VERSION};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why nothing came of it.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// There is no program at the socket.
    #[error("{path}: {error} (is the controller running, with [control] socket in its appliance file?)")]
    Connect {
        /// The socket.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// It ended before the answer came.
    #[error("the controller ended the connection before its answer")]
    Closed,
    /// What came is no message.
    #[error("what came is no message: {0}")]
    InvalidMessage(String),
    /// The controller turned it down.
    #[error("{0}")]
    Rejected(String),
}

/// A connection to a controller.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<UnixStream>,
    stream: UnixStream,
    who: String,
}

impl Connection {
    /// Connects. `who` stands in the controller's audit log.
    ///
    /// # Errors
    /// If there is no program at the socket.
    pub fn open(path: &Path, who: &str) -> Result<Connection, ClientError> {
        let connect_error = |error| ClientError::Connect { path: path.to_owned(), error };
        let stream = UnixStream::connect(path).map_err(connect_error)?;
        let reader = BufReader::new(stream.try_clone().map_err(connect_error)?);
        Ok(Connection { reader, stream, who: who.to_owned() })
    }

    /// Waits at most so long for what comes.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn set_read_timeout(&self, span: Option<Duration>) -> io::Result<()> {
        self.stream.set_read_timeout(span)
    }

    /// Sends a request.
    ///
    /// # Errors
    /// If the connection broke.
    pub fn send(&mut self, id: &str, operation: Operation) -> Result<(), ClientError> {
        let request = Request { v: VERSION, id: id.to_owned(), who: self.who.clone(), operation };
        Ok(self.stream.write_all(&line(&request))?)
    }

    /// The next message.
    ///
    /// # Errors
    /// If the connection broke or ended, or what came is no message.
    pub fn receive(&mut self) -> Result<Frame, ClientError> {
        let mut text = Vec::new();
        let n = self.reader.by_ref().take(LONGEST_REPLY as u64).read_until(b'\n', &mut text)?;
        if n == 0 {
            return Err(ClientError::Closed);
        }
        serde_json::from_slice(&text).map_err(|e| ClientError::InvalidMessage(e.to_string()))
    }

    /// Sends a request and waits for its answer; views and events that come before it are passed over.
    ///
    /// # Errors
    /// If the connection broke, or the request was turned down.
    pub fn request(&mut self, id: &str, operation: Operation) -> Result<Body, ClientError> {
        self.send(id, operation)?;
        loop {
            if let Frame::Reply { reply, ok, error, body, .. } = self.receive()? {
                // An answer to nothing is the controller's last word.
                if reply != id && !reply.is_empty() {
                    continue;
                }
                return match (ok, body) {
                    (true, Some(body)) => Ok(body),
                    (true, None) => Err(ClientError::InvalidMessage("an answer without contents".into())),
                    (false, _) => Err(ClientError::Rejected(error.unwrap_or_default())),
                };
            }
        }
    }

    /// Another end of the same connection, to send on while this one reads.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn try_clone(&self) -> io::Result<Connection> {
        let stream = self.stream.try_clone()?;
        Ok(Connection { reader: BufReader::new(stream.try_clone()?), stream, who: self.who.clone() })
    }
}
