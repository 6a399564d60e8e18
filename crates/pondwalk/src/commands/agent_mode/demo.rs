//! `pondwalk demo`: a user's day on stand-ins, or faults, with the promises checked.

use pondwalk_config::shared::LogLevel;
use pondwalk_demo::{faults::Fault, run_day};

use crate::{exit::Exit, options::DemoOptions, telemetry};

/// Cases shown of a broken promise.
const SHOWN: usize = 5;

/// Plays the day, or brings faults about; fails if a promise was broken.
pub fn run(options: &DemoOptions) -> anyhow::Result<Exit> {
    telemetry::start_logs(LogLevel::Error)?;
    let runtime = tokio::runtime::Runtime::new()?;
    if options.faults {
        return runtime.block_on(bring_about_faults());
    }
    let report = runtime.block_on(run_day(options.deployment, |what| println!("{what}")))?;
    println!("\n{}", report.table);
    for promise in &report.promises {
        show(promise.name, promise.tried, &promise.broken);
    }
    Ok(if report.is_good() { Exit::Success } else { Exit::Unmet })
}

async fn bring_about_faults() -> anyhow::Result<Exit> {
    let mut good = true;
    for fault in Fault::ALL {
        let finding = fault.bring_about().await?;
        good &= finding.broken.is_empty();
        show(finding.name, finding.tried, &finding.broken);
    }
    Ok(if good { Exit::Success } else { Exit::Unmet })
}

fn show(name: &str, tried: u64, broken: &[String]) {
    let verdict = if broken.is_empty() { "held" } else { "BROKEN" };
    println!("{verdict:<7} {name:<86} tried {tried:>5}, broken {}", broken.len());
    for case in broken.iter().take(SHOWN) {
        println!("        {case}");
    }
}
