//! Backend faults: at most one run of a non-repeatable request, truthful refusals, complete
//! responses, and exactly resumed streams.

mod common;

use std::time::Duration;

use common::{World, address, catalog, events, request, run_test, stream, with};
use hyper::StatusCode;
use pondwalk_standin::backends::Behaviour;
use tokio::time::sleep;

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

async fn start_two_servers(world: &World, service: &str, behaviour: Behaviour) {
    world.configure(catalog(1));
    world.start_server(1, service, "v1", behaviour.clone());
    world.start_server(2, service, "v1", behaviour);
    world.start().await;
}

/// Makes each of the two servers apply `behaviour` to the next request that it gets.
fn script_both_servers(world: &World, behaviour: Behaviour) {
    // It is not known which server gets the first request, so both have the same script.
    world.backends.script(address(1), [behaviour.clone()]);
    world.backends.script(address(2), [behaviour]);
}

#[test]
fn non_repeatable_request_is_sent_once_after_a_lost_response() {
    for behaviour in
        [Behaviour::DropResponse, Behaviour::WrongRequestId, Behaviour::Unsigned, Behaviour::Silent]
    {
        run_test(|world| async move {
            start_two_servers(&world, "s", ok_response()).await;
            script_both_servers(&world, behaviour.clone());
            let response = world.call(request("/once/", "r1")).await;
            let expected = match behaviour {
                Behaviour::Silent => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            assert_eq!(response.status, expected, "{behaviour:?}");
            assert!(response.body.contains("unknown"));
            assert_eq!(world.backends.runs(), 1, "{behaviour:?}");
        });
    }
}

#[test]
fn request_that_did_not_run_is_retried() {
    for status in [503, 429, 421] {
        run_test(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Behaviour::NotRun(status));
            world.start_server(2, "s", "v1", ok_response());
            world.start().await;
            for number in 0..6 {
                let response = world.call(request("/once/", &format!("r{number}"))).await;
                assert_eq!(response.status, StatusCode::OK);
            }
            assert_eq!(world.backends.runs(), 6);
        });
    }
}

#[test]
fn refusal_that_nothing_ran_is_true() {
    run_test(|world| async move {
        start_two_servers(&world, "s", Behaviour::NotRun(503)).await;
        let response = world.call(request("/once/", "r1")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.body.contains("\"ran\":false"), "{}", response.body);
        assert!(response.headers.contains_key("retry-after"));
        // One server loses the response, the other one rejects the request: it may have run.
        script_both_servers(&world, Behaviour::DropResponse);
        let response = world.call(request("/again/", "r2")).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn repeatable_request_survives_each_single_fault() {
    let faults = [
        Behaviour::DropResponse,
        Behaviour::Silent,
        Behaviour::WrongRequestId,
        Behaviour::Unsigned,
        Behaviour::NotRun(503),
        Behaviour::Answer(500, "broken".into()),
    ];
    for behaviour in faults {
        run_test(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", behaviour.clone());
            world.start_server(2, "s", "v1", ok_response());
            world.start().await;
            for number in 0..4 {
                let response = world.call(request("/again/", &format!("r{number}"))).await;
                assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "made"));
            }
        });
    }
}

#[test]
fn server_failure_is_passed_on_if_not_repeatable() {
    run_test(|world| async move {
        start_two_servers(&world, "s", Behaviour::Answer(500, "broken".into())).await;
        let response = world.call(request("/once/", "r1")).await;
        assert_eq!((response.status.as_u16(), response.body.as_str()), (500, "broken"));
        assert_eq!(response.headers["pondwalk-signature"], "proof");
    });
}

#[test]
fn bytes_after_a_response_are_discarded() {
    run_test(|world| async move {
        start_two_servers(&world, "s", Behaviour::ExtraResponse("mine".into())).await;
        for number in 0..4 {
            let response = world.call(request("/once/", &format!("r{number}"))).await;
            assert_eq!(response.body, "mine");
        }
    });
}

#[test]
fn stopped_server_is_skipped() {
    run_test(|world| async move {
        start_two_servers(&world, "s", ok_response()).await;
        world.backends.stop(address(1));
        for number in 0..4 {
            let response = world.call(request("/once/", &format!("r{number}"))).await;
            assert_eq!(response.status, StatusCode::OK);
        }
    });
}

#[test]
fn stream_broken_within_an_event_resumes_after_the_last_whole_event() {
    run_test(|world| async move {
        start_two_servers(&world, "s", stream(6, None)).await;
        let gap = Duration::from_millis(10);
        script_both_servers(
            &world,
            Behaviour::Stream { last: 6, gap, confidence: None, cut_in: Some(4) },
        );
        let response = world.call(request("/stream/", "r1")).await;
        // The second server's script cuts the resumed stream again; a third send completes it.
        assert!(response.body.starts_with(&events(1..=3)), "{}", response.body);
        let mut seen = world.backends.requests(address(1));
        seen.extend(world.backends.requests(address(2)));
        let resumed = seen.iter().find(|seen| seen.headers.contains_key("last-event-id"));
        assert_eq!(resumed.expect("a resumed send").headers["last-event-id"], "3");
    });
}

#[test]
fn resumed_stream_is_complete_without_repeats() {
    run_test(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(10);
        let cut = Behaviour::Stream { last: 6, gap, confidence: None, cut_in: Some(4) };
        world.start_server(1, "s", "v1", cut);
        world.start_server(2, "s", "v1", stream(6, None));
        world.start().await;
        for number in 0..4 {
            let response = world.call(request("/stream/", &format!("r{number}"))).await;
            assert_eq!((response.body, response.is_complete), (events(1..=6), true));
        }
    });
}

#[test]
fn silent_stream_is_resumed_elsewhere() {
    run_test(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_secs(30);
        world.start_server(
            1,
            "s",
            "v1",
            Behaviour::Stream { last: 6, gap, confidence: None, cut_in: None },
        );
        world.start_server(2, "s", "v1", stream(6, None));
        world.start().await;
        for number in 0..4 {
            let response = world.call(request("/stream/", &format!("r{number}"))).await;
            assert_eq!((response.body, response.is_complete), (events(1..=6), true));
        }
    });
}

#[test]
fn slow_stream_without_alternative_is_waited_for() {
    run_test(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(1_500);
        let slow = Behaviour::Stream { last: 4, gap, confidence: None, cut_in: None };
        world.start_server(1, "s", "v1", slow);
        world.start().await;
        let response = world.call(request("/stream/", "r1")).await;
        assert_eq!((response.body, response.is_complete), (events(1..=4), true));
    });
}

#[test]
fn silent_stream_continues_if_no_other_server_accepts_it() {
    run_test(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(1_500);
        let slow = Behaviour::Stream { last: 4, gap, confidence: None, cut_in: None };
        world.start_server(1, "s", "v1", slow);
        world.start_server(2, "s", "v1", Behaviour::NotRun(503));
        world.start().await;
        for number in 0..4 {
            let response = world.call(request("/stream/", &format!("r{number}"))).await;
            assert_eq!((response.body, response.is_complete), (events(1..=4), true));
        }
    });
}

#[test]
fn stream_without_remaining_sends_is_waited_for() {
    run_test(|world| async move {
        // Longer than the silence after which a stream is moved, and short enough that a stream
        // that is moved twice ends within its eight seconds.
        let gap = Duration::from_millis(1_400);
        let slow = Behaviour::Stream { last: 3, gap, confidence: None, cut_in: None };
        world.configure(catalog(1));
        for n in 1..=5 {
            world.start_server(n, "s", "v1", slow.clone());
            world.backends.script(address(n), [Behaviour::Answer(500, String::new())]);
        }
        world.start().await;
        // Three sends are allowed, and the first requests use them up on failures.
        let responses = [
            world.call(request("/stream/", "r1")).await,
            world.call(request("/stream/", "r2")).await,
            world.call(request("/stream/", "r3")).await,
        ];
        let successful = responses.iter().filter(|response| response.status == StatusCode::OK);
        assert!(successful.clone().count() >= 1, "{responses:?}");
        successful.for_each(|response| assert!(response.is_complete, "{response:?}"));
    });
}

#[test]
fn non_resumable_stream_ends_visibly_truncated() {
    run_test(|world| async move {
        let gap = Duration::from_millis(10);
        let cut = Behaviour::Stream { last: 6, gap, confidence: None, cut_in: Some(4) };
        start_two_servers(&world, "s", cut).await;
        let response = world.call(request("/fixed/", "r1")).await;
        assert_eq!((response.body, response.is_complete), (events(1..=3), false));
        assert_eq!(world.backends.runs(), 1);
    });
}

#[test]
fn response_of_low_confidence_is_replaced_by_a_larger_model() {
    run_test(|world| async move {
        start_two_servers(&world, "m", stream(3, Some(90))).await;
        script_both_servers(&world, stream(3, Some(5)));
        let sent = with(request("/models/", "r1"), "pondwalk-model", "auto");
        let response = world.call(sent).await;
        assert_eq!((response.body, response.is_complete), (events(1..=3), true));
        let mut seen = world.backends.requests(address(1));
        seen.extend(world.backends.requests(address(2)));
        let models: Vec<&str> =
            seen.iter().map(|seen| seen.headers["pondwalk-model"].as_str()).collect();
        assert!(models.contains(&"small") && models.contains(&"large"), "{models:?}");
    });
}

#[test]
fn long_prompt_is_ranked_after_a_short_one() {
    run_test(|world| async move {
        start_two_servers(&world, "m", stream(2, Some(90))).await;
        let call = async |id: &str, tokens: u32| {
            let sent = with(request("/models/", id), "pondwalk-model", "auto");
            let sent = with(sent, "pondwalk-prompt-parts", &format!("{tokens}:{tokens}"));
            world.call(with(sent, "pondwalk-priority", "0")).await;
        };
        call("r1", 100).await;
        call("r2", 90_000).await;
        let seen: Vec<_> = (1..=2).flat_map(|n| world.backends.requests(address(n))).collect();
        let ranks: Vec<&str> =
            seen.iter().map(|seen| seen.headers["pondwalk-priority"].as_str()).collect();
        assert!(
            ranks[0] != "0" && ranks[1] != "0",
            "the caller's own header is removed: {ranks:?}"
        );
        assert_ne!(ranks[0], ranks[1], "{ranks:?}");
    });
}

#[test]
fn model_named_by_the_caller_is_kept() {
    run_test(|world| async move {
        start_two_servers(&world, "m", stream(3, Some(5))).await;
        let sent = with(request("/models/", "r1"), "pondwalk-model", "middle");
        assert!(world.call(sent).await.is_complete);
        assert_eq!(world.backends.runs(), 1);
    });
}

#[test]
fn no_request_outlives_its_deadline() {
    run_test(|world| async move {
        start_two_servers(&world, "s", Behaviour::Silent).await;
        let started = tokio::time::Instant::now();
        let sent = with(request("/again/", "r1"), "pondwalk-deadline-ms", "3000");
        let response = world.call(sent).await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(started.elapsed() <= Duration::from_millis(3_010), "{:?}", started.elapsed());
    });
}

#[test]
fn draining_server_gets_no_new_requests_from_any_source() {
    run_test(|world| async move {
        start_two_servers(&world, "s", ok_response()).await;
        world.list_server(1, "s", "v1", "draining");
        sleep(Duration::from_millis(500)).await;
        for number in 0..4 {
            world.call(request("/once/", &format!("r{number}"))).await;
        }
        assert_eq!(world.backends.requests(address(1)).len(), 0);
    });
}

#[test]
fn unrequested_content_encoding_is_not_passed_on() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "encoded".into()));
        world.backends.set_header(address(1), "content-encoding", "gzip");
        world.start().await;
        let response = world.call(request("/once/x", "r1")).await;
        assert_eq!(response.status.as_u16(), 502);
        world.backends.set_header(address(1), "content-encoding", "identity");
        assert_eq!(world.call(request("/once/x", "r2")).await.body, "encoded");
        world.backends.set_header(address(1), "content-encoding", "gzip");
        let sent = with(request("/once/x", "r3"), "accept-encoding", "gzip");
        assert_eq!(world.call(sent).await.body, "encoded", "this caller asked for it");
    });
}
