//! Writer of settings files for the programs of a mesh.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// Builder of a settings file in INI format.
#[derive(Clone, Debug, Default)]
pub struct Ini(String);

impl Ini {
    /// Starts a section.
    pub fn section(mut self, name: &str) -> Self {
        self.push(format_args!("[{name}]"));
        self
    }

    /// Adds a key to the current section.
    pub fn key(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.push(format_args!("{name} = {value}"));
        self
    }

    /// Writes the settings to a file, replacing it if it exists.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        std::fs::write(path, &self.0)
    }

    fn push(&mut self, line: std::fmt::Arguments<'_>) {
        writeln!(self.0, "{line}").expect("writing to a string never fails");
    }
}

/// Formats a list of addresses as a settings value.
pub fn addresses(list: &[SocketAddr]) -> String {
    list.iter()
        .map(SocketAddr::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}
