//! When requests under which servers crashed may run again, and that the records are bounded.

use std::time::Duration;

use pondwalk_decide::direct::{
    CorrelatedCrashes, FeatureHash, ProbeDecision, ProbeRequest, Quarantine, QuarantineStatus,
    ServerCrash, SuccessfulFeatures, crash_id, granter_order,
};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Reported crashes, each with content, number and whether it was correlated, and the rotation of
/// the second order.
type Property = fn(Vec<(u8, u8, bool)>, usize) -> TestResult;

const CONTENT: FeatureHash = 7;
const SECOND: Duration = Duration::from_secs(1);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(1_000.0 + seconds)
}

fn crash(content: FeatureHash, id: u64) -> ServerCrash {
    ServerCrash { feature: content, id, server: id, in_common_loss: false, on_probe: false }
}

/// A quarantine with so many crashes of a content, all at the start.
fn quarantine_after(crashes: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for id in 0..crashes {
        assert!(quarantine.record_crash(crash(CONTENT, id), s(0.0), s(0.0)));
    }
    quarantine
}

fn probe(is_primary: bool) -> ProbeRequest {
    ProbeRequest { feature: CONTENT, lease: 8 * SECOND, is_joint: false, is_primary }
}

#[test]
fn the_third_crash_quarantines() {
    assert_eq!(quarantine_after(2).status(CONTENT, s(0.0)), QuarantineStatus::Unrestricted);
    let quarantine = quarantine_after(3);
    assert_eq!(quarantine.status(CONTENT, s(0.9)), QuarantineStatus::Quarantined { until: s(1.0) });
    assert_eq!(quarantine.status(CONTENT, s(1.0)), QuarantineStatus::ProbeAllowed);
    assert_eq!(quarantine.status(8, s(0.0)), QuarantineStatus::Unrestricted, "another content");
}

#[test]
fn a_duplicate_report_counts_once() {
    let mut quarantine = quarantine_after(2);
    assert!(!quarantine.record_crash(crash(CONTENT, 1), s(0.0), s(0.1)));
    assert_eq!(quarantine.crash_count(CONTENT), 2);
}

#[test]
fn copies_of_a_request_count_one_crash() {
    let mut quarantine = Quarantine::default();
    for id in 0..20 {
        quarantine.record_crash(
            ServerCrash { server: 3, ..crash(CONTENT, id) },
            s(0.01 * id as f64),
            s(1.0),
        );
    }
    assert_eq!(quarantine.crash_count(CONTENT), 1);
    quarantine.record_crash(ServerCrash { server: 3, ..crash(CONTENT, 99) }, s(4.0), s(4.0));
    assert_eq!(quarantine.crash_count(CONTENT), 2, "the restarted server crashed again");
}

#[test]
fn a_successful_content_is_exempt_for_a_few_crashes() {
    let mut successes = SuccessfulFeatures::default();
    successes.record_crash(CONTENT);
    assert!(!successes.is_exempt(CONTENT));
    successes.record_success(CONTENT, s(0.0));
    for _ in 0..8 {
        successes.record_crash(CONTENT);
        assert!(successes.is_exempt(CONTENT));
    }
    successes.record_crash(CONTENT);
    assert!(!successes.is_exempt(CONTENT), "too many crashes without a success");
    successes.record_success(CONTENT, s(1.0));
    assert!(successes.is_exempt(CONTENT));
    successes.record_success(8, s(301.0));
    assert!(successes.is_exempt(CONTENT), "the older generation is kept as long again");
    successes.record_success(8, s(602.0));
    assert!(!successes.is_exempt(CONTENT));
    for content in 100..40_000 {
        successes.record_success(content, s(603.0));
    }
    assert!(!successes.is_exempt(8), "the number of contents is bounded");
}

#[test]
fn probes_run_one_at_a_time_with_growing_delays() {
    let mut quarantine = quarantine_after(3);
    let mut now = s(1.0);
    for pause in [5, 30, 600, 600] {
        assert_eq!(quarantine.request_probe(probe(true), now), ProbeDecision::Granted);
        assert_eq!(
            quarantine.request_probe(probe(true), now),
            ProbeDecision::InProgress,
            "a probe is running"
        );
        let crash_on_probe =
            ServerCrash { on_probe: true, ..crash(CONTENT, now.as_nanos() as u64) };
        assert!(quarantine.record_crash(crash_on_probe, now, now));
        let until = now + pause * SECOND;
        assert_eq!(quarantine.request_probe(probe(true), now), ProbeDecision::Refused { until });
        now = until;
    }
}

#[test]
fn a_probe_without_outcome_blocks_others_for_its_lease() {
    let mut quarantine = quarantine_after(3);
    assert_eq!(quarantine.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
    assert_eq!(quarantine.status(CONTENT, s(8.9)), QuarantineStatus::ProbeInProgress);
    assert_eq!(quarantine.request_probe(probe(true), s(9.0)), ProbeDecision::Granted);
}

#[test]
fn a_probe_ends_with_a_crash_that_was_reported_under_another_request_before() {
    let mut quarantine = quarantine_after(3);
    assert_eq!(quarantine.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
    assert!(quarantine.record_crash(crash(CONTENT, 50), s(1.1), s(1.1)));
    let of_probe = ServerCrash { id: 51, on_probe: true, ..crash(CONTENT, 50) };
    assert!(!quarantine.record_crash(of_probe, s(1.1), s(1.2)), "the same crash");
    let until = s(6.1);
    assert_eq!(quarantine.status(CONTENT, s(1.2)), QuarantineStatus::Quarantined { until });
}

#[test]
fn a_backup_grants_only_the_first_probe() {
    let mut quarantine = quarantine_after(3);
    assert_eq!(quarantine.request_probe(probe(false), s(1.0)), ProbeDecision::Granted);
    quarantine.record_crash(ServerCrash { on_probe: true, ..crash(CONTENT, 99) }, s(1.1), s(1.1));
    assert!(matches!(
        quarantine.request_probe(probe(false), s(7.0)),
        ProbeDecision::Refused { .. }
    ));
    assert_eq!(quarantine.request_probe(probe(true), s(7.0)), ProbeDecision::Granted);
}

#[test]
fn a_success_clears_and_late_reports_of_earlier_crashes_are_ignored() {
    let mut quarantine = quarantine_after(3);
    assert_eq!(quarantine.record_success(CONTENT, s(2.0)), 3);
    assert_eq!(quarantine.status(CONTENT, s(2.0)), QuarantineStatus::Unrestricted);
    assert!(!quarantine.record_crash(crash(CONTENT, 9), s(1.9), s(2.1)));
    assert!(quarantine.record_crash(crash(CONTENT, 10), s(2.1), s(2.1)));
    assert_eq!(quarantine.crash_count(CONTENT), 1);
    assert_eq!(quarantine.record_success(8, s(2.0)), 0, "another content has no record");
}

/// Records crashes that are part of a common loss, one a second.
fn lose_in_common(quarantine: &mut Quarantine, ids: std::ops::Range<u64>) {
    for id in ids {
        let lost = ServerCrash { in_common_loss: true, ..crash(CONTENT, id) };
        quarantine.record_crash(lost, s(id as f64), s(id as f64));
    }
}

#[test]
fn correlated_crashes_are_excused_three_times() {
    let mut quarantine = Quarantine::default();
    for id in 0..6 {
        let status = quarantine.status(CONTENT, s(id as f64));
        let expected = match id {
            0..3 => QuarantineStatus::Unrestricted,
            _ => QuarantineStatus::ProbeAllowed,
        };
        assert_eq!(status, expected, "after {id}: it need not wait");
        assert!(quarantine.crash_count(CONTENT) < 3, "after {id}: it explains no other crash");
        lose_in_common(&mut quarantine, id..id + 1);
    }
    let until = s(6.0);
    assert_eq!(quarantine.status(CONTENT, s(5.5)), QuarantineStatus::Quarantined { until });
}

#[test]
fn correlated_crashes_of_a_content_that_succeeded_before_do_not_restrict_it() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(CONTENT, s(-9.0));
    lose_in_common(&mut quarantine, 0..5);
    for _ in 0..9 {
        let lost = ServerCrash { in_common_loss: true, ..crash(CONTENT, 1) };
        quarantine.record_reported_crash(&[lost], s(0.0), s(0.0));
    }
    assert_eq!(quarantine.status(CONTENT, s(5.0)), QuarantineStatus::Unrestricted);
}

/// Pauses in seconds after probes of a content that was lost in common before, each of which is
/// excused or not.
fn pauses_after_probes(excused: &[bool]) -> Vec<u64> {
    let mut quarantine = Quarantine::default();
    lose_in_common(&mut quarantine, 0..3);
    let mut now = s(2.0);
    let mut pauses = Vec::new();
    for (id, in_common_loss) in (100..).zip(excused) {
        assert_eq!(quarantine.request_probe(probe(true), now), ProbeDecision::Granted);
        let lost =
            ServerCrash { in_common_loss: *in_common_loss, on_probe: true, ..crash(CONTENT, id) };
        assert!(quarantine.record_crash(lost, now, now));
        let until = match quarantine.status(CONTENT, now) {
            QuarantineStatus::Quarantined { until } => until,
            status => {
                assert_eq!(status, QuarantineStatus::ProbeAllowed);
                now
            }
        };
        pauses.push((until - now).as_secs());
        now = until;
    }
    pauses
}

#[test]
fn probes_of_a_content_are_excused_only_if_all_are() {
    assert_eq!(pauses_after_probes(&[true, true, true, true]), [0, 1, 5, 600]);
    assert_eq!(pauses_after_probes(&[true, false, true]), [0, 30, 600]);
    assert_eq!(pauses_after_probes(&[false, false, false]), [5, 30, 600]);
}

#[test]
fn correlated_crashes_exonerate_unrelated_contents() {
    let mut crashes = CorrelatedCrashes::default();
    for n in 0..4 {
        crashes.record(CONTENT, &format!("s{n}"));
        crashes.record(100 + n, &format!("s{n}"));
    }
    assert!(!crashes.exonerates(CONTENT, 30), "the content ran on all of them");
    assert!(crashes.exonerates(101, 30), "three other servers crashed");
    let mut two = CorrelatedCrashes::default();
    two.record(1, "s1");
    two.record(2, "s2");
    assert!(!two.exonerates(1, 30), "another request may have crashed the other server");
    assert!(two.exonerates(1, 2), "the service has no more servers");
}

#[test]
fn records_are_bounded_and_quarantined_ones_are_kept() {
    let mut quarantine = quarantine_after(3);
    for content in 100..30_000 {
        quarantine.record_crash(crash(content, 1), s(1.0), s(1.0));
    }
    assert!(quarantine.len() <= 8_192, "{}", quarantine.len());
    assert!(quarantine.evicted() > 20_000);
    assert_eq!(
        quarantine.crash_count(CONTENT),
        3,
        "a quarantined record is kept before records with one crash each"
    );
    quarantine.remove_expired(s(3_599.0));
    assert_eq!(quarantine.crash_count(CONTENT), 3);
    quarantine.remove_expired(s(3_601.5));
    assert!(quarantine.is_empty(), "all records expire after an hour");
}

#[test]
fn the_most_relevant_crashes_are_of_quarantined_contents() {
    let mut quarantine = quarantine_after(3);
    for content in 100..200 {
        quarantine.record_crash(crash(content, 1), s(5.0), s(5.0));
    }
    let reported = quarantine.most_relevant_crashes(10, s(6.0));
    assert_eq!(reported.len(), 10);
    assert!(
        reported[..3].iter().all(|(crash, age)| crash.feature == CONTENT && *age == 6 * SECOND)
    );
    let mut other = Quarantine::default();
    for (crash, age) in reported {
        other.record_crash(crash, s(6.0) - age, s(6.0));
    }
    assert_eq!(other.status(CONTENT, s(6.0)), QuarantineStatus::ProbeAllowed);
}

#[test]
fn the_order_of_reports_does_not_matter() {
    fn agree(crashes: Vec<(u8, u8, bool)>, shift: usize) -> TestResult {
        if crashes.is_empty() {
            return TestResult::discard();
        }
        let crash = |(content, id, in_common_loss): &(u8, u8, bool)| ServerCrash {
            feature: u128::from(*content % 4),
            id: u64::from(*id % 8),
            server: u64::from(*id % 8),
            in_common_loss: *in_common_loss,
            on_probe: false,
        };
        let mut rotated = crashes.clone();
        rotated.rotate_left(shift % crashes.len());
        let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
        for reported in &crashes {
            one.record_crash(crash(reported), s(0.0), s(0.0));
        }
        for reported in &rotated {
            other.record_crash(crash(reported), s(0.0), s(0.0));
        }
        let same = (0..4).all(|content| one.crash_count(content) == other.crash_count(content));
        TestResult::from_bool(same)
    }
    let property: Property = agree;
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 5)).tests(2_000).quickcheck(property);
}

#[test]
fn all_entries_agree_on_granters_and_load_is_spread() {
    let names: Vec<String> = (0..40).map(|n| format!("e{n}")).collect();
    let mut firsts = std::collections::HashSet::new();
    for content in 0..400u128 {
        let (mut one, mut other) = (names.clone(), names.clone());
        other.reverse();
        granter_order(content, &mut one);
        granter_order(content, &mut other);
        assert_eq!(one, other);
        firsts.insert(one[0].clone());
    }
    assert!(firsts.len() > 35, "{} of 40 grant probes", firsts.len());
}

#[test]
fn crash_ids_differ_by_entry_server_attempt_and_time() {
    let base = crash_id(&["e1", "s1", "r1"], &[1, 5]);
    let others = [
        crash_id(&["e2", "s1", "r1"], &[1, 5]),
        crash_id(&["e1", "s2", "r1"], &[1, 5]),
        crash_id(&["e1", "s1", "r2"], &[1, 5]),
        crash_id(&["e1", "s1", "r1"], &[2, 5]),
        crash_id(&["e1", "s1", "r1"], &[1, 6]),
        crash_id(&["s1", "e1", "r1"], &[1, 5]),
    ];
    assert!(others.iter().all(|other| *other != base));
}

#[test]
fn a_released_probe_does_not_count() {
    let mut quarantine = quarantine_after(3);
    for _ in 0..10 {
        assert_eq!(quarantine.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
        quarantine.release_probe(CONTENT);
    }
    assert_eq!(quarantine.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
    assert_eq!(quarantine.status(CONTENT, s(1.1)), QuarantineStatus::ProbeInProgress);
    // NB: the outcome of this probe is unknown, so the next has to wait longer.
    assert_eq!(quarantine.status(CONTENT, s(10.0)), QuarantineStatus::ProbeAllowed);
    assert_eq!(quarantine.request_probe(probe(true), s(10.0)), ProbeDecision::Granted);
    assert_eq!(
        quarantine.status(CONTENT, s(19.5)),
        QuarantineStatus::Quarantined { until: s(40.0) }
    );
}
