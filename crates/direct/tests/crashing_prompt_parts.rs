//! A prompt part that crashes every server that runs a request with it, whatever else the request
//! holds; sound requests share the caller and the other parts.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World,
    crashing::{Kind, repeatable},
    net::Net,
    prompt_parts::{
        CRASHING_PART, Callers, FIRST_PART, LATE_CRASHING_PART, OTHER_CRASHING_PART, Outcome,
        PartsOf, SharedEntries, send_requests, start,
    },
    run_test, stream,
};
use tokio::time::sleep;

/// Part of the sound requests, in the place of the crashing one.
const SOUND_PART: u64 = 0x50;
/// Parts that only few requests share.
const RARE_PARTS: u64 = 0x1000;

fn streams() -> Kind {
    Kind { path: "/stream/x", behaviour: stream(100, None), ..repeatable() }
}

fn crashing_second(_: u32) -> Vec<u64> {
    vec![FIRST_PART, CRASHING_PART]
}

fn sound(number: u32) -> Vec<u64> {
    vec![FIRST_PART, SOUND_PART + u64::from(number % 4)]
}

const TIME: Duration = Duration::from_secs(30);

fn callers(per_s: f64, parts: PartsOf) -> Callers {
    let interval = Duration::from_secs_f64(1.0 / per_s);
    Callers { interval, parts, from: Duration::ZERO, until: TIME, retries: true }
}

/// A run of callers with a crashing part beside sound ones.
#[derive(Clone)]
struct Case {
    name: &'static str,
    kind: Kind,
    entries: u16,
    bad: Callers,
    sound: Callers,
}

impl Case {
    fn new(name: &'static str) -> Self {
        Case {
            name,
            kind: streams(),
            entries: 5,
            bad: callers(8.0, crashing_second),
            sound: callers(20.0, sound),
        }
    }

    fn check(self) {
        run_test(|world| async move {
            let world = Rc::new(world);
            let net = Net::default();
            let entries = start(&world, &net, &self.kind, self.entries).await;
            self.check_at(&world, &SharedEntries::new(entries.into()), async {}).await;
        });
    }

    /// Runs the callers beside `faults`, and checks the outcome.
    async fn check_at(
        &self,
        world: &Rc<World>,
        entries: &SharedEntries,
        faults: impl Future<Output = ()>,
    ) {
        let bad = send_requests(world, entries, &self.kind, "bad", self.bad);
        let sound = send_requests(world, entries, &self.kind, "sound", self.sound);
        let (_, attempts, ()) = tokio::join!(bad, sound, faults);
        Outcome::of(world, &attempts).check(self.name);
    }
}

#[test]
fn crashing_part_is_quarantined_at_one_entry() {
    Case { entries: 1, ..Case::new("one entry") }.check();
}

#[test]
fn crashing_part_is_quarantined_at_five_entries() {
    Case::new("five entries").check();
}

#[test]
fn crashing_part_is_quarantined_at_forty_entries() {
    Case { entries: 40, ..Case::new("forty entries") }.check();
}

#[test]
fn crashing_part_is_quarantined_at_a_hundred_entries() {
    Case { entries: 103, ..Case::new("a hundred entries") }.check();
}

#[test]
fn crashing_part_of_a_plain_service_is_quarantined() {
    Case { kind: repeatable(), ..Case::new("plain service") }.check();
}

#[test]
fn crashing_part_of_a_model_cascade_is_quarantined() {
    let behaviour = stream(100, Some(90));
    let kind = Kind { path: "/models/x", service: "m", behaviour };
    Case { kind, ..Case::new("cascade") }.check();
}

#[test]
fn rare_requests_with_a_crashing_part_are_quarantined() {
    let until = Duration::from_secs(240);
    let bad = Callers { until, ..callers(0.25, crashing_second) };
    let sound = Callers { until, ..callers(2.0, sound) };
    Case { bad, sound, ..Case::new("one in four seconds") }.check();
}

#[test]
fn sound_requests_that_are_rarer_than_crashing_ones_are_served() {
    let (bad, sound) = (callers(20.0, crashing_second), callers(2.0, sound));
    Case { bad, sound, ..Case::new("rare sound requests") }.check();
}

#[test]
fn crashing_part_that_comes_first_is_quarantined() {
    let bad = callers(8.0, |_| vec![CRASHING_PART, FIRST_PART]);
    Case { bad, ..Case::new("first part") }.check();
}

#[test]
fn crashing_part_among_changing_parts_is_quarantined() {
    let parts: PartsOf = |number| match number % 3 {
        0 => vec![FIRST_PART, CRASHING_PART],
        1 => vec![FIRST_PART, SOUND_PART + u64::from(number % 4), CRASHING_PART],
        _ => vec![CRASHING_PART, RARE_PARTS + u64::from(number)],
    };
    Case { bad: callers(8.0, parts), ..Case::new("changing company") }.check();
}

#[test]
fn two_crashing_parts_are_quarantined_together() {
    let bad = callers(8.0, |_| vec![FIRST_PART, CRASHING_PART, OTHER_CRASHING_PART]);
    Case { bad, ..Case::new("two crashing parts in each prompt") }.check();
}

#[test]
fn part_that_crashes_servers_late_in_the_answer_is_quarantined() {
    let bad = callers(8.0, |_| vec![FIRST_PART, LATE_CRASHING_PART]);
    Case { bad, ..Case::new("late crashes") }.check();
}

#[test]
fn part_whose_answers_end_before_their_servers_crash_is_quarantined() {
    let bad = callers(8.0, |_| vec![FIRST_PART, LATE_CRASHING_PART]);
    let kind = Kind { behaviour: stream(70, None), ..streams() };
    Case { bad, kind, ..Case::new("crashes after the answers") }.check();
}

#[test]
fn part_first_seen_beside_a_crashing_one_is_served() {
    let bad = callers(8.0, |_| vec![RARE_PARTS, CRASHING_PART]);
    let parts: PartsOf = |number| vec![RARE_PARTS, SOUND_PART + u64::from(number % 4)];
    let sound = Callers { from: Duration::from_secs(12), ..callers(5.0, parts) };
    Case { bad, sound, ..Case::new("first seen beside a crashing part") }.check();
}

#[test]
fn crashing_part_is_quarantined_beside_servers_lost_by_chance() {
    run_test(|world| async move {
        let world = Rc::new(world);
        let net = Net::default();
        let case = Case::new("servers lost by chance");
        let entries = start(&world, &net, &case.kind, case.entries).await;
        let faults = crash_by_chance(&world, Duration::from_millis(700));
        case.check_at(&world, &SharedEntries::new(entries.into()), faults).await;
    });
}

/// Crashes one server after the other, each back some time later under a new id.
async fn crash_by_chance(world: &Rc<World>, interval: Duration) {
    for round in 0..(TIME.as_millis() / interval.as_millis()) as u32 {
        let n = 1 + (round * 7 % 30) as u16;
        world.crash_and_restart(n, round);
        sleep(interval).await;
    }
}

#[test]
fn sound_requests_are_served_while_servers_are_lost_by_chance() {
    run_test(|world| async move {
        let world = Rc::new(world);
        let net = Net::default();
        let entries = start(&world, &net, &streams(), 5).await;
        let entries = SharedEntries::new(entries.into());
        let kind = streams();
        let sound = send_requests(&world, &entries, &kind, "sound", callers(20.0, sound));
        let chance = crash_by_chance(&world, Duration::from_millis(400));
        let (attempts, ()) = tokio::join!(sound, chance);
        let served = attempts.iter().filter(|attempt| attempt.is_served).count();
        assert_eq!(served, attempts.len());
    });
}

#[test]
fn quarantined_part_survives_restart_of_all_entries() {
    run_test(|world| async move {
        let world = Rc::new(world);
        let net = Net::default();
        let until = Duration::from_secs(40);
        let mut case = Case::new("restart of all entries");
        (case.bad.until, case.sound.until) = (until, until);
        let entries = start(&world, &net, &case.kind, case.entries).await;
        let entries = SharedEntries::new(entries.into());
        let restart = async {
            sleep(Duration::from_secs(15)).await;
            for n in 0..case.entries {
                net.stop(n);
            }
            sleep(Duration::from_millis(500)).await;
            net.cut.borrow_mut().clear();
            *entries.borrow_mut() = net.start_many(&world, case.entries, "");
        };
        let bad = send_requests(&world, &entries, &case.kind, "bad", case.bad);
        let sound = send_requests(&world, &entries, &case.kind, "sound", case.sound);
        let (_, attempts, ()) = tokio::join!(bad, sound, restart);
        let outcome = Outcome::of(&world, &attempts);
        // The restart itself is a disturbance, so only the runs are bounded.
        let further = outcome.further_runs;
        assert!(further <= common::prompt_parts::MAX_FURTHER_RUNS, "{outcome:?}");
    });
}
