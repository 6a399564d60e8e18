//! Time of one check of the retry budget, with a window full of requests and sends.

// NB: the macros below generate functions without documentation.
#![allow(missing_docs)]

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use pondwalk_decide::direct::{WindowBudget, WindowLimits};

/// Requests in two windows, at 34 a second.
const REQUESTS: u32 = 680;

fn checks(criterion: &mut Criterion) {
    let window = Duration::from_secs(10);
    let limits = WindowLimits { ratio: 0.9, extra: 2.0, window, rounding: 0.5 };
    let mut budget = WindowBudget::new(limits);
    for request in 0..REQUESTS {
        let now = window * 2 * request / REQUESTS;
        budget.record_request(now);
        if request % 3 == 0 {
            budget.try_take(now, 0.05);
        }
    }
    let now = window * 2;
    criterion.bench_function("retry_budget/has_room", |bencher| {
        bencher.iter(|| budget.has_room(black_box(now), 0.0));
    });
}

criterion_group!(benches, checks);
criterion_main!(benches);
