//! `pondwalk bench`: measures the overhead of entry and agent.

use pondwalk_config::shared::LogLevel;
use pondwalk_demo::bench::{BenchResults, PathResults, run as measure};
use serde_json::{Value, json};

use crate::{exit::Exit, options::BenchOptions, telemetry};

/// Quantiles that are printed.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Sends the load directly and through entry and agent, and prints the difference.
pub fn run(options: &BenchOptions) -> anyhow::Result<Exit> {
    telemetry::start_logs(LogLevel::Error)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let figures = runtime.block_on(measure(&options.plan))?;
    if options.json {
        println!("{}", to_json(&figures));
    } else {
        print(&figures);
    }
    Ok(Exit::Success)
}

fn print(figures: &BenchResults) {
    println!("{:<8} {:>10} {:>22} {:>22}", "way", "requests", "first token us", "whole answer us");
    for (name, path) in [("direct", &figures.direct), ("routed", &figures.routed)] {
        for (quantile, q) in QUANTILES {
            println!(
                "{name:<8} {:>10} {quantile:>8} {:>13} {quantile:>8} {:>13}",
                path.sent,
                path.first_token_us.value_at_quantile(q),
                path.total_us.value_at_quantile(q)
            );
        }
    }
    for (quantile, q) in QUANTILES {
        println!(
            "added at {quantile}: {} us to the first token, {} us to the whole answer",
            figures.added_first_token_us(q),
            figures.added_total_us(q)
        );
    }
    let request_us = figures.cpu_per_request_us();
    println!(
        "CPU time added: {request_us:.0} us per request of {} tokens, {:.1} us per token if all \
         of it is attributed to tokens",
        figures.tokens,
        request_us / figures.tokens as f64
    );
}

fn to_json(figures: &BenchResults) -> Value {
    let path = |path: &PathResults| {
        json!({
            "requests": path.sent,
            "first_token_us": QUANTILES.map(|(_, q)| path.first_token_us.value_at_quantile(q)),
            "whole_answer_us": QUANTILES.map(|(_, q)| path.total_us.value_at_quantile(q)),
            "cpu_us": path.cpu.as_micros() as u64,
        })
    };
    json!({
        "quantiles": QUANTILES.map(|(name, _)| name),
        "direct": path(&figures.direct),
        "routed": path(&figures.routed),
        "added_first_token_us": QUANTILES.map(|(_, q)| figures.added_first_token_us(q)),
        "added_whole_answer_us": QUANTILES.map(|(_, q)| figures.added_total_us(q)),
        "cpu_added_us_per_request": figures.cpu_per_request_us(),
        "tokens_per_answer": figures.tokens,
    })
}
