//! Short runs with real processes keep every promise.

use std::{collections::HashSet, mem::discriminant, process::Command, time::Duration};

use pondwalk_soak::{options::Size, schedule::generate};

/// Seeds whose schedules together cover all actions.
const SEEDS: [&str; 3] = ["3010", "3214", "4347"];
/// Length of one run in seconds.
const SECONDS: u64 = 35;

#[test]
fn short_run_seeds_cover_all_actions() {
    let steps = SEEDS.iter().flat_map(|seed| {
        generate(seed.parse().expect("a number"), Duration::from_secs(SECONDS), Size::SMALL)
    });
    let kinds: HashSet<_> = steps.map(|step| discriminant(&step.action)).collect();
    assert_eq!(kinds.len(), 29);
}

#[test]
fn short_runs_keep_all_promises() {
    for seed in SEEDS {
        let folder = std::env::temp_dir().join(format!("pondwalk-soak-{}", std::process::id()));
        let run = Command::new(env!("CARGO_BIN_EXE_soak"))
            .args(["--seed", seed, "--seconds", &SECONDS.to_string(), "--logs"])
            .arg(&folder)
            .output()
            .expect("the soak starts");
        let stdout = String::from_utf8_lossy(&run.stdout);
        let stderr = String::from_utf8_lossy(&run.stderr);
        assert!(run.status.success(), "{stdout}{stderr}");
        // A failed run keeps its logs.
        std::fs::remove_dir_all(&folder).expect("the run's folder");
    }
}
