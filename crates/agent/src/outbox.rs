//! Frames waiting to be fetched, in one outbox per entry process.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use pondwalk_threads::lock;
use pondwalk_types::{AttemptId, Incarnation};
use pondwalk_wire::{FetchFrames, Frame, FrameKind, RunKey};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// Maximum number of frames returned by one fetch.
const MAX_BATCH_FRAMES: usize = 1_024;
/// Time for which frames are batched, so that one reply carries several.
///
/// NB: the first data frame and the end of an answer are not delayed.
const BATCH_DELAY: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Outbox {
    frames: VecDeque<Frame>,
    last_fetch: Instant,
    /// Number of pending fetch calls.
    pending_fetches: u32,
    /// Attempts whose first data frame has been added.
    streaming_attempts: HashSet<AttemptId>,
    /// Notified for every frame.
    added: Arc<Notify>,
    /// Notified for frames that must not be delayed.
    urgent: Arc<Notify>,
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox {
            frames: VecDeque::new(),
            last_fetch: Instant::now(),
            pending_fetches: 0,
            streaming_attempts: HashSet::new(),
            added: Arc::new(Notify::new()),
            urgent: Arc::new(Notify::new()),
        }
    }
}

impl Outbox {
    fn is_urgent(&mut self, attempt: AttemptId, kind: &FrameKind) -> bool {
        match kind {
            FrameKind::Began => false,
            FrameKind::Data(_) => self.streaming_attempts.insert(attempt),
            FrameKind::Head { .. } => true,
            FrameKind::NotRun(_) | FrameKind::Ended { .. } | FrameKind::Failed(_) => {
                self.streaming_attempts.remove(&attempt);
                true
            }
        }
    }
}

/// Counts a fetch call as pending until it is dropped.
struct PendingFetch<'a> {
    outboxes: &'a Outboxes,
    entry: Incarnation,
}

impl<'a> PendingFetch<'a> {
    fn new(outboxes: &'a Outboxes, entry: Incarnation) -> Self {
        lock(&outboxes.by_entry).entry(entry).or_default().pending_fetches += 1;
        PendingFetch { outboxes, entry }
    }
}

impl Drop for PendingFetch<'_> {
    fn drop(&mut self) {
        if let Some(outbox) = lock(&self.outboxes.by_entry).get_mut(&self.entry) {
            outbox.pending_fetches = outbox.pending_fetches.saturating_sub(1);
            outbox.last_fetch = Instant::now();
        }
    }
}

/// Outboxes by entry.
#[derive(Debug, Default)]
pub struct Outboxes {
    by_entry: Mutex<HashMap<Incarnation, Outbox>>,
    /// Last sequence number of all outboxes; shared, so that numbers are not reused when the
    /// outbox of an entry is dropped and recreated.
    sequence: AtomicU64,
}

impl Outboxes {
    /// Adds a frame for the entry that started the run.
    pub fn push(&self, run: RunKey, kind: FrameKind) {
        let mut by_entry = lock(&self.by_entry);
        let outbox = by_entry.entry(run.entry).or_default();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        if outbox.is_urgent(run.attempt, &kind) {
            outbox.urgent.notify_one();
        }
        outbox.frames.push_back(Frame { sequence, attempt: run.attempt, kind });
        outbox.added.notify_one();
    }

    /// Returns the frames after the acknowledged one, waiting for the first if there is none.
    ///
    /// May return no frames after the wait, or when [`Self::wake_all`] is called.
    pub async fn fetch(&self, request: FetchFrames) -> Vec<Frame> {
        let (frames, added, urgent) = self.fetch_now(request);
        let _pending = PendingFetch::new(self, request.entry);
        if frames.is_empty() && timeout(request.wait, added.notified()).await.is_err() {
            return Vec::new();
        }
        if frames.len() < MAX_BATCH_FRAMES {
            // NB: a timeout means that no urgent frame was added; the batch is returned.
            let _ = timeout(BATCH_DELAY, urgent.notified()).await;
        }
        self.fetch_now(request).0
    }

    /// Completes all pending fetches, so that entries receive a new state of the agent.
    pub fn wake_all(&self) {
        for outbox in lock(&self.by_entry).values() {
            outbox.added.notify_one();
            outbox.urgent.notify_one();
        }
    }

    fn fetch_now(&self, request: FetchFrames) -> (Vec<Frame>, Arc<Notify>, Arc<Notify>) {
        let mut by_entry = lock(&self.by_entry);
        let outbox = by_entry.entry(request.entry).or_default();
        outbox.last_fetch = Instant::now();
        while outbox.frames.front().is_some_and(|f| f.sequence <= request.acknowledged) {
            outbox.frames.pop_front();
        }
        let frames = outbox.frames.iter().take(MAX_BATCH_FRAMES).cloned().collect();
        (frames, outbox.added.clone(), outbox.urgent.clone())
    }

    /// Whether all outboxes are empty.
    pub fn is_empty(&self) -> bool {
        lock(&self.by_entry).values().all(|outbox| outbox.frames.is_empty())
    }

    /// Drops the outboxes of entries without a fetch for `retain` and returns these entries.
    pub fn drop_inactive(&self, retain: Duration) -> Vec<Incarnation> {
        let mut by_entry = lock(&self.by_entry);
        let is_inactive =
            |outbox: &Outbox| outbox.pending_fetches == 0 && outbox.last_fetch.elapsed() > retain;
        let expired: Vec<_> = by_entry
            .iter()
            .filter(|(_, outbox)| is_inactive(outbox))
            .map(|(entry, _)| *entry)
            .collect();
        by_entry.retain(|entry, _| !expired.contains(entry));
        expired
    }
}
