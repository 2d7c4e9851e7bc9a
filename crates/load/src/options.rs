//! Options of a run.

use http::{Method, Uri};
use std::time::Duration;

/// Longest run.
pub const MAX_DURATION: Duration = Duration::from_secs(120);
/// Highest rate, in requests per second.
pub const MAX_RATE: u64 = 50_000;
/// Most requests of a run.
pub const MAX_REQUESTS: u64 = 5_000_000;
/// Longest body of a request, in bytes.
pub const MAX_BODY_LEN: u64 = 16 * 1_024 * 1_024;

/// The reason why options do not fit together.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// There is no target.
    #[error("expected at least one target, found none")]
    NoTarget,
    /// A target is not an HTTP URL.
    #[error("expected a target such as http://127.0.0.1:7100/calendar, found {found:?}")]
    BadTarget {
        /// The text given.
        found: String,
    },
    /// A comparison needs two targets.
    #[error("a comparison needs exactly 2 targets, found {found}")]
    NotTwoTargets {
        /// Number of targets.
        found: usize,
    },
    /// The method is not one of HTTP.
    #[error("expected an HTTP method such as GET, found {found:?}")]
    BadMethod {
        /// The text given.
        found: String,
    },
    /// A limit is exceeded.
    #[error("{name}: expected {min} to {max}, found {found}")]
    OutOfRange {
        /// Name of the option.
        name: &'static str,
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
        /// The value given.
        found: u64,
    },
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Targets, used in turn.
    pub targets: Vec<Uri>,
    /// Whether the two targets are reported apart.
    pub compare: bool,
    /// Requests per second, over all targets.
    pub rate: u64,
    /// Length of the run.
    pub duration: Duration,
    /// The run ends after this many requests.
    pub max_requests: u64,
    /// Method of the requests.
    pub method: Method,
    /// Length of each body, in bytes.
    pub body_len: u64,
    /// Whether the answer must repeat the body, which differs in each request.
    pub check_echo: bool,
    /// Whether each request has an idempotency key of its own.
    pub keys: bool,
    /// Longest time to wait for an answer.
    pub timeout: Duration,
    /// Requests of this first part of the run are sent but not reported.
    pub warm_up: Duration,
}

impl Options {
    /// Checks that the options fit together.
    ///
    /// # Errors
    ///
    /// The first problem found.
    pub fn check(&self) -> Result<(), Error> {
        let found = self.targets.len();
        match (self.compare, found) {
            (_, 0) => return Err(Error::NoTarget),
            (false, _) | (true, 2) => {}
            (true, _) => return Err(Error::NotTwoTargets { found }),
        }
        let duration_ms = self.duration.as_millis() as u64;
        let max_ms = MAX_DURATION.as_millis() as u64;
        within("rate", 1, MAX_RATE, self.rate)?;
        within("duration_ms", 1, max_ms, duration_ms)?;
        within("max_requests", 1, MAX_REQUESTS, self.max_requests)?;
        within("body_bytes", 0, MAX_BODY_LEN, self.body_len)
    }
}

fn within(name: &'static str, min: u64, max: u64, found: u64) -> Result<(), Error> {
    match (min..=max).contains(&found) {
        true => Ok(()),
        false => Err(Error::OutOfRange {
            name,
            min,
            max,
            found,
        }),
    }
}

/// Parses a target.
///
/// # Errors
///
/// [`Error::BadTarget`].
pub fn parse_target(text: &str) -> Result<Uri, Error> {
    let uri = text.trim().parse::<Uri>().ok();
    let http = |uri: &Uri| uri.scheme_str() == Some("http") && uri.host().is_some();
    uri.filter(http).ok_or_else(|| Error::BadTarget {
        found: text.to_owned(),
    })
}

/// Parses a method.
///
/// # Errors
///
/// [`Error::BadMethod`].
pub fn parse_method(text: &str) -> Result<Method, Error> {
    text.parse().map_err(|_| Error::BadMethod {
        found: text.to_owned(),
    })
}
