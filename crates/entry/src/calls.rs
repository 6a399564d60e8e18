//! How long calls to agents may take.

use std::time::Duration;

use tarpc::context::Context;

/// Longest time of a call that waits for nothing but its answer.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Context of a call that may take so long.
pub fn context(limit: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}

/// Context of a call that waits for nothing but its answer.
pub fn call_context() -> Context {
    context(CALL_LIMIT)
}
