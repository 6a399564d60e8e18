//! Deadlines of calls to agents.

use std::time::Duration;

use tarpc::context::Context;

/// Timeout of ordinary calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Context of a call with a timeout.
pub fn context_with_timeout(timeout: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}

/// Context of an ordinary call.
pub fn call_context() -> Context {
    context_with_timeout(CALL_TIMEOUT)
}
