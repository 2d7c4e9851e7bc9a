//! Parsed values, and the parser for each [`Kind`].

use crate::error::Cause;
use crate::key::Kind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 63;

/// A parsed value; its variant depends on the kind of its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// Value of a text, name or choice key.
    Text(String),
    /// Value of an integer key.
    Integer(u64),
    /// Value of a boolean key.
    Boolean(bool),
    /// Value of an address key.
    Address(SocketAddr),
    /// Value of an address list key.
    Addresses(Vec<SocketAddr>),
    /// Value of a time span key.
    Duration(Duration),
    /// Value of a path key, relative to the current directory or absolute.
    Path(PathBuf),
}

/// A Rust type that a parsed value can be converted to.
pub trait FromValue: Sized {
    /// Converts a value; `None` when it has another type or is absent.
    fn from_value(value: Option<&Value>) -> Option<Self>;
}

macro_rules! from_value {
    ($($type:ty => $variant:ident),* $(,)?) => {$(
        impl FromValue for $type {
            fn from_value(value: Option<&Value>) -> Option<Self> {
                match value {
                    Some(Value::$variant(v)) => Some(v.clone()),
                    _ => None,
                }
            }
        }
    )*};
}

from_value! {
    String => Text,
    u64 => Integer,
    bool => Boolean,
    SocketAddr => Address,
    Vec<SocketAddr> => Addresses,
    Duration => Duration,
    PathBuf => Path,
}

impl<T: FromValue> FromValue for Option<T> {
    fn from_value(value: Option<&Value>) -> Option<Self> {
        match value {
            None => Some(None),
            Some(_) => T::from_value(value).map(Some),
        }
    }
}

/// Parses `text` as a value of `kind`; relative paths are resolved against `folder`.
pub(crate) fn parse(kind: Kind, text: &str, folder: &Path) -> Result<Value, Cause> {
    let bad_value = || Cause::BadValue {
        found: text.to_owned(),
        expected: kind,
    };
    match kind {
        Kind::Text => Some(text).filter(|t| !t.is_empty()).map(text_value),
        Kind::Name => Some(text).filter(|t| is_name(t)).map(text_value),
        Kind::Choice(words) => Some(text).filter(|t| words.contains(t)).map(text_value),
        Kind::Integer { min, max } => return integer(kind, text, min, max).map(Value::Integer),
        Kind::Milliseconds { min, max } => {
            let ms = integer(kind, text, min, max)?;
            return Ok(Value::Duration(Duration::from_millis(ms)));
        }
        Kind::Boolean => text.parse().ok().map(Value::Boolean),
        Kind::Address => text.parse().ok().map(Value::Address),
        Kind::Addresses => addresses(text).map(Value::Addresses),
        Kind::Path { must_exist } => return path(kind, text, folder, must_exist),
    }
    .ok_or_else(bad_value)
}

fn text_value(text: &str) -> Value {
    Value::Text(text.to_owned())
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.bytes().all(allowed)
}

fn integer(kind: Kind, text: &str, min: u64, max: u64) -> Result<u64, Cause> {
    let found = text.to_owned();
    let Ok(number) = text.replace('_', "").parse::<i128>() else {
        return Err(Cause::BadValue {
            found,
            expected: kind,
        });
    };
    match u64::try_from(number) {
        Ok(n) if (min..=max).contains(&n) => Ok(n),
        _ => Err(Cause::OutOfRange {
            found,
            expected: kind,
        }),
    }
}

fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(',').map(|a| a.trim().parse().ok()).collect()
}

fn path(kind: Kind, text: &str, folder: &Path, must_exist: bool) -> Result<Value, Cause> {
    if text.is_empty() {
        return Err(Cause::BadValue {
            found: String::new(),
            expected: kind,
        });
    }
    let path = folder.join(text);
    match must_exist && !path.is_file() {
        true => Err(Cause::MissingFile { path }),
        false => Ok(Value::Path(path)),
    }
}
