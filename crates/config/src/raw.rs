//! Raw INI files, and typed access that gathers every fault.

use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use ini::{Ini, ParseOption};

use crate::error::{ConfigError, Fault, Problem};

/// An INI file as read, with the keys used and the faults found so far.
#[derive(Debug)]
pub struct RawFile {
    path: PathBuf,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl RawFile {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Reads text as if it stood in the file `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ConfigError> {
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| ConfigError::NotIni {
            path: path.to_owned(),
            line: error.line,
            reason: error.msg.into_owned(),
        })?;
        Ok(RawFile { path: path.to_owned(), ini, used: BTreeSet::new(), faults: Vec::new() })
    }

    /// Whether a section is there.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Names of the sections called `KIND NAME`, without the kind.
    pub fn names_of(&self, kind: &str) -> Vec<String> {
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

    /// A value's text, if the key is there.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.mark_used(section, key);
        self.ini.section(Some(section))?.get(key).map(str::to_owned)
    }

    /// Notes that a key has its reader.
    pub fn mark_used(&mut self, section: &str, key: &str) {
        self.used.insert((section.to_owned(), key.to_owned()));
    }

    /// Records a fault.
    pub fn fault(&mut self, section: &str, key: &str, problem: Problem) {
        self.faults.push(Fault { section: section.to_owned(), key: key.to_owned(), problem });
    }

    /// A value that may be absent; a value that cannot be read is a fault.
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
                self.fault(section, key, Problem::Invalid { found, expected });
                None
            }
        }
    }

    /// A value with a default.
    pub fn or<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> T {
        self.optional(section, key, expected).unwrap_or(default)
    }

    /// The same, where a template may leave the value blank: then the default holds.
    pub fn or_if_blank<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> T {
        match self.text(section, key) {
            Some(text) if !text.trim().is_empty() => self.or(section, key, expected, default),
            _ => default,
        }
    }

    /// A number with a default that must lie within bounds.
    pub fn within<T: FromStr + PartialOrd + Copy>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
        bounds: (T, T),
        default: T,
    ) -> T {
        let value = self.or(section, key, expected, default);
        if value >= bounds.0 && value <= bounds.1 {
            return value;
        }
        let found = self.text(section, key).unwrap_or_default();
        self.fault(section, key, Problem::Invalid { found, expected });
        default
    }

    /// A time in milliseconds of at least one, with a default.
    pub fn millis(&mut self, section: &str, key: &str, default_ms: u64) -> Duration {
        let expected = "a whole number of milliseconds from 1 to 86400000";
        let bounds = (1, 86_400_000);
        Duration::from_millis(self.within(section, key, expected, bounds, default_ms))
    }

    /// A time in seconds, fractions too, of at least a millisecond, with a default.
    pub fn seconds(&mut self, section: &str, key: &str, default_s: f64) -> Duration {
        let expected = "a number of seconds from 0.001 to 86400";
        let bounds = (0.001, 86_400.0);
        Duration::from_secs_f64(self.within(section, key, expected, bounds, default_s))
    }

    /// A time in milliseconds of at least one, or nothing.
    pub fn optional_millis(&mut self, section: &str, key: &str) -> Option<Duration> {
        self.text(section, key)?;
        Some(self.millis(section, key, 1))
    }

    /// A value that must be there; `None` once the fault is recorded.
    pub fn required<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &'static str,
    ) -> Option<T> {
        if self.text(section, key).is_none() {
            self.fault(section, key, Problem::Missing { expected });
        }
        self.optional(section, key, expected)
    }

    /// Ends the reading: unknown keys and sections are faults, then all faults are reported.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, ConfigError> {
        self.find_unknown();
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(ConfigError::Faults { path: self.path, faults: self.faults }),
        }
    }

    /// Splits a comma-separated list, leaving out empty items.
    pub fn items(text: &str) -> Vec<String> {
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::to_owned).collect()
    }

    fn find_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                let place = (section.to_owned(), key.to_owned());
                if !self.used.contains(&place) {
                    unknown.push(place);
                }
            }
        }
        for (section, key) in unknown {
            self.fault(&section, &key, Problem::Unknown);
        }
    }
}
