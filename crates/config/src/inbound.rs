//! Settings of the bounds on what an entry reads from outside.

use crate::raw::RawFile;

/// Default of `traffic_mb`: with the other buffers of the process, thirty-two endless messages at
/// once stay below 64 MB.
const DEFAULT_TRAFFIC_MB: usize = 20;
/// Default of `control_mb`: a store of the largest known deployment answers with 4 MB, which may use
/// three quarters of this.
const DEFAULT_CONTROL_MB: usize = 20;
/// Default of `kept_answer_kb`: a thousand times the answers of all known services that are no
/// streams.
const DEFAULT_KEPT_ANSWER_KB: usize = 1_024;
/// Default of `max_answer_mb`: twice what a server can send on a link of 1 Gbit/s in a second.
const DEFAULT_MAX_ANSWER_MB: usize = 256;

const KB: usize = 1_024;
const MB: usize = 1_024 * 1_024;

/// `[inbound]`: bounds on what is read from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundSettings {
    /// Bytes buffered of all requests and answers together.
    pub traffic_bytes: usize,
    /// Bytes buffered of all messages of the store and of other entries together.
    pub control_bytes: usize,
    /// Bytes of an answer that are buffered before it is passed on; what is longer is passed on as
    /// it arrives, and cannot be retried any more.
    pub kept_answer_bytes: usize,
    /// Bytes of the longest answer; one that is longer counts as a failure of its server.
    pub max_answer_bytes: usize,
}

impl InboundSettings {
    /// Reads the section.
    pub(crate) fn read(file: &mut RawFile) -> Self {
        let pool = "a number of megabytes from 4 to 100000";
        let pool = |file: &mut RawFile, key, default_mb| {
            file.bounded("inbound", key, pool, (4, 100_000), default_mb) * MB
        };
        let kept = "a number of kilobytes from 1 to 1000000";
        let answer = "a number of megabytes from 1 to 1000000";
        InboundSettings {
            traffic_bytes: pool(file, "traffic_mb", DEFAULT_TRAFFIC_MB),
            control_bytes: pool(file, "control_mb", DEFAULT_CONTROL_MB),
            kept_answer_bytes: KB
                * file.bounded(
                    "inbound",
                    "kept_answer_kb",
                    kept,
                    (1, 1_000_000),
                    DEFAULT_KEPT_ANSWER_KB,
                ),
            max_answer_bytes: MB
                * file.bounded(
                    "inbound",
                    "max_answer_mb",
                    answer,
                    (1, 1_000_000),
                    DEFAULT_MAX_ANSWER_MB,
                ),
        }
    }
}
