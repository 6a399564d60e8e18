//! What runs prove that have ended.

use std::time::Duration;

use pondwalk_decide::direct::{
    CrashedRequest, EndedRun, FeatureHash, InFlight, Quarantine, RunExtent, ServerCrash,
    is_after_run, part_feature,
};

const CONTENT: FeatureHash = 1;
/// Server at which the run ended, and those that crash later.
const SERVER: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

fn run(extent: RunExtent) -> EndedRun {
    EndedRun {
        request: "r".into(),
        features: vec![CONTENT, part_feature("s", 5)],
        probed: Vec::new(),
        extent,
        took: Duration::from_millis(30),
        service: "s".into(),
        server: "s7".into(),
        server_hash: SERVER,
        version: "v1".into(),
        kind: "k".into(),
        address: ([127, 0, 0, 1], 1).into(),
        may_be_leaving: false,
    }
}

/// A quarantine in which a run has ended.
fn after_run(extent: RunExtent) -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.record_ended_run(run(extent), ms(0));
    quarantine
}

fn settle(quarantine: &mut Quarantine, at: u64) {
    for run in quarantine.take_due_runs(ms(at)) {
        quarantine.settle_run(&run, ms(at));
    }
}

/// Crashes a server under a request with the content that was sent `elapsed_ms` before.
fn crash(quarantine: &mut Quarantine, server: u64, elapsed_ms: u64, at: u64) -> Vec<ServerCrash> {
    let elapsed = Duration::from_millis(elapsed_ms);
    let features = &[CONTENT];
    let crashed = CrashedRequest { features, probed: &[], elapsed, id: server << 8 | at, server };
    quarantine.observe_crash(crashed, ms(at))
}

#[test]
fn whole_run_is_a_success_once_its_server_has_kept_running() {
    let mut quarantine = after_run(RunExtent::Whole);
    for server in 20..26 {
        crash(&mut quarantine, server, 60, server);
        assert!(quarantine.is_exempt(CONTENT), "exempt until the server may crash no more");
    }
    assert!(!quarantine.can_clear(CONTENT), "others must not rely on it yet");
    settle(&mut quarantine, 499);
    assert_eq!(quarantine.crash_count(CONTENT), 6);
    settle(&mut quarantine, 500);
    assert_eq!(quarantine.crash_count(CONTENT), 0);
    assert!(quarantine.knows_success_of(&run(RunExtent::Whole).features));
}

#[test]
fn later_whole_runs_are_successes_at_once() {
    let mut quarantine = after_run(RunExtent::Whole);
    settle(&mut quarantine, 500);
    for round in 1..=9 {
        let at = 1_000 * round;
        crash(&mut quarantine, 20 + round, 60, at);
        crash(&mut quarantine, 40 + round, 60, at);
        let cleared = quarantine.record_ended_run(run(RunExtent::Whole), ms(at + 10));
        assert_eq!(cleared[0].0, CONTENT);
        assert_eq!(quarantine.crash_count(CONTENT), 0);
        let after_runs = quarantine.observe_crash_after_runs(
            SERVER,
            InFlight::NOTHING,
            at,
            ms(at + 20),
            ms(at + 20),
        );
        assert!(after_runs.is_empty(), "what succeeded before is not blamed yet");
    }
    let cleared = quarantine.record_ended_run(run(RunExtent::Whole), ms(20_000));
    assert!(cleared.is_empty(), "too many servers have crashed after such runs");
    let after_runs =
        quarantine.observe_crash_after_runs(SERVER, InFlight::NOTHING, 1, ms(20_010), ms(20_010));
    assert_eq!(after_runs.len(), 1, "and the next crash counts");
}

#[test]
fn crashes_under_repeated_contents_do_not_count_after_successful_runs() {
    let mut quarantine = after_run(RunExtent::Whole);
    settle(&mut quarantine, 500);
    let features = &[99];
    for round in 1..=20 {
        let at = 1_000 * round;
        for copy in 0..3 {
            quarantine.record_ended_run(run(RunExtent::Whole), ms(at + copy));
        }
        let elapsed = Duration::from_millis(60);
        let crashed = CrashedRequest { features, probed: &[], elapsed, id: round, server: SERVER };
        quarantine.observe_crash(crashed, ms(at + 10));
    }
    let cleared = quarantine.record_ended_run(run(RunExtent::Whole), ms(30_000));
    assert_eq!(cleared.len(), 2, "a success at once");
}

#[test]
fn partial_run_proves_nothing() {
    let mut quarantine = after_run(RunExtent::Partial);
    assert!(!quarantine.is_exempt(CONTENT));
    for server in 20..23 {
        crash(&mut quarantine, server, 60, server);
    }
    settle(&mut quarantine, 500);
    assert_eq!(quarantine.crash_count(CONTENT), 3);
    assert!(!quarantine.is_exempt(CONTENT));
}

#[test]
fn runs_are_not_kept_for_longer_than_they_matter() {
    let mut quarantine = after_run(RunExtent::Partial);
    quarantine.record_ended_run(run(RunExtent::Whole), ms(0));
    for run in quarantine.take_due_runs(ms(500)) {
        quarantine.forget_run(&run);
    }
    assert!(quarantine.take_due_runs(ms(1_000)).is_empty());
    let after_runs =
        quarantine.observe_crash_after_runs(SERVER, InFlight::NOTHING, 1, ms(1_000), ms(1_000));
    assert!(after_runs.is_empty());
}

#[test]
fn run_of_unknown_outcome_proves_nothing() {
    let mut quarantine = after_run(RunExtent::Whole);
    for run in quarantine.take_due_runs(ms(500)) {
        quarantine.forget_run(&run);
    }
    assert!(!quarantine.is_exempt(CONTENT));
}

#[test]
fn crash_after_the_run_counts_and_later_answers_must_settle() {
    for extent in [RunExtent::Whole, RunExtent::Partial] {
        let mut quarantine = after_run(extent);
        let after_runs =
            quarantine.observe_crash_after_runs(SERVER, InFlight::NOTHING, 1, ms(100), ms(100));
        assert_eq!(after_runs.len(), 1);
        assert!(after_runs[0].crashes.iter().all(|crash| is_after_run(crash.id)));
        assert_eq!(quarantine.crash_count(CONTENT), 1);
        settle(&mut quarantine, 500);
        assert_eq!(quarantine.crash_count(CONTENT), 1);
    }
    let mut quarantine = after_run(RunExtent::Whole);
    quarantine.observe_crash_after_runs(SERVER, InFlight::NOTHING, 1, ms(100), ms(100));
    quarantine.record_ended_run(EndedRun { server_hash: 8, ..run(RunExtent::Whole) }, ms(200));
    assert!(!quarantine.is_exempt(CONTENT));
    settle(&mut quarantine, 700);
    assert!(quarantine.is_exempt(CONTENT));
}

#[test]
fn run_contested_by_one_that_broke_off_later_counts_after_a_while() {
    let mut quarantine = after_run(RunExtent::Whole);
    crash(&mut quarantine, SERVER, 60, 60);
    for server in 20..22 {
        crash(&mut quarantine, server, 60, server);
    }
    settle(&mut quarantine, 600);
    assert_eq!(quarantine.crash_count(CONTENT), 3);
    assert!(quarantine.settle_contested_runs(ms(749)).is_empty());
    let settled = quarantine.settle_contested_runs(ms(750));
    assert_eq!(settled.iter().map(|(_, crashes)| *crashes).collect::<Vec<_>>(), [3]);
    assert!(quarantine.is_exempt(CONTENT));
}

#[test]
fn run_is_not_contested_by_one_that_was_in_flight_for_a_shorter_time() {
    let mut quarantine = after_run(RunExtent::Whole);
    let crashes = crash(&mut quarantine, SERVER, 20, 60);
    assert!(crashes.iter().any(|crash| is_after_run(crash.id)));
    assert!(quarantine.settle_contested_runs(ms(750)).is_empty());
    assert!(!quarantine.is_exempt(CONTENT));
}

#[test]
fn contested_run_does_not_count_if_a_server_crashed_after_a_run_elsewhere() {
    let mut quarantine = after_run(RunExtent::Whole);
    crash(&mut quarantine, SERVER, 60, 60);
    let mut other = after_run(RunExtent::Whole);
    let after_runs = other.observe_crash_after_runs(SERVER, InFlight::NOTHING, 1, ms(9), ms(9));
    quarantine.record_reported_crash(&after_runs[0].crashes, ms(70), ms(70));
    assert!(quarantine.settle_contested_runs(ms(750)).is_empty());
    assert!(!quarantine.is_exempt(CONTENT));
}

#[test]
fn reported_crashes_after_runs_do_not_revoke_what_has_settled() {
    let mut quarantine = after_run(RunExtent::Whole);
    settle(&mut quarantine, 500);
    let mut other = Quarantine::default();
    for _ in 0..12 {
        other.record_ended_run(run(RunExtent::Whole), ms(0));
    }
    for after_run in other.observe_crash_after_runs(SERVER, InFlight::NOTHING, 1, ms(9), ms(9)) {
        quarantine.record_reported_crash(&after_run.crashes, ms(600), ms(600));
    }
    let cleared = quarantine.record_ended_run(run(RunExtent::Whole), ms(700));
    assert_eq!(cleared.len(), 2, "a success at once");
}
