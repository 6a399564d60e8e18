//! Frames that wait to be fetched, one outbox for each entry process.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use pondwalk_types::Incarnation;
use pondwalk_wire::{Frame, FrameKind, RunKey, TakeFrames};
use tokio::{sync::Notify, time::Instant};

use crate::core::lock;

/// Most frames returned at a time.
const BATCH_LIMIT: usize = 1_024;

#[derive(Debug)]
struct Outbox {
    frames: VecDeque<Frame>,
    next_sequence: u64,
    fetched: Instant,
    added: Arc<Notify>,
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox {
            frames: VecDeque::new(),
            next_sequence: 1,
            fetched: Instant::now(),
            added: Arc::new(Notify::new()),
        }
    }
}

/// Outboxes by entry.
#[derive(Debug, Default)]
pub struct Outboxes {
    boxes: Mutex<HashMap<Incarnation, Outbox>>,
}

impl Outboxes {
    /// Adds a frame for the entry that started the run.
    pub fn push(&self, run: RunKey, kind: FrameKind) {
        let mut boxes = lock(&self.boxes);
        let outbox = boxes.entry(run.entry).or_default();
        let sequence = outbox.next_sequence;
        outbox.next_sequence += 1;
        outbox.frames.push_back(Frame {
            sequence,
            attempt: run.attempt,
            kind,
        });
        outbox.added.notify_one();
    }

    /// Returns frames after the acknowledged one, waiting for the first if need be.
    ///
    /// Returns early, and perhaps without frames, when there is other news to tell.
    pub async fn take(&self, request: TakeFrames) -> Vec<Frame> {
        let until = Instant::now() + request.wait;
        let (frames, added) = self.take_now(request);
        if !frames.is_empty() {
            return frames;
        }
        match tokio::time::timeout_at(until, added.notified()).await {
            Ok(()) => self.take_now(request).0,
            Err(_) => Vec::new(),
        }
    }

    /// Answers all waiting calls, so that entries hear news that is not about a run.
    pub fn wake_all(&self) {
        lock(&self.boxes)
            .values()
            .for_each(|outbox| outbox.added.notify_one());
    }

    fn take_now(&self, request: TakeFrames) -> (Vec<Frame>, Arc<Notify>) {
        let mut boxes = lock(&self.boxes);
        let outbox = boxes.entry(request.entry).or_default();
        outbox.fetched = Instant::now();
        while outbox
            .frames
            .front()
            .is_some_and(|f| f.sequence <= request.acknowledged)
        {
            outbox.frames.pop_front();
        }
        let frames = outbox.frames.iter().take(BATCH_LIMIT).cloned().collect();
        (frames, outbox.added.clone())
    }

    /// Whether no frame waits.
    pub fn is_empty(&self) -> bool {
        lock(&self.boxes)
            .values()
            .all(|outbox| outbox.frames.is_empty())
    }

    /// Drops the outboxes of entries that have fetched nothing for `retain`; returns the entries.
    pub fn drop_silent(&self, retain: Duration) -> Vec<Incarnation> {
        let mut boxes = lock(&self.boxes);
        let silent = |outbox: &Outbox| outbox.fetched.elapsed() > retain;
        let gone: Vec<_> = boxes
            .iter()
            .filter(|(_, outbox)| silent(outbox))
            .map(|(entry, _)| *entry)
            .collect();
        boxes.retain(|entry, _| !gone.contains(entry));
        gone
    }
}
