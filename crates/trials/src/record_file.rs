//! The file format of a trial's record: the schedule, then one event a line, of which the last marks the record as
//! complete.

use crate::schedule::Schedule;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use walnuthatch_standin::faulty::record::{Event, EventKind};

/// The record of a trial.
#[derive(Clone, Debug)]
pub struct Record {
    /// The schedule of the trial.
    pub schedule: Schedule,
    /// The events of the trial, ordered by time.
    pub events: Vec<Event>,
}

/// An error that occurs while a record is read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The file can't be read.
    #[error("{path}: {cause}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// A line is not valid.
    #[error("{path}:{line}: {cause}")]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The cause.
        cause: serde_json::Error,
    },
    /// The last event, which marks a complete record, is missing.
    #[error("{path}: the record was cut short after {events} events")]
    Truncated {
        /// Path of the file.
        path: PathBuf,
        /// Number of events present.
        events: usize,
    },
}

impl Record {
    /// Writes the record to a file.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(fs::File::create(path)?);
        writeln!(file, "{}", serde_json::to_string(&self.schedule)?)?;
        for event in &self.events {
            writeln!(file, "{}", serde_json::to_string(event)?)?;
        }
        file.flush()
    }

    /// Reads a record from a file.
    ///
    /// # Errors
    /// If the file can't be read, or is not a valid and complete record.
    pub fn read(path: &Path) -> Result<Record, RecordError> {
        let text =
            fs::read_to_string(path).map_err(|cause| RecordError::File { path: path.to_owned(), cause })?;
        let line_error = |line: usize| move |cause| RecordError::Line { path: path.to_owned(), line, cause };
        let mut lines = text.lines().enumerate();
        let (_, first) = lines.next().unwrap_or((0, ""));
        let schedule = serde_json::from_str(first).map_err(line_error(1))?;
        let mut events = Vec::new();
        for (number, line) in lines {
            events.push(serde_json::from_str::<Event>(line).map_err(line_error(number + 1))?);
        }
        if events.last().is_none_or(|e| e.kind != EventKind::End) {
            return Err(RecordError::Truncated { path: path.to_owned(), events: events.len() });
        }
        Ok(Record { schedule, events })
    }
}
