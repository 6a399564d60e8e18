//! Splits the body of a stream into whole events.
//!
//! An event ends with an empty line. Only whole events are passed on, so that a backend server
//! that breaks off in the middle leaves nothing half at the caller, and the stream can be
//! resumed after the last one delivered.

use bytes::{Bytes, BytesMut};

/// Whole events with their bytes as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes, the empty lines included.
    pub bytes: Bytes,
    /// Id of the last event that carries one.
    pub last_id: Option<String>,
}

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// All events that are whole, if any is.
    pub fn pop_complete(&mut self) -> Option<CompleteEvents> {
        let Some(end) = end_of_last_event(&self.buffer, self.searched) else {
            // NB: an empty line may be split, so the last bytes are looked at again.
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(CompleteEvents { bytes, last_id })
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Position behind the last empty line that ends at or after `from`.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    let is_end = |end: &usize| {
        let head = &bytes[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(is_end)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(|text| text.trim().to_owned())
}
