//! Runs from admission to their last frame.

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

/// Admits a run or refuses it; a refused run has truly not run.
pub fn admit(core: &Arc<Core>, request: StartRequest) -> Result<(), Refusal> {
    let workspace = core.check(&request)?;
    let now = core.now();
    let version = request.work.version();
    let work = QueuedWork {
        ticket: request.run,
        workspace: request.workspace.clone(),
        priority: workspace.priority,
        share_weight: workspace.share_weight,
        expected_service: core.backend.expected_service(version),
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
            if let Some((out, refusal)) = displaced {
                give_up(core, out, refusal);
            }
        }
        Admission::Refused(refusal) => {
            forget(core, run);
            return Err(refusal);
        }
    }
    Ok(())
}

/// Stops a run whose answer nobody wants.
pub fn cancel(core: &Arc<Core>, run: RunKey) {
    let stage = lock(&core.runs).take(&run);
    match stage {
        Some(Stage::Waiting(_)) => {
            lock(&core.queue).cancel(&run);
        }
        Some(Stage::Running { task, .. }) => {
            task.abort();
            next(core);
        }
        None => {}
    }
}

/// Stops all runs of an entry that is gone.
pub fn cancel_all(core: &Arc<Core>, entry: Incarnation) {
    let runs = lock(&core.runs).of_entry(entry);
    for run in runs {
        cancel(core, run);
    }
}

fn start(core: &Arc<Core>, run: RunKey) {
    let mut runs = lock(&core.runs);
    let Some(waiting) = runs.remove(&run) else {
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
    let was_open = lock(&core.runs).take(&run).is_some();
    if !was_open {
        return;
    }
    report(&core, run, &version, end);
    next(&core);
}

fn report(core: &Core, run: RunKey, version: &VersionId, end: BackendEnd) {
    let failed = !matches!(end, BackendEnd::Whole { .. });
    match end {
        // NB: a server that asks for a pause is neither failing nor of a bad version by that.
        BackendEnd::AskedBackoff(_) => lock(&core.trials).never_ran(version),
        _ => lock(&core.trials).ended(core.now(), version, failed),
    }
    let kind = match end {
        BackendEnd::Whole { usage, service } => {
            core.backend.learn_service(version, service);
            core.count("runs.whole");
            FrameKind::Ended { usage, service }
        }
        BackendEnd::NotRun(refusal) => {
            core.count("runs.not_run");
            FrameKind::NotRun(refusal)
        }
        BackendEnd::AskedBackoff(asked) => {
            core.count("runs.asked_backoff");
            let backoff_ms = asked.as_millis() as u64;
            spdlog::warn!("the backend server asked for a pause", kv: { backoff_ms });
            lock(&core.queue).back_off(core.now(), asked);
            let retry_after_ms = asked.min(MAX_SERVER_BACKOFF).as_millis() as u64;
            FrameKind::NotRun(Refusal::Overloaded { retry_after_ms })
        }
        BackendEnd::Broken(refusal) => {
            core.count("runs.broken");
            FrameKind::Failed(refusal)
        }
    };
    core.outboxes.push(run, kind);
}

/// A slot is free: starts what may start and gives up what came too late.
fn next(core: &Arc<Core>) {
    let mut admitted = core.admission().finish(core.now());
    loop {
        let Dispatch { start: first, shed } = admitted;
        for (run, refusal) in shed {
            give_up(core, run, refusal);
        }
        let Some(run) = first else {
            return;
        };
        start(core, run);
        admitted = core.admission().dispatch_next(core.now());
    }
}

/// Sheds waiting runs whose deadline has passed.
pub fn shed_late(core: &Arc<Core>) {
    let admitted = core.admission().dispatch_next(core.now());
    for (run, refusal) in admitted.shed {
        give_up(core, run, refusal);
    }
    if let Some(run) = admitted.start {
        start(core, run);
    }
}

fn give_up(core: &Core, run: RunKey, refusal: Refusal) {
    core.count("runs.shed");
    forget(core, run);
    core.outboxes.push(run, FrameKind::NotRun(refusal));
}

fn forget(core: &Core, run: RunKey) {
    let waiting = lock(&core.runs).remove(&run);
    if let Some(waiting) = waiting {
        lock(&core.trials).never_ran(&waiting.version());
    }
}

/// Longest time between two checks for late work.
pub const SHED_EVERY: Duration = Duration::from_millis(100);
