//! Log events of features under which servers crash.

use pondwalk_decide::direct::{FeatureHash, is_part, part_id};
use serde::Serialize;

/// Ids of the prompt parts among some features for logs, separated by commas.
pub(super) fn parts_text(features: &[FeatureHash]) -> String {
    let parts = features.iter().filter(|feature| is_part(**feature));
    let ids: Vec<String> = parts.map(|part| format!("{:x}", part_id(*part))).collect();
    ids.join(",")
}

/// Why a feature was cleared.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(tag = "cleared_by", rename_all = "snake_case")]
pub enum ClearanceReason<'a> {
    /// A server made the whole answer, and kept running.
    WholeRun { request: &'a str, server: &'a str },
    /// A server made the whole answer, and crashed under the same content soon after.
    ContestedRun { request: &'a str, server: &'a str },
    /// Another entry had reported crashes of a feature that succeeded here before.
    EarlierSuccess,
    /// Another entry reported it.
    Report,
}

/// A change of a feature's quarantine.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum QuarantineEvent<'a> {
    /// The content is quarantined after this many crashes, without the excused ones.
    ContentHeld { content: &'a str, servers_ended: usize, excused: usize, for_ms: u64 },
    /// A run of the content succeeded, at entry `from`.
    ContentCleared {
        content: &'a str,
        from: &'a str,
        #[serde(flatten)]
        reason: ClearanceReason<'a>,
    },
    /// The prompt part is quarantined after this many crashes, without the excused ones.
    PartHeld { service: &'a str, part: &'a str, servers_ended: usize, excused: usize, for_ms: u64 },
    /// A run with the prompt part succeeded, at entry `from`.
    PartCleared {
        service: &'a str,
        part: &'a str,
        from: &'a str,
        #[serde(flatten)]
        reason: ClearanceReason<'a>,
    },
    /// A server refuses connections shortly after a run of this content had ended there, and
    /// nothing of this entry was in flight.
    ServerCrashedAfterRun {
        request: &'a str,
        server: &'a str,
        content: &'a str,
        /// Prompt parts of the request, as comma-separated ids.
        prompt_parts: &'a str,
    },
    /// A version was tripped by the crash of one of its servers under this request.
    VersionTripped { request: &'a str, service: &'a str, version: &'a str },
    /// A request runs as a probe of a content, or of prompt parts, granted by entry `by`.
    ProbeGranted {
        request: &'a str,
        content: &'a str,
        /// Quarantined prompt parts of the request, as comma-separated ids.
        prompt_parts: &'a str,
        servers_ended: usize,
        by: &'a str,
    },
    /// An unused probe could not be released to its granter.
    ProbeNotGivenBack { error: String },
    /// No entry replied to the probe query.
    ProbeUnanswered {
        request: &'a str,
        content: &'a str,
        /// Quarantined prompt parts of the request, as comma-separated ids.
        prompt_parts: &'a str,
        error: String,
    },
    /// The stored quarantine can't be parsed, or could not be written.
    QuarantineNotStored { error: String },
    /// The quarantine was stored, for entries that start without any state.
    QuarantineStored { ends: usize, revision: u64 },
}
