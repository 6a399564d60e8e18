//! Runs that have ended, and what they prove.
//!
//! A run proves its request harmless if its server made the whole answer and kept running for a
//! while afterwards. All other runs prove nothing: the rest of an answer that another server began
//! may be done before the point at which the request crashes servers, and so may a run whose caller
//! left. But whatever way a run ended, the request may be the cause if its server crashes shortly
//! after.
//!
//! If the same content is in flight at the server when it crashes, and has been for longer than the
//! ended run took, the two disagree: one made the whole answer, the other broke off before its end.
//! Then the crash is not what follows an answer. The ended run is *contested*, and counts for its
//! content a little later, unless a server has crashed after an answer to it elsewhere.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_types::{RequestId, ServerId, VersionId};

use super::FeatureHash;

/// Time after the end of a run for which its server must keep running.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Time after its end for which a run without a whole answer is related to a crash of its server: a
/// cancelled run stops within milliseconds, or finishes soon.
const PARTIAL_RUN_RETENTION: Duration = Duration::from_secs(1);
/// Time after its end at which a contested run counts; crashes after other runs that ended until
/// then have been reported.
const CONTEST_TIME: Duration = Duration::from_millis(750);
/// Maximum number of runs, some 300 bytes each; the oldest are dropped and prove nothing.
const MAX_ENDED_RUNS: usize = 8_192;

/// How much of the answer a server made in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunExtent {
    /// The answer from its start to its end.
    Whole,
    /// Less: the rest of an answer, a failure, or an answer that was abandoned.
    Partial,
}

/// A run that has ended without a crash of its server so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Id of the request.
    pub request: RequestId,
    /// Features of the request.
    pub features: Vec<FeatureHash>,
    /// Those that it ran as a probe of.
    pub probed: Vec<FeatureHash>,
    /// How much of the answer the server made.
    pub extent: RunExtent,
    /// Time from the send to the end of the run.
    pub took: Duration,
    /// Service of the server.
    pub service: Rc<str>,
    /// Id of the server.
    pub server: ServerId,
    /// Hash of the server's identity.
    pub server_hash: u64,
    /// Version of the server's software.
    pub version: VersionId,
    /// Kind of the request in version evidence.
    pub kind: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Whether the server may have ended since as planned.
    pub may_be_leaving: bool,
}

impl EndedRun {
    /// The content of the request, which is the first of its features.
    pub fn content(&self) -> FeatureHash {
        self.features.first().copied().unwrap_or_default()
    }

    /// The features that the run proves harmless if its server keeps running.
    pub fn whole_features(&self) -> &[FeatureHash] {
        match self.extent {
            RunExtent::Whole => &self.features,
            RunExtent::Partial => &[],
        }
    }
}

#[derive(Debug)]
struct Entry {
    ended_at: Duration,
    run: Rc<EndedRun>,
    /// Whether it was returned by [`EndedRuns::take_due`].
    is_due: bool,
    is_contested: bool,
}

/// The runs that ended a short time ago, the oldest first.
#[derive(Debug, Default)]
pub struct EndedRuns {
    entries: VecDeque<Entry>,
}

impl EndedRuns {
    /// Adds a run that ended now. Returns the one that it displaces.
    pub fn push(&mut self, run: EndedRun, now: Duration) -> Option<Rc<EndedRun>> {
        self.entries.push_back(Entry {
            ended_at: now,
            run: Rc::new(run),
            is_due: false,
            is_contested: false,
        });
        if self.entries.len() <= MAX_ENDED_RUNS {
            return None;
        }
        self.entries.pop_front().map(|entry| entry.run)
    }

    /// The runs that ended [`SETTLING_TIME`] ago, each returned once.
    pub fn take_due(&mut self, now: Duration) -> Vec<Rc<EndedRun>> {
        self.entries.retain(|entry| {
            entry.run.extent == RunExtent::Whole || now < entry.ended_at + PARTIAL_RUN_RETENTION
        });
        let entries = self.entries.iter_mut();
        let ended = entries.take_while(|entry| now >= entry.ended_at + SETTLING_TIME);
        let due = ended.filter(|entry| !entry.is_contested).filter_map(|entry| {
            let is_new = !std::mem::replace(&mut entry.is_due, true);
            is_new.then(|| Rc::clone(&entry.run))
        });
        due.collect()
    }

    /// Removes and returns the contested runs that count now.
    pub fn take_contested(&mut self, now: Duration) -> Vec<Rc<EndedRun>> {
        self.remove_where(|entry| entry.is_contested && now >= entry.ended_at + CONTEST_TIME)
    }

    /// Removes a run. Returns whether it was still there and not contested: its server has not been
    /// found to have crashed.
    pub fn remove(&mut self, run: &Rc<EndedRun>) -> bool {
        let is_same = |entry: &Entry| !entry.is_contested && Rc::ptr_eq(&entry.run, run);
        let place = self.entries.iter().position(is_same);
        place.is_some_and(|place| self.entries.remove(place).is_some())
    }

    /// Handles the crash of a server: marks the runs there that what was in flight contests, and
    /// removes and returns the others.
    pub fn drain(
        &mut self,
        server_hash: u64,
        is_contested: impl Fn(&EndedRun) -> bool,
    ) -> Vec<Rc<EndedRun>> {
        let here = |entry: &Entry| entry.run.server_hash == server_hash;
        for entry in self.entries.iter_mut().filter(|entry| here(entry)) {
            entry.is_contested |= is_contested(&entry.run);
        }
        self.remove_where(|entry| here(entry) && !entry.is_contested)
    }

    fn remove_where(&mut self, is_removed: impl Fn(&Entry) -> bool) -> Vec<Rc<EndedRun>> {
        let mut runs = Vec::new();
        self.entries.retain(|entry| {
            let is_kept = !is_removed(entry);
            if !is_kept {
                runs.push(Rc::clone(&entry.run));
            }
            is_kept
        });
        runs
    }
}
