//! Log events of contents under which servers crash.

use serde::Serialize;

/// A change of a content's quarantine.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum QuarantineEvent<'a> {
    /// The content is quarantined after this many crashes.
    ContentHeld { content: &'a str, servers_ended: usize, for_ms: u64 },
    /// A run of the content succeeded, at entry `from`.
    ContentCleared { content: &'a str, from: &'a str },
    /// A version was tripped by the crash of one of its servers under this request.
    VersionTripped { request: &'a str, service: &'a str, version: &'a str },
    /// A request with the content runs as a probe, granted by entry `by`.
    ProbeGranted { request: &'a str, content: &'a str, servers_ended: usize, by: &'a str },
    /// An unused probe could not be released to its granter.
    ProbeNotGivenBack { error: String },
    /// No entry replied to the probe query.
    ProbeUnanswered { request: &'a str, content: &'a str, error: String },
    /// The stored quarantine can't be parsed, or could not be written.
    QuarantineNotStored { error: String },
    /// The quarantine was stored, for entries that start without any state.
    QuarantineStored { ends: usize, revision: u64 },
}
