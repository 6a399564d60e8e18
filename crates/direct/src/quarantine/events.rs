//! Log lines about contents under which servers end.

use serde::Serialize;

/// A change of what is believed of a content.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum QuarantineEvent<'a> {
    /// Requests of it are not sent for a while: so many servers have ended under it.
    ContentHeld { content: &'a str, servers_ended: usize, for_ms: u64 },
    /// A run of it came to a good end, at this entry.
    ContentCleared { content: &'a str, from: &'a str },
    /// A version was found bad by a server of it that ended under this request.
    VersionTripped { request: &'a str, service: &'a str, version: &'a str },
    /// A request of it runs once more, by leave of an entry.
    ProbeGranted { request: &'a str, content: &'a str, servers_ended: usize, by: &'a str },
    /// The entry that granted a probe could not be told that it was of no use.
    ProbeNotGivenBack { error: String },
    /// No entry could be asked for leave.
    ProbeUnanswered { request: &'a str, content: &'a str, error: String },
    /// What the store holds of such contents cannot be read, or could not be written.
    QuarantineNotStored { error: String },
    /// It was written, for entries that know nothing yet.
    QuarantineStored { ends: usize, revision: u64 },
}
