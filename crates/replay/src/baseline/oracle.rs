//! Decisions of the oracles, which read every recorded outcome in advance.

use std::collections::BTreeMap;

use pondwalk_types::{Policy, TokenUsage, VersionId, WorkspacePolicy};

use crate::trace::{RecordedRequest, Trace, TraceEvent};

/// Requests of one session, in order.
type Session<'a> = Vec<&'a RecordedRequest>;

/// Chooses for each session, by workspace and session, the cheapest version that meets the target
/// shares of its tasks, or else the version that meets the most targets.
pub fn session_pins(trace: &Trace, policy: &Policy) -> BTreeMap<(String, String), VersionId> {
    let mut sessions: BTreeMap<(String, String), Session<'_>> = BTreeMap::new();
    for line in &trace.lines {
        if let TraceEvent::Request(request) = &line.event
            && let (Some(session), None) = (&request.session, &request.service)
        {
            let key = (request.workspace.clone(), session.clone());
            sessions.entry(key).or_default().push(request);
        }
    }
    let chosen = sessions.into_iter().filter_map(|(key, session)| {
        let workspace = policy.workspaces.get(&key.0)?;
        Some((key, choose_pin(&session, workspace, policy)?))
    });
    chosen.collect()
}

fn choose_pin(
    session: &Session<'_>,
    workspace: &WorkspacePolicy,
    policy: &Policy,
) -> Option<VersionId> {
    let assessed = workspace.allowed_versions.iter().map(|version| {
        let runs = session.iter().filter_map(|request| {
            let outcome = request.outcomes.get(version)?;
            let task = workspace.tasks.get(&request.task);
            let target = task.map_or(0.0, |task| task.quality_target);
            let in_time = !outcome.failed && outcome.service_time <= request.deadline;
            let usage = TokenUsage {
                prompt_tokens: request.prompt_tokens,
                output_tokens: outcome.output_tokens,
            };
            let cost = policy.price_of(version).unwrap_or_default().cost(usage);
            let required = task.map_or(0.0, |task| task.target_share);
            Some((u32::from(in_time && outcome.quality >= target), required, cost))
        });
        let (met, required, cost) =
            runs.fold((0, 0.0, 0.0), |sum, run| (sum.0 + run.0, sum.1 + run.1, sum.2 + run.2));
        (version, met, required, cost)
    });
    let assessed: Vec<_> = assessed.collect();
    let sufficient = assessed.iter().filter(|(_, met, required, _)| f64::from(*met) >= *required);
    let cheapest = sufficient.min_by(|a, b| a.3.total_cmp(&b.3));
    let best = || assessed.iter().max_by_key(|(_, met, ..)| *met);
    cheapest.or_else(best).map(|(version, ..)| (*version).clone())
}

/// Chooses the cheapest of the `available` versions, which are sorted by cost, that meets the
/// quality target by the deadline; or else that answers by the deadline; or else that answers at
/// all; or else the first.
pub fn choose_version<'a>(
    request: &RecordedRequest,
    workspace: &WorkspacePolicy,
    available: &[&'a VersionId],
) -> Option<&'a VersionId> {
    let target = workspace.tasks.get(&request.task).map_or(0.0, |task| task.quality_target);
    let find = |in_time: bool, meets: bool| {
        available.iter().copied().find(|version| {
            request.outcomes.get(*version).is_some_and(|outcome| {
                !outcome.failed
                    && (!in_time || outcome.service_time <= request.deadline)
                    && (!meets || outcome.quality >= target)
            })
        })
    };
    find(true, true)
        .or_else(|| find(true, false))
        .or_else(|| find(false, false))
        .or_else(|| available.first().copied())
}
