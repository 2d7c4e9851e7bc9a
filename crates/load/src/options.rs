//! Options of a run.

use http::{Method, Uri};
use std::time::Duration;

/// Longest allowed duration of a run.
pub const MAX_DURATION: Duration = Duration::from_secs(120);
/// Highest allowed rate, in requests per second.
pub const MAX_RATE: u64 = 50_000;
/// Highest allowed number of requests of a run.
pub const MAX_REQUESTS: u64 = 5_000_000;
/// Longest allowed request body, in bytes.
pub const MAX_BODY_LEN: u64 = 16 * 1_024 * 1_024;

/// Invalid options.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The list of targets is empty.
    #[error("expected at least one target, found none")]
    NoTarget,
    /// A target is not an absolute `http://` URL.
    #[error("expected a target such as http://127.0.0.1:7100/calendar, found {found:?}")]
    BadTarget {
        /// The text given.
        found: String,
    },
    /// A comparison was requested with a number of targets other than 2.
    #[error("a comparison needs exactly 2 targets, found {found}")]
    NotTwoTargets {
        /// Number of targets that were given.
        found: usize,
    },
    /// The text is not a valid HTTP method.
    #[error("expected an HTTP method such as GET, found {found:?}")]
    BadMethod {
        /// The text given.
        found: String,
    },
    /// A number is outside its allowed range.
    #[error("{name}: expected {min} to {max}, found {found}")]
    OutOfRange {
        /// Name of the option in the settings file.
        name: &'static str,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Value that was given.
        found: u64,
    },
}

/// Options of a run, from the settings file and the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// URLs that requests are sent to, in turn.
    pub targets: Vec<Uri>,
    /// Whether the report has one part for each of the two targets.
    pub compare: bool,
    /// Requests per second, in total over all targets.
    pub rate: u64,
    /// Time in which requests are sent.
    pub duration: Duration,
    /// Number of requests after which the run ends early.
    pub max_requests: u64,
    /// HTTP method of all requests.
    pub method: Method,
    /// Length of each request body, in bytes.
    pub body_len: u64,
    /// Whether the response must repeat the request body, which is unique for each request.
    pub check_echo: bool,
    /// Whether each request carries a unique idempotency key.
    pub keys: bool,
    /// Longest time to wait for a complete response.
    pub timeout: Duration,
    /// Length of the warm-up at the start, whose requests are sent but not reported.
    pub warm_up: Duration,
}

impl Options {
    /// Checks that all options are within their bounds and consistent.
    ///
    /// # Errors
    ///
    /// Returns the first problem that is found.
    pub fn check(&self) -> Result<(), Error> {
        let found = self.targets.len();
        match (self.compare, found) {
            (_, 0) => return Err(Error::NoTarget),
            (false, _) | (true, 2) => {}
            (true, _) => return Err(Error::NotTwoTargets { found }),
        }
        let duration_ms = self.duration.as_millis() as u64;
        let max_ms = MAX_DURATION.as_millis() as u64;
        check_range("rate", 1, MAX_RATE, self.rate)?;
        check_range("duration_ms", 1, max_ms, duration_ms)?;
        check_range("max_requests", 1, MAX_REQUESTS, self.max_requests)?;
        check_range("body_bytes", 0, MAX_BODY_LEN, self.body_len)
    }
}

fn check_range(name: &'static str, min: u64, max: u64, found: u64) -> Result<(), Error> {
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

/// Parses the URL of a target.
///
/// # Errors
///
/// [`Error::BadTarget`] if `text` is not an absolute `http://` URL.
pub fn parse_target(text: &str) -> Result<Uri, Error> {
    let uri = text.trim().parse::<Uri>().ok();
    let http = |uri: &Uri| uri.scheme_str() == Some("http") && uri.host().is_some();
    uri.filter(http).ok_or_else(|| Error::BadTarget {
        found: text.to_owned(),
    })
}

/// Parses an HTTP method.
///
/// # Errors
///
/// [`Error::BadMethod`] if `text` is not a valid method.
pub fn parse_method(text: &str) -> Result<Method, Error> {
    text.parse().map_err(|_| Error::BadMethod {
        found: text.to_owned(),
    })
}
