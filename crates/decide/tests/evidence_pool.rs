//! Pooled evidence of many entries about a version on trial: how often a good version is rejected,
//! and how soon a bad one, by simulation.

use std::time::Duration;

use pondwalk_decide::direct::{
    Evidence, EvidencePool, Observation, RollOut, RollOutStep, Slowness, Stage,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How the servers of a version answer; three in ten of the old version's answers count as slow.
#[derive(Debug, Clone, Copy)]
struct Version {
    failing: f64,
    slow: f64,
    /// The number of servers if one of them is faulty: half of its answers fail, and nearly all
    /// others are slow.
    one_faulty_of: Option<u32>,
}

const GOOD: Version = Version { failing: 0.02, slow: 0.3, one_faulty_of: None };

impl Version {
    fn answer(self, rng: &mut Pcg64Mcg, server: u32) -> (bool, bool) {
        let is_faulty = self.one_faulty_of.is_some() && server == 0;
        let (failing, slow) = if is_faulty { (0.5, 0.9) } else { (self.failing, self.slow) };
        let failed = rng.random_bool(failing);
        (failed, !failed && rng.random_bool(slow))
    }
}

/// Of the answers that are slow, a third are very slow, as of the old version's.
fn slowness(rng: &mut Pcg64Mcg, is_slow: bool) -> Slowness {
    match is_slow {
        true if rng.random_bool(1.0 / 3.0) => Slowness::VerySlow,
        true => Slowness::Slow,
        false => Slowness::Ordinary,
    }
}

/// A trial: answers a second of the new version, its servers, and the number of answers until it
/// ends.
#[derive(Debug, Clone, Copy)]
struct Trial {
    new_per_s: u64,
    servers: u32,
    answers: u32,
}

/// Number of the new version's answers after which it is rejected, if it is.
fn answers_until_rejected(trial: Trial, old: Version, new: Version, seed: u64) -> Option<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut pool = EvidencePool::default();
    let kinds = ["brief", "digest", "chat"];
    for number in 0..trial.answers {
        let now = ms(u64::from(number) * 1_000 / trial.new_per_s);
        // NB: the old version has most of the traffic; its answers are reported as sums.
        for kind in kinds {
            let (failed, slow) = old.answer(&mut rng, 1);
            pool.apply(
                Observation::single(kind, None, failed, Some(slowness(&mut rng, slow))),
                now,
            );
        }
        let server = rng.random_range(0..trial.servers);
        let (failed, slow) = new.answer(&mut rng, server);
        let kind = kinds[rng.random_range(0..kinds.len())];
        pool.apply(
            Observation::single(
                kind,
                Some(&format!("s{server}")),
                failed,
                Some(slowness(&mut rng, slow)),
            ),
            now,
        );
        if number % 8 == 7 && pool.is_bad(now) {
            return Some(number + 1);
        }
    }
    None
}

/// Number of trials in which the version is rejected after at most `within` answers.
fn count_rejected(trials: u64, trial: Trial, old: Version, new: Version, within: u32) -> usize {
    let is_rejected = |seed: &u64| {
        answers_until_rejected(trial, old, new, *seed).is_some_and(|answers| answers <= within)
    };
    (0..trials).filter(is_rejected).count()
}

const LARGE: Trial = Trial { new_per_s: 70, servers: 60, answers: 400 };
const SMALL: Trial = Trial { new_per_s: 25, servers: 12, answers: 250 };

#[test]
fn an_equal_version_is_rarely_rejected() {
    assert!(count_rejected(1_000, LARGE, GOOD, GOOD, u32::MAX) <= 1);
    assert!(count_rejected(1_000, SMALL, GOOD, GOOD, u32::MAX) <= 1);
}

#[test]
fn a_fault_of_both_versions_rarely_rejects() {
    let faulty_both = Version { failing: 0.15, slow: 0.45, one_faulty_of: None };
    let rejected = count_rejected(500, LARGE, faulty_both, faulty_both, u32::MAX);
    assert!(rejected <= 2, "{rejected} of 500, large");
    let rejected = count_rejected(500, SMALL, faulty_both, faulty_both, u32::MAX);
    assert!(rejected <= 2, "{rejected} of 500, small");
}

#[test]
fn one_faulty_server_rarely_rejects_its_version() {
    for servers in [4, 6, 12] {
        let trial = Trial { servers, ..SMALL };
        let faulty = Version { one_faulty_of: Some(servers), ..GOOD };
        let rejected = count_rejected(300, trial, GOOD, faulty, u32::MAX);
        assert!(rejected <= 3, "{rejected} of 300 with {servers} servers");
    }
}

#[test]
fn a_bad_version_is_rejected_soon() {
    let slow = Version { slow: 0.65, ..GOOD };
    let failing = Version { failing: 0.5, ..GOOD };
    for (trial, name) in [(LARGE, "large"), (SMALL, "small")] {
        let rejected = count_rejected(300, trial, GOOD, slow, 160);
        assert!(rejected >= 297, "{name}, slow: {rejected} of 300 within 160 answers");
        let rejected = count_rejected(300, trial, GOOD, failing, 40);
        assert!(rejected >= 297, "{name}, failing: {rejected} of 300 within 40 answers");
    }
}

#[test]
fn a_version_that_turns_bad_late_is_rejected_as_soon() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let late = Version { failing: 0.5, ..GOOD };
    for _ in 0..50 {
        let mut pool = EvidencePool::default();
        let mut rejected_at = None;
        for number in 0..1_500u64 {
            let now = ms(number * 14);
            let version = if number < 1_000 { GOOD } else { late };
            let server = rng.random_range(0..60);
            let (failed, slow) = version.answer(&mut rng, server);
            pool.apply(Observation::single("brief", None, false, Some(Slowness::Ordinary)), now);
            pool.apply(
                Observation::single(
                    "brief",
                    Some(&format!("s{server}")),
                    failed,
                    Some(slowness(&mut rng, slow)),
                ),
                now,
            );
            if number % 8 == 7 && pool.is_bad(now) {
                rejected_at = rejected_at.or(Some(number));
            }
        }
        let rejected_at = rejected_at.expect("the version is rejected");
        assert!((1_000..1_300).contains(&rejected_at), "{rejected_at}: 4 s are 290 answers");
    }
}

#[test]
fn a_version_that_fails_one_kind_of_request_is_rejected() {
    let mut rng = Pcg64Mcg::seed_from_u64(12);
    let mut pool = EvidencePool::default();
    for number in 0..300u64 {
        let now = ms(number * 14);
        let kind = if number % 8 == 0 { "chat" } else { "brief" };
        let failed = kind == "chat" && rng.random_bool(0.6);
        let server = format!("s{}", number % 30);
        pool.apply(Observation::single(kind, Some(&server), failed, Some(Slowness::Ordinary)), now);
        pool.apply(Observation::single(kind, None, false, Some(Slowness::Ordinary)), now);
    }
    assert!(pool.is_bad(ms(4_200)));
}

#[test]
fn observations_of_many_entries_trip_the_root() {
    let mut root = RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300));
    root.apply_stage(Stage::Trial, ms(0));
    // NB: each of 40 entries sees one answer only, and every other answer is a failure.
    for n in 0..40u64 {
        let mut entry = RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300));
        entry.apply_stage(Stage::Trial, ms(0));
        let server = format!("s{}", n % 9);
        let evidence = Evidence {
            kind: "k",
            server: &server,
            failed: n % 2 == 0,
            is_cached: false,
            slowness: 1.0,
        };
        assert!(!entry.record_answer("v2", &evidence, ms(2_000)));
        assert!(!entry.evaluate(ms(2_000)));
        let observations =
            entry.take_due_observations(ms(2_100), ms(250)).expect("an unpublished observation");
        assert_eq!(
            entry.take_due_observations(ms(2_400), ms(250)),
            None,
            "everything is published"
        );
        root.apply_observations(observations, ms(50), ms(2_150));
    }
    assert!(!root.is_tripped());
    assert!(root.evaluate(ms(2_200)) && root.has_tripped_locally() && root.is_withdrawn());
    assert!(!root.evaluate(ms(2_300)), "a version is rejected once");
}

#[test]
fn impossible_observations_are_ignored() {
    let mut roll_out = RollOut::new("v2".to_owned(), ms(20_000), ms(0), 0.1, ms(300));
    roll_out.apply_stage(Stage::Trial, ms(0));
    for server in ["a", "b", "c", "d", "e"] {
        let mut observation = Observation::single("k", Some(server), true, None);
        observation.tally.failed = 1_000;
        roll_out.apply_observations(vec![observation], ms(0), ms(1_000));
    }
    assert!(!roll_out.evaluate(ms(1_000)));
}

/// Number of trials, of 300, that end with doubts about a version that gets four answers a second
/// for five seconds, as a service with little traffic does; `very_slow` is the share of its answers
/// that are slower than nine in ten of the old version's.
fn count_doubtful(very_slow: f64, slow: f64) -> usize {
    let is_doubtful = |seed: &u64| {
        let mut rng = Pcg64Mcg::seed_from_u64(*seed);
        let mut pool = EvidencePool::default();
        let mut draw = |pool: &mut EvidencePool, server: Option<&str>, shares: (f64, f64), now| {
            let drawn = rng.random_range(0.0..1.0);
            let slowness = match drawn {
                drawn if drawn < shares.0 => Slowness::VerySlow,
                drawn if drawn < shares.1 => Slowness::Slow,
                _ => Slowness::Ordinary,
            };
            pool.apply(Observation::single("chat", server, false, Some(slowness)), now);
        };
        for number in 0..20u64 {
            let now = ms(number * 250);
            (0..10).for_each(|_| draw(&mut pool, None, (0.1, 0.3), now));
            let server = format!("s{}", number * 7 % 18);
            draw(&mut pool, Some(&server), (very_slow, slow), now);
        }
        pool.is_doubtful(ms(5_000))
    };
    (0..300).filter(is_doubtful).count()
}

#[test]
fn slow_version_is_doubtful_after_few_answers_and_a_good_one_is_not() {
    let slow = count_doubtful(0.6, 0.8);
    assert!(slow >= 294, "slow: {slow} of 300");
    let equal = count_doubtful(0.1, 0.3);
    assert!(equal <= 3, "equal: {equal} of 300");
}

#[test]
fn doubtful_version_is_reverted_at_the_end_of_its_trial() {
    let mut roll_out = RollOut::new("v2".to_owned(), ms(13_000), ms(0), 0.1, ms(300));
    roll_out.apply_stage(Stage::Trial, ms(300));
    let answer = |version: &str, server: &str, slowness: f64, roll_out: &mut RollOut, now| {
        let evidence = Evidence { kind: "chat", server, failed: false, is_cached: false, slowness };
        roll_out.record_answer(version, &evidence, now);
    };
    for number in 0..200u64 {
        let (now, slowness) = (ms(400 + number * 30), 1.0 + (number % 20) as f64 / 20.0);
        answer("v1", "old", slowness, &mut roll_out, now);
        if number > 100 && number % 14 == 0 {
            answer("v2", &format!("s{number}"), 2.2, &mut roll_out, now);
        }
    }
    assert!(!roll_out.evaluate(ms(6_500)), "the trial goes on");
    assert_eq!(roll_out.next_step(ms(6_500)), Some(RollOutStep::Keep));
    assert!(roll_out.evaluate(ms(6_900)), "its end decides");
    assert_eq!(roll_out.next_step(ms(6_900)), Some(RollOutStep::Revert));
}

#[test]
fn requests_without_an_answer_in_time_count_as_very_slow() {
    let mut roll_out = RollOut::new("v2".to_owned(), ms(15_000), ms(0), 0.1, ms(300));
    roll_out.apply_stage(Stage::Trial, ms(300));
    let mut rejected = false;
    for number in 0..200u64 {
        let now = ms(400 + number * 25);
        // One in five of the old version's answers is a failure that comes soon.
        let old = Evidence {
            kind: "lookup",
            server: "old",
            failed: number % 5 == 0,
            is_cached: false,
            slowness: 1.0 + (number % 20) as f64 / 20.0,
        };
        roll_out.record_answer("v1", &old, now);
        if number > 40 && number % 8 == 0 {
            let server = format!("s{}", number / 24 % 3);
            let (failed, slowness) = match number / 8 % 3 {
                0 => (true, 4.5),
                1 => (false, 5.0),
                _ => (false, 1.2),
            };
            let new =
                Evidence { kind: "lookup", server: &server, failed, is_cached: false, slowness };
            rejected |= roll_out.record_answer("v2", &new, now);
        }
    }
    assert!(rejected || roll_out.evaluate(ms(5_500)) || roll_out.evaluate(ms(8_000)));
}

/// Whether a version is rejected that answers like the old one on trial, and half of the requests very
/// slowly while its share widens.
fn is_rejected_while_widening(is_cached: bool) -> bool {
    let mut roll_out = RollOut::new("v2".to_owned(), ms(15_000), ms(0), 0.1, ms(300));
    roll_out.apply_stage(Stage::Trial, ms(300));
    for number in 0..500u64 {
        let now = ms(1_000 + number * 20);
        if number == 350 {
            roll_out.apply_stage(Stage::Widening, now);
        }
        let is_new = number % 25 == 0 || number >= 350 && number % 4 < 2;
        let server = if is_new { format!("s{}", number % 7) } else { "old".to_owned() };
        let is_slow = is_new && number >= 350 && number % 8 < 4;
        let slowness = if is_slow { 2.4 } else { 1.0 + (number % 20) as f64 / 20.0 };
        let evidence =
            Evidence { kind: "chat", server: &server, failed: false, is_cached, slowness };
        roll_out.record_answer(if is_new { "v2" } else { "v1" }, &evidence, now);
        if roll_out.evaluate(now) || roll_out.is_tripped() {
            return true;
        }
    }
    false
}

#[test]
fn version_that_turns_slow_while_its_share_widens_is_rejected() {
    assert!(is_rejected_while_widening(false));
}

#[test]
fn version_whose_servers_have_no_cache_yet_is_not_rejected_while_its_share_widens() {
    assert!(!is_rejected_while_widening(true));
}
