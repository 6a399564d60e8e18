//! Schedules: the same for the same seed, of all kinds, and over before the calm end.

use std::{collections::HashSet, mem::discriminant, time::Duration};

use pondwalk_soak::{
    checks::COLD_TIME,
    options::Size,
    schedule::{Act, CALM_END, draw},
};

const LENGTH: Duration = Duration::from_secs(60);

#[test]
fn a_seed_gives_the_same_schedule_each_time_and_another_one_another() {
    assert_eq!(draw(7, LENGTH, Size::SMALL), draw(7, LENGTH, Size::SMALL));
    assert_ne!(draw(7, LENGTH, Size::SMALL), draw(8, LENGTH, Size::SMALL));
}

#[test]
fn fifty_seeds_bring_every_kind_of_fault_and_leave_the_end_calm() {
    let steps: Vec<_> = (0..50).flat_map(|seed| draw(seed, LENGTH, Size::SMALL)).collect();
    let kinds: HashSet<_> = steps.iter().map(|step| discriminant(&step.act)).collect();
    assert_eq!(kinds.len(), 19);
    for step in steps {
        let lasts = match step.act {
            Act::Pause(_, time) | Act::Weather(_, time) | Act::Evacuate(_, time) => time,
            Act::KillServer(_, time) => time + COLD_TIME,
            _ => Duration::ZERO,
        };
        assert!(step.at + lasts < LENGTH - CALM_END, "{step}");
    }
}
