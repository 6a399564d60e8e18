//! Frames that wait to be fetched, one outbox for each entry process.

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

/// Most frames returned at a time.
const BATCH_LIMIT: usize = 1_024;
/// How long tokens in mid-answer wait for others, so that one reply carries many.
///
/// NB: the first token of an answer and its end never wait.
const GATHER: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Outbox {
    frames: VecDeque<Frame>,
    fetched: Instant,
    /// Calls for frames that are waiting.
    waiting: u32,
    /// Attempts whose first data frame is out.
    flowing: HashSet<AttemptId>,
    /// Fires for any frame.
    added: Arc<Notify>,
    /// Fires for frames that must not wait.
    urgent: Arc<Notify>,
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox {
            frames: VecDeque::new(),
            fetched: Instant::now(),
            waiting: 0,
            flowing: HashSet::new(),
            added: Arc::new(Notify::new()),
            urgent: Arc::new(Notify::new()),
        }
    }
}

impl Outbox {
    fn must_not_wait(&mut self, attempt: AttemptId, kind: &FrameKind) -> bool {
        match kind {
            FrameKind::Began => false,
            FrameKind::Data(_) => self.flowing.insert(attempt),
            FrameKind::Head { .. } => true,
            FrameKind::NotRun(_) | FrameKind::Ended { .. } | FrameKind::Failed(_) => {
                self.flowing.remove(&attempt);
                true
            }
        }
    }
}

/// Marks an outbox as asked for, for as long as the call waits.
struct Waiting<'a> {
    outboxes: &'a Outboxes,
    entry: Incarnation,
}

impl<'a> Waiting<'a> {
    fn new(outboxes: &'a Outboxes, entry: Incarnation) -> Self {
        lock(&outboxes.boxes).entry(entry).or_default().waiting += 1;
        Waiting { outboxes, entry }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(outbox) = lock(&self.outboxes.boxes).get_mut(&self.entry) {
            outbox.waiting = outbox.waiting.saturating_sub(1);
            outbox.fetched = Instant::now();
        }
    }
}

/// Outboxes by entry.
#[derive(Debug, Default)]
pub struct Outboxes {
    boxes: Mutex<HashMap<Incarnation, Outbox>>,
    /// Counts the frames of all outboxes, so that numbers never come again for an entry whose
    /// outbox was dropped and made anew.
    sequence: AtomicU64,
}

impl Outboxes {
    /// Adds a frame for the entry that started the run.
    pub fn push(&self, run: RunKey, kind: FrameKind) {
        let mut boxes = lock(&self.boxes);
        let outbox = boxes.entry(run.entry).or_default();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        if outbox.must_not_wait(run.attempt, &kind) {
            outbox.urgent.notify_one();
        }
        outbox.frames.push_back(Frame { sequence, attempt: run.attempt, kind });
        outbox.added.notify_one();
    }

    /// Returns frames after the acknowledged one, waiting for the first if need be.
    ///
    /// Returns early, and perhaps without frames, when there is other news to tell.
    pub async fn take(&self, request: FetchFrames) -> Vec<Frame> {
        let (frames, added, urgent) = self.take_now(request);
        let _waiting = Waiting::new(self, request.entry);
        if frames.is_empty() && timeout(request.wait, added.notified()).await.is_err() {
            return Vec::new();
        }
        if frames.len() < BATCH_LIMIT {
            // NB: over means that nothing urgent came, and then the gathered frames go.
            let _ = timeout(GATHER, urgent.notified()).await;
        }
        self.take_now(request).0
    }

    /// Answers all waiting calls, so that entries hear news that is not about a run.
    pub fn wake_all(&self) {
        for outbox in lock(&self.boxes).values() {
            outbox.added.notify_one();
            outbox.urgent.notify_one();
        }
    }

    fn take_now(&self, request: FetchFrames) -> (Vec<Frame>, Arc<Notify>, Arc<Notify>) {
        let mut boxes = lock(&self.boxes);
        let outbox = boxes.entry(request.entry).or_default();
        outbox.fetched = Instant::now();
        while outbox.frames.front().is_some_and(|f| f.sequence <= request.acknowledged) {
            outbox.frames.pop_front();
        }
        let frames = outbox.frames.iter().take(BATCH_LIMIT).cloned().collect();
        (frames, outbox.added.clone(), outbox.urgent.clone())
    }

    /// Whether no frame waits.
    pub fn is_empty(&self) -> bool {
        lock(&self.boxes).values().all(|outbox| outbox.frames.is_empty())
    }

    /// Drops the outboxes of entries that have fetched nothing for `retain`; returns the entries.
    pub fn drop_silent(&self, retain: Duration) -> Vec<Incarnation> {
        let mut boxes = lock(&self.boxes);
        let silent = |outbox: &Outbox| outbox.waiting == 0 && outbox.fetched.elapsed() > retain;
        let gone: Vec<_> =
            boxes.iter().filter(|(_, outbox)| silent(outbox)).map(|(entry, _)| *entry).collect();
        boxes.retain(|entry, _| !gone.contains(entry));
        gone
    }
}
