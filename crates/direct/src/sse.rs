//! Splits the body of an event stream into complete events.
//!
//! An event ends with an empty line. Only complete events are relayed, so a backend server that
//! fails midway leaves no partial event at the caller, and the stream can resume after the last one
//! delivered.

use bytes::{Bytes, BytesMut};

/// Complete events with their original bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Bytes of the events, including the empty lines.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Whether the last event has an id, so that a resume after that id continues exactly.
    pub ends_with_id: bool,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns all complete events, if there are any.
    pub fn pop_complete(&mut self) -> Option<CompleteEvents> {
        let Some(end) = end_of_last_event(&self.buffer, self.searched) else {
            // An empty line may be split across reads, so the last bytes are searched again.
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let last_id = last_id(&bytes);
        let ends_with_id = last_event(&bytes).split(|byte| *byte == b'\n').any(is_id_line);
        Some(CompleteEvents { bytes, last_id, ends_with_id })
    }

    /// Whether bytes of an incomplete event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Position after the last empty line that ends after `from`.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    let is_end = |end: &usize| {
        let head = &bytes[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(is_end)
}

/// The last of some complete events.
fn last_event(events: &[u8]) -> &[u8] {
    let events = events.trim_ascii_end();
    let start = end_of_last_event(events, 0).unwrap_or(0);
    &events[start..]
}

fn is_id_line(line: &[u8]) -> bool {
    line.starts_with(b"id:")
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(|text| text.trim().to_owned())
}
