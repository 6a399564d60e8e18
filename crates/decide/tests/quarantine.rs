//! When requests under which servers ended may run again, and that what is remembered of them is bounded.

use std::time::Duration;

use pondwalk_decide::direct::{
    ContentHash, CorrelatedCrashes, ProbeDecision, ProbeRequest, Quarantine, QuarantineStatus,
    ServerCrash, SuccessfulContents, crash_id, granter_order,
};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Told ends, each by content, number and whether it was in a common loss, and where the other order begins.
type Property = fn(Vec<(u8, u8, bool)>, usize) -> TestResult;

const CONTENT: ContentHash = 7;
const SECOND: Duration = Duration::from_secs(1);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(1_000.0 + seconds)
}

fn end(content: ContentHash, id: u64) -> ServerCrash {
    ServerCrash { content, id, server: id, in_common_loss: false, on_probe: false }
}

/// A table that knows of so many ends of a content, all at the start.
fn after(ends: u64) -> Quarantine {
    let mut table = Quarantine::default();
    for id in 0..ends {
        assert!(table.record_crash(end(CONTENT, id), s(0.0), s(0.0)));
    }
    table
}

fn probe(is_first: bool) -> ProbeRequest {
    ProbeRequest { content: CONTENT, lease: 8 * SECOND, is_primary: is_first }
}

#[test]
fn two_ends_hold_nothing_and_the_third_does() {
    assert_eq!(after(2).status(CONTENT, s(0.0)), QuarantineStatus::Unrestricted);
    let table = after(3);
    assert_eq!(table.status(CONTENT, s(0.9)), QuarantineStatus::Quarantined { until: s(1.0) });
    assert_eq!(table.status(CONTENT, s(1.0)), QuarantineStatus::ProbeAllowed);
    assert_eq!(table.status(8, s(0.0)), QuarantineStatus::Unrestricted, "another content");
}

#[test]
fn an_end_that_is_told_twice_counts_once() {
    let mut table = after(2);
    assert!(!table.record_crash(end(CONTENT, 1), s(0.0), s(0.1)));
    assert_eq!(table.crash_count(CONTENT), 2);
}

#[test]
fn copies_that_see_a_server_end_count_one_end() {
    let mut table = Quarantine::default();
    for id in 0..20 {
        table.record_crash(
            ServerCrash { server: 3, ..end(CONTENT, id) },
            s(0.01 * id as f64),
            s(1.0),
        );
    }
    assert_eq!(table.crash_count(CONTENT), 1);
    table.record_crash(ServerCrash { server: 3, ..end(CONTENT, 99) }, s(4.0), s(4.0));
    assert_eq!(table.crash_count(CONTENT), 2, "it has started again and ended again");
}

#[test]
fn what_came_to_a_good_end_is_forgiven_a_few_ends_and_not_for_ever() {
    let mut good = SuccessfulContents::default();
    good.record_crash(CONTENT);
    assert!(!good.is_exempt(CONTENT));
    good.record_success(CONTENT, s(0.0));
    for _ in 0..8 {
        good.record_crash(CONTENT);
        assert!(good.is_exempt(CONTENT));
    }
    good.record_crash(CONTENT);
    assert!(!good.is_exempt(CONTENT), "too many without a good end");
    good.record_success(CONTENT, s(1.0));
    assert!(good.is_exempt(CONTENT));
    good.record_success(8, s(301.0));
    assert!(good.is_exempt(CONTENT), "the older ones are held as long again");
    good.record_success(8, s(602.0));
    assert!(!good.is_exempt(CONTENT));
    for content in 100..40_000 {
        good.record_success(content, s(603.0));
    }
    assert!(!good.is_exempt(8), "what is remembered is bounded");
}

#[test]
fn probes_come_one_at_a_time_and_ever_more_seldom() {
    let mut table = after(3);
    let mut now = s(1.0);
    for pause in [5, 30, 600, 600] {
        assert_eq!(table.request_probe(probe(true), now), ProbeDecision::Granted);
        assert_eq!(
            table.request_probe(probe(true), now),
            ProbeDecision::InProgress,
            "one is under way"
        );
        let ended = ServerCrash { on_probe: true, ..end(CONTENT, now.as_nanos() as u64) };
        assert!(table.record_crash(ended, now, now));
        let until = now + pause * SECOND;
        assert_eq!(table.request_probe(probe(true), now), ProbeDecision::Refused { until });
        now = until;
    }
}

#[test]
fn a_probe_of_which_nothing_is_heard_keeps_others_away_for_its_lease() {
    let mut table = after(3);
    assert_eq!(table.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
    assert_eq!(table.status(CONTENT, s(8.9)), QuarantineStatus::ProbeInProgress);
    assert_eq!(table.request_probe(probe(true), s(9.0)), ProbeDecision::Granted);
}

#[test]
fn an_entry_that_does_not_come_first_grants_the_first_probe_alone() {
    let mut table = after(3);
    assert_eq!(table.request_probe(probe(false), s(1.0)), ProbeDecision::Granted);
    table.record_crash(ServerCrash { on_probe: true, ..end(CONTENT, 99) }, s(1.1), s(1.1));
    assert!(matches!(table.request_probe(probe(false), s(7.0)), ProbeDecision::Refused { .. }));
    assert_eq!(table.request_probe(probe(true), s(7.0)), ProbeDecision::Granted);
}

#[test]
fn a_good_end_clears_and_late_word_of_ends_before_it_counts_for_nothing() {
    let mut table = after(3);
    assert_eq!(table.record_success(CONTENT, s(2.0)), 3);
    assert_eq!(table.status(CONTENT, s(2.0)), QuarantineStatus::Unrestricted);
    assert!(!table.record_crash(end(CONTENT, 9), s(1.9), s(2.1)));
    assert!(table.record_crash(end(CONTENT, 10), s(2.1), s(2.1)));
    assert_eq!(table.crash_count(CONTENT), 1);
    assert_eq!(table.record_success(8, s(2.0)), 0, "nothing was known of another");
}

#[test]
fn ends_of_a_common_loss_are_excused_three_times() {
    let mut table = Quarantine::default();
    for id in 0..6 {
        let lost = ServerCrash { in_common_loss: true, ..end(CONTENT, id) };
        assert_eq!(table.status(CONTENT, s(9.0)), QuarantineStatus::Unrestricted, "after {id}");
        table.record_crash(lost, s(id as f64), s(id as f64));
    }
    assert_ne!(table.status(CONTENT, s(5.5)), QuarantineStatus::Unrestricted);
}

#[test]
fn a_loss_excuses_what_did_not_run_on_most_of_the_servers() {
    let mut loss = CorrelatedCrashes::default();
    for n in 0..4 {
        loss.record(CONTENT, &format!("s{n}"));
        loss.record(100 + n, &format!("s{n}"));
    }
    assert!(!loss.exonerates(CONTENT, 30), "it was at all of them");
    assert!(loss.exonerates(101, 30), "three others ended");
    let mut two = CorrelatedCrashes::default();
    two.record(1, "s1");
    two.record(2, "s2");
    assert!(!two.exonerates(1, 30), "one other may have ended by another request");
    assert!(two.exonerates(1, 2), "there are no more");
}

#[test]
fn what_is_remembered_is_bounded_and_keeps_what_is_held() {
    let mut table = after(3);
    for content in 100..30_000 {
        table.record_crash(end(content, 1), s(1.0), s(1.0));
    }
    assert!(table.len() <= 8_192, "{}", table.len());
    assert!(table.evicted() > 20_000);
    assert_eq!(
        table.crash_count(CONTENT),
        3,
        "one that is held does not give way to those with an end each"
    );
    table.remove_expired(s(3_599.0));
    assert_eq!(table.crash_count(CONTENT), 3);
    table.remove_expired(s(3_601.5));
    assert!(table.is_empty(), "an hour later nothing is left");
}

#[test]
fn a_summary_leads_with_what_is_held() {
    let mut table = after(3);
    for content in 100..200 {
        table.record_crash(end(content, 1), s(5.0), s(5.0));
    }
    let told = table.most_relevant_crashes(10, s(6.0));
    assert_eq!(told.len(), 10);
    assert!(told[..3].iter().all(|(end, age)| end.content == CONTENT && *age == 6 * SECOND));
    let mut other = Quarantine::default();
    for (end, age) in told {
        other.record_crash(end, s(6.0) - age, s(6.0));
    }
    assert_eq!(other.status(CONTENT, s(6.0)), QuarantineStatus::ProbeAllowed);
}

#[test]
fn whatever_is_heard_in_whatever_order_two_tables_agree() {
    fn agree(ends: Vec<(u8, u8, bool)>, turn: usize) -> TestResult {
        if ends.is_empty() {
            return TestResult::discard();
        }
        let end = |(content, id, in_common_loss): &(u8, u8, bool)| ServerCrash {
            content: u128::from(*content % 4),
            id: u64::from(*id % 8),
            server: u64::from(*id % 8),
            in_common_loss: *in_common_loss,
            on_probe: false,
        };
        let mut turned = ends.clone();
        turned.rotate_left(turn % ends.len());
        let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
        for told in &ends {
            one.record_crash(end(told), s(0.0), s(0.0));
        }
        for told in &turned {
            other.record_crash(end(told), s(0.0), s(0.0));
        }
        let same = (0..4).all(|content| one.crash_count(content) == other.crash_count(content));
        TestResult::from_bool(same)
    }
    let property: Property = agree;
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 5)).tests(2_000).quickcheck(property);
}

#[test]
fn all_entries_name_the_same_one_and_contents_spread_over_them() {
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
fn ends_differ_by_who_saw_them_where_and_when() {
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
fn a_probe_given_back_is_granted_again_at_once_and_was_none() {
    let mut table = after(3);
    for _ in 0..10 {
        assert_eq!(table.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
        table.release_probe(CONTENT);
    }
    assert_eq!(table.request_probe(probe(true), s(1.0)), ProbeDecision::Granted);
    assert_eq!(table.status(CONTENT, s(1.1)), QuarantineStatus::ProbeInProgress);
    // NB: nothing is heard of this one, so the next has to wait for longer.
    assert_eq!(table.status(CONTENT, s(10.0)), QuarantineStatus::ProbeAllowed);
    assert_eq!(table.request_probe(probe(true), s(10.0)), ProbeDecision::Granted);
    assert_eq!(table.status(CONTENT, s(19.5)), QuarantineStatus::Quarantined { until: s(40.0) });
}
