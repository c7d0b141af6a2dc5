//! Blocking client of the control socket, for operators' programs.

use crate::frames::{encode_line, Body, Frame, Operation, Request, MAX_MESSAGE_BYTES, VERSION};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Error of a request to the controller.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be opened.
    #[error("{path}: {error} (is the controller running, with [control] socket in its appliance file?)")]
    Connect {
        /// Path of the control socket.
        path: PathBuf,
        /// The operating system's error.
        error: io::Error,
    },
    /// Reading from or writing to the connection failed.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The controller closed the connection before the reply.
    #[error("the controller ended the connection before its answer")]
    Closed,
    /// The controller sent something other than a valid message.
    #[error("what came is no message: {0}")]
    InvalidMessage(String),
    /// The controller rejected the request.
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
    /// Connects to the control socket. `who` is recorded in the controller's audit log.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be opened.
    pub fn open(path: &Path, who: &str) -> Result<Connection, ClientError> {
        let connect_error = |error| ClientError::Connect { path: path.to_owned(), error };
        let stream = UnixStream::connect(path).map_err(connect_error)?;
        let reader = BufReader::new(stream.try_clone().map_err(connect_error)?);
        Ok(Connection { reader, stream, who: who.to_owned() })
    }

    /// Sets the timeout of reads; `None` waits without limit.
    ///
    /// # Errors
    /// Returns the operating system's error.
    pub fn set_read_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.stream.set_read_timeout(timeout)
    }

    /// Sends a request without waiting for its reply.
    ///
    /// # Errors
    /// Returns an error if writing fails.
    pub fn send(&mut self, id: &str, operation: Operation) -> Result<(), ClientError> {
        let request = Request { v: VERSION, id: id.to_owned(), who: self.who.clone(), operation };
        Ok(self.stream.write_all(&encode_line(&request))?)
    }

    /// Receives the next message.
    ///
    /// # Errors
    /// Returns an error if the connection fails or is closed, or if the message is invalid.
    pub fn receive(&mut self) -> Result<Frame, ClientError> {
        let mut text = Vec::new();
        let length = self.reader.by_ref().take(MAX_MESSAGE_BYTES as u64).read_until(b'\n', &mut text)?;
        if length == 0 {
            return Err(ClientError::Closed);
        }
        serde_json::from_slice(&text).map_err(|e| ClientError::InvalidMessage(e.to_string()))
    }

    /// Sends a request and waits for its reply, discarding views and events that arrive before it.
    ///
    /// # Errors
    /// Returns an error if the connection fails or the controller rejects the request.
    pub fn request(&mut self, id: &str, operation: Operation) -> Result<Body, ClientError> {
        self.send(id, operation)?;
        loop {
            if let Frame::Reply { reply, ok, error, body, .. } = self.receive()? {
                // A reply with an empty id concerns the connection itself: the controller is about to close it.
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

    /// Returns a second handle to the same connection, to send on while this one receives.
    ///
    /// # Errors
    /// Returns the operating system's error.
    pub fn try_clone(&self) -> io::Result<Connection> {
        let stream = self.stream.try_clone()?;
        Ok(Connection { reader: BufReader::new(stream.try_clone()?), stream, who: self.who.clone() })
    }
}
