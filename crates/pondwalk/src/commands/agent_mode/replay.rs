//! `pondwalk replay`: replays a trace and prints a JSON report.

use pondwalk_config::{Outcomes, RawFile, ReplaySettings};
use pondwalk_replay::{Trace, replay};

use crate::{exit::Exit, options::ReplayOptions};

/// Replays a trace and checks the expected outcomes.
pub fn run(options: &ReplayOptions) -> anyhow::Result<Exit> {
    let settings = ReplaySettings::try_from(RawFile::load(&options.settings)?)?;
    let outcomes = match &options.outcomes {
        Some(path) => Outcomes::try_from(RawFile::load(path)?)?,
        None => Outcomes::default(),
    };
    let trace = Trace::load(&options.trace)?;
    let file = options.trace.display().to_string();
    let report = replay(&file, &trace, &settings, options.policy, options.seed)?;
    println!("{}", serde_json::to_string_pretty(&report.to_json())?);
    let unmet = report.unmet(&outcomes);
    for outcome in &unmet {
        eprintln!("{outcome}");
    }
    Ok(if unmet.is_empty() { Exit::Success } else { Exit::CheckFailed })
}
