//! Splits the body of an event stream into complete events.
//!
//! An event ends with an empty line. Only complete events are relayed, so a backend server that
//! fails midway leaves no partial event at the caller, and the stream can resume after the last one
//! delivered. An event that is too long to be buffered is relayed in pieces; until it is complete,
//! the stream cannot resume.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use pondwalk_inbound::{BufferPool, Reservation};

/// Maximum size of an event that is relayed only when it is complete.
const MAX_BUFFERED_EVENT_BYTES: usize = 64 * 1024;

/// Bytes that can be relayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayableBytes {
    /// Complete events.
    Events(CompleteEvents),
    /// A piece of an event that is too long to be buffered.
    Piece(Bytes),
}

/// Complete events with their original bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Bytes of the events, including the empty lines.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Whether the last event has an id.
    pub ends_with_id: bool,
    /// Whether data follows the last event that has an id, so that a resume after that id would
    /// repeat it.
    pub has_unidentified_data: bool,
}

/// Buffers bytes until events are complete.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
    reservation: Reservation,
    /// Whether a piece of the present event was relayed.
    is_within_split_event: bool,
}

impl EventSplitter {
    /// Creates a splitter that buffers within `pool`.
    pub fn new(pool: &BufferPool) -> Self {
        EventSplitter {
            buffer: BytesMut::new(),
            searched: 0,
            reservation: pool.reservation(),
            is_within_split_event: false,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns bytes that can be relayed, if there are any; to be called until there are
    /// none.
    pub fn pop(&mut self) -> Option<RelayableBytes> {
        let end = match self.is_within_split_event {
            true => end_of_first_event(&self.buffer, self.searched),
            false => end_of_last_event(&self.buffer, self.searched),
        };
        let Some(end) = end else { return self.pop_piece() };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        self.release();
        if std::mem::take(&mut self.is_within_split_event) {
            // The piece may begin within a line, so that its beginning may look like an id.
            return Some(RelayableBytes::Events(CompleteEvents {
                bytes,
                last_id: None,
                ends_with_id: false,
                has_unidentified_data: true,
            }));
        }
        let last_id = last_id(&bytes);
        let ends_with_id = last_id_line(last_event(&bytes)).is_some();
        let has_unidentified_data = memmem::find(after_last_id(&bytes), DATA_FIELD).is_some();
        Some(RelayableBytes::Events(CompleteEvents {
            bytes,
            last_id,
            ends_with_id,
            has_unidentified_data,
        }))
    }

    /// Removes and returns a piece of an event that can't be buffered until it is complete.
    fn pop_piece(&mut self) -> Option<RelayableBytes> {
        // An empty line may be split across reads, so the last bytes are searched again.
        let kept = self.buffer.len().min(3);
        let length = self.buffer.len() - kept;
        self.searched = length;
        let is_buffered = !self.is_within_split_event
            && self.buffer.len() <= MAX_BUFFERED_EVENT_BYTES
            && self.reservation.try_resize(self.buffer.len());
        if is_buffered || length == 0 {
            return None;
        }
        self.is_within_split_event = true;
        self.searched = 0;
        let piece = self.buffer.split_to(length).freeze();
        self.release();
        Some(RelayableBytes::Piece(piece))
    }

    /// Releases the memory of bytes that were removed.
    fn release(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        // Shrinking is always allowed, and what is left was reserved before.
        let _ = self.reservation.try_resize(self.buffer.len());
    }

    /// Whether bytes of an incomplete event are left, or were relayed.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty() || self.is_within_split_event
    }

    /// Whether a piece of an incomplete event was relayed, so that the stream cannot resume.
    pub fn is_within_split_event(&self) -> bool {
        self.is_within_split_event
    }
}

/// Ends of an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];
/// Name of the field with the data of an event.
const DATA_FIELD: &[u8] = b"data";
/// Beginning of a line with the id of its event.
const ID_LINE: &[u8] = b"id:";

/// Position after the first empty line of what follows `from`.
fn end_of_first_event(bytes: &[u8], from: usize) -> Option<usize> {
    let end = |pattern: &[u8]| Some(memmem::find(&bytes[from..], pattern)? + from + pattern.len());
    EVENT_ENDS.into_iter().filter_map(end).min()
}

/// Position after the last empty line of what follows `from`.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    let end = |pattern: &[u8]| Some(memmem::rfind(&bytes[from..], pattern)? + from + pattern.len());
    EVENT_ENDS.into_iter().filter_map(end).max()
}

/// The last of some complete events.
fn last_event(events: &[u8]) -> &[u8] {
    let events = events.trim_ascii_end();
    let start = end_of_last_event(events, 0).unwrap_or(0);
    &events[start..]
}

fn last_id(events: &[u8]) -> Option<String> {
    let id = last_id_line(events)?;
    std::str::from_utf8(id).ok().map(|text| text.trim().to_owned())
}

/// What follows the name in the last line that has an id.
fn last_id_line(events: &[u8]) -> Option<&[u8]> {
    let id = &events[last_id_position(events)? + ID_LINE.len()..];
    id.split(|byte| *byte == b'\n').next()
}

/// Events behind the last one that has an id.
fn after_last_id(events: &[u8]) -> &[u8] {
    let Some(position) = last_id_position(events) else { return events };
    &events[end_of_first_event(events, position).unwrap_or(events.len())..]
}

/// Position of the last line that has an id.
fn last_id_position(events: &[u8]) -> Option<usize> {
    let mut end = events.len();
    while let Some(at) = memmem::rfind(&events[..end], ID_LINE) {
        if at == 0 || events[at - 1] == b'\n' {
            return Some(at);
        }
        end = at;
    }
    None
}
