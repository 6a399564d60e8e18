//! Settings and expected outcomes of a replay.

use std::{fmt, time::Duration};

use pondwalk_types::Policy;

use crate::{
    error::{ConfigError, Problem},
    policy::read_policy,
    raw::RawFile,
};

const SECTION: &str = "replay";

/// Checked settings of a replay.
#[derive(Debug, Clone)]
pub struct ReplaySettings {
    /// Time from an answer to its rating.
    pub rating_delay: Duration,
    /// Share of answers that are rated, from 0 to 1.
    pub rating_share: f64,
    /// Number of requests that may wait at each server.
    pub queue: u32,
    /// Time after which a draining server must receive no new work.
    pub leaving_grace: Duration,
    /// Delay of the list of live and draining instances.
    pub instance_list_lag: Duration,
    /// Workspace whose policy applies to workspaces that appear only in the trace, if any.
    pub default_workspace: Option<String>,
    /// Initial configuration.
    pub policy: Policy,
}

impl TryFrom<RawFile> for ReplaySettings {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let settings = read(&mut file);
        file.finish(Some(settings))
    }
}

fn read(file: &mut RawFile) -> ReplaySettings {
    let policy = read_policy(file);
    let share = "a number from 0 to 1";
    let count = "a whole number from 1 to 100000";
    let default_workspace = file.text(SECTION, "default_workspace");
    if let Some(name) = &default_workspace
        && !policy.workspaces.contains_key(name)
    {
        let problem = Problem::Undefined { name: name.clone() };
        file.add_fault(SECTION, "default_workspace", problem);
    }
    ReplaySettings {
        rating_delay: file.millis(SECTION, "rating_delay_ms", 150),
        rating_share: file.bounded(SECTION, "rating_share", share, (0.0, 1.0), 1.0),
        queue: file.bounded(SECTION, "queue", count, (1, 100_000), 64),
        leaving_grace: file.millis(SECTION, "leaving_grace_ms", 3_000),
        instance_list_lag: file.millis(SECTION, "instance_list_lag_ms", 500),
        default_workspace,
        policy,
    }
}

/// Comparison operator of an expected outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// At most.
    AtMost,
    /// At least.
    AtLeast,
    /// Less than.
    Below,
    /// More than.
    Above,
    /// Equal.
    Equal,
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self {
            Comparison::AtMost => "<=",
            Comparison::AtLeast => ">=",
            Comparison::Below => "<",
            Comparison::Above => ">",
            Comparison::Equal => "==",
        };
        f.write_str(sign)
    }
}

/// One expected outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Path of a value in the report, with dots between names.
    pub path: String,
    /// Operator between the value and the bound.
    pub comparison: Comparison,
    /// Bound.
    pub bound: f64,
}

impl Outcome {
    /// Whether a value of the report satisfies the outcome.
    pub fn is_met(&self, value: f64) -> bool {
        match self.comparison {
            Comparison::AtMost => value <= self.bound,
            Comparison::AtLeast => value >= self.bound,
            Comparison::Below => value < self.bound,
            Comparison::Above => value > self.bound,
            Comparison::Equal => value == self.bound,
        }
    }
}

/// All expected outcomes of a file.
#[derive(Debug, Clone, Default)]
pub struct Outcomes(pub Vec<Outcome>);

impl TryFrom<RawFile> for Outcomes {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let mut outcomes = Vec::new();
        for (path, found) in file.pairs("outcome") {
            file.mark_used("outcome", &path);
            match parse_comparison(&found) {
                Some((comparison, bound)) => {
                    outcomes.push(Outcome { path, comparison, bound });
                }
                None => {
                    let expected = "a comparison and a number, such as `<= 10`";
                    file.add_fault("outcome", &path, Problem::Invalid { found, expected });
                }
            }
        }
        file.finish(Some(Outcomes(outcomes)))
    }
}

fn parse_comparison(text: &str) -> Option<(Comparison, f64)> {
    const SIGNS: [(&str, Comparison); 6] = [
        ("<=", Comparison::AtMost),
        (">=", Comparison::AtLeast),
        ("==", Comparison::Equal),
        ("<", Comparison::Below),
        (">", Comparison::Above),
        ("=", Comparison::Equal),
    ];
    let text = text.trim();
    let (sign, comparison) = SIGNS.iter().find(|(sign, _)| text.starts_with(sign))?;
    let bound: f64 = text[sign.len()..].trim().parse().ok()?;
    bound.is_finite().then_some((*comparison, bound))
}
