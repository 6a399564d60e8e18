//! What many entries see of a version on trial, weighed together: how often a good version is called
//! bad, and how soon a bad one is, by simulation.

use std::time::Duration;

use pondwalk_decide::direct::{Evidence, EvidencePool, Observation, RollOut, Stage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How the servers of a version answer; three in ten of the old one's answers count as slow.
#[derive(Debug, Clone, Copy)]
struct Version {
    failing: f64,
    slow: f64,
    /// Of how many servers one is sick: half of its answers fail, and nearly all others are slow.
    one_sick_of: Option<u32>,
}

const GOOD: Version = Version { failing: 0.02, slow: 0.3, one_sick_of: None };

impl Version {
    fn answer(self, rng: &mut Pcg64Mcg, server: u32) -> (bool, bool) {
        let is_sick = self.one_sick_of.is_some() && server == 0;
        let (failing, slow) = if is_sick { (0.5, 0.9) } else { (self.failing, self.slow) };
        let failed = rng.random_bool(failing);
        (failed, !failed && rng.random_bool(slow))
    }
}

/// A trial: answers a second of the new version, its servers, and the answers until it ends.
#[derive(Debug, Clone, Copy)]
struct Trial {
    new_per_s: u64,
    servers: u32,
    answers: u32,
}

/// Answers of the new version after which it is called bad, if it is.
fn called_bad_after(trial: Trial, old: Version, new: Version, seed: u64) -> Option<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut pool = EvidencePool::default();
    let kinds = ["brief", "digest", "chat"];
    for number in 0..trial.answers {
        let now = ms(u64::from(number) * 1_000 / trial.new_per_s);
        // NB: the old version has most of the work, and is told of in sums.
        for kind in kinds {
            let (failed, slow) = old.answer(&mut rng, 1);
            pool.apply(Observation::single(kind, None, failed, Some(slow)), now);
        }
        let server = rng.random_range(0..trial.servers);
        let (failed, slow) = new.answer(&mut rng, server);
        let kind = kinds[rng.random_range(0..kinds.len())];
        pool.apply(Observation::single(kind, Some(&format!("s{server}")), failed, Some(slow)), now);
        if number % 8 == 7 && pool.is_bad(now) {
            return Some(number + 1);
        }
    }
    None
}

/// Of so many trials, those in which the version was called bad after at most so many answers.
fn called_bad(trials: u64, trial: Trial, old: Version, new: Version, within: u32) -> usize {
    let calls = |seed: &u64| {
        called_bad_after(trial, old, new, *seed).is_some_and(|answers| answers <= within)
    };
    (0..trials).filter(calls).count()
}

const LARGE: Trial = Trial { new_per_s: 70, servers: 60, answers: 400 };
const SMALL: Trial = Trial { new_per_s: 25, servers: 12, answers: 250 };

#[test]
fn a_version_as_good_as_the_old_one_is_hardly_ever_called_bad() {
    assert!(called_bad(1_000, LARGE, GOOD, GOOD, u32::MAX) <= 1);
    assert!(called_bad(1_000, SMALL, GOOD, GOOD, u32::MAX) <= 1);
}

#[test]
fn nor_is_it_while_both_versions_are_in_trouble() {
    let trouble = Version { failing: 0.15, slow: 0.45, one_sick_of: None };
    let called = called_bad(500, LARGE, trouble, trouble, u32::MAX);
    assert!(called <= 2, "{called} of 500, large");
    let called = called_bad(500, SMALL, trouble, trouble, u32::MAX);
    assert!(called <= 2, "{called} of 500, small");
}

#[test]
fn one_sick_server_does_not_make_its_version_bad() {
    for servers in [4, 6, 12] {
        let trial = Trial { servers, ..SMALL };
        let sick = Version { one_sick_of: Some(servers), ..GOOD };
        let called = called_bad(300, trial, GOOD, sick, u32::MAX);
        assert!(called <= 3, "{called} of 300 with {servers} servers");
    }
}

#[test]
fn a_bad_version_is_called_bad_soon() {
    let slow = Version { slow: 0.65, ..GOOD };
    let failing = Version { failing: 0.5, ..GOOD };
    for (trial, name) in [(LARGE, "large"), (SMALL, "small")] {
        let called = called_bad(300, trial, GOOD, slow, 160);
        assert!(called >= 297, "{name}, slow: {called} of 300 within 160 answers");
        let called = called_bad(300, trial, GOOD, failing, 40);
        assert!(called >= 297, "{name}, failing: {called} of 300 within 40 answers");
    }
}

#[test]
fn a_version_that_turns_bad_late_is_called_bad_as_soon() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let late = Version { failing: 0.5, ..GOOD };
    for _ in 0..50 {
        let mut pool = EvidencePool::default();
        let mut called_at = None;
        for number in 0..1_500u64 {
            let now = ms(number * 14);
            let version = if number < 1_000 { GOOD } else { late };
            let server = rng.random_range(0..60);
            let (failed, slow) = version.answer(&mut rng, server);
            pool.apply(Observation::single("brief", None, false, Some(false)), now);
            pool.apply(
                Observation::single("brief", Some(&format!("s{server}")), failed, Some(slow)),
                now,
            );
            if number % 8 == 7 && pool.is_bad(now) {
                called_at = called_at.or(Some(number));
            }
        }
        let called_at = called_at.expect("it is called bad");
        assert!((1_000..1_300).contains(&called_at), "{called_at}: 4 s are 290 answers");
    }
}

#[test]
fn a_version_that_fails_one_kind_of_request_only_is_called_bad_by_that_kind() {
    let mut rng = Pcg64Mcg::seed_from_u64(12);
    let mut pool = EvidencePool::default();
    for number in 0..300u64 {
        let now = ms(number * 14);
        let kind = if number % 8 == 0 { "chat" } else { "brief" };
        let failed = kind == "chat" && rng.random_bool(0.6);
        let server = format!("s{}", number % 30);
        pool.apply(Observation::single(kind, Some(&server), failed, Some(false)), now);
        pool.apply(Observation::single(kind, None, false, Some(false)), now);
    }
    assert!(pool.is_bad(ms(4_200)));
}

#[test]
fn what_many_entries_saw_a_little_of_trips_the_one_that_hears_it_all() {
    let mut root = RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300));
    root.apply_stage(Stage::Trial, ms(0));
    // NB: each of 40 entries sees one answer only, every other a failure.
    for n in 0..40u64 {
        let mut entry = RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300));
        entry.apply_stage(Stage::Trial, ms(0));
        let server = format!("s{}", n % 9);
        let seen = Evidence { kind: "k", server: &server, failed: n % 2 == 0, slowness: 1.0 };
        assert!(!entry.record_answer("v2", &seen, ms(2_000)));
        assert!(!entry.evaluate(ms(2_000)));
        let seen = entry.take_due_observations(ms(2_100), ms(250)).expect("it has seen something");
        assert_eq!(entry.take_due_observations(ms(2_400), ms(250)), None, "nothing new");
        root.apply_observations(seen, ms(50), ms(2_150));
    }
    assert!(!root.is_tripped());
    assert!(root.evaluate(ms(2_200)) && root.has_tripped_locally() && root.is_withdrawn());
    assert!(!root.evaluate(ms(2_300)), "once is enough");
}

#[test]
fn what_cannot_have_been_seen_is_left_out() {
    let mut one = RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300));
    one.apply_stage(Stage::Trial, ms(0));
    for server in ["a", "b", "c", "d", "e"] {
        let mut seen = Observation::single("k", Some(server), true, None);
        seen.tally.failed = 1_000;
        one.apply_observations(vec![seen], ms(0), ms(1_000));
    }
    assert!(!one.evaluate(ms(1_000)));
}
