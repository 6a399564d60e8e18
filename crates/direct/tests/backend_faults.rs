//! At most once, true refusals, whole answers of one's own, and streams resumed exactly.

mod common;

use std::time::Duration;

use common::{World, address, catalog, events, play, request, stream, with};
use hyper::StatusCode;
use pondwalk_standin::backends::Act;
use tokio::time::sleep;

fn good() -> Act {
    Act::Answer(200, "made".into())
}

async fn with_two_servers(world: &World, service: &str, usual: Act) {
    world.configure(catalog(1));
    world.start_server(1, service, "v1", usual.clone());
    world.start_server(2, service, "v1", usual);
    world.start().await;
}

/// Gives the first request at either server this fate.
fn first(world: &World, act: Act) {
    // NB: only one of the two is asked first; the other's script must stay as usual.
    world.backends.script(address(1), [act.clone()]);
    world.backends.script(address(2), [act]);
}

#[test]
fn a_request_that_may_not_be_repeated_is_sent_once_after_its_answer_is_lost() {
    for fate in [Act::LoseAnswer, Act::AnswerAnother, Act::Unsigned, Act::Silent] {
        play(|world| async move {
            with_two_servers(&world, "s", good()).await;
            first(&world, fate.clone());
            let answer = world.ask(request("/once/", "r1")).await;
            let expected = match fate {
                Act::Silent => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            assert_eq!(answer.status, expected, "{fate:?}");
            assert!(answer.body.contains("unknown"));
            assert_eq!(world.backends.runs(), 1, "{fate:?}");
        });
    }
}

#[test]
fn a_request_that_was_not_run_goes_on_to_the_next_server() {
    for status in [503, 429, 421] {
        play(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Act::NotRun(status));
            world.start_server(2, "s", "v1", good());
            world.start().await;
            for number in 0..6 {
                let answer = world.ask(request("/once/", &format!("r{number}"))).await;
                assert_eq!(answer.status, StatusCode::OK);
            }
            assert_eq!(world.backends.runs(), 6);
        });
    }
}

#[test]
fn a_refusal_that_nothing_ran_is_true() {
    play(|world| async move {
        with_two_servers(&world, "s", Act::NotRun(503)).await;
        let answer = world.ask(request("/once/", "r1")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.body.contains("\"ran\":false"), "{}", answer.body);
        assert!(answer.headers.contains_key("retry-after"));
        // NB: one server loses the answer, the other refuses: it may have run.
        first(&world, Act::LoseAnswer);
        let answer = world.ask(request("/again/", "r2")).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn a_repeatable_request_is_answered_after_each_single_fault() {
    let faults = [
        Act::LoseAnswer,
        Act::Silent,
        Act::AnswerAnother,
        Act::Unsigned,
        Act::NotRun(503),
        Act::Answer(500, "broken".into()),
    ];
    for fate in faults {
        play(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", fate.clone());
            world.start_server(2, "s", "v1", good());
            world.start().await;
            for number in 0..4 {
                let answer = world.ask(request("/again/", &format!("r{number}"))).await;
                assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "made"));
            }
        });
    }
}

#[test]
fn a_failure_of_the_server_is_passed_on_as_it_is_where_it_cannot_be_repeated() {
    play(|world| async move {
        with_two_servers(&world, "s", Act::Answer(500, "broken".into())).await;
        let answer = world.ask(request("/once/", "r1")).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (500, "broken"));
        assert_eq!(answer.headers["pondwalk-signature"], "proof");
    });
}

#[test]
fn bytes_behind_an_answer_reach_nobody() {
    play(|world| async move {
        with_two_servers(&world, "s", Act::Surplus("mine".into())).await;
        for number in 0..4 {
            let answer = world.ask(request("/once/", &format!("r{number}"))).await;
            assert_eq!(answer.body, "mine");
        }
    });
}

#[test]
fn a_server_that_is_gone_is_passed_over() {
    play(|world| async move {
        with_two_servers(&world, "s", good()).await;
        world.backends.stop(address(1));
        for number in 0..4 {
            let answer = world.ask(request("/once/", &format!("r{number}"))).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
    });
}

#[test]
fn a_stream_that_breaks_in_an_event_goes_on_behind_the_last_whole_one() {
    play(|world| async move {
        with_two_servers(&world, "s", stream(6, None)).await;
        let gap = Duration::from_millis(10);
        first(&world, Act::Stream { last: 6, gap, confidence: None, cut_in: Some(4) });
        let answer = world.ask(request("/stream/", "r1")).await;
        // NB: the second server's script cuts the resumed stream again; a third send ends it.
        assert!(answer.body.starts_with(&events(1..=3)), "{}", answer.body);
        let mut seen = world.backends.seen(address(1));
        seen.extend(world.backends.seen(address(2)));
        let resumed = seen.iter().find(|seen| seen.headers.contains_key("last-event-id"));
        assert_eq!(resumed.expect("a resumed send").headers["last-event-id"], "3");
    });
}

#[test]
fn a_resumed_stream_is_whole_and_without_repeats() {
    play(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(10);
        let cut = Act::Stream { last: 6, gap, confidence: None, cut_in: Some(4) };
        world.start_server(1, "s", "v1", cut);
        world.start_server(2, "s", "v1", stream(6, None));
        world.start().await;
        for number in 0..4 {
            let answer = world.ask(request("/stream/", &format!("r{number}"))).await;
            assert_eq!((answer.body, answer.whole), (events(1..=6), true));
        }
    });
}

#[test]
fn a_silent_stream_is_resumed_elsewhere() {
    play(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_secs(30);
        world.start_server(
            1,
            "s",
            "v1",
            Act::Stream { last: 6, gap, confidence: None, cut_in: None },
        );
        world.start_server(2, "s", "v1", stream(6, None));
        world.start().await;
        for number in 0..4 {
            let answer = world.ask(request("/stream/", &format!("r{number}"))).await;
            assert_eq!((answer.body, answer.whole), (events(1..=6), true));
        }
    });
}

#[test]
fn a_slow_stream_that_cannot_go_on_elsewhere_is_waited_for() {
    play(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(1_500);
        let slow = Act::Stream { last: 4, gap, confidence: None, cut_in: None };
        world.start_server(1, "s", "v1", slow);
        world.start().await;
        let answer = world.ask(request("/stream/", "r1")).await;
        assert_eq!((answer.body, answer.whole), (events(1..=4), true));
    });
}

#[test]
fn a_silent_stream_goes_on_where_it_is_if_no_other_server_takes_it() {
    play(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(1_500);
        let slow = Act::Stream { last: 4, gap, confidence: None, cut_in: None };
        world.start_server(1, "s", "v1", slow);
        world.start_server(2, "s", "v1", Act::NotRun(503));
        world.start().await;
        for number in 0..4 {
            let answer = world.ask(request("/stream/", &format!("r{number}"))).await;
            assert_eq!((answer.body, answer.whole), (events(1..=4), true));
        }
    });
}

#[test]
fn a_stream_that_has_used_up_its_sends_is_waited_for() {
    play(|world| async move {
        // NB: longer than the silence after which a stream is left, and short enough that even
        // one that is left twice ends within its eight seconds.
        let gap = Duration::from_millis(1_400);
        let slow = Act::Stream { last: 3, gap, confidence: None, cut_in: None };
        world.configure(catalog(1));
        for n in 1..=5 {
            world.start_server(n, "s", "v1", slow.clone());
            world.backends.script(address(n), [Act::Answer(500, String::new())]);
        }
        world.start().await;
        // NB: three sends are allowed. The first requests use them up on failures.
        let answers = [
            world.ask(request("/stream/", "r1")).await,
            world.ask(request("/stream/", "r2")).await,
            world.ask(request("/stream/", "r3")).await,
        ];
        let whole = answers.iter().filter(|answer| answer.status == StatusCode::OK);
        assert!(whole.clone().count() >= 1, "{answers:?}");
        whole.for_each(|answer| assert!(answer.whole, "{answer:?}"));
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_ends_so_that_the_caller_can_tell() {
    play(|world| async move {
        let gap = Duration::from_millis(10);
        let cut = Act::Stream { last: 6, gap, confidence: None, cut_in: Some(4) };
        with_two_servers(&world, "s", cut).await;
        let answer = world.ask(request("/fixed/", "r1")).await;
        assert_eq!((answer.body, answer.whole), (events(1..=3), false));
        assert_eq!(world.backends.runs(), 1);
    });
}

#[test]
fn an_answer_without_confidence_is_dropped_for_a_larger_models() {
    play(|world| async move {
        with_two_servers(&world, "m", stream(3, Some(90))).await;
        first(&world, stream(3, Some(5)));
        let sent = with(request("/models/", "r1"), "pondwalk-model", "auto");
        let answer = world.ask(sent).await;
        assert_eq!((answer.body, answer.whole), (events(1..=3), true));
        let mut seen = world.backends.seen(address(1));
        seen.extend(world.backends.seen(address(2)));
        let models: Vec<&str> =
            seen.iter().map(|seen| seen.headers["pondwalk-model"].as_str()).collect();
        assert!(models.contains(&"small") && models.contains(&"large"), "{models:?}");
    });
}

#[test]
fn a_long_prompt_is_ranked_behind_a_short_one_at_the_server() {
    play(|world| async move {
        with_two_servers(&world, "m", stream(2, Some(90))).await;
        let ask = async |id: &str, tokens: u32| {
            let sent = with(request("/models/", id), "pondwalk-model", "auto");
            let sent = with(sent, "pondwalk-prompt-parts", &format!("{tokens}:{tokens}"));
            world.ask(with(sent, "pondwalk-priority", "0")).await;
        };
        ask("r1", 100).await;
        ask("r2", 90_000).await;
        let seen: Vec<_> = (1..=2).flat_map(|n| world.backends.seen(address(n))).collect();
        let ranks: Vec<&str> =
            seen.iter().map(|seen| seen.headers["pondwalk-priority"].as_str()).collect();
        assert!(ranks[0] != "0" && ranks[1] != "0", "the caller's own is taken off: {ranks:?}");
        assert_ne!(ranks[0], ranks[1], "{ranks:?}");
    });
}

#[test]
fn a_model_that_the_caller_names_is_kept() {
    play(|world| async move {
        with_two_servers(&world, "m", stream(3, Some(5))).await;
        let sent = with(request("/models/", "r1"), "pondwalk-model", "middle");
        assert!(world.ask(sent).await.whole);
        assert_eq!(world.backends.runs(), 1);
    });
}

#[test]
fn no_request_is_held_past_its_time() {
    play(|world| async move {
        with_two_servers(&world, "s", Act::Silent).await;
        let started = tokio::time::Instant::now();
        let sent = with(request("/again/", "r1"), "pondwalk-deadline-ms", "3000");
        let answer = world.ask(sent).await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(started.elapsed() <= Duration::from_millis(3_010), "{:?}", started.elapsed());
    });
}

#[test]
fn a_leaving_server_gets_nothing_new_whoever_says_so() {
    play(|world| async move {
        with_two_servers(&world, "s", good()).await;
        world.list_server(1, "s", "v1", "draining");
        sleep(Duration::from_millis(500)).await;
        for number in 0..4 {
            world.ask(request("/once/", &format!("r{number}"))).await;
        }
        assert_eq!(world.backends.seen(address(1)).len(), 0);
    });
}

#[test]
fn an_encoded_answer_that_nobody_asked_for_is_not_passed_on() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "encoded".into()));
        world.backends.tell(address(1), "content-encoding", "gzip");
        world.start().await;
        let answer = world.ask(request("/once/x", "r1")).await;
        assert_eq!(answer.status.as_u16(), 502);
        world.backends.tell(address(1), "content-encoding", "identity");
        assert_eq!(world.ask(request("/once/x", "r2")).await.body, "encoded");
        world.backends.tell(address(1), "content-encoding", "gzip");
        let asked = with(request("/once/x", "r3"), "accept-encoding", "gzip");
        assert_eq!(world.ask(asked).await.body, "encoded", "this caller asked for it");
    });
}
