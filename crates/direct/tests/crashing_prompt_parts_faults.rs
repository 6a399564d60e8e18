//! A prompt part that crashes servers, beside a roll-out, faults of the store and the network, and
//! callers that name others' parts.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World,
    crashing::{Kind, QUICK_RETRY, repeatable},
    net::Net,
    prompt_parts::{
        CRASHING_PART, Callers, FIRST_PART, MAX_FURTHER_RUNS, Outcome, PartsOf, SharedEntries,
        request_with_parts, send_requests, start,
    },
    run_test, stream, total,
};
use pondwalk_decide::direct::{ServerCrash, part_feature};
use pondwalk_direct::Entry;
use pondwalk_standin::memory_store::FaultMode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

const SOUND_PART: u64 = 0x50;
const TIME: Duration = Duration::from_secs(30);

fn streams() -> Kind {
    Kind { path: "/stream/x", behaviour: stream(30, None), ..repeatable() }
}

fn callers(per_s: f64, parts: PartsOf) -> Callers {
    let interval = Duration::from_secs_f64(1.0 / per_s);
    Callers { interval, parts, from: Duration::ZERO, until: TIME, retries: true }
}

fn bad() -> Callers {
    callers(8.0, |_| vec![FIRST_PART, CRASHING_PART])
}

fn sound() -> Callers {
    callers(20.0, |number| vec![FIRST_PART, SOUND_PART + u64::from(number % 4)])
}

/// Runs callers with the crashing part and sound ones beside `faults`.
async fn run_callers(
    world: &Rc<World>,
    entries: &[Entry],
    kind: &Kind,
    faults: impl Future<Output = ()>,
) -> Outcome {
    let entries = SharedEntries::new(entries.to_vec().into());
    let bad = send_requests(world, &entries, kind, "bad", bad());
    let sound = send_requests(world, &entries, kind, "sound", sound());
    let (_, attempts, ()) = tokio::join!(bad, sound, faults);
    Outcome::of(world, &attempts)
}

#[test]
fn crashing_part_is_quarantined_during_store_outage() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let kind = Kind { path: "/open/x", ..repeatable() };
        let entries = start(&world, &net, &kind, 5).await;
        world.store.set_fault_mode(FaultMode::Refused);
        let outcome = run_callers(&world, &entries, &kind, async {}).await;
        outcome.check("store outage");
    });
}

#[test]
fn crashing_part_is_quarantined_in_both_partitions() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let entries = start(&world, &net, &streams(), 8).await;
        let split = async { net.split(4) };
        let outcome = run_callers(&world, &entries, &streams(), split).await;
        println!("partitions: {outcome:?}");
        assert!(outcome.further_runs <= MAX_FURTHER_RUNS, "{outcome:?}");
        assert!(outcome.served as f64 >= 0.9 * outcome.sound as f64, "{outcome:?}");
    });
}

#[test]
fn crashing_part_is_quarantined_at_later_entries() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let entries = start(&world, &net, &streams(), 3).await;
        let shared = SharedEntries::new(entries.into());
        let growth = async {
            for n in 3..9 {
                sleep(Duration::from_secs(3)).await;
                let entry = net.start_later(&world, n);
                sleep(Duration::from_secs(1)).await;
                shared.borrow_mut().push(entry);
            }
        };
        let kind = streams();
        let bad = send_requests(&world, &shared, &kind, "bad", bad());
        let sound = send_requests(&world, &shared, &kind, "sound", sound());
        let (_, attempts, ()) = tokio::join!(bad, sound, growth);
        Outcome::of(&world, &attempts).check("later entries");
    });
}

#[test]
fn crashing_part_does_not_trip_a_good_version_on_trial() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let kind = streams();
        let entries = start(&world, &net, &kind, 3).await;
        for n in 31..=36 {
            world.start_server(n, "s", "v2", kind.behaviour.clone());
        }
        sleep(Duration::from_secs(1)).await;
        world.store.put("order/s", "v2 20");
        run_callers(&world, &entries, &kind, async {}).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Completed"));
    });
}

#[test]
fn part_named_by_a_crashing_caller_is_served_to_others() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let kind = streams();
        let entries = start(&world, &net, &kind, 5).await;
        let entries = SharedEntries::new(entries.into());
        // A caller with a crashing part of its own names a part that nobody has used yet.
        let attack = callers(8.0, |_| vec![SOUND_PART, CRASHING_PART]);
        let others = callers(4.0, |_| vec![SOUND_PART]);
        let others = Callers { from: Duration::from_secs(10), ..others };
        let attack = send_requests(&world, &entries, &kind, "bad", attack);
        let others = send_requests(&world, &entries, &kind, "sound", others);
        let (_, attempts) = tokio::join!(attack, others);
        let late = &attempts[8..];
        let served = late.iter().filter(|attempt| attempt.is_served).count();
        assert_eq!(served, late.len(), "all are served two seconds after the first");
    });
}

#[test]
fn requests_with_thousands_of_parts_leave_the_tables_bounded() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let kind = streams();
        let entries = start(&world, &net, &kind, 1).await;
        for n in 0..40_u64 {
            let parts: Vec<u64> = (0..2_000).map(|part| n << 20 | part).collect();
            let asked = request_with_parts(&kind, &format!("many{n}"), &parts);
            assert_eq!(world.call_at(&entries[0], asked).await.status.as_u16(), 200);
        }
        sleep(Duration::from_secs(1)).await;
        let known = total(&entries, "pondwalk_prompt_parts_known_good");
        assert!(known <= 40 * 16, "{known} parts are remembered");
    });
}

#[test]
fn refusal_of_a_quarantined_part_is_immediate_and_true() {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let kind = streams();
        let entries = start(&world, &net, &kind, 1).await;
        for n in 0..3 {
            let asked = request_with_parts(&kind, &format!("bad{n}"), &[CRASHING_PART]);
            world.call_at(&entries[0], asked).await;
        }
        let runs = world.backends.crashing_runs().len();
        let sends = total(&entries, "pondwalk_sends_total");
        let asked = request_with_parts(&kind, "another", &[CRASHING_PART]);
        let refused = world.call_at(&entries[0], asked).await;
        assert_eq!(refused.status.as_u16(), 429);
        assert!(refused.body.contains("ends_servers") && refused.body.contains("\"ran\":false"));
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(world.backends.crashing_runs().len(), runs);
        assert_eq!(total(&entries, "pondwalk_sends_total"), sends);
        sleep(QUICK_RETRY).await;
        assert_eq!(total(&entries, "pondwalk_prompt_parts_held"), 1);
        let log = entries[0].buffered_log_lines();
        let named = log.lines().any(|line| {
            line.contains("\"part_held\"") && line.contains("\"bad\"") && line.contains("\"s\"")
        });
        assert!(named, "the log names the part and its service: {log}");
    });
}

/// A crash as the release before this one encodes it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ContentCrash {
    content: u128,
    id: u64,
    server: u64,
    in_common_loss: bool,
    on_probe: bool,
}

#[test]
fn entries_of_the_release_before_decode_crashes_under_parts() {
    let feature = part_feature("s", CRASHING_PART);
    let crash = ServerCrash { feature, id: 1, server: 2, in_common_loss: false, on_probe: true };
    let encoded = postcard::to_stdvec(&vec![(crash, Duration::from_millis(20))]).expect("encoded");
    let decoded: Vec<(ContentCrash, Duration)> = postcard::from_bytes(&encoded).expect("decoded");
    assert_eq!(decoded[0].0.content, feature);
    let encoded = postcard::to_stdvec(&decoded).expect("encoded");
    let crashes: Vec<(ServerCrash, Duration)> = postcard::from_bytes(&encoded).expect("decoded");
    assert_eq!(crashes, [(crash, Duration::from_millis(20))]);
}
