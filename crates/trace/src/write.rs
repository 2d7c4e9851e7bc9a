//! Writes traces as JSON lines.

use crate::record::{Line, Record};
use crate::{ExpectedOutcome, Header};
use serde::Serialize;
use std::io::{self, Write};

/// Writes a trace line by line: the header, then events, then outcomes.
#[derive(Debug)]
pub struct Writer<W> {
    output: W,
}

impl<W: Write> Writer<W> {
    /// Writes the header to `output`.
    pub fn new(output: W, header: &Header) -> io::Result<Self> {
        let mut writer = Self { output };
        writer.write_line(header)?;
        Ok(writer)
    }

    /// Writes an event. Events must be written in order of time, before all outcomes.
    pub fn record(&mut self, record: Record) -> io::Result<()> {
        self.write_line(&Line {
            t_us: Some(record.at),
            event: Some(record.event),
            outcome: None,
        })
    }

    /// Writes an outcome that a replay must show.
    pub fn outcome(&mut self, outcome: ExpectedOutcome) -> io::Result<()> {
        self.write_line(&Line {
            outcome: Some(outcome),
            ..Line::default()
        })
    }

    /// Flushes and returns the output.
    pub fn finish(mut self) -> io::Result<W> {
        self.output.flush()?;
        Ok(self.output)
    }

    fn write_line(&mut self, value: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut self.output, value)?;
        self.output.write_all(b"\n")
    }
}
