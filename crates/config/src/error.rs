//! Faults found in a file, each with its section, its key and the expected value.

use std::{fmt, path::PathBuf};

use thiserror::Error;

/// What is wrong with one key or section.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// A required key is missing.
    #[error("is missing; expected {expected}")]
    Missing {
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A value cannot be parsed or is out of range.
    #[error("is `{found}`; expected {expected}")]
    Invalid {
        /// The text found.
        found: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A key that no setting uses.
    #[error("is not a known setting")]
    Unknown,
    /// A name refers to something that is not defined.
    #[error("refers to `{name}`, which no section defines")]
    Undefined {
        /// The name that is not defined.
        name: String,
    },
    /// A template uses a parameter that the workspace does not define.
    #[error("needs the parameter `{name}`, which the workspace does not define")]
    NoParameter {
        /// The parameter.
        name: String,
    },
}

/// One fault with its section and key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section name; empty for keys before the first section.
    pub section: String,
    /// Key name; empty for the section itself.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, " {}", self.problem)
    }
}

/// Why a file was rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: cannot be read", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not valid INI.
    #[error("{}:{line}: invalid INI: {reason}", path.display())]
    NotIni {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The parser's reason.
        reason: String,
    },
    /// Keys or values have faults.
    #[error("{}", list(path, faults))]
    Faults {
        /// The file.
        path: PathBuf,
        /// All faults, in the order found.
        faults: Vec<Fault>,
    },
}

fn list(path: &std::path::Path, faults: &[Fault]) -> String {
    let lines = faults.iter().map(|fault| format!("{}: {fault}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}
