//! Parsed INI files, with typed access that collects all faults.

use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use ini::{Ini, ParseOption};

use crate::error::{ConfigError, Fault, Problem};

/// A parsed INI file, with the keys used and the faults found so far.
#[derive(Debug)]
pub struct RawFile {
    path: PathBuf,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl RawFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not INI.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Parses `text`; `path` is used in errors only.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not INI.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ConfigError> {
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| ConfigError::NotIni {
            path: path.to_owned(),
            line: error.line,
            reason: error.msg.into_owned(),
        })?;
        Ok(RawFile { path: path.to_owned(), ini, used: BTreeSet::new(), faults: Vec::new() })
    }

    /// Whether the file has a section.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Names of the sections titled `KIND NAME`, without the kind.
    pub fn section_names(&self, kind: &str) -> Vec<String> {
        let sections = self.ini.sections().flatten();
        let names = sections.filter_map(|section| section.strip_prefix(kind)?.strip_prefix(' '));
        names.map(|name| name.trim().to_owned()).collect()
    }

    /// Keys and values of a section, in file order.
    pub fn pairs(&self, section: &str) -> Vec<(String, String)> {
        let properties = self.ini.section(Some(section));
        let pairs = properties.into_iter().flat_map(|properties| properties.iter());
        pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
    }

    /// The text of a value, if the key exists; marks the key as used.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.mark_used(section, key);
        self.ini.section(Some(section))?.get(key).map(str::to_owned)
    }

    /// Marks a key as used, so that it is not reported as unknown.
    pub fn mark_used(&mut self, section: &str, key: &str) {
        self.used.insert((section.to_owned(), key.to_owned()));
    }

    /// Records a fault.
    pub fn add_fault(&mut self, section: &str, key: &str, problem: Problem) {
        self.faults.push(Fault { section: section.to_owned(), key: key.to_owned(), problem });
    }

    /// An optional value; a value that cannot be parsed is a fault.
    pub fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
    ) -> Option<T> {
        let found = self.text(section, key)?;
        match found.trim().parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.add_fault(section, key, Problem::Invalid { found, expected });
                None
            }
        }
    }

    /// A value with a default.
    pub fn value_or<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> T {
        self.optional(section, key, expected).unwrap_or(default)
    }

    /// A value with a default that also applies to a blank value, as templates may leave it.
    pub fn value_or_if_blank<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> T {
        match self.text(section, key) {
            Some(text) if !text.trim().is_empty() => self.value_or(section, key, expected, default),
            _ => default,
        }
    }

    /// A number with a default; a number outside the inclusive bounds is a fault.
    pub fn bounded<T: FromStr + PartialOrd + Copy>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
        bounds: (T, T),
        default: T,
    ) -> T {
        let value = self.value_or(section, key, expected, default);
        if value >= bounds.0 && value <= bounds.1 {
            return value;
        }
        let found = self.text(section, key).unwrap_or_default();
        self.add_fault(section, key, Problem::Invalid { found, expected });
        default
    }

    /// A time in milliseconds, from 1 ms to a day, with a default.
    pub fn millis(&mut self, section: &str, key: &str, default_ms: u64) -> Duration {
        let expected = "a whole number of milliseconds from 1 to 86400000";
        let bounds = (1, 86_400_000);
        Duration::from_millis(self.bounded(section, key, expected, bounds, default_ms))
    }

    /// A time in seconds, possibly fractional, from 1 ms to a day, with a default.
    pub fn seconds(&mut self, section: &str, key: &str, default_s: f64) -> Duration {
        let expected = "a number of seconds from 0.001 to 86400";
        let bounds = (0.001, 86_400.0);
        Duration::from_secs_f64(self.bounded(section, key, expected, bounds, default_s))
    }

    /// An optional time in milliseconds, from 1 ms to a day.
    pub fn optional_millis(&mut self, section: &str, key: &str) -> Option<Duration> {
        self.text(section, key)?;
        Some(self.millis(section, key, 1))
    }

    /// A required value; `None` after recording a fault if it is missing or cannot be parsed.
    pub fn required<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
    ) -> Option<T> {
        if self.text(section, key).is_none() {
            self.add_fault(section, key, Problem::Missing { expected });
        }
        self.optional(section, key, expected)
    }

    /// Finishes the file: adds a fault for each unused key and returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, ConfigError> {
        self.add_unknown_keys();
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(ConfigError::Faults { path: self.path, faults: self.faults }),
        }
    }

    /// Splits a comma-separated list and drops empty items.
    pub fn split_list(text: &str) -> Vec<String> {
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::to_owned).collect()
    }

    fn add_unknown_keys(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                let section_and_key = (section.to_owned(), key.to_owned());
                if !self.used.contains(&section_and_key) {
                    unknown.push(section_and_key);
                }
            }
        }
        for (section, key) in unknown {
            self.add_fault(&section, &key, Problem::Unknown);
        }
    }
}
