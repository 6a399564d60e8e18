//! `pondwalk demo`: a user's day on stand-ins, with the promises checked.

use pondwalk_config::shared::LogLevel;
use pondwalk_demo::{promises::Promise, run_day};

use crate::{exit::Exit, options::DemoOptions, telemetry};

/// Cases shown of a broken promise.
const SHOWN: usize = 5;

/// Plays the day; fails if a promise was broken.
pub fn run(options: &DemoOptions) -> anyhow::Result<Exit> {
    telemetry::start_logs(LogLevel::Error)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(run_day(options.deployment, |what| println!("{what}")))?;
    println!("\n{}", report.table);
    for promise in &report.promises {
        print(promise);
    }
    Ok(if report.is_good() { Exit::Success } else { Exit::Unmet })
}

fn print(promise: &Promise) {
    let verdict = if promise.broken.is_empty() { "held" } else { "BROKEN" };
    println!(
        "{verdict:<7} {:<72} tried {:>5}, broken {}",
        promise.name,
        promise.tried,
        promise.broken.len()
    );
    for case in promise.broken.iter().take(SHOWN) {
        println!("        {case}");
    }
}
