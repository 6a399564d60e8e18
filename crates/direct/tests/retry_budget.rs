//! Sends that are taken from the retry budget and not made.

mod common;

use std::{slice::from_ref, time::Duration};

use common::{World, catalog, request, run_test, stream, total, with, with_body};
use hyper::StatusCode;
use pondwalk_standin::backends::Behaviour;
use tokio::time::sleep;

/// Confidence with which each model's response is discarded while there is a larger one.
const POOR: Option<u8> = Some(5);

/// Sends requests for which no model is named, each after the response to the one before.
async fn call_models(world: &World, count: usize, prefix: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let id = format!("{prefix}{number}");
        let sent = with_body(request("/models/", &id), &id);
        let response = world.call(with(sent, "pondwalk-model", "auto")).await;
        statuses.push(response.status);
    }
    statuses
}

/// Lets a server of the model service apply `behaviour` to 300 requests that no other server can
/// take, then replaces it, and checks that 200 poor responses are followed by larger models.
async fn check_budget_is_left(world: World, behaviour: Behaviour) {
    world.configure(catalog(1));
    world.start_server(1, "m", "v1", behaviour);
    world.start().await;
    call_models(&world, 300, "a").await;
    let further_sends = || total(from_ref(&world.entry), "pondwalk_further_sends_total");
    assert_eq!(further_sends(), 0);
    (2..=4).for_each(|n| world.start_server(n, "m", "v1", stream(1, POOR)));
    world.list_server(1, "m", "v1", "draining");
    sleep(Duration::from_millis(500)).await;
    let answered = call_models(&world, 200, "b").await;
    assert!(answered.iter().all(|status| *status == StatusCode::OK));
    let further_sends = further_sends();
    assert!(further_sends >= 200, "{further_sends} further sends for 200 poor responses");
}

// Each of these guards against a budget that is used up by sends for which there is no server: when
// servers are back, broken streams are not resumed and larger models not asked for up to a window.

#[test]
fn retries_without_a_server_leave_the_budget_to_others() {
    run_test(|world| check_budget_is_left(world, Behaviour::NotRun(503)));
}

#[test]
fn resumes_without_a_server_leave_the_budget_to_others() {
    let gap = Duration::from_millis(10);
    let cut = Behaviour::Stream { last: 6, gap, confidence: None, cut_in: Some(3) };
    run_test(|world| check_budget_is_left(world, cut));
}
