//! Times of ordinary requests beside floods of servers, in turn with times without floods.
//!
//! Prints the quantiles of both. The floods are read at full speed by their callers.

#[path = "../tests/site/mod.rs"]
mod site;

use std::time::Duration;

use pondwalk_standin::floods::Flood;
use site::{FLOOD_DEADLINE_MS, Site, call, flood_service, routes_of, run_on_thread, run_test};
use tokio::time::{Instant, sleep};

/// Floods at once.
const FLOODS: usize = 8;
/// Pairs of a phase without floods and one with floods.
const ROUNDS: usize = 8;
/// Length of a phase.
const PHASE: Duration = Duration::from_secs(2);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(2);

async fn measure(site: &Site, times: &mut Vec<Duration>) -> usize {
    let end = Instant::now() + PHASE;
    let mut failed = 0;
    while Instant::now() < end {
        let started = Instant::now();
        let status = site.call("/plain/non_idempotent/x", "plain", 1_000).await;
        failed += usize::from(status != Some(200));
        times.push(started.elapsed());
        sleep(PAUSE).await;
    }
    failed
}

fn start_floods(site: &Site, round: usize) {
    for number in 0..FLOODS {
        let service = flood_service((round * FLOODS + number) % Flood::ALL.len());
        let (address, path) = (site.callers, format!("{}x", routes_of(service)[number % 3].0));
        run_on_thread(move || async move {
            // How it ends does not matter here.
            let _ = call(address, &path, &format!("f{round}-{number}"), FLOOD_DEADLINE_MS).await;
        });
    }
}

fn quantile(times: &mut [Duration], quantile: f64) -> Duration {
    times.sort();
    times[((times.len() - 1) as f64 * quantile) as usize]
}

fn main() {
    run_test(async {
        let site = Site::start("bench-floods").await;
        let (mut calm, mut flooded) = (Vec::new(), Vec::new());
        let (mut calm_failed, mut flooded_failed) = (0, 0);
        for round in 0..ROUNDS {
            calm_failed += measure(&site, &mut calm).await;
            start_floods(&site, round);
            flooded_failed += measure(&site, &mut flooded).await;
            sleep(Duration::from_millis(FLOOD_DEADLINE_MS)).await;
        }
        for (name, times, failed) in
            [("without", &mut calm, calm_failed), ("beside", &mut flooded, flooded_failed)]
        {
            let [half, most, all] = [0.5, 0.99, 1.0].map(|share| quantile(times, share));
            println!(
                "{name} floods: {} requests, {failed} failed, p50 {half:?}, p99 {most:?}, longest {all:?}",
                times.len()
            );
        }
    });
}
