//! A trial's record as a file: its schedule, then one event a line, and the last one says that it is whole.

use crate::schedule::Schedule;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use walnuthatch_standin::faulty::record::{Event, EventKind};

/// A record and the schedule that it is of.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was planned.
    pub schedule: Schedule,
    /// What happened, in its order.
    pub events: Vec<Event>,
}

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The file can't be read.
    #[error("{path}: {why}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        why: io::Error,
    },
    /// A line is no part of a record.
    #[error("{path}:{line}: {why}")]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        why: serde_json::Error,
    },
    /// Its last event is missing.
    #[error("{path}: the record was cut short after {events} events")]
    CutShort {
        /// The file.
        path: PathBuf,
        /// Events that are there.
        events: usize,
    },
}

impl Record {
    /// Writes it to a file.
    ///
    /// # Errors
    /// If that fails.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(fs::File::create(path)?);
        writeln!(file, "{}", serde_json::to_string(&self.schedule)?)?;
        for event in &self.events {
            writeln!(file, "{}", serde_json::to_string(event)?)?;
        }
        file.flush()
    }

    /// Reads it from a file.
    ///
    /// # Errors
    /// If the file is no whole record.
    pub fn read(path: &Path) -> Result<Record, RecordError> {
        let text =
            fs::read_to_string(path).map_err(|why| RecordError::File { path: path.to_owned(), why })?;
        let bad = |line: usize| move |why| RecordError::Line { path: path.to_owned(), line, why };
        let mut lines = text.lines().enumerate();
        let (_, first) = lines.next().unwrap_or((0, ""));
        let schedule = serde_json::from_str(first).map_err(bad(1))?;
        let mut events = Vec::new();
        for (number, line) in lines {
            events.push(serde_json::from_str::<Event>(line).map_err(bad(number + 1))?);
        }
        if events.last().is_none_or(|e| e.kind != EventKind::End) {
            return Err(RecordError::CutShort { path: path.to_owned(), events: events.len() });
        }
        Ok(Record { schedule, events })
    }
}
