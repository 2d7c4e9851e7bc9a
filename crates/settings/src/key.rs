//! Typed keys of a settings file.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Type of a value and the values that it allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// ASCII letters, digits, `-`, `_` and `.`, 1 to 63 bytes.
    Name,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An integer within a range, bounds included.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// `true` or `false`.
    Boolean,
    /// An IP address with a port.
    Address,
    /// Addresses separated by commas; may be empty.
    Addresses,
    /// A time span in milliseconds within a range, bounds included.
    Milliseconds {
        /// Shortest time, in milliseconds.
        min: u64,
        /// Longest time, in milliseconds.
        max: u64,
    },
    /// A path; a relative one is resolved against the directory of the settings file.
    Path {
        /// Whether a file must exist there when the settings are loaded.
        must_exist: bool,
    },
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text => f.write_str("a text that is not empty"),
            Self::Name => f.write_str("a name of 1 to 63 ASCII letters, digits, '-', '_' and '.'"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Integer { min, max } => write!(f, "an integer from {min} to {max}"),
            Self::Boolean => f.write_str("true or false"),
            Self::Address => f.write_str("an address such as 127.0.0.1:7000"),
            Self::Addresses => f.write_str("addresses such as 127.0.0.1:7000, separated by commas"),
            Self::Milliseconds { min, max } => {
                write!(f, "a time in milliseconds from {min} to {max}")
            }
            Self::Path { must_exist: true } => f.write_str("the path of a file that exists"),
            Self::Path { must_exist: false } => f.write_str("a path"),
        }
    }
}

/// How a key that is absent from the file is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// Loading fails with [`Cause::MissingKey`](crate::Cause::MissingKey).
    Required,
    /// The value is `None`.
    Optional,
    /// This text is parsed as if the file contained it.
    Default(&'static str),
}

/// Description of a key, independent of the Rust type of its value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Name of the section that contains the key.
    pub section: &'static str,
    /// Name of the key within its section.
    pub key: &'static str,
    /// Type and allowed values.
    pub kind: Kind,
    /// How an absent key is treated.
    pub presence: Presence,
    /// Unit of an integer, such as `bytes`; empty when it has none.
    pub unit: &'static str,
    /// One-line description for operators.
    pub doc: &'static str,
}

/// A key whose value has the type `T`.
#[derive(Clone, Copy, Debug)]
pub struct Key<T> {
    /// Description of the key.
    pub spec: Spec,
    value: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    const fn new(section: &'static str, key: &'static str, kind: Kind) -> Self {
        let spec = Spec {
            section,
            key,
            kind,
            presence: Presence::Required,
            unit: "",
            doc: "",
        };
        Self::from_spec(spec)
    }

    const fn from_spec(spec: Spec) -> Self {
        Self {
            spec,
            value: PhantomData,
        }
    }
}

/// Constructors of text keys.
///
/// As with all constructors, the key is required unless [`Key::default`] or
/// [`Key::optional`] is called.
impl Key<String> {
    /// A key for any text that is not empty.
    pub const fn text(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Text)
    }

    /// A key for a name as in [`Kind::Name`].
    pub const fn name(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Name)
    }

    /// A key whose value must be one of `words`.
    pub const fn choice(
        section: &'static str,
        key: &'static str,
        words: &'static [&'static str],
    ) -> Self {
        Self::new(section, key, Kind::Choice(words))
    }
}

/// Constructor of integer keys.
impl Key<u64> {
    /// A key for an integer from `min` to `max`, bounds included.
    pub const fn integer(section: &'static str, key: &'static str, min: u64, max: u64) -> Self {
        Self::new(section, key, Kind::Integer { min, max })
    }
}

/// Constructor of boolean keys.
impl Key<bool> {
    /// A key for `true` or `false`.
    pub const fn boolean(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Boolean)
    }
}

/// Constructor of address keys.
impl Key<SocketAddr> {
    /// A key for an IP address with a port.
    pub const fn address(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Address)
    }
}

/// Constructor of address list keys.
impl Key<Vec<SocketAddr>> {
    /// A key for a list of addresses separated by commas.
    pub const fn addresses(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Addresses)
    }
}

/// Constructor of time span keys.
impl Key<Duration> {
    /// A key for a time span from `min` to `max` milliseconds, bounds included.
    pub const fn milliseconds(
        section: &'static str,
        key: &'static str,
        min: u64,
        max: u64,
    ) -> Self {
        Self::new(section, key, Kind::Milliseconds { min, max })
    }
}

/// Constructors of path keys.
impl Key<PathBuf> {
    /// A key for a path that need not exist yet.
    pub const fn path(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Path { must_exist: false })
    }

    /// A key for the path of a file that must exist when the settings are loaded.
    pub const fn existing_file(section: &'static str, key: &'static str) -> Self {
        Self::new(section, key, Kind::Path { must_exist: true })
    }
}

/// Builder methods for the properties of a key.
impl<T> Key<T> {
    /// Sets the one-line description for operators.
    pub const fn doc(mut self, doc: &'static str) -> Self {
        self.spec.doc = doc;
        self
    }

    /// Sets the unit, such as `bytes`.
    pub const fn unit(mut self, unit: &'static str) -> Self {
        self.spec.unit = unit;
        self
    }

    /// Sets the text that is parsed when the key is absent.
    pub const fn default(mut self, text: &'static str) -> Self {
        self.spec.presence = Presence::Default(text);
        self
    }

    /// Makes the key optional; its value is `None` when it is absent.
    pub const fn optional(self) -> Key<Option<T>> {
        let mut spec = self.spec;
        spec.presence = Presence::Optional;
        Key::from_spec(spec)
    }
}
