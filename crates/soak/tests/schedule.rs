//! Schedules are reproducible by seed, cover all actions and end before the fault-free time.

use std::{collections::HashSet, mem::discriminant, time::Duration};

use pondwalk_soak::{
    checks::WARM_UP_TIME,
    options::Size,
    schedule::{Action, FAULT_FREE_END, generate},
};

const LENGTH: Duration = Duration::from_secs(60);

#[test]
fn schedules_are_reproducible_by_seed() {
    assert_eq!(generate(7, LENGTH, Size::SMALL), generate(7, LENGTH, Size::SMALL));
    assert_ne!(generate(7, LENGTH, Size::SMALL), generate(8, LENGTH, Size::SMALL));
}

#[test]
fn fifty_seeds_cover_all_actions_and_keep_the_end_fault_free() {
    let steps: Vec<_> = (0..50).flat_map(|seed| generate(seed, LENGTH, Size::SMALL)).collect();
    let kinds: HashSet<_> = steps.iter().map(|step| discriminant(&step.action)).collect();
    assert_eq!(kinds.len(), 29);
    for step in steps {
        let duration = match step.action {
            Action::Pause(_, time) | Action::Weather(_, time) | Action::Evacuate(_, time) => time,
            Action::KillServer(_, time) => time + WARM_UP_TIME,
            _ => Duration::ZERO,
        };
        assert!(step.at + duration < LENGTH - FAULT_FREE_END, "{step}");
    }
}
