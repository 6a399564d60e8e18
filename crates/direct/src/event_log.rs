//! Structured logs: one JSON object a line, one line for each decision.
//!
//! The lines that may be written in a second are bounded, with a part kept for failures. Lines
//! are gathered and handed to a writer of their own thread every so often; if that cannot keep
//! up, they are dropped and counted. Nothing here ever waits.

use std::{
    cell::RefCell,
    num::NonZeroUsize,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::Serialize;
use spdlog::{
    Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink},
};

use crate::clock::Clock;

/// Batches of lines that may wait for the writer.
const WAITING_BATCHES: NonZeroUsize = NonZeroUsize::new(8).unwrap();
/// Bytes gathered after which a batch is handed over early.
const BATCH_BYTES: usize = 16 * 1024;
/// Part of the lines in a second that successes may use.
const SUCCESS_SHARE: f64 = 0.5;

/// How a line ranks when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogPriority {
    /// A change of what the process believes; always written.
    State,
    /// A failure of a request.
    Failure,
    /// What went as it should.
    Success,
}

/// One line.
#[derive(Debug, Serialize)]
struct Line<'a, E: Serialize> {
    /// Time since the start of the process, in milliseconds.
    at_ms: u64,
    process: &'a str,
    #[serde(flatten)]
    event: &'a E,
}

#[derive(Debug, Default)]
struct Gathered {
    text: String,
    second: u64,
    written: u32,
    dropped: u64,
}

/// Where lines go.
pub struct EventLog {
    process: String,
    clock: Clock,
    lines_per_s: u32,
    writer: Option<Writer>,
    gathered: RefCell<Gathered>,
}

/// Hands batches of lines to a thread of its own.
struct Writer {
    logger: Logger,
    /// Whether the thread could not take the latest batch.
    refused: Arc<AtomicBool>,
}

/// What can keep the logs from being written.
pub type LogError = spdlog::Error;

impl EventLog {
    /// Writes to standard output, at most `lines_per_s`.
    pub fn to_stdout(process: &str, lines_per_s: u32) -> Result<Self, LogError> {
        let out = StdStreamSink::builder()
            .std_stream(StdStream::Stdout)
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()?;
        Self::to_sink(out, process, lines_per_s)
    }

    /// Writes to an output that may be slow or blocked, at most `lines_per_s`.
    pub fn to_sink(out: Arc<dyn Sink>, process: &str, lines_per_s: u32) -> Result<Self, LogError> {
        let writer = Some(Writer::new(out)?);
        Ok(EventLog { writer, ..Self::in_memory(process, lines_per_s) })
    }

    /// Gathers and bounds lines, but writes none; for tests.
    pub fn in_memory(process: &str, lines_per_s: u32) -> Self {
        EventLog {
            process: process.to_owned(),
            clock: Clock::start(),
            lines_per_s,
            writer: None,
            gathered: RefCell::default(),
        }
    }

    /// Takes a line in.
    pub fn record<E: Serialize>(&self, rank: LogPriority, event: &E) {
        let at = self.clock.uptime();
        let mut gathered = self.gathered.borrow_mut();
        if !gathered.admits(rank, at, self.lines_per_s) {
            gathered.dropped += 1;
            return;
        }
        let line = Line { at_ms: at.as_millis() as u64, process: &self.process, event };
        match serde_json::to_string(&line) {
            Ok(text) => {
                if !gathered.text.is_empty() {
                    gathered.text.push('\n');
                }
                gathered.text.push_str(&text);
            }
            Err(_) => gathered.dropped += 1,
        }
        if gathered.text.len() > BATCH_BYTES {
            self.hand_over(&mut gathered);
        }
    }

    /// Hands what is gathered to the writer.
    pub fn flush(&self) {
        let mut gathered = self.gathered.borrow_mut();
        if gathered.dropped > 0 {
            let dropped = std::mem::take(&mut gathered.dropped);
            let line = serde_json::json!({
                "at_ms": self.clock.uptime().as_millis() as u64,
                "process": self.process,
                "event": "lines_dropped",
                "lines": dropped,
            });
            if !gathered.text.is_empty() {
                gathered.text.push('\n');
            }
            gathered.text.push_str(&line.to_string());
        }
        if !gathered.text.is_empty() {
            self.hand_over(&mut gathered);
        }
    }

    /// Lines gathered and not handed over; for tests.
    pub fn buffered(&self) -> String {
        self.gathered.borrow().text.clone()
    }

    fn hand_over(&self, gathered: &mut Gathered) {
        let Some(writer) = &self.writer else { return };
        if !writer.takes(&gathered.text) {
            gathered.dropped += gathered.text.lines().count() as u64;
        }
        gathered.text.clear();
    }
}

impl Writer {
    fn new(out: Arc<dyn Sink>) -> Result<Self, LogError> {
        let thread = ThreadPool::builder().capacity(WAITING_BATCHES).build_arc()?;
        let queue = AsyncPoolSink::builder()
            .sink(out)
            .thread_pool(thread)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()?;
        let refused = Arc::new(AtomicBool::new(false));
        let noted = Arc::clone(&refused);
        // NB: without a handler the library tells of each loss on standard error, and may block.
        let note = move |_: spdlog::Error| noted.store(true, Ordering::Relaxed);
        let logger = Logger::builder().sink(queue).error_handler(note).build()?;
        Ok(Writer { logger, refused })
    }

    /// Whether the thread could take a batch.
    fn takes(&self, batch: &str) -> bool {
        spdlog::info!(logger: self.logger, "{batch}");
        !self.refused.swap(false, Ordering::Relaxed)
    }
}

impl Gathered {
    fn admits(&mut self, rank: LogPriority, at: Duration, lines_per_s: u32) -> bool {
        if at.as_secs() != self.second {
            self.second = at.as_secs();
            self.written = 0;
        }
        let allowed = match rank {
            LogPriority::State => return true,
            LogPriority::Failure => f64::from(lines_per_s),
            LogPriority::Success => f64::from(lines_per_s) * SUCCESS_SHARE,
        };
        let admitted = f64::from(self.written) < allowed;
        self.written += u32::from(admitted);
        admitted
    }
}
