//! A short run with real processes keeps every promise.

use std::{collections::HashSet, mem::discriminant, process::Command, time::Duration};

use pondwalk_soak::{options::Size, schedule::draw};

/// Seeds whose schedules have every kind of fault between them.
const SEEDS: [&str; 2] = ["9280", "13472"];
/// Seconds of one run.
const SECONDS: u64 = 35;

#[test]
fn the_seeds_of_the_short_runs_bring_every_kind_of_fault() {
    let steps = SEEDS.iter().flat_map(|seed| {
        draw(seed.parse().expect("a number"), Duration::from_secs(SECONDS), Size::SMALL)
    });
    let kinds: HashSet<_> = steps.map(|step| discriminant(&step.act)).collect();
    assert_eq!(kinds.len(), 19);
}

#[test]
fn short_runs_with_real_processes_keep_every_promise() {
    for seed in SEEDS {
        let folder = std::env::temp_dir().join(format!("pondwalk-soak-{}", std::process::id()));
        let run = Command::new(env!("CARGO_BIN_EXE_soak"))
            .args(["--seed", seed, "--seconds", &SECONDS.to_string(), "--logs"])
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
