//! Start of the logger, and changes of its level at run time.

use crate::format;
use crate::sink::Sink;
use flexi_logger::{FlexiLoggerError, FormatFunction, LogSpecification, Logger, LoggerHandle};
use log::LevelFilter;
use std::str::FromStr;

/// Libraries that are too verbose below `warn`.
const VERBOSE_LIBRARIES: [&str; 6] = [
    "gotham",
    "hyper",
    "hyper_util",
    "quinn",
    "quinn_proto",
    "rustls",
];

/// Error of setting up the logger.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The level cannot be parsed.
    #[error("expected a log level such as \"info\" or \"info, ingress=debug\", found {found:?}")]
    BadLevel {
        /// The text given.
        found: String,
    },
    /// The form of log lines is neither `text` nor `json`.
    #[error("expected \"text\" or \"json\", found {found:?}")]
    BadForm {
        /// The text given.
        found: String,
    },
    /// The logger cannot be started, for example because one is running already.
    #[error("cannot start the logger: {0}")]
    Start(#[from] FlexiLoggerError),
    /// The thread that writes log lines cannot be started.
    #[error("cannot start the thread that writes log lines: {0}")]
    Thread(#[from] std::io::Error),
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// A JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

impl LogFormat {
    /// The function that formats a log record.
    pub fn function(self) -> FormatFunction {
        match self {
            Self::Json => format::json,
            Self::Text => format::text,
        }
    }
}

impl FromStr for LogFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(Error::BadForm { found: text.into() }),
        }
    }
}

/// The logger of this process; it writes to standard output until it is dropped.
pub struct Logs {
    handle: LoggerHandle,
}

impl Logs {
    /// Starts the logger with a level such as `info` or `info, ingress=debug`.
    ///
    /// # Errors
    ///
    /// [`Error::BadLevel`], [`Error::Start`] when a logger is running, or [`Error::Thread`].
    pub fn start(form: LogFormat, level: &str) -> Result<Self, Error> {
        let handle = Logger::with(parse_level(level)?)
            .log_to_writer(Box::new(Sink::start(form.function(), std::io::stdout())?))
            .start()?;
        Ok(Self { handle })
    }

    /// Changes the level at run time.
    ///
    /// # Errors
    ///
    /// [`Error::BadLevel`]; the level does not change.
    pub fn set_level(&self, level: &str) -> Result<(), Error> {
        self.handle.set_new_spec(parse_level(level)?);
        Ok(())
    }
}

/// Parses a level such as `info` or `info, ingress=debug`. Verbose libraries are
/// limited to `warn` unless the text names them.
///
/// # Errors
///
/// [`Error::BadLevel`].
pub fn parse_level(level: &str) -> Result<LogSpecification, Error> {
    let bad = || Error::BadLevel {
        found: level.into(),
    };
    let mut default = LevelFilter::Info;
    let mut parts = Vec::new();
    for item in level.split(',').map(str::trim) {
        match item.split_once('=') {
            Some((part, filter)) => {
                parts.push((part.trim(), filter.trim().parse().map_err(|_| bad())?));
            }
            None => default = item.parse().map_err(|_| bad())?,
        }
    }
    let mut builder = LogSpecification::builder();
    builder.default(default);
    for library in VERBOSE_LIBRARIES {
        builder.module(library, default.min(LevelFilter::Warn));
    }
    for (part, filter) in parts {
        builder.module(part, filter);
    }
    Ok(builder.finalize())
}
