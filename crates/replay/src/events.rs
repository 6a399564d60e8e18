//! The queue of events in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Index of a run.
pub type RunIx = usize;
/// Index of a request.
pub type RequestIx = usize;

/// What happens at a point in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A line of the trace.
    Line(usize),
    /// The policy learns that a server is leaving.
    LeavingSeen(usize),
    /// A run ends.
    RunEnds(RunIx),
    /// The rating of a run's answer arrives.
    Rating(RunIx),
    /// A request has waited long enough for the rating of a run.
    RatingOverdue(RunIx),
    /// A request's answer in hand is due while another run is under way.
    DeliverHeld(RunIx),
}

/// Events in order of time, and of insertion within the same time.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    inserted: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Duration, event: Event) {
        self.heap.push(Reverse((at, self.inserted, event)));
        self.inserted += 1;
    }

    /// Takes the next event out.
    pub fn pop(&mut self) -> Option<(Duration, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
