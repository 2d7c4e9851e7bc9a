//! The schema of a program and the settings loaded with it.

use crate::error::{Cause, Error, Errors};
use crate::key::{Key, Presence, Spec};
use crate::markdown;
use crate::value::{self, FromValue, Value};
use ini_core::{Item, Parser};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// A section of the schema.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Section {
    /// Name, written between brackets in the file.
    pub name: &'static str,
    /// One-line description for operators.
    pub doc: &'static str,
}

/// Sections and keys of a program.
#[derive(Clone, Debug)]
pub struct Schema {
    sections: Vec<Section>,
    specs: Vec<Spec>,
}

/// Methods that declare the schema.
impl Schema {
    /// An empty schema.
    pub fn new() -> Self {
        Self {
            sections: Vec::new(),
            specs: Vec::new(),
        }
    }

    /// Adds a section with the keys in `specs` that belong to it.
    ///
    /// # Panics
    ///
    /// When the section or one of its keys is declared twice, a key belongs to
    /// another section or a default is not a value of its key.
    pub fn section(mut self, name: &'static str, doc: &'static str, specs: &[Spec]) -> Self {
        let known = self.sections.iter().any(|s| s.name == name);
        assert!(!known, "section [{name}] is declared twice");
        self.sections.push(Section { name, doc });
        for spec in specs {
            self.add(name, *spec);
        }
        self
    }

    fn add(&mut self, section: &str, spec: Spec) {
        let key = spec.key;
        assert_eq!(spec.section, section, "key {key} is in the wrong section");
        let known = self.find(section, key).is_some();
        assert!(!known, "key {key} of [{section}] is declared twice");
        if let Presence::Default(text) = spec.presence {
            let parsed = value::parse(spec.kind, text, Path::new(""));
            assert!(parsed.is_ok(), "bad default of {key} in [{section}]");
        }
        self.specs.push(spec);
    }
}

impl Default for Schema {
    fn default() -> Self {
        Self::new()
    }
}

/// Read access to the declared sections and keys.
impl Schema {
    /// Sections in the order of their declaration.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Keys of a section in the order of their declaration.
    pub fn keys_of<'a>(&'a self, section: &'a str) -> impl Iterator<Item = &'a Spec> {
        self.specs.iter().filter(move |s| s.section == section)
    }

    /// Renders one Markdown table per section, for the settings page of the
    /// operators' documentation.
    pub fn to_markdown(&self) -> String {
        markdown::render(self)
    }

    fn find(&self, section: &str, key: &str) -> Option<&Spec> {
        self.specs
            .iter()
            .find(|s| s.section == section && s.key == key)
    }

    fn section_names(&self) -> Vec<&'static str> {
        self.sections.iter().map(|s| s.name).collect()
    }
}

/// Methods that load and check settings files.
impl Schema {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the file.
    pub fn load(&self, file: &Path) -> Result<Settings, Errors> {
        let cause = match std::fs::read(file) {
            Ok(bytes) => match String::from_utf8(bytes) {
                Ok(text) => return self.parse(file, &text),
                Err(_) => Cause::NotText,
            },
            Err(e) => Cause::Unreadable(e.to_string()),
        };
        Err(Errors(vec![Error {
            file: file.to_owned(),
            line: None,
            section: String::new(),
            key: String::new(),
            cause,
        }]))
    }

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the text.
    pub fn parse(&self, file: &Path, text: &str) -> Result<Settings, Errors> {
        let mut loader = Loader::new(self, file);
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            match parser.next() {
                Some(item) => loader.add_item(line, item),
                None => break,
            }
        }
        loader.finish()
    }
}

/// Names of the sections in the text of a settings file, in the order of the text.
pub fn section_names(text: &str) -> Vec<&str> {
    let sections = Parser::new(text).auto_trim(true);
    let sections = sections.filter_map(|item| match item {
        Item::Section(name) => Some(name),
        _ => None,
    });
    sections.collect()
}

/// Name of a section and name of a key in it.
type KeyPath = (&'static str, &'static str);

/// Settings of a program, complete and within their ranges.
#[derive(Clone, Debug)]
pub struct Settings {
    file: PathBuf,
    values: HashMap<KeyPath, Value>,
    lines: HashMap<KeyPath, u32>,
}

impl Settings {
    /// Returns the value of a key.
    ///
    /// # Panics
    ///
    /// When the key is not part of the schema that the settings were loaded with.
    pub fn get<T: FromValue>(&self, key: &Key<T>) -> T {
        let Spec { section, key, .. } = key.spec;
        T::from_value(self.values.get(&(section, key)))
            .unwrap_or_else(|| panic!("key {key} of [{section}] is not part of the schema"))
    }

    /// Creates an error at a key, for checks that a schema cannot express.
    pub fn reject<T>(&self, key: &Key<T>, reason: impl Into<String>) -> Errors {
        let Spec { section, key, .. } = key.spec;
        Errors(vec![Error {
            file: self.file.clone(),
            line: self.lines.get(&(section, key)).copied(),
            section: section.to_owned(),
            key: key.to_owned(),
            cause: Cause::Rejected(reason.into()),
        }])
    }
}

/// Section that the loader is reading.
enum CurrentSection {
    /// No section yet.
    None,
    /// A section of the schema.
    Known(&'static str),
    /// An unknown, repeated or malformed section; it is reported once, and its keys
    /// are not.
    Skipped,
}

/// Collects the values and errors of one settings file.
struct Loader<'a> {
    schema: &'a Schema,
    file: &'a Path,
    folder: &'a Path,
    current: CurrentSection,
    section_lines: HashMap<&'static str, u32>,
    lines: HashMap<KeyPath, u32>,
    values: HashMap<KeyPath, Value>,
    errors: Vec<Error>,
}

impl<'a> Loader<'a> {
    fn new(schema: &'a Schema, file: &'a Path) -> Self {
        Self {
            schema,
            file,
            folder: file.parent().unwrap_or(Path::new("")),
            current: CurrentSection::None,
            section_lines: HashMap::new(),
            lines: HashMap::new(),
            values: HashMap::new(),
            errors: Vec::new(),
        }
    }

    fn add_item(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Blank | Item::Comment(_) | Item::SectionEnd => {}
            Item::Section(name) => self.enter_section(line, name),
            Item::Property(key, Some(text)) => self.add_property(line, key, text),
            Item::Property(found, None) => self.bad_line(line, found),
            Item::Error(found) => {
                self.current = CurrentSection::Skipped;
                self.bad_line(line, found);
            }
        }
    }

    fn bad_line(&mut self, line: u32, found: &str) {
        let found = found.to_owned();
        self.error(Some(line), "", "", Cause::BadLine { found });
    }

    fn enter_section(&mut self, line: u32, name: &str) {
        self.current = CurrentSection::Skipped;
        let Some(section) = self.schema.sections.iter().find(|s| s.name == name) else {
            let expected = self.schema.section_names();
            return self.error(Some(line), name, "", Cause::UnknownSection { expected });
        };
        if let Some(first) = self.section_lines.get(section.name).copied() {
            return self.error(Some(line), name, "", Cause::DuplicateSection { first });
        }
        self.section_lines.insert(section.name, line);
        self.current = CurrentSection::Known(section.name);
    }

    fn add_property(&mut self, line: u32, key: &str, text: &str) {
        let section = match self.current {
            CurrentSection::Known(section) => section,
            CurrentSection::Skipped => return,
            CurrentSection::None => {
                let expected = self.schema.section_names();
                return self.error(Some(line), "", key, Cause::OutsideSection { expected });
            }
        };
        let Some(spec) = self.schema.find(section, key).copied() else {
            let expected = self.schema.keys_of(section).map(|s| s.key).collect();
            return self.error(Some(line), section, key, Cause::UnknownKey { expected });
        };
        if let Some(first) = self.lines.get(&(section, spec.key)).copied() {
            return self.error(Some(line), section, key, Cause::DuplicateKey { first });
        }
        self.lines.insert((section, spec.key), line);
        self.store(&spec, Some(line), text);
    }

    fn store(&mut self, spec: &Spec, line: Option<u32>, text: &str) {
        match value::parse(spec.kind, text, self.folder) {
            Ok(value) => drop(self.values.insert((spec.section, spec.key), value)),
            Err(cause) => self.error(line, spec.section, spec.key, cause),
        }
    }

    fn error(&mut self, line: Option<u32>, section: &str, key: &str, cause: Cause) {
        self.errors.push(Error {
            file: self.file.to_owned(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            cause,
        });
    }

    fn finish(mut self) -> Result<Settings, Errors> {
        for spec in &self.schema.specs {
            if self.lines.contains_key(&(spec.section, spec.key)) {
                continue;
            }
            match spec.presence {
                Presence::Optional => {}
                Presence::Default(text) => self.store(spec, None, text),
                Presence::Required => {
                    let expected = spec.kind;
                    self.error(None, spec.section, spec.key, Cause::MissingKey { expected });
                }
            }
        }
        if !self.errors.is_empty() {
            return Err(Errors(self.errors));
        }
        Ok(Settings {
            file: self.file.to_owned(),
            values: self.values,
            lines: self.lines,
        })
    }
}
