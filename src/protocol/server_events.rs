//! Parser for the coordinator's stream of server-sent events, and decoder for the chunked transfer coding.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
}

/// Largest size of a line, an event or a chunk (bytes).
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Why a stream can't be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A line or an event is too long.
    #[error("an event is too long")]
    TooLong,
    /// A chunk has no valid length.
    #[error("a chunk has no valid length")]
    BadChunk,
}

/// Parses events from a stream of bytes.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
    event: ServerEvent,
    has_data: bool,
}

impl EventReader {
    /// Adds bytes and passes each event that they complete to `on_event`. Comments are skipped: they only keep the
    /// stream alive.
    pub fn push(&mut self, bytes: &[u8], on_event: &mut impl FnMut(ServerEvent)) -> Result<(), StreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(n) = self.buffer[start..].iter().position(|&b| b == b'\n') {
            let line = String::from_utf8_lossy(&self.buffer[start..start + n]).into_owned();
            start += n + 1;
            self.handle_line(line.strip_suffix('\r').unwrap_or(&line), on_event);
        }
        self.buffer.drain(..start);
        match self.buffer.len().max(self.event.data.len()) > MAX_EVENT_BYTES {
            true => Err(StreamError::TooLong),
            false => Ok(()),
        }
    }

    fn handle_line(&mut self, line: &str, on_event: &mut impl FnMut(ServerEvent)) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                on_event(event);
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

/// Decodes a body in the chunked transfer coding.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    size_line: Vec<u8>,
    /// Remaining bytes of the current chunk, including its line end.
    remaining: usize,
}

impl ChunkedDecoder {
    /// Adds bytes and passes the content to `on_content`. Returns true after the last chunk.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        mut on_content: impl FnMut(&[u8]) -> Result<(), StreamError>,
    ) -> Result<bool, StreamError> {
        while !bytes.is_empty() {
            if self.remaining > 0 {
                let n = self.remaining.min(bytes.len());
                // The last two bytes are the line end, not content.
                let body = n.min(self.remaining.saturating_sub(2));
                on_content(&bytes[..body])?;
                self.remaining -= n;
                bytes = &bytes[n..];
                continue;
            }
            let (&b, rest) = (&bytes[0], &bytes[1..]);
            bytes = rest;
            if b != b'\n' {
                self.size_line.push(b);
                if self.size_line.len() > 256 {
                    return Err(StreamError::BadChunk);
                }
                continue;
            }
            let size_line = String::from_utf8_lossy(&self.size_line).into_owned();
            self.size_line.clear();
            let digits = size_line.split(';').next().unwrap_or("").trim();
            match usize::from_str_radix(digits, 16) {
                Ok(0) => return Ok(true),
                Ok(n) if n <= MAX_EVENT_BYTES => self.remaining = n + 2,
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

    fn parse(parts: &[&[u8]]) -> Vec<ServerEvent> {
        let (mut reader, mut events) = (EventReader::default(), Vec::new());
        for p in parts {
            reader.push(p, &mut |e| events.push(e)).unwrap();
        }
        events
    }

    fn expected() -> Vec<ServerEvent> {
        let event = |id, data: &str| ServerEvent { id: Some(id), data: data.to_owned() };
        vec![event(7, "{\"a\":\n1}"), event(8, "x")]
    }

    #[test]
    fn events_are_parsed_however_the_stream_is_split() {
        for at in 0..TEXT.len() {
            let (a, b) = TEXT.as_bytes().split_at(at);
            assert_eq!(parse(&[a, b]), expected(), "split at {at}");
        }
    }

    #[test]
    fn chunks_are_decoded_however_they_are_split() {
        let mut body = Vec::new();
        for piece in TEXT.as_bytes().chunks(5) {
            body.extend(format!("{:x}\r\n", piece.len()).bytes());
            body.extend(piece);
            body.extend(b"\r\n");
        }
        for at in 0..body.len() {
            let (mut decoder, mut reader, mut events) =
                (ChunkedDecoder::default(), EventReader::default(), Vec::new());
            for part in [&body[..at], &body[at..]] {
                assert_eq!(decoder.push(part, |c| reader.push(c, &mut |e| events.push(e))), Ok(false));
            }
            assert_eq!(events, expected(), "split at {at}");
        }
        assert_eq!(ChunkedDecoder::default().push(b"zz\r\n", |_| Ok(())), Err(StreamError::BadChunk));
        assert_eq!(ChunkedDecoder::default().push(b"0\r\n\r\n", |_| Ok(())), Ok(true));
    }
}
