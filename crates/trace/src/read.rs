//! Parses traces and validates the order of their lines.

use crate::header::{FORMAT, Header};
use crate::record::{Line, Record};
use crate::{ExpectedOutcome, Settings};
use knapweed_world::Time;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// A parsed trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// State machine, its settings and the start time, from the first line.
    pub header: Header,
    /// Events in order of time.
    pub records: Vec<Record>,
    /// Outcomes that a replay must show.
    pub outcomes: Vec<ExpectedOutcome>,
}

/// Why a trace cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line}: {cause}", .file.display())]
pub struct Error {
    /// File that was read, or the name passed to [`Trace::read_from`].
    pub file: PathBuf,
    /// Line number, from 1; 0 when the file could not be opened.
    pub line: usize,
    /// What is wrong with the line or the file.
    pub cause: Cause,
}

/// Reason why a file or a line of it is not a valid trace.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The file cannot be opened or read.
    #[error("cannot read the file: {0}")]
    Io(#[from] io::Error),
    /// The line is not JSON, or does not match the schema of the format.
    #[error("not a valid line: {0}")]
    Json(#[from] serde_json::Error),
    /// The input has no lines, so the header is missing.
    #[error("the trace is empty, a header is expected")]
    Empty,
    /// The format version in the header is not [`FORMAT`].
    #[error("format {0} is not supported, {FORMAT} is expected")]
    Format(u32),
    /// The tick interval is zero, so that a replay would tick forever at one time.
    #[error("tick_us must be at least 1")]
    ZeroTickInterval,
    /// The line is neither an event with a time nor an outcome, or mixes the two.
    #[error("a line has either `t_us` and `event`, or `outcome`")]
    AmbiguousLine,
    /// The event is earlier than the previous one.
    #[error("the event at {at} µs is earlier than the one before it at {before} µs")]
    OutOfOrder {
        /// Time of the event, in microseconds.
        at: u64,
        /// Time of the previous event, in microseconds.
        before: u64,
    },
    /// An event follows an outcome.
    #[error("events must come before the outcomes")]
    EventAfterOutcome,
    /// The trace ends without an expected outcome, so that a replay would check nothing.
    #[error("the trace states no outcome")]
    NoOutcome,
}

impl Trace {
    /// Reads the trace from `file`.
    pub fn read(file: &Path) -> Result<Self, Error> {
        let opened = File::open(file).map_err(|e| error(file, 0, e))?;
        Self::read_from(BufReader::new(opened), file)
    }

    /// Reads a trace from `input`; `file` is only used in errors.
    pub fn read_from(input: impl BufRead, file: &Path) -> Result<Self, Error> {
        let mut lines = input.lines().enumerate().map(|(i, l)| (i + 1, l));
        let (_, first) = lines.next().ok_or_else(|| error(file, 1, Cause::Empty))?;
        let first = first.map_err(|e| error(file, 1, e))?;
        let header = read_header(&first).map_err(|e| error(file, 1, e))?;
        let mut trace = Self {
            header,
            records: Vec::new(),
            outcomes: Vec::new(),
        };
        let mut last_line = 1;
        for (number, line) in lines {
            let line = line.map_err(|e| error(file, number, e))?;
            trace.add_line(&line).map_err(|e| error(file, number, e))?;
            last_line = number;
        }
        if trace.outcomes.is_empty() {
            return Err(error(file, last_line, Cause::NoOutcome));
        }
        Ok(trace)
    }

    fn add_line(&mut self, line: &str) -> Result<(), Cause> {
        let line: Line = serde_json::from_str(line)?;
        match (line.t_us, line.event, line.outcome) {
            (Some(at), Some(event), None) => self.add_record(Record { at, event }),
            (None, None, Some(outcome)) => {
                self.outcomes.push(outcome);
                Ok(())
            }
            _ => Err(Cause::AmbiguousLine),
        }
    }

    fn add_record(&mut self, record: Record) -> Result<(), Cause> {
        if !self.outcomes.is_empty() {
            return Err(Cause::EventAfterOutcome);
        }
        let before = self.records.last().map_or(Time(0), |r| r.at);
        if record.at < before {
            return Err(Cause::OutOfOrder {
                at: record.at.0,
                before: before.0,
            });
        }
        self.records.push(record);
        Ok(())
    }
}

fn read_header(line: &str) -> Result<Header, Cause> {
    let header: Header = serde_json::from_str(line)?;
    if header.format != FORMAT {
        return Err(Cause::Format(header.format));
    }
    match &header.settings {
        Settings::RolloutControl(settings) if settings.tick_us == 0 => Err(Cause::ZeroTickInterval),
        _ => Ok(header),
    }
}

fn error(file: &Path, line: usize, cause: impl Into<Cause>) -> Error {
    Error {
        file: file.to_path_buf(),
        line,
        cause: cause.into(),
    }
}
