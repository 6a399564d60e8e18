//! `pondwalk demo`: simulates a deployment's day or injects faults on stand-in systems, and checks the promises.

use pondwalk_config::shared::LogLevel;
use pondwalk_demo::{faults::Fault, run_day};

use crate::{exit::Exit, options::DemoOptions, telemetry};

/// Maximum number of printed cases per broken promise.
const MAX_CASES_SHOWN: usize = 5;

/// Simulates the day, or injects faults; fails if a promise was broken.
pub fn run(options: &DemoOptions) -> anyhow::Result<Exit> {
    telemetry::start_logs(LogLevel::Error)?;
    let runtime = tokio::runtime::Runtime::new()?;
    if options.faults {
        return runtime.block_on(inject_faults());
    }
    let report = runtime.block_on(run_day(options.deployment, |step| println!("{step}")))?;
    println!("\n{}", report.table);
    for promise in &report.promises {
        show(promise.name, promise.checked, &promise.broken);
    }
    Ok(if report.has_passed() { Exit::Success } else { Exit::CheckFailed })
}

async fn inject_faults() -> anyhow::Result<Exit> {
    let mut all_kept = true;
    for fault in Fault::ALL {
        let finding = fault.inject().await?;
        all_kept &= finding.broken.is_empty();
        show(finding.name, finding.checked, &finding.broken);
    }
    Ok(if all_kept { Exit::Success } else { Exit::CheckFailed })
}

fn show(name: &str, tried: u64, broken: &[String]) {
    let verdict = if broken.is_empty() { "held" } else { "BROKEN" };
    println!("{verdict:<7} {name:<86} tried {tried:>5}, broken {}", broken.len());
    for case in broken.iter().take(MAX_CASES_SHOWN) {
        println!("        {case}");
    }
}
