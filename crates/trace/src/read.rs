//! Reads traces.

use crate::header::{FORMAT, Header};
use crate::record::{Line, Record};
use crate::{Settings, Stated};
use knapweed_world::Time;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Its header.
    pub header: Header,
    /// Its events in the order of their times.
    pub records: Vec<Record>,
    /// What a replay must show.
    pub outcomes: Vec<Stated>,
}

/// Why a trace cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line}: {cause}", .file.display())]
pub struct Error {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; 0 when the file could not be opened.
    pub line: usize,
    /// What is wrong.
    pub cause: Cause,
}

/// What is wrong with a trace.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Io(#[from] io::Error),
    /// The line is not what the format asks for.
    #[error("not a valid line: {0}")]
    Json(#[from] serde_json::Error),
    /// There is no header.
    #[error("the trace is empty, a header is expected")]
    Empty,
    /// The format is not known.
    #[error("format {0} is not supported, {FORMAT} is expected")]
    Format(u32),
    /// The time between ticks is zero.
    #[error("tick_us must be at least 1")]
    NoTicks,
    /// The line has neither an event with a time nor an outcome.
    #[error("a line has either `t_us` and `event`, or `outcome`")]
    Neither,
    /// The event is earlier than the one before it.
    #[error("the event at {at} µs is earlier than the one before it at {before} µs")]
    Order {
        /// Time of the event.
        at: u64,
        /// Time of the event before it.
        before: u64,
    },
    /// An event follows an outcome.
    #[error("events must come before the outcomes")]
    EventAfterOutcome,
    /// Nothing is stated.
    #[error("the trace states no outcome")]
    NoOutcome,
}

impl Trace {
    /// Reads the trace in `file`.
    pub fn read(file: &Path) -> Result<Self, Error> {
        let opened = File::open(file).map_err(|e| error(file, 0, e))?;
        Self::read_from(BufReader::new(opened), file)
    }

    /// Reads a trace from `input`; errors name `file`.
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
        let mut last = 1;
        for (number, line) in lines {
            let line = line.map_err(|e| error(file, number, e))?;
            trace.add(&line).map_err(|e| error(file, number, e))?;
            last = number;
        }
        if trace.outcomes.is_empty() {
            return Err(error(file, last, Cause::NoOutcome));
        }
        Ok(trace)
    }

    fn add(&mut self, line: &str) -> Result<(), Cause> {
        let line: Line = serde_json::from_str(line)?;
        match (line.t_us, line.event, line.outcome) {
            (Some(at), Some(event), None) => self.add_record(Record { at, event }),
            (None, None, Some(outcome)) => {
                self.outcomes.push(outcome);
                Ok(())
            }
            _ => Err(Cause::Neither),
        }
    }

    fn add_record(&mut self, record: Record) -> Result<(), Cause> {
        if !self.outcomes.is_empty() {
            return Err(Cause::EventAfterOutcome);
        }
        let before = self.records.last().map_or(Time(0), |r| r.at);
        if record.at < before {
            return Err(Cause::Order {
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
        Settings::RolloutControl(settings) if settings.tick_us == 0 => Err(Cause::NoTicks),
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
