//! Which feature of a request counts as the cause when servers crash under it.

use std::time::Duration;

use pondwalk_decide::direct::{
    CrashedRequest, EndedRun, FeatureHash, ProbeDecision, ProbeRequest, Quarantine,
    QuarantineStatus, RunExtent, ServerCrash, is_part, is_part_of, part_feature, part_id,
};

const SECOND: Duration = Duration::from_secs(1);
/// Content of the first request; each further one has the next number.
const CONTENT: FeatureHash = 1;
const BAD_PART: u64 = 0xbad;
const FIRST_PART: u64 = 0xf1;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(1_000.0 + seconds)
}

fn bad() -> FeatureHash {
    part_feature("s", BAD_PART)
}

fn first() -> FeatureHash {
    part_feature("s", FIRST_PART)
}

/// Crashes one server under a request with these parts and a content of its own.
fn crash(quarantine: &mut Quarantine, n: u64, parts: &[FeatureHash], at: f64) -> Vec<ServerCrash> {
    crash_on_probe(quarantine, n, parts, &[], at)
}

fn crash_on_probe(
    quarantine: &mut Quarantine,
    n: u64,
    parts: &[FeatureHash],
    probed: &[FeatureHash],
    at: f64,
) -> Vec<ServerCrash> {
    let features = [&[CONTENT + u128::from(n)], parts].concat();
    let request = CrashedRequest { features: &features, probed, elapsed: SECOND, id: n, server: n };
    quarantine.observe_crash(request, s(at))
}

fn features(crashes: &[ServerCrash]) -> Vec<FeatureHash> {
    crashes.iter().map(|crash| crash.feature).collect()
}

fn status(quarantine: &Quarantine, parts: &[FeatureHash], at: f64) -> QuarantineStatus {
    let features = [&[CONTENT + 99], parts].concat();
    quarantine.check(&features, s(at)).status
}

fn probe(feature: FeatureHash, is_joint: bool) -> ProbeRequest {
    ProbeRequest { feature, lease: 8 * SECOND, is_joint, is_primary: true }
}

/// Crashes three servers under requests with these parts, at the start.
fn quarantine_parts(quarantine: &mut Quarantine, parts: &[FeatureHash]) {
    for n in 0..3 {
        crash(quarantine, n, parts, 0.0);
    }
}

#[test]
fn part_ids_are_kept_and_services_are_separate() {
    let part = part_feature("s", u64::MAX);
    assert!(is_part(part) && !is_part(CONTENT));
    assert_eq!(part_id(part), u64::MAX);
    assert!(is_part_of(part, "s") && !is_part_of(part, "m"));
    assert_ne!(part_feature("s", 1), part_feature("m", 1));
}

#[test]
fn part_shared_by_different_requests_is_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[bad()]);
    assert_eq!(status(&quarantine, &[bad()], 0.5), QuarantineStatus::Quarantined { until: s(1.0) });
    assert_eq!(status(&quarantine, &[first()], 0.5), QuarantineStatus::Unrestricted);
    assert_eq!(quarantine.count_quarantined(), (0, 1));
}

#[test]
fn part_that_succeeded_is_not_blamed_beside_one_that_did_not() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(first(), s(-1.0));
    for n in 0..40 {
        let reported = crash(&mut quarantine, n, &[first(), bad()], 0.0);
        assert!(!features(&reported).contains(&first()));
    }
    assert_eq!(quarantine.crash_count(first()), 0);
    assert!(quarantine.is_exempt(first()), "these crashes are not forgiven but explained");
}

#[test]
fn part_that_succeeded_loses_its_exemption_after_too_many_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(bad(), s(-1.0));
    for n in 0..8 {
        crash(&mut quarantine, n, &[bad()], 0.0);
        assert_eq!(status(&quarantine, &[bad()], 0.1), QuarantineStatus::Unrestricted);
    }
    crash(&mut quarantine, 8, &[bad()], 0.0);
    assert_ne!(status(&quarantine, &[bad()], 0.1), QuarantineStatus::Unrestricted);
}

#[test]
fn crash_that_a_quarantined_part_explains_counts_against_no_other_part() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[bad()]);
    for n in 10..20 {
        let reported = crash(&mut quarantine, n, &[first(), bad()], 0.1);
        assert_eq!(features(&reported), [CONTENT + u128::from(n), bad()]);
    }
    assert_eq!(status(&quarantine, &[first()], 0.2), QuarantineStatus::Unrestricted);
}

#[test]
fn content_that_crashes_servers_beside_a_quarantined_part_is_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[first()]);
    let request = [CONTENT + 50, first()];
    for n in 50..53 {
        observe(&mut quarantine, n, &request, 0.1);
    }
    quarantine.record_success(first(), s(0.2));
    let quarantined = QuarantineStatus::Quarantined { until: s(1.1) };
    assert_eq!(quarantine.check(&request, s(0.3)).status, quarantined);
}

#[test]
fn content_that_crashes_servers_again_explains_that_against_parts_that_succeeded() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(first(), s(-1.0));
    for n in 0..20 {
        observe(&mut quarantine, n, &[CONTENT, first()], 0.0);
    }
    assert_eq!(quarantine.crash_count(first()), 1);
    assert!(quarantine.is_exempt(first()));
}

#[test]
fn request_whose_content_has_crashed_a_server_is_no_early_probe_of_a_part() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[first()]);
    let crashed = quarantine.check(&[CONTENT, first()], s(1.0));
    assert_eq!(crashed.status, QuarantineStatus::Quarantined { until: s(5.0) });
    assert_eq!(status(&quarantine, &[first()], 1.0), QuarantineStatus::ProbeAllowed);
}

/// Crashes one server under a request with these features.
fn observe(quarantine: &mut Quarantine, n: u64, features: &[FeatureHash], at: f64) {
    let request = CrashedRequest { features, probed: &[], elapsed: SECOND, id: n, server: n };
    quarantine.observe_crash(request, s(at));
}

#[test]
fn request_with_two_suspects_is_no_probe_until_later() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[first(), bad()]);
    let both = [first(), bad()];
    assert_eq!(status(&quarantine, &both, 1.0), QuarantineStatus::Quarantined { until: s(5.0) });
    assert_eq!(status(&quarantine, &[first()], 1.0), QuarantineStatus::ProbeAllowed);
    let refused = ProbeDecision::Refused { until: s(5.0) };
    assert_eq!(quarantine.request_probe(probe(bad(), true), s(1.0)), refused);
    assert_eq!(quarantine.request_probe(probe(first(), false), s(1.0)), ProbeDecision::Granted);
    assert_eq!(quarantine.record_success(first(), s(2.0)), 3);
    assert_eq!(status(&quarantine, &both, 2.0), QuarantineStatus::ProbeAllowed, "one is left");
}

#[test]
fn crash_of_a_joint_probe_delays_no_probe_of_one_part() {
    let mut quarantine = Quarantine::default();
    let both = [first(), bad()];
    quarantine_parts(&mut quarantine, &both);
    assert_eq!(quarantine.request_probe(probe(bad(), true), s(5.0)), ProbeDecision::Granted);
    crash_on_probe(&mut quarantine, 50, &both, &both, 5.1);
    assert_eq!(status(&quarantine, &[first()], 5.2), QuarantineStatus::ProbeAllowed);
    assert_eq!(status(&quarantine, &both, 5.2), QuarantineStatus::Quarantined { until: s(35.1) });
}

#[test]
fn probes_after_detection_are_three_at_most_within_ten_minutes() {
    let mut quarantine = Quarantine::default();
    let both = [first(), bad()];
    quarantine_parts(&mut quarantine, &both);
    let mut runs = Vec::new();
    for tick in 1..6_000_u64 {
        let at = tick as f64 / 10.0;
        // The innocent part is cleared after twenty seconds.
        if tick == 200 {
            quarantine.record_success(first(), s(at));
        }
        let suspects = quarantine.check(&both, s(at)).suspects;
        if status(&quarantine, &both, at) != QuarantineStatus::ProbeAllowed {
            continue;
        }
        let asked = probe(suspects[0], suspects.len() > 1);
        if quarantine.request_probe(asked, s(at)) == ProbeDecision::Granted {
            crash_on_probe(&mut quarantine, 100 + tick, &both, &suspects, at + 0.05);
            runs.push(at);
        }
    }
    assert!(runs.iter().filter(|at| **at > 3.0).count() <= 3, "{runs:?}");
}

#[test]
fn run_counts_only_if_its_server_keeps_running() {
    let mut quarantine = Quarantine::default();
    quarantine.record_ended_run(ended_run(bad(), 7), s(0.0));
    quarantine.record_ended_run(ended_run(first(), 8), s(0.0));
    crash(&mut quarantine, 7, &[], 0.1);
    assert!(quarantine.take_due_runs(s(0.4)).is_empty());
    let due = quarantine.take_due_runs(s(0.5));
    assert_eq!(due.iter().map(|run| &**run).collect::<Vec<_>>(), [&ended_run(first(), 8)]);
    assert_eq!(quarantine.settle_run(&due[0], s(0.5)), [(first(), 0)]);
    assert!(quarantine.take_due_runs(s(9.0)).is_empty(), "the other one ended with its server");
    assert_eq!(quarantine.crash_count(bad()), 1, "and may be why");
}

#[test]
fn part_whose_answers_end_before_their_servers_crash_is_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(first(), s(-1.0));
    for n in 0..3 {
        for part in [first(), bad()] {
            quarantine.record_ended_run(ended_run(part, n), s(0.0));
        }
        let reported = crash(&mut quarantine, n, &[first()], 0.1);
        assert!(features(&reported).contains(&bad()), "others learn of it");
    }
    assert_ne!(status(&quarantine, &[bad()], 0.2), QuarantineStatus::Unrestricted);
    assert_eq!(status(&quarantine, &[first()], 0.2), QuarantineStatus::Unrestricted);
}

fn ended_run(part: FeatureHash, server: u64) -> EndedRun {
    EndedRun {
        request: "r".into(),
        features: vec![part],
        probed: Vec::new(),
        extent: RunExtent::Whole,
        took: SECOND,
        service: "s".into(),
        server: format!("s{server}"),
        server_hash: server,
        version: "v1".into(),
        kind: "k".into(),
        address: ([127, 0, 0, 1], 1).into(),
        may_be_leaving: false,
    }
}

#[test]
fn reported_success_exempts_but_is_not_passed_on() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[first()]);
    assert_eq!(quarantine.record_reported_success(first(), s(1.0), s(1.0)), 3);
    assert!(quarantine.is_exempt(first()));
    for n in 10..13 {
        crash(&mut quarantine, n, &[first()], 2.0);
    }
    assert!(!quarantine.can_clear(first()), "two entries must not clear it for one another");
    quarantine.record_success(first(), s(3.0));
    for n in 20..23 {
        crash(&mut quarantine, n, &[first()], 4.0);
    }
    assert!(quarantine.can_clear(first()));
}

#[test]
fn answer_in_progress_exempts_for_a_few_crashes_only() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, &[first()], 0.0);
    quarantine.record_survival(&[first()], s(0.1));
    for n in 1..4 {
        crash(&mut quarantine, n, &[first()], 0.1);
        quarantine.record_survival(&[first()], s(0.1));
        assert_eq!(status(&quarantine, &[first()], 0.2), QuarantineStatus::Unrestricted);
    }
    assert!(!quarantine.can_clear(first()), "others may know better");
    crash(&mut quarantine, 4, &[first()], 0.1);
    quarantine.record_survival(&[first()], s(0.1));
    assert_ne!(status(&quarantine, &[first()], 0.2), QuarantineStatus::Unrestricted);
}

#[test]
fn entry_that_knows_a_success_learns_that_others_do_not() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(first(), s(-1.0));
    for n in 0..3 {
        let report = |feature| ServerCrash {
            feature,
            id: n,
            server: n,
            in_common_loss: false,
            on_probe: false,
        };
        let reported = [report(CONTENT + u128::from(n)), report(first()), report(bad())];
        quarantine.record_reported_crash(&reported, s(0.0), s(0.0));
    }
    assert!(quarantine.can_clear(first()));
    assert!(quarantine.is_exempt(first()));
}

#[test]
fn exempt_and_cleared_features_are_not_reported_to_others() {
    let mut quarantine = Quarantine::default();
    quarantine_parts(&mut quarantine, &[first(), bad()]);
    quarantine.record_success(first(), s(1.0));
    assert!(quarantine.is_cleared(first()) && !quarantine.is_cleared(bad()));
    let reported: Vec<ServerCrash> =
        quarantine.quarantined_crashes(s(2.0)).into_iter().map(|(crash, _)| crash).collect();
    assert!(reported.iter().all(|crash| crash.feature == bad()) && reported.len() == 3);
}
