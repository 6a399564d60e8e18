//! Check of the bound on sends beyond each request's first, over all entries.

use std::{collections::HashMap, time::Duration};

use crate::{
    checks::Finding,
    records::{Records, Route, TimeUs},
};

/// Allowed further sends as a ratio of the requests.
pub const RATIO: f64 = 0.9;
/// Allowed further sends per window on top of that.
pub const EXTRA: f64 = 54.0;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(10);

/// In no window do the backend servers of a service get more further sends than the budget allows.
/// The requests are those of the window, of the one before it or of the one half a window before
/// it, whichever has the most.
pub fn check_retry_budget(records: &Records) -> Finding {
    let window_us = WINDOW.as_micros() as TimeUs;
    let mut finding =
        Finding { promise: "retries stay within the budget", checked: 0, broken: Vec::new() };
    for streams in [false, true] {
        let (requests, further_sends) = times_of_service(records, streams);
        let count = |times: &[TimeUs], from_us: TimeUs| {
            let first = times.partition_point(|at| *at < from_us);
            times.partition_point(|at| *at < from_us + window_us) - first
        };
        let use_of_window = |from_us: TimeUs| {
            let earlier = |by_us| count(&requests, from_us.saturating_sub(by_us));
            let most = earlier(0).max(earlier(window_us / 2)).max(earlier(window_us));
            let sends = count(&further_sends, from_us);
            let allowed = RATIO * most as f64 + EXTRA;
            (
                sends as f64 / allowed,
                format!("{sends} further sends in a window, {allowed:.0} allowed"),
            )
        };
        finding.checked += further_sends.len();
        let uses = further_sends.iter().map(|from_us| use_of_window(*from_us));
        let worst = uses.max_by(|one, other| one.0.total_cmp(&other.0));
        finding.broken.extend(worst.filter(|(used, _)| *used > 1.0).map(|(_, text)| text));
    }
    finding
}

/// Sorted times of the requests for one of the two services, and of the further sends at its
/// servers. A caller's own repeats are requests of their own.
fn times_of_service(records: &Records, streams: bool) -> (Vec<TimeUs>, Vec<TimeUs>) {
    let of_service =
        records.exchanges.iter().filter(|exchange| (exchange.route == Route::Stream) == streams);
    let mut sent_us: HashMap<&str, Vec<TimeUs>> = HashMap::new();
    for exchange in of_service {
        sent_us.entry(&exchange.id).or_default().push(exchange.sent_us);
    }
    let mut arrivals_us: HashMap<&str, Vec<TimeUs>> = HashMap::new();
    for run in &records.runs {
        arrivals_us.entry(&run.request).or_default().push(run.at_us);
    }
    let mut further_sends = Vec::new();
    for (id, sent) in &sent_us {
        let mut arrivals = arrivals_us.remove(id).unwrap_or_default();
        arrivals.sort_unstable();
        further_sends.extend(arrivals.into_iter().skip(sent.len()));
    }
    let mut requests: Vec<TimeUs> = sent_us.into_values().flatten().collect();
    requests.sort_unstable();
    further_sends.sort_unstable();
    (requests, further_sends)
}
