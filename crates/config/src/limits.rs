//! `[limits]`: limits on requests, connections and times.

use std::time::Duration;

use crate::raw::RawFile;

const SECTION: &str = "limits";

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest total size of request headers, in bytes.
    pub header_bytes: usize,
    /// Number of concurrent connections; further ones wait in the listen queue.
    pub connections: usize,
    /// Time allowed for a request body to arrive.
    pub read_timeout: Duration,
    /// Deadline of a request without a deadline of its own.
    pub default_deadline: Duration,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain: Duration,
}

impl Limits {
    /// Reads the section.
    pub fn read(file: &mut RawFile) -> Self {
        let bytes = "a whole number of bytes from 1024 to 1073741824";
        let header = "a whole number of bytes from 1024 to 1048576";
        let count = "a whole number from 1 to 1000000";
        Limits {
            body_bytes: file.bounded(SECTION, "body_bytes", bytes, (1024, 1 << 30), 2 << 20),
            header_bytes: file.bounded(SECTION, "header_bytes", header, (1024, 1 << 20), 32 << 10),
            connections: file.bounded(SECTION, "connections", count, (1, 1_000_000), 10_000),
            read_timeout: file.millis(SECTION, "read_timeout_ms", 10_000),
            default_deadline: file.millis(SECTION, "default_deadline_ms", 60_000),
            drain: file.millis(SECTION, "drain_ms", 120_000),
        }
    }
}
