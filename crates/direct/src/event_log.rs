//! Structured event log: one JSON object per line.
//!
//! The number of lines per second is limited, with a share reserved for failures. Lines are
//! buffered and passed in batches to a writer thread; if it can't keep up, they are dropped and
//! counted. Logging never blocks.

use std::{
    cell::RefCell,
    num::NonZeroUsize,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use serde::Serialize;
use spdlog::{
    Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink},
};

use crate::clock::Clock;

/// Maximum number of batches queued for the writer.
const MAX_QUEUED_BATCHES: NonZeroUsize = NonZeroUsize::new(8).unwrap();
/// Buffered bytes above which a batch is submitted early.
const BATCH_BYTES: usize = 16 * 1024;
/// Maximum time that the end of a process waits for its last lines.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Fraction of the lines per second available to successes.
const SUCCESS_SHARE: f64 = 0.5;

/// Priority of a line when the rate limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogPriority {
    /// A state change; always written.
    State,
    /// A failed request.
    Failure,
    /// A successful request.
    Success,
}

/// A log line.
#[derive(Debug, Serialize)]
struct Line<'a, E: Serialize> {
    /// Time since the start of the process, in milliseconds.
    at_ms: u64,
    process: &'a str,
    #[serde(flatten)]
    event: &'a E,
}

#[derive(Debug, Default)]
struct Buffer {
    text: String,
    second: u64,
    written: u32,
    dropped: u64,
}

/// Rate-limited event log.
pub struct EventLog {
    process: String,
    clock: Clock,
    lines_per_s: u32,
    writer: Option<Writer>,
    buffer: RefCell<Buffer>,
}

/// Passes batches of lines to a thread of its own.
struct Writer {
    /// `None` while the writer is dropped.
    logger: Option<Logger>,
    /// Whether the thread rejected the latest batch.
    rejected: Arc<AtomicBool>,
}

/// Error of the logging backend.
pub type LogError = spdlog::Error;

impl EventLog {
    /// Logs to standard output, at most `lines_per_s`.
    pub fn to_stdout(process: &str, lines_per_s: u32) -> Result<Self, LogError> {
        let out = StdStreamSink::builder()
            .std_stream(StdStream::Stdout)
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()?;
        Self::to_sink(out, process, lines_per_s)
    }

    /// Logs to a sink that may be slow or blocked, at most `lines_per_s`.
    pub fn to_sink(out: Arc<dyn Sink>, process: &str, lines_per_s: u32) -> Result<Self, LogError> {
        let writer = Some(Writer::new(out)?);
        Ok(EventLog { writer, ..Self::in_memory(process, lines_per_s) })
    }

    /// Buffers rate-limited lines without writing them; for tests.
    pub fn in_memory(process: &str, lines_per_s: u32) -> Self {
        EventLog {
            process: process.to_owned(),
            clock: Clock::start(),
            lines_per_s,
            writer: None,
            buffer: RefCell::default(),
        }
    }

    /// Adds an event to the log.
    pub fn record<E: Serialize>(&self, priority: LogPriority, event: &E) {
        let at = self.clock.uptime();
        let mut buffer = self.buffer.borrow_mut();
        if !buffer.admits(priority, at, self.lines_per_s) {
            buffer.dropped += 1;
            return;
        }
        let line = Line { at_ms: at.as_millis() as u64, process: &self.process, event };
        match serde_json::to_string(&line) {
            Ok(text) => {
                if !buffer.text.is_empty() {
                    buffer.text.push('\n');
                }
                buffer.text.push_str(&text);
            }
            Err(_) => buffer.dropped += 1,
        }
        if buffer.text.len() > BATCH_BYTES {
            self.submit(&mut buffer);
        }
    }

    /// Submits the buffered lines to the writer.
    pub fn flush(&self) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.dropped > 0 {
            let dropped = std::mem::take(&mut buffer.dropped);
            let line = serde_json::json!({
                "at_ms": self.clock.uptime().as_millis() as u64,
                "process": self.process,
                "event": "lines_dropped",
                "lines": dropped,
            });
            if !buffer.text.is_empty() {
                buffer.text.push('\n');
            }
            buffer.text.push_str(&line.to_string());
        }
        if !buffer.text.is_empty() {
            self.submit(&mut buffer);
        }
    }

    /// Lines that have not been submitted yet; for tests.
    pub fn buffered(&self) -> String {
        self.buffer.borrow().text.clone()
    }

    fn submit(&self, buffer: &mut Buffer) {
        let Some(writer) = &self.writer else { return };
        if !writer.try_submit(&buffer.text) {
            buffer.dropped += buffer.text.lines().count() as u64;
        }
        buffer.text.clear();
    }
}

impl Writer {
    fn new(out: Arc<dyn Sink>) -> Result<Self, LogError> {
        let thread = ThreadPool::builder().capacity(MAX_QUEUED_BATCHES).build_arc()?;
        let queue = AsyncPoolSink::builder()
            .sink(out)
            .thread_pool(thread)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()?;
        let rejected = Arc::new(AtomicBool::new(false));
        let rejected_flag = Arc::clone(&rejected);
        // Without a handler the library reports each loss on standard error, which may block.
        let on_error = move |_: spdlog::Error| rejected_flag.store(true, Ordering::Relaxed);
        let logger = Logger::builder().sink(queue).error_handler(on_error).build()?;
        Ok(Writer { logger: Some(logger), rejected })
    }

    /// Submits a batch; returns whether the thread accepted it.
    fn try_submit(&self, batch: &str) -> bool {
        let Some(logger) = &self.logger else { return false };
        spdlog::info!(logger: logger, "{batch}");
        !self.rejected.swap(false, Ordering::Relaxed)
    }
}

impl Drop for Writer {
    /// Waits until the last lines are written, but not for a sink that is blocked.
    fn drop(&mut self) {
        let logger = self.logger.take();
        let (closed, is_closed) = mpsc::channel();
        // Dropping the logger waits for its thread.
        thread::spawn(move || {
            drop(logger);
            // Nobody waits any more if this took too long.
            let _ = closed.send(());
        });
        let _ = is_closed.recv_timeout(CLOSE_TIMEOUT);
    }
}

impl Buffer {
    fn admits(&mut self, priority: LogPriority, at: Duration, lines_per_s: u32) -> bool {
        if at.as_secs() != self.second {
            self.second = at.as_secs();
            self.written = 0;
        }
        let allowed = match priority {
            LogPriority::State => return true,
            LogPriority::Failure => f64::from(lines_per_s),
            LogPriority::Success => f64::from(lines_per_s) * SUCCESS_SHARE,
        };
        let admitted = f64::from(self.written) < allowed;
        self.written += u32::from(admitted);
        admitted
    }
}
