//! Event queue in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Index of a run.
pub type RunIx = usize;
/// Index of a request.
pub type RequestIx = usize;

/// An event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A line of the trace, by index.
    Line(usize),
    /// The instance list shows the policy that a server, by index, is leaving.
    LeavingListed(usize),
    /// A run reaches the end of its recorded service time.
    RunEnded(RunIx),
    /// The rating of a run's answer arrives.
    Rating(RunIx),
    /// A request stops waiting for the rating of a run.
    RatingTimeout(RunIx),
    /// A request's available answer is due while the given run is in flight.
    DeliverFallback(RunIx),
}

/// Events ordered by time, and by insertion at equal times.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    inserted: u64,
}

impl EventQueue {
    /// Adds an event at virtual time `at`.
    pub fn push(&mut self, at: Duration, event: Event) {
        self.heap.push(Reverse((at, self.inserted, event)));
        self.inserted += 1;
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(Duration, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
