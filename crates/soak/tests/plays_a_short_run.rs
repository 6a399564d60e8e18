//! A short run with real processes keeps every promise.

use std::process::Command;

/// Seeds whose schedules have every kind of fault between them.
const SEEDS: [&str; 2] = ["10", "13"];
/// Seconds of one run.
const SECONDS: &str = "35";

#[test]
fn short_runs_with_real_processes_keep_every_promise() {
    for seed in SEEDS {
        let folder = std::env::temp_dir().join(format!("pondwalk-soak-{}", std::process::id()));
        let run = Command::new(env!("CARGO_BIN_EXE_soak"))
            .args(["--seed", seed, "--seconds", SECONDS, "--logs"])
            .arg(&folder)
            .output()
            .expect("the soak starts");
        let told = String::from_utf8_lossy(&run.stdout);
        let errors = String::from_utf8_lossy(&run.stderr);
        assert!(run.status.success(), "{told}{errors}");
        // NB: the logs of a run that broke something stay.
        std::fs::remove_dir_all(&folder).expect("its folder");
    }
}
