//! Server-sent events, as the coordinator's stream brings them, plain or in chunks.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its number, if it bears one that can be read.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
}

/// The longest line and the longest event that are taken.
const LONGEST: usize = 4 * 1024 * 1024;

/// The stream can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A line or an event is too long.
    #[error("an event is too long")]
    TooLong,
    /// A chunk has no readable length.
    #[error("a chunk has no readable length")]
    BadChunk,
}

/// Reads events from a stream of bytes.
#[derive(Debug, Default)]
pub struct EventReader {
    rest: Vec<u8>,
    event: ServerEvent,
    has_data: bool,
}

impl EventReader {
    /// Adds bytes and gives each event that they complete. Comments show only that the stream lives.
    pub fn push(&mut self, bytes: &[u8], each: &mut impl FnMut(ServerEvent)) -> Result<(), StreamError> {
        self.rest.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(n) = self.rest[from..].iter().position(|&b| b == b'\n') {
            let line = String::from_utf8_lossy(&self.rest[from..from + n]).into_owned();
            from += n + 1;
            self.line(line.strip_suffix('\r').unwrap_or(&line), each);
        }
        self.rest.drain(..from);
        match self.rest.len().max(self.event.data.len()) > LONGEST {
            true => Err(StreamError::TooLong),
            false => Ok(()),
        }
    }

    fn line(&mut self, line: &str, each: &mut impl FnMut(ServerEvent)) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                each(event);
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event.id = value.trim().parse().ok(),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            _ => {}
        }
    }
}

/// Takes the chunked transfer coding off a body.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    head: Vec<u8>,
    /// Bytes left of the present chunk, its line end included.
    left: usize,
}

impl ChunkedDecoder {
    /// Adds bytes and passes the content on. `Ok(true)`: the last chunk has come.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        mut content: impl FnMut(&[u8]) -> Result<(), StreamError>,
    ) -> Result<bool, StreamError> {
        while !bytes.is_empty() {
            if self.left > 0 {
                let n = self.left.min(bytes.len());
                // The last two bytes are the line end, not content.
                let body = n.min(self.left.saturating_sub(2));
                content(&bytes[..body])?;
                self.left -= n;
                bytes = &bytes[n..];
                continue;
            }
            let (&b, rest) = (&bytes[0], &bytes[1..]);
            bytes = rest;
            if b != b'\n' {
                self.head.push(b);
                if self.head.len() > 256 {
                    return Err(StreamError::BadChunk);
                }
                continue;
            }
            let head = String::from_utf8_lossy(&self.head).into_owned();
            self.head.clear();
            let digits = head.split(';').next().unwrap_or("").trim();
            match usize::from_str_radix(digits, 16) {
                Ok(0) => return Ok(true),
                Ok(n) if n <= LONGEST => self.left = n + 2,
                _ => return Err(StreamError::BadChunk),
            }
        }
        Ok(false)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str =
        ": hello\n\nid: 7\ndata: {\"a\":\ndata: 1}\n\n: tick\nid: 8\r\ndata:x\r\n\r\ndata: cut";

    fn read(parts: &[&[u8]]) -> Vec<ServerEvent> {
        let (mut reader, mut got) = (EventReader::default(), Vec::new());
        for p in parts {
            reader.push(p, &mut |e| got.push(e)).unwrap();
        }
        got
    }

    fn wanted() -> Vec<ServerEvent> {
        let event = |id, data: &str| ServerEvent { id: Some(id), data: data.to_owned() };
        vec![event(7, "{\"a\":\n1}"), event(8, "x")]
    }

    #[test]
    fn events_are_read_wherever_the_stream_is_cut() {
        for at in 0..TEXT.len() {
            let (a, b) = TEXT.as_bytes().split_at(at);
            assert_eq!(read(&[a, b]), wanted(), "cut at {at}");
        }
    }

    #[test]
    fn chunks_are_undone_wherever_they_are_cut() {
        let mut body = Vec::new();
        for piece in TEXT.as_bytes().chunks(5) {
            body.extend(format!("{:x}\r\n", piece.len()).bytes());
            body.extend(piece);
            body.extend(b"\r\n");
        }
        for at in 0..body.len() {
            let (mut d, mut reader, mut got) =
                (ChunkedDecoder::default(), EventReader::default(), Vec::new());
            for part in [&body[..at], &body[at..]] {
                assert_eq!(d.push(part, |c| reader.push(c, &mut |e| got.push(e))), Ok(false));
            }
            assert_eq!(got, wanted(), "cut at {at}");
        }
        assert_eq!(ChunkedDecoder::default().push(b"zz\r\n", |_| Ok(())), Err(StreamError::BadChunk));
        assert_eq!(ChunkedDecoder::default().push(b"0\r\n\r\n", |_| Ok(())), Ok(true));
    }
}
