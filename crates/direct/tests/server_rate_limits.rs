//! Servers that report a rate limit in their responses: the load that they get from four entries
//! together, and the responses that callers get.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World, address,
    limits::{
        Load, allowed, check_limit, count_from, load_at, load_evenly, max_in_window, report_limit,
        responses, start,
    },
    net::Net,
    request, run_test, stream,
};
use pondwalk_direct::Entry;
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

const ENTRIES: u16 = 4;

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

fn load(path: &'static str, seconds: u64) -> Load {
    Load { path, gap: Duration::from_millis(25), time: Duration::from_secs(seconds) }
}

/// Four servers and four entries; the first server reports a limit.
async fn start_one_limited(
    world: World,
    (service, behaviour): (&str, Behaviour),
    limit: &str,
) -> (Rc<World>, Net, Vec<Entry>) {
    let net = Net::default();
    let entries = start(&world, &net, (4, service, behaviour), ENTRIES).await;
    report_limit(&world, 1, limit);
    (Rc::new(world), net, entries)
}

/// One of four servers reports a limit of 1.7 requests a second under a load of one kind.
fn check_limit_is_kept(path: &'static str, service: &'static str, behaviour: Behaviour) {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, (service, behaviour), "1.7").await;
        let reported_at = Instant::now();
        let pending = load_evenly(&world, &entries, load(path, 15)).await;
        let responses = responses(pending).await;
        check_limit(&world, 1, 1.7, reported_at);
        assert!(count_from(&world, 1, reported_at + Duration::from_secs(2)) >= 10, "it is used");
        let served = responses.iter().filter(|response| response.status.is_success()).count();
        assert_eq!(served, responses.len(), "the other three serve all that it does not take");
    });
}

#[test]
fn limit_is_kept_by_four_entries_together() {
    check_limit_is_kept("/again/x", "s", ok_response());
}

#[test]
fn non_repeatable_requests_keep_the_limit() {
    check_limit_is_kept("/once/x", "s", ok_response());
}

#[test]
fn streams_keep_the_limit() {
    check_limit_is_kept("/stream/x", "s", stream(3, None));
    check_limit_is_kept("/fixed/x", "s", stream(3, None));
}

#[test]
fn escalations_keep_the_limit() {
    check_limit_is_kept("/models/x", "m", stream(3, Some(10)));
}

#[test]
fn resumed_streams_keep_the_limit() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", stream(3, None)), "0.5").await;
        let cut = Behaviour::Stream {
            last: 9,
            gap: Duration::from_millis(10),
            confidence: None,
            cut_in: Some(2),
        };
        (2..=4).for_each(|n| world.backends.set_behaviour(address(n), cut.clone()));
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load("/stream/x", 10)).await).await;
        check_limit(&world, 1, 0.5, reported_at);
    });
}

#[test]
fn retries_after_failures_keep_the_limit() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "1.4").await;
        (2..=4).for_each(|n| {
            world.backends.set_behaviour(address(n), Behaviour::Answer(500, "failed".into()))
        });
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
        check_limit(&world, 1, 1.4, reported_at);
    });
}

#[test]
fn limit_below_one_per_second_is_kept() {
    for limit in ["0.4", "0.05", "0"] {
        run_test(move |world| async move {
            let (world, _net, entries) =
                start_one_limited(world, ("s", ok_response()), limit).await;
            let reported_at = Instant::now();
            responses(load_evenly(&world, &entries, load("/again/x", 40)).await).await;
            check_limit(&world, 1, limit.parse().expect("a number"), reported_at);
            let from = reported_at + Duration::from_secs(2);
            let count = count_from(&world, 1, from);
            assert!(
                count >= 1,
                "it gets a request now and then that shows whether the limit still applies"
            );
            let max_count = limit.parse::<f64>().expect("a number").max(0.05) * 40.0 + 2.0;
            assert!(count <= max_count as usize, "{count} in 40 s");
        });
    }
}

#[test]
fn callers_get_retry_after_if_all_servers_are_limited() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (4, "s", ok_response()), ENTRIES).await;
        (1..=4).for_each(|n| report_limit(&world, n, "1.5"));
        let world = Rc::new(world);
        let reported_at = Instant::now();
        let pending = load_evenly(&world, &entries, load("/again/x", 20)).await;
        let responses = responses(pending).await;
        (1..=4).for_each(|n| check_limit(&world, n, 1.5, reported_at));
        let served = responses.iter().filter(|response| response.status.is_success()).count();
        assert!((100..=140).contains(&served), "{served} of 120 that the servers take in 20 s");
        for refused in responses.iter().filter(|response| !response.status.is_success()) {
            assert_eq!(refused.status.as_u16(), 503);
            assert!(refused.body.contains("\"ran\":false"), "{}", refused.body);
            assert!(refused.headers.contains_key("retry-after"));
        }
        let start = Instant::now();
        let refused = world.call_at(&entries[0], request("/again/x", "last")).await;
        let longest = Duration::from_millis(500);
        assert!(refused.status.is_success() || start.elapsed() <= longest);
    });
}

#[test]
fn limited_capacity_is_used_with_uneven_callers() {
    let one_of_ten: fn(usize) -> usize = |number| if number % 10 == 0 { 1 } else { 2 };
    for at in [|_| 0, |_| 3, one_of_ten] {
        run_test(move |world| async move {
            let net = Net::default();
            let entries = start(&world, &net, (1, "s", ok_response()), ENTRIES).await;
            report_limit(&world, 1, "1.7");
            let world = Rc::new(world);
            let reported_at = Instant::now();
            let pending = load_at(&world, &entries, load("/again/x", 30), at).await;
            responses(pending).await;
            check_limit(&world, 1, 1.7, reported_at);
            let count = count_from(&world, 1, reported_at + Duration::from_secs(2));
            assert!(count >= 38, "{count} of the 48 that it takes in 28 s");
        });
    }
}

#[test]
fn lowered_limit_is_kept_and_lifted_limit_is_dropped() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "6").await;
        responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        report_limit(&world, 1, "1.2");
        let lowered = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 12)).await).await;
        check_limit(&world, 1, 1.2, lowered);
        world.backends.remove_header(address(1), "server-limit");
        responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        let lifted = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
        let count = count_from(&world, 1, lifted);
        assert!((60..=140).contains(&count), "{count}, where a quarter of 400 is expected");
    });
}

#[test]
fn invalid_limit_value_changes_nothing() {
    for value in ["-1", "inf", "NaN", "1e3", "soon", "", "1,5", "1.2.3"] {
        run_test(move |world| async move {
            let (world, _net, entries) =
                start_one_limited(world, ("s", ok_response()), value).await;
            let from = Instant::now();
            responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            let count = count_from(&world, 1, from);
            assert!((60..=140).contains(&count), "{count} of 400 for {value}");
            report_limit(&world, 1, "1.1");
            responses(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
            report_limit(&world, 1, value);
            let reported_at = Instant::now();
            responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            check_limit(&world, 1, 1.1, reported_at);
        });
    }
}

#[test]
fn limit_above_the_load_changes_nothing() {
    for value in ["1000000", "99999999999999999999999"] {
        run_test(move |world| async move {
            let (world, _net, entries) =
                start_one_limited(world, ("s", ok_response()), value).await;
            let from = Instant::now();
            let responses =
                responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            assert!(responses.iter().all(|response| response.status.is_success()));
            let count = count_from(&world, 1, from);
            assert!((60..=140).contains(&count), "{count} of 400 for {value}");
        });
    }
}

#[test]
fn limit_is_kept_during_store_outage() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "1.7").await;
        world.store.set_fault_mode(FaultMode::Silent(Duration::from_secs(1)));
        sleep(Duration::from_millis(500)).await;
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load("/open/x", 15)).await).await;
        check_limit(&world, 1, 1.7, reported_at);
        assert!(count_from(&world, 1, reported_at + Duration::from_secs(2)) >= 10, "it is used");
    });
}

#[test]
fn limit_belongs_to_one_incarnation() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "0").await;
        responses(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
        world.store.remove("server/s1");
        world.backends.start(address(1), "s1b", ok_response());
        world.store.put("server/s1b", &format!("s {} dc1 v1 ready", address(1)));
        sleep(Duration::from_secs(1)).await;
        let from = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        assert!(count_from(&world, 1, from) >= 20, "the next server is used without a limit");
    });
}

#[test]
fn response_is_passed_on_if_only_limited_servers_remain() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (2, "m", stream(3, Some(10))), ENTRIES).await;
        (1..=2).for_each(|n| report_limit(&world, n, "2"));
        let world = Rc::new(world);
        let pending = load_evenly(&world, &entries, load("/models/x", 20)).await;
        for response in responses(pending).await {
            let status = response.status.as_u16();
            assert!(status == 200 || status == 503, "{status} {}", response.body);
        }
    });
}

#[test]
fn failure_is_passed_on_if_only_limited_servers_remain() {
    run_test(|world| async move {
        let net = Net::default();
        let failed = Behaviour::Answer(500, "failed".into());
        let entries = start(&world, &net, (2, "s", failed), ENTRIES).await;
        (1..=2).for_each(|n| report_limit(&world, n, "2"));
        let world = Rc::new(world);
        let pending = load_evenly(&world, &entries, load("/again/x", 20)).await;
        for response in responses(pending).await {
            let status = response.status.as_u16();
            assert!(status == 500 || status == 503, "{status} {}", response.body);
        }
        assert!(max_in_window(&world, 1, Instant::now() - Duration::from_secs(18)) <= allowed(2.0));
    });
}

#[test]
fn excess_callers_are_refused_without_a_wait() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (2, "s", ok_response()), ENTRIES).await;
        (1..=2).for_each(|n| report_limit(&world, n, "1"));
        let world = Rc::new(world);
        responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        let start = Instant::now();
        let callers = (0..20).map(|n| {
            let (world, entry) = (Rc::clone(&world), entries[0].clone());
            spawn_local(async move {
                let response = world.call_at(&entry, request("/again/x", &format!("c{n}"))).await;
                (response, start.elapsed())
            })
        });
        let mut at_once = 0;
        for caller in callers.collect::<Vec<_>>() {
            let (response, elapsed) = caller.await.expect("a response");
            let is_refused = response.status.as_u16() == 503;
            at_once += usize::from(is_refused && elapsed <= Duration::from_millis(50));
        }
        assert!(at_once >= 16, "{at_once} of 20, where two servers take one a second each");
    });
}

#[test]
fn foreign_response_does_not_lift_a_limit() {
    for behaviour in [
        Behaviour::Unsigned,
        Behaviour::WrongRequestId,
        Behaviour::NotRun(503),
        Behaviour::Answer(500, "failed".into()),
    ] {
        run_test(move |world| async move {
            let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "1").await;
            responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
            let reported_at = Instant::now();
            world.backends.remove_header(address(1), "server-limit");
            world.backends.set_behaviour(address(1), behaviour.clone());
            responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            check_limit(&world, 1, 1.0, reported_at);
        });
    }
}

#[test]
fn restarted_server_has_no_limit() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "0").await;
        let list = |started_ms: u32| {
            world.store.put("server/s1", &format!("s {} dc1 v1 ready 0 {started_ms}", address(1)));
        };
        list(1);
        responses(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
        world.backends.start(address(1), "s1", ok_response());
        list(2);
        sleep(Duration::from_secs(1)).await;
        let from = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        assert!(count_from(&world, 1, from) >= 20, "{}", count_from(&world, 1, from));
    });
}

#[test]
fn limited_server_is_used_again_after_its_listing_lapsed() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "1.7").await;
        responses(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        world.store.remove("server/s1");
        sleep(Duration::from_secs(3)).await;
        responses(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
        world.list_server(1, "s", "v1", "ready");
        sleep(Duration::from_secs(1)).await;
        let restored_at = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 15)).await).await;
        check_limit(&world, 1, 1.7, restored_at);
        assert!(count_from(&world, 1, restored_at) >= 12, "{}", count_from(&world, 1, restored_at));
    });
}

#[test]
fn retries_after_silence_keep_the_limit() {
    run_test(|world| async move {
        let (world, _net, entries) = start_one_limited(world, ("s", ok_response()), "1.4").await;
        (2..=4).for_each(|n| world.backends.set_behaviour(address(n), Behaviour::Silent));
        let reported_at = Instant::now();
        responses(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
        check_limit(&world, 1, 1.4, reported_at);
        assert!(count_from(&world, 1, reported_at) >= 10, "it is used");
    });
}
