//! The record of one feature, and the resulting quarantine status.

use std::time::Duration;

use super::{CrashId, QuarantineStatus, ServerCrash};

/// Number of crashes from which a request counts as their cause. A request whose server crashes by
/// chance is retried elsewhere, and rarely meets three crashes.
pub const MIN_CRASHES: usize = 3;
/// Delays after the latest crash before the request may run once more. The first lets a harmless
/// request run as soon as servers are back, the next two when other harmful requests are
/// quarantined. The last is so long that a request that crashes every server costs one in ten
/// minutes.
pub const PROBE_DELAYS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(5),
    Duration::from_secs(30),
    Duration::from_secs(600),
];
/// Time between two observations of a crash of one server within which they are the same crash.
/// Entries date what others report to some tenths of a second, and a server takes seconds to
/// restart.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of a feature's crashes that are excused as correlated. More than that in an hour
/// is not chance.
const MAX_EXCUSED_CRASHES: usize = 3;
/// Maximum number of probes that are excused in a limited way, so that a content whose probes all met
/// common losses runs soon after the third, and no more than four times.
const MAX_LIMITED_EXCUSES: usize = 1;
/// Maximum number of crashes kept for one content; more would change nothing.
const MAX_CRASHES: usize = 8;
/// Time after the latest crash for which a record is kept. A caller may keep a request for long
/// before it retries; after an hour a forgotten request costs three servers again.
const RECORD_RETENTION: Duration = Duration::from_secs(3_600);
/// Time for which a cleared record is kept, so that late reports of its crashes are ignored.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// What the excuse of a correlated crash is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excuses {
    /// The crash does not count: of a part, since all requests with it would wait for one another,
    /// or of a content that succeeded before.
    Full,
    /// The crash delays probes less: of a content without any success, since contents that crash
    /// servers at the same moment excuse one another.
    Limited,
}

/// A recorded crash.
#[derive(Debug, Clone, Copy)]
pub struct Crash {
    /// Distinguishes the crash from all others.
    pub id: CrashId,
    /// Hash of the server's identity.
    pub server: u64,
    /// When the crash was observed.
    pub at: Duration,
    /// Whether servers that did not run the request crashed at the same moment.
    pub in_common_loss: bool,
    /// Whether the request ran as a probe.
    pub on_probe: bool,
    /// Whether it ran as a probe of several features.
    pub is_joint: bool,
}

impl Crash {
    /// Whether another observation is of the same crash: each copy of a request observes it, at
    /// each entry.
    pub fn is_same_crash(&self, other: &ServerCrash, at: Duration) -> bool {
        let interval = self.at.max(at) - self.at.min(at);
        self.id == other.id || self.server == other.server && interval < SAME_CRASH_WINDOW
    }
}

/// Record of one feature.
#[derive(Debug, Default)]
pub struct Record {
    /// Crashes since the record was last cleared.
    pub crashes: Vec<Crash>,
    /// When a run last succeeded.
    pub cleared_at: Option<Duration>,
    /// Until when a probe that this entry granted may be running.
    pub probed_until: Option<Duration>,
    /// Probes granted by this entry whose outcome is unknown.
    ///
    /// NB: without this count, a caller that disconnects early each time would be granted one probe
    /// after the other.
    pub unresolved_probes: usize,
    /// When the latest of them was granted.
    pub last_unresolved_at: Option<Duration>,
}

impl Record {
    /// Number of crashes that count.
    pub fn crash_count(&self) -> usize {
        let excused = self.crashes.iter().filter(|crash| crash.in_common_loss).count();
        self.crashes.len() - excused.min(MAX_EXCUSED_CRASHES)
    }

    /// Ends the running probe, since its outcome is known.
    pub fn resolve_probe(&mut self) {
        if self.probed_until.take().is_some() {
            self.unresolved_probes = self.unresolved_probes.saturating_sub(1);
        }
        if self.unresolved_probes == 0 {
            self.last_unresolved_at = None;
        }
    }

    /// Adds a crash; of too many, keeps the latest and those under probes.
    pub fn push_crash(&mut self, crash: Crash) {
        self.crashes.push(crash);
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let order = |(_, crash): &(usize, &Crash)| (crash.on_probe, crash.at);
        if let Some((oldest, _)) = self.crashes.iter().enumerate().min_by_key(order) {
            self.crashes.swap_remove(oldest);
        }
    }

    /// When the latest crash was observed.
    pub fn last_crash_at(&self) -> Option<Duration> {
        self.latest_crash().map(|crash| crash.at)
    }

    /// Whether the feature counts as the cause of its crashes.
    pub fn is_quarantined(&self) -> bool {
        self.crash_count() >= MIN_CRASHES
    }

    /// Whether requests with the feature may only run as probes.
    pub fn is_restricted(&self, excuses: Excuses) -> bool {
        self.is_quarantined() || excuses == Excuses::Limited && self.crashes.len() >= MIN_CRASHES
    }

    /// Whether a request of which this feature is the only restricted one may run.
    pub fn status(&self, excuses: Excuses, now: Duration) -> QuarantineStatus {
        if !self.is_restricted(excuses) {
            return QuarantineStatus::Unrestricted;
        }
        if self.probed_until.is_some_and(|until| now < until) {
            return QuarantineStatus::ProbeInProgress;
        }
        let until = self.next_probe_at(excuses);
        if now < until {
            QuarantineStatus::Quarantined { until }
        } else {
            QuarantineStatus::ProbeAllowed
        }
    }

    /// When a request of which this feature is the only restricted one may run as a probe.
    ///
    /// NB: the crash of a joint probe does not delay it, since another feature may be the cause.
    fn next_probe_at(&self, excuses: Excuses) -> Duration {
        let latest_sole = self.crashes.iter().filter(|crash| !crash.is_joint);
        let latest = latest_sole.max_by_key(|crash| crash.at).or(self.latest_crash());
        self.delayed(latest, self.probe_count(excuses), excuses)
    }

    /// When a request with several restricted features, this being one, may run as a probe.
    pub fn next_joint_probe_at(&self, excuses: Excuses) -> Duration {
        self.delayed(self.latest_crash(), self.probe_count(excuses) + 1, excuses)
    }

    fn delayed(&self, latest: Option<&Crash>, step: usize, excuses: Excuses) -> Duration {
        let last_step = PROBE_DELAYS.len() - 1;
        let is_excused = latest.is_some_and(|crash| crash.in_common_loss);
        let delay = match (excuses, step) {
            (Excuses::Limited, 0) if !self.is_quarantined() => Duration::ZERO,
            (Excuses::Limited, step) if is_excused && (1..last_step).contains(&step) => {
                PROBE_DELAYS[step - 1]
            }
            (_, step) => PROBE_DELAYS[step.min(last_step)],
        };
        let at = latest.map(|crash| crash.at);
        at.max(self.last_unresolved_at).unwrap_or_default() + delay
    }

    fn latest_crash(&self) -> Option<&Crash> {
        self.crashes.iter().max_by_key(|crash| crash.at)
    }

    /// Number of probes under which a server crashed or may have crashed, without the excused ones.
    /// With limited excuses, they are excused only if all are.
    ///
    /// NB: not all crashes beyond the first few. A request that arrives on many connections at once
    /// may crash as many servers before any entry receives a report.
    pub fn probe_count(&self, excuses: Excuses) -> usize {
        let probes = self.crashes.iter().filter(|crash| crash.on_probe);
        let (count, excused) = probes.fold((0, 0), |(count, excused), crash| {
            (count + 1, excused + usize::from(crash.in_common_loss))
        });
        let excused = match excuses {
            Excuses::Limited if excused < count => 0,
            Excuses::Limited => excused.min(MAX_LIMITED_EXCUSES),
            Excuses::Full => excused.min(MAX_EXCUSED_CRASHES),
        };
        count - excused + self.unresolved_probes
    }

    /// Whether the record no longer has any effect.
    pub fn is_expired(&self, now: Duration) -> bool {
        let is_expired_at =
            |at: Option<Duration>, retention| at.is_none_or(|at| now >= at + retention);
        is_expired_at(self.last_crash_at(), RECORD_RETENTION)
            && is_expired_at(self.cleared_at, CLEARED_RETENTION)
    }

    /// Order in which records are kept; the lowest are evicted first.
    pub fn retention_rank(&self) -> (usize, Option<Duration>) {
        (self.crash_count().min(MIN_CRASHES), self.last_crash_at())
    }
}
