//! Background tasks that go on after a panic.
//!
//! The runtime ends a task that panics, and nothing else. An entry without one of its tasks would
//! look healthy and follow the store no more, or report nothing.

use std::{future::Future, rc::Rc, time::Duration};

use serde::Serialize;
use tokio::{task::spawn_local, time::sleep};

use crate::{core::Core, event_log::LogPriority, metrics::Counter};

/// Time until a task is restarted; doubles with each further panic.
const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(50);
/// Maximum of that time.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(2);

/// A task that panicked was restarted.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum TaskEvent {
    TaskRestarted { task: &'static str },
}

/// Runs a task as a local task of the current thread, and restarts it when it has panicked.
pub fn spawn_restarting<F>(core: &Rc<Core>, task: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let core = Rc::clone(core);
    spawn_local(async move {
        let mut delay = INITIAL_RESTART_DELAY;
        while spawn_local(start()).await.is_err_and(|error| error.is_panic()) {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RESTART_DELAY);
            core.metrics.count(Counter::TasksRestarted);
            core.event_log.record(LogPriority::State, &TaskEvent::TaskRestarted { task });
        }
    });
}
