//! Servers that report in their responses that they are draining.
//!
//! In the failure that is guarded against, requests reached a server twelve seconds after its
//! responses had reported that it was draining. The store was unreachable, so its list still said
//! `ready`, and the header in the responses was not read. During the outage each entry continued to
//! send requests there, and after it the server was the first to be chosen. In the logs,
//! `server_told_leaving` at 8.0 s was followed by `request_answered` by the same server at 10.3 and
//! 19.8 s.

mod common;

use std::{collections::HashMap, rc::Rc, time::Duration};

use common::{TestResponse, World, address, catalog, net::Net, request, run_test, stream};
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

/// Time for which requests may still reach a server after its signal.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Interval between two requests.
const GAP: Duration = Duration::from_millis(40);

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

/// Four equal servers of the service.
fn start_four_servers(world: &World, service: &str, behaviour: &Behaviour) {
    world.configure(catalog(1));
    for n in 1..=4 {
        world.start_server(n, service, "v1", behaviour.clone());
    }
}

fn report_draining(world: &World, n: u16) {
    world.backends.set_header(address(n), "server-leaving", "1");
}

/// Requests that were sent one after the other, by id.
#[derive(Default)]
struct Sent {
    at: HashMap<String, Instant>,
    responses: Vec<TestResponse>,
}

impl Sent {
    /// Sends requests for some time, without waiting for responses.
    async fn send(&mut self, world: &Rc<World>, path: &str, time: Duration) {
        let end = Instant::now() + time;
        let mut pending = Vec::new();
        while Instant::now() < end {
            let id = format!("r{}", self.at.len());
            self.at.insert(id.clone(), Instant::now());
            let (world, path) = (Rc::clone(world), path.to_owned());
            pending.push(spawn_local(async move { world.call(request(&path, &id)).await }));
            sleep(GAP).await;
        }
        for response in pending {
            self.responses.push(response.await.expect("a response"));
        }
    }

    /// Requests at a server that were sent too long after its signal.
    fn count_late(&self, world: &World, n: u16, signalled_at: Instant) -> usize {
        let seen = world.backends.requests(address(n));
        let sent = seen.iter().filter_map(|seen| self.at.get(&seen.headers["x-request-id"]));
        sent.filter(|at| **at > signalled_at + DRAIN_TIME).count()
    }
}

/// Sends requests while the first of four servers reports that it is draining, and `event` affects
/// the store.
async fn check_draining_during<F: Future<Output = ()>>(
    world: World,
    path: &str,
    behaviour: Behaviour,
    event: impl FnOnce(Rc<World>) -> F,
) {
    let world = Rc::new(world);
    start_four_servers(&world, if path.starts_with("/models") { "m" } else { "s" }, &behaviour);
    world.start().await;
    let mut sent = Sent::default();
    sent.send(&world, path, Duration::from_secs(1)).await;
    assert!(!world.backends.requests(address(1)).is_empty(), "it is used before");
    report_draining(&world, 1);
    let signalled_at = Instant::now();
    event(Rc::clone(&world)).await;
    sent.send(&world, path, Duration::from_secs(12)).await;
    assert_eq!(sent.count_late(&world, 1, signalled_at), 0, "{path}");
    let served =
        sent.responses.iter().filter(|response| response.status == 200 && response.is_complete);
    assert_eq!(served.count(), sent.responses.len(), "the other servers serve all requests");
}

async fn no_event(_: Rc<World>) {}

#[test]
fn draining_server_gets_no_requests() {
    for path in ["/again/x", "/once/x", "/open/x"] {
        run_test(move |world| check_draining_during(world, path, ok_response(), no_event));
    }
    for path in ["/stream/x", "/fixed/x"] {
        run_test(move |world| check_draining_during(world, path, stream(3, None), no_event));
    }
}

#[test]
fn drain_signal_in_discarded_response_is_applied() {
    run_test(|world| check_draining_during(world, "/models/x", stream(3, Some(5)), no_event));
}

#[test]
fn drain_signal_survives_store_outage() {
    run_test(|world| {
        check_draining_during(world, "/open/x", ok_response(), |world| async move {
            world.store.set_fault_mode(FaultMode::Refused);
        })
    });
}

#[test]
fn drain_signal_survives_ready_listing() {
    run_test(|world| {
        check_draining_during(world, "/again/x", ok_response(), |world| async move {
            spawn_local(async move {
                for _ in 0..20 {
                    sleep(Duration::from_millis(500)).await;
                    world.list_server(1, "s", "v1", "ready");
                }
            });
        })
    });
}

#[test]
fn drain_signal_survives_relisting() {
    run_test(|world| {
        check_draining_during(world, "/again/x", ok_response(), |world| async move {
            spawn_local(async move {
                sleep(Duration::from_secs(2)).await;
                world.store.remove("server/s1");
                sleep(Duration::from_secs(1)).await;
                world.list_server(1, "s", "v1", "ready");
            });
        })
    });
}

#[test]
fn drain_signal_survives_outage_with_lost_history() {
    run_test(|world| {
        check_draining_during(world, "/open/x", ok_response(), |world| async move {
            spawn_local(async move {
                world.store.set_fault_mode(FaultMode::Refused);
                sleep(Duration::from_secs(4)).await;
                world.store.drop_history();
                world.store.set_fault_mode(FaultMode::Normal);
                world.list_server(1, "s", "v1", "ready");
            });
        })
    });
}

/// One request gets the signal in a response of the given kind; none of the following requests goes
/// there.
fn check_signal_in(path: &'static str, behaviour: Behaviour) {
    run_test(move |world| async move {
        start_four_servers(&world, "s", &behaviour);
        (1..=4).for_each(|n| report_draining(&world, n));
        world.start().await;
        for n in 0..8 {
            world.call(request(path, &format!("r{n}"))).await;
        }
        for n in 1..=4 {
            assert!(world.backends.requests(address(n)).len() <= 1, "{path} {behaviour:?}");
        }
    });
}

#[test]
fn drain_signal_applies_in_every_kind_of_response() {
    check_signal_in("/once/x", Behaviour::Answer(200, "made".into()));
    check_signal_in("/once/x", Behaviour::Answer(500, "failed".into()));
    check_signal_in("/again/x", Behaviour::Answer(500, "failed".into()));
    check_signal_in("/again/x", Behaviour::NotRun(503));
    check_signal_in("/once/x", Behaviour::NotRun(429));
    let cut = || Behaviour::Stream {
        last: 9,
        gap: Duration::from_millis(10),
        confidence: None,
        cut_in: Some(2),
    };
    check_signal_in("/stream/x", cut());
    check_signal_in("/fixed/x", cut());
}

#[test]
fn callers_get_retry_after_if_all_servers_are_draining() {
    run_test(|world| async move {
        let world = Rc::new(world);
        start_four_servers(&world, "s", &ok_response());
        (1..=4).for_each(|n| report_draining(&world, n));
        world.start().await;
        let mut sent = Sent::default();
        let signalled_at = Instant::now();
        sent.send(&world, "/again/x", Duration::from_secs(1)).await;
        let before = Instant::now();
        let refused = world.call(request("/again/x", "late")).await;
        assert_eq!(before.elapsed(), Duration::ZERO);
        assert_eq!(refused.status.as_u16(), 503);
        assert!(refused.body.contains("\"ran\":false"), "{}", refused.body);
        let retry_after: f64 =
            refused.headers["retry-after"].to_str().expect("text").parse().expect("s");
        // A server that starts has reported it by then, and not earlier.
        assert!((0.5..=5.0).contains(&retry_after), "{retry_after}");
        sent.send(&world, "/again/x", Duration::from_secs(6)).await;
        let late: usize = (1..=4).map(|n| sent.count_late(&world, n, signalled_at)).sum();
        assert_eq!(late, 0);
    });
}

#[test]
fn restarted_server_is_used_at_once() {
    run_test(|world| async move {
        world.configure(catalog(1));
        let list = |started_ms: u64| {
            let value = format!("s {} dc1 v1 ready 0 {started_ms}", address(1));
            world.store.put("server/s1", &value);
        };
        world.backends.start(address(1), "s1", ok_response());
        list(1);
        report_draining(&world, 1);
        world.start().await;
        assert_eq!(world.call(request("/again/x", "r1")).await.status.as_u16(), 200);
        assert_eq!(world.call(request("/again/x", "r2")).await.status.as_u16(), 503);
        world.backends.start(address(1), "s1", ok_response());
        list(2);
        sleep(Duration::from_millis(900)).await;
        assert_eq!(world.call(request("/again/x", "r3")).await.status.as_u16(), 200);
    });
}

#[test]
fn another_server_at_the_address_is_used_at_once() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", ok_response());
        report_draining(&world, 1);
        world.start().await;
        world.call(request("/again/x", "r1")).await;
        world.backends.start(address(1), "s9", ok_response());
        let value = format!("s {} dc1 v1 ready", address(1));
        world.store.put("server/s9", &value);
        sleep(Duration::from_millis(900)).await;
        assert_eq!(world.call(request("/again/x", "r2")).await.status.as_u16(), 200);
    });
}

#[test]
fn restarted_server_is_used_during_store_outage() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", ok_response());
        report_draining(&world, 1);
        world.start().await;
        assert_eq!(world.call(request("/open/x", "r1")).await.status.as_u16(), 200);
        world.store.set_fault_mode(FaultMode::Refused);
        // It continues to serve for a while, and its end cannot be predicted.
        sleep(Duration::from_secs(6)).await;
        assert_eq!(world.call(request("/open/x", "r2")).await.status.as_u16(), 503);
        world.backends.stop(address(1));
        sleep(Duration::from_secs(4)).await;
        world.backends.start(address(1), "s1", ok_response());
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.call(request("/open/x", "r3")).await.status.as_u16(), 200);
    });
}

#[test]
fn connection_resets_do_not_mark_a_draining_server_restarted() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", ok_response());
        report_draining(&world, 1);
        world.start().await;
        world.call(request("/open/x", "r1")).await;
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(4)).await;
        for n in 0..20 {
            world.backends.stop(address(1));
            sleep(Duration::from_millis(600)).await;
            world.backends.start(address(1), "s1", ok_response());
            sleep(Duration::from_millis(1_400)).await;
            let response = world.call(request("/open/x", &format!("r2-{n}"))).await;
            assert_eq!(response.status.as_u16(), 503);
        }
    });
}

#[test]
fn drain_signal_survives_suspension() {
    run_test(|world| {
        check_draining_during(world, "/open/x", ok_response(), |world| async move {
            spawn_local(async move {
                sleep(Duration::from_secs(3)).await;
                world.entry.simulate_suspension(Duration::from_secs(60));
            });
        })
    });
}

#[test]
fn all_draining_is_reported_only_if_true() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::NotRun(503));
        world.start_server(2, "s", "v1", Behaviour::NotRun(503));
        world.start().await;
        report_draining(&world, 1);
        let refused = world.call(request("/again/x", "r1")).await;
        assert!(refused.body.contains("turned_away"), "{}", refused.body);
        report_draining(&world, 2);
        let refused = world.call(request("/again/x", "r2")).await;
        assert!(refused.body.contains("all_leaving"), "{}", refused.body);
    });
}

#[test]
fn each_entry_applies_its_first_drain_signal_during_outage() {
    run_test(|world| async move {
        let net = Net::default();
        start_four_servers(&world, "s", &ok_response());
        let entries = net.start_many(&world, 20, "");
        sleep(Duration::from_secs(5)).await;
        world.store.set_fault_mode(FaultMode::Refused);
        report_draining(&world, 1);
        for n in 0..12 {
            for (entry, number) in entries.iter().zip(0..) {
                let sent = request("/open/x", &format!("r{n}-{number}"));
                assert_eq!(world.call_at(entry, sent).await.status.as_u16(), 200);
            }
            sleep(GAP).await;
        }
        let mut from = HashMap::<String, usize>::new();
        for seen in world.backends.requests(address(1)) {
            let id = &seen.headers["x-request-id"];
            *from.entry(id[id.find('-').expect("one")..].to_owned()).or_default() += 1;
        }
        assert!(from.values().all(|count| *count == 1), "{from:?}");
        assert!(from.len() >= 15, "most entries have received a response of it: {from:?}");
    });
}

#[test]
fn response_is_passed_on_if_no_other_server_remains() {
    for (path, service, behaviour, status) in [
        ("/models/x", "m", stream(3, Some(5)), 200),
        ("/again/x", "s", Behaviour::Answer(500, "failed".into()), 500),
    ] {
        run_test(move |world| async move {
            world.configure(catalog(1));
            world.start_server(1, service, "v1", behaviour);
            report_draining(&world, 1);
            world.start().await;
            let response = world.call(request(path, "r1")).await;
            assert_eq!((response.status.as_u16(), response.is_complete), (status, true), "{path}");
        });
    }
}
