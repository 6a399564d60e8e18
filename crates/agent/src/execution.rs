//! Execution of runs from admission to the last frame.

use std::{sync::Arc, time::Duration};

use pondwalk_decide::{Admission, Dispatch, QueuedWork};
use pondwalk_threads::lock;
use pondwalk_types::{Incarnation, MAX_SERVER_BACKOFF, Refusal, VersionId};
use pondwalk_wire::{FrameKind, RunKey, StartRequest};
use tracing::{Instrument, Span};

use crate::{
    backend::BackendEnd,
    core::Core,
    runs::{Stage, WaitingRun},
};

/// Admits a run, or refuses it without executing it.
pub fn admit(core: &Arc<Core>, request: StartRequest) -> Result<(), Refusal> {
    let workspace = core.check_request(&request)?;
    let now = core.now();
    let version = request.work.version();
    let work = QueuedWork {
        ticket: request.run,
        workspace: request.workspace.clone(),
        priority: workspace.priority,
        share_weight: workspace.share_weight,
        expected_service_time: core.backend.expected_service_time(version),
        deadline: now + request.deadline_left,
        stated_deadline: request.stated_deadline,
    };
    lock(&core.trials).admit(version)?;
    let run = request.run;
    let waiting = WaitingRun { request, span: Span::current() };
    lock(&core.runs).insert(run, Stage::Waiting(Box::new(waiting)));
    let admission = core.admission().offer(now, work);
    match admission {
        Admission::Start => start(core, run),
        Admission::Queued { displaced } => {
            if let Some((displaced_run, refusal)) = displaced {
                shed_run(core, displaced_run, refusal);
            }
        }
        Admission::Refused(refusal) => {
            remove_waiting_run(core, run);
            return Err(refusal);
        }
    }
    Ok(())
}

/// Cancels a waiting or running run.
pub fn cancel(core: &Arc<Core>, run: RunKey) {
    let stage = lock(&core.runs).remove(&run);
    match stage {
        Some(Stage::Waiting(_)) => {
            lock(&core.queue).cancel(&run);
        }
        Some(Stage::Running { task, .. }) => {
            task.abort();
            dispatch(core);
        }
        None => {}
    }
}

/// Cancels all runs of an entry.
pub fn cancel_all(core: &Arc<Core>, entry: Incarnation) {
    let runs = lock(&core.runs).started_by(entry);
    for run in runs {
        cancel(core, run);
    }
}

fn start(core: &Arc<Core>, run: RunKey) {
    let mut runs = lock(&core.runs);
    let Some(waiting) = runs.remove_waiting(&run) else {
        return;
    };
    let span = waiting.span.clone();
    let version = waiting.version();
    let task = core.traffic.spawn(execute(core.clone(), run, waiting.request).instrument(span));
    runs.insert(run, Stage::Running { task: task.abort_handle(), version });
}

async fn execute(core: Arc<Core>, run: RunKey, request: StartRequest) {
    let version = request.work.version().clone();
    core.outboxes.push(run, FrameKind::Began);
    let outboxes = &core.outboxes;
    let end = core.backend.run(&request, |kind| outboxes.push(run, kind)).await;
    let was_registered = lock(&core.runs).remove(&run).is_some();
    if !was_registered {
        return;
    }
    finish_run(&core, run, &version, end);
    dispatch(&core);
}

fn finish_run(core: &Core, run: RunKey, version: &VersionId, end: BackendEnd) {
    let failed = !matches!(end, BackendEnd::Finished { .. });
    match end {
        // NB: a requested backoff says nothing about the quality of the version.
        BackendEnd::BackoffRequested(_) => lock(&core.trials).record_not_run(version),
        _ => lock(&core.trials).record_end(core.now(), version, failed),
    }
    let kind = match end {
        BackendEnd::Finished { usage, service_time } => {
            core.backend.learn_service_time(version, service_time);
            core.count("runs.whole");
            FrameKind::Ended { usage, service: service_time }
        }
        BackendEnd::NotRun(refusal) => {
            core.count("runs.not_run");
            FrameKind::NotRun(refusal)
        }
        BackendEnd::BackoffRequested(backoff) => {
            core.count("runs.asked_backoff");
            let backoff_ms = backoff.as_millis() as u64;
            spdlog::warn!("the backend server asked for a pause", kv: { backoff_ms });
            lock(&core.queue).back_off(core.now(), backoff);
            let retry_after_ms = backoff.min(MAX_SERVER_BACKOFF).as_millis() as u64;
            FrameKind::NotRun(Refusal::Overloaded { retry_after_ms })
        }
        BackendEnd::Failed(refusal) => {
            core.count("runs.broken");
            FrameKind::Failed(refusal)
        }
    };
    core.outboxes.push(run, kind);
}

/// Frees a slot, starts waiting runs and sheds those past their deadline.
fn dispatch(core: &Arc<Core>) {
    let mut next = core.admission().finish(core.now());
    loop {
        let Dispatch { start: first, shed } = next;
        for (run, refusal) in shed {
            shed_run(core, run, refusal);
        }
        let Some(run) = first else {
            return;
        };
        start(core, run);
        next = core.admission().dispatch_next(core.now());
    }
}

/// Sheds waiting runs whose deadline has passed.
pub fn shed_expired(core: &Arc<Core>) {
    let next = core.admission().dispatch_next(core.now());
    for (run, refusal) in next.shed {
        shed_run(core, run, refusal);
    }
    if let Some(run) = next.start {
        start(core, run);
    }
}

fn shed_run(core: &Core, run: RunKey, refusal: Refusal) {
    core.count("runs.shed");
    remove_waiting_run(core, run);
    core.outboxes.push(run, FrameKind::NotRun(refusal));
}

fn remove_waiting_run(core: &Core, run: RunKey) {
    let waiting = lock(&core.runs).remove_waiting(&run);
    if let Some(waiting) = waiting {
        lock(&core.trials).record_not_run(&waiting.version());
    }
}

/// Interval of checks for waiting runs past their deadline.
pub const SHED_INTERVAL: Duration = Duration::from_millis(100);
