//! The pace of a stream, and the decision to move it.

mod common;

use common::ms;
use pondwalk_decide::direct::{
    StreamDecision, StreamForecast, StreamPace, StreamRest, decide_stream,
};

/// Records one token every `gap_ms` in a range of times; returns the samples.
fn record(pace: &mut StreamPace, from_ms: u64, to_ms: u64, gap_ms: usize) -> Vec<f64> {
    (from_ms..=to_ms).step_by(gap_ms).filter_map(|at| pace.record(1.0, ms(at))).collect()
}

/// Guards against samples that count the wait for the first event, or the first event itself.
#[test]
fn pace_is_sampled_every_half_second() {
    let mut pace = StreamPace::default();
    assert_eq!(record(&mut pace, 700, 1_700, 20), [20.0, 20.0]);
    assert_eq!((pace.recent_token_ms(), pace.max_gap()), (Some(20.0), ms(20)));
    // After two seconds the pace before is forgotten, and the mean still counts it.
    assert_eq!(record(&mut pace, 1_800, 4_000, 100).len(), 4);
    assert_eq!((pace.recent_token_ms(), pace.max_gap()), (Some(100.0), ms(100)));
    assert!(pace.mean_token_ms().is_some_and(|mean| mean > 20.0 && mean < 100.0));
}

/// Guards against a stream that is rated by the first half second, or by its previous server.
#[test]
fn pace_needs_a_second_at_the_present_server() {
    let mut pace = StreamPace::default();
    assert_eq!(record(&mut pace, 0, 500, 50).len(), 1);
    assert_eq!(pace.recent_token_ms(), None);
    record(&mut pace, 550, 1_000, 50);
    assert!(pace.recent_token_ms().is_some());
    pace.on_server_changed();
    assert_eq!(pace.recent_token_ms(), None);
    // The pause of the change counts for the caller, not for the new server.
    assert_eq!(record(&mut pace, 1_900, 2_400, 10), [10.0]);
    assert_eq!(pace.max_gap(), ms(900));
}

/// Guards against a server that is rated by a caller that does not read: the events sent meanwhile
/// arrive at once.
#[test]
fn pause_of_the_caller_is_not_the_servers() {
    let mut pace = StreamPace::default();
    record(&mut pace, 0, 400, 20);
    pace.on_caller_paused(ms(3_000));
    let burst: Vec<f64> = (0..100).filter_map(|_| pace.record(1.0, ms(3_001))).collect();
    assert!(burst.is_empty());
    assert_eq!(record(&mut pace, 3_500, 4_000, 20), [20.0]);
    assert_eq!(pace.max_gap(), ms(499));
}

/// Guards against moves that gain nothing: each costs one further send and a prefill.
#[test]
fn stream_is_moved_only_if_that_saves_it() {
    let rest = |token_ms| StreamRest { tokens: 100.0, token_ms, time_left: ms(2_500) };
    let to = |token_ms| StreamForecast { first_byte_ms: 800.0, token_ms };
    let decide = |here, there: Option<StreamForecast>| decide_stream(&rest(here), there.as_ref());
    assert_eq!(decide(25.0, Some(to(1.0))), StreamDecision::Keep);
    assert_eq!(decide(26.0, Some(to(12.0))), StreamDecision::Move);
    // 2,100 ms and a quarter of that are more than the time left.
    assert_eq!(decide(26.0, Some(to(13.0))), StreamDecision::KeepSlow);
    assert_eq!(decide(26.0, None), StreamDecision::KeepSlow);
}
