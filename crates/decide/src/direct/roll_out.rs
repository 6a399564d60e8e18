//! One roll-out as one entry sees it: what share of the work the new version gets, and whether
//! it is as good as the old one.
//!
//! A trial at a small share lasts for half of the time that the order gives. Then the share
//! widens to the whole, and at last the roll-out is told complete. At any moment an entry that
//! sees the new version fail goes back to the old one at once. What one entry sees of slowness may
//! be too little, so entries tell one another of their doubts; and they tell which sessions run
//! already, so that no session changes its version by coming through another entry.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::Duration,
};

use pondwalk_types::{ServerId, VersionId};

use super::{SessionKey, VersionRule};

/// Part of the order's time that the trial takes; sessions may be moved only after half of it.
const TRIAL_PART: f64 = 0.53;
/// Time from the start of the trial until an entry tells which of its sessions stay on the old
/// version. It tells again, of those that came meanwhile, once it puts sessions on the new one.
const KEEP_AFTER: Duration = Duration::from_millis(300);
/// Least time from the start of the trial until sessions are put on the new version.
const LEAST_TRIAL_LEAD: Duration = Duration::from_millis(1_300);
/// Time in which entries hear which sessions the others keep.
const TELLING: Duration = Duration::from_millis(300);
/// Time in which the share widens from that of the trial to the whole.
const WIDENING: Duration = Duration::from_secs(4);
/// Part of the order's time after which the roll-out is told complete.
const COMPLETE_PART: f64 = 0.82;
/// Latest answers that are looked at.
const WINDOW: usize = 24;
/// Failures among those of one kind from which a version may be called bad.
const MIN_FAILURES: usize = 4;
/// Failures of the new version, of all kinds, from which a request that failed there is tried
/// again on the old one.
const MIN_FAILURES_TO_SPARE: usize = 2;
/// Share of failures among them from which it may be called bad.
const MIN_FAILURE_SHARE: f64 = 0.25;
/// How many times the old version's share of failures that must be.
const FAILURE_RATIO: f64 = 3.0;
/// Servers that must have failed or been slow.
const MIN_SERVERS: usize = 2;
/// Times of the old version that are remembered for each kind.
const OLD_TIMES: usize = 64;
/// Times of the old version from which an answer can be called slow.
const MIN_OLD_TIMES: usize = 20;
/// Share of the old version's answers that are faster than a slow one.
const SLOW_QUANTILE: f64 = 0.95;
/// Share of them that are faster than an ordinary one, and how many times slower a slow one is.
/// This bears a change of load that moves all answers by less than that.
const ORDINARY_QUANTILE: f64 = 0.7;
const SLOW_FACTOR: f64 = 2.5;
/// Slow answers among the latest of all kinds from which a version is called bad. Of an equal
/// version 1 in 20 is slow; with 7, 6 of 1,000 equal versions were called bad after 60 answers.
const MIN_SLOW: usize = 8;
/// The same once the share widens. The old version's times are then from before, when the new
/// one had little load and its servers had not yet to read every shared part.
// NB: with 7, four of four calm days with a good version went back (ptfs-ops, quiet-1).
const MIN_SLOW_WIDENING: usize = 13;
/// Part of those from which an entry makes its doubt known.
const DOUBT_PART: f64 = 0.5;
/// The same during the trial where many entries share it, so that each sees few answers: of ten of
/// an equal version, two or more are slow at 8 entries in 100; of five where each other one is slow,
/// at 81 in 100.
const DOUBT_SLOW_OF_MANY: usize = 2;
/// Entries from which they are many.
const MANY_ENTRIES: usize = 12;
/// Failures of all kinds from which an entry makes its doubt known. Where many entries share the
/// trial, each sees few.
const DOUBT_FAILURES: usize = 2;
/// Entries in doubt that together call a version bad, and entries for each one more. One sick
/// server in seven puts up to 3 of 30 in doubt about a good version.
const MIN_DOUBTS: usize = 2;
const ENTRIES_PER_DOUBT: usize = 10;
/// What a slight doubt counts. Of 30 entries, one in twelve of which has one by chance, the seven
/// that are then needed are in doubt in 1 of 100 trials of an equal version.
const SLIGHT_DOUBT: f64 = 0.75;

/// How far a roll-out has come among the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets a small share of new sessions.
    Trial,
    /// Its share widens to the whole.
    Widening,
    /// It has the whole, for good.
    Completed,
    /// It gets nothing any more.
    Reverted,
}

/// What an entry should make known next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Move {
    /// That the roll-out is under way.
    Begin,
    /// Which sessions, through this entry, stay on the old version.
    Keep,
    /// That the share widens.
    Widen,
    /// That it is complete.
    Complete,
    /// That this entry finds the new version slow, though not surely.
    Doubt,
    /// That the new version is bad.
    Revert,
}

/// How sure an entry in doubt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// Half of what would let it call the version bad by itself.
    Strong,
    /// The little that one of many entries sees.
    Slight,
}

/// One answer, as evidence about a version.
#[derive(Debug, Clone)]
pub struct Evidence<'a> {
    /// Kind of request.
    pub kind: &'a str,
    /// Server that answered.
    pub server: &'a str,
    /// Whether it was a failure.
    pub failed: bool,
    /// Time until it began, as a multiple of what was expected with the load known.
    pub slowness: f64,
}

/// Whether the latest answers were faulty in one way, and whose they were.
#[derive(Debug, Default)]
struct Latest {
    answers: VecDeque<(bool, ServerId)>,
}

/// What is known of one version's answers of one kind.
#[derive(Debug, Default)]
struct Record {
    failed: Latest,
    slowness: VecDeque<f64>,
}

/// One order with what this entry knows of it.
#[derive(Debug)]
pub struct RollOut {
    target: VersionId,
    within: Duration,
    seen: Duration,
    trial_share: f64,
    /// Time from the start of the trial until sessions are put on the new version. By then the
    /// entries have heard which sessions run already, through whichever of them.
    trial_lead: Duration,
    known_stage: Option<Stage>,
    trial_since: Option<Duration>,
    widening_since: Option<Duration>,
    /// Sessions that run on the old version, through any entry.
    kept: HashSet<SessionKey>,
    /// Times that this entry has told which sessions it keeps.
    own_kept_told: u8,
    tripped: bool,
    found_bad: bool,
    old: HashMap<String, Record>,
    new: HashMap<String, Record>,
    /// The old version's answers of all kinds, for kinds of which too few are known.
    old_of_all_kinds: Record,
    /// Slow answers of the new version, of all kinds.
    slow: Latest,
    /// The same, where too little is known of a kind by the old version's answers of all kinds.
    roughly_slow: Latest,
    /// Failures of the new version, of all kinds.
    failed: Latest,
    /// Entries that have made their doubt known, this one included.
    doubts: BTreeMap<String, Doubt>,
    own_doubt_told: bool,
}

impl RollOut {
    /// An order first seen at `seen`. News of the trial's start takes up to `news` to reach all
    /// entries; the one that hears it last tells of its sessions that much later.
    pub fn new(
        target: VersionId,
        within: Duration,
        seen: Duration,
        trial_share: f64,
        news: Duration,
    ) -> Self {
        let told = KEEP_AFTER + TELLING + news;
        RollOut {
            trial_lead: told.max(LEAST_TRIAL_LEAD),
            target,
            within,
            seen,
            trial_share,
            known_stage: None,
            trial_since: None,
            widening_since: None,
            kept: HashSet::new(),
            own_kept_told: 0,
            tripped: false,
            found_bad: false,
            old: HashMap::new(),
            new: HashMap::new(),
            old_of_all_kinds: Record::default(),
            slow: Latest::default(),
            roughly_slow: Latest::default(),
            failed: Latest::default(),
            doubts: BTreeMap::new(),
            own_doubt_told: false,
        }
    }

    /// Version on trial.
    pub fn target(&self) -> &VersionId {
        &self.target
    }

    /// Stage that was made known.
    pub fn known_stage(&self) -> Option<Stage> {
        self.known_stage
    }

    /// Whether this entry has found the new version bad.
    pub fn is_tripped(&self) -> bool {
        self.tripped
    }

    /// Whether it was this entry's own evidence that called the version bad.
    pub fn has_found_bad(&self) -> bool {
        self.found_bad
    }

    /// Whether the new version gets nothing any more.
    pub fn is_off(&self) -> bool {
        self.tripped || self.known_stage == Some(Stage::Reverted)
    }

    /// Learns what was made known by any entry. A later stage is never taken back.
    pub fn learn_stage(&mut self, stage: Stage, now: Duration) {
        if stage == Stage::Trial && self.trial_since.is_none() {
            self.trial_since = Some(now);
        }
        if stage == Stage::Widening && self.widening_since.is_none() {
            self.widening_since = Some(now);
        }
        self.known_stage = self.known_stage.max(Some(stage));
    }

    /// Learns that one of so many `entries` is in doubt; enough of them call the version bad.
    pub fn learn_doubt(&mut self, entry: &str, doubt: Doubt, is_own: bool, entries: usize) {
        self.doubts.insert(entry.to_owned(), doubt);
        self.own_doubt_told |= is_own;
        let weights = self.doubts.values().map(|doubt| match doubt {
            Doubt::Strong => 1.0,
            Doubt::Slight => SLIGHT_DOUBT,
        });
        let needed = MIN_DOUBTS + entries / ENTRIES_PER_DOUBT;
        if weights.sum::<f64>() >= needed as f64 && self.known_stage != Some(Stage::Completed) {
            self.tripped = true;
        }
    }

    /// Sessions stay on the old version that run already, through this entry or another.
    pub fn learn_kept(&mut self, sessions: impl IntoIterator<Item = SessionKey>) {
        self.kept.extend(sessions);
    }

    /// This entry has told which sessions it keeps.
    pub fn note_kept_told(&mut self) {
        self.own_kept_told = self.own_kept_told.saturating_add(1);
    }

    /// Whether this entry is to tell which sessions it keeps: before sessions are put on the new
    /// version, and once more as that begins.
    fn is_to_tell_kept(&self, now: Duration) -> bool {
        let time = self.in_trial_for(now);
        match self.own_kept_told {
            0 => time >= KEEP_AFTER,
            1 => time >= self.trial_lead,
            _ => false,
        }
    }

    /// Whether a session would be put on the new version by the trial, if nobody knew it.
    pub fn would_try(&self, session: SessionKey) -> bool {
        side(session) < self.trial_share
    }

    fn in_trial_for(&self, now: Duration) -> Duration {
        self.trial_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Another entry has found the version bad.
    pub fn learn_bad(&mut self) {
        self.tripped |= self.known_stage != Some(Stage::Completed);
    }

    /// Share of sessions that belong on the new version now.
    pub fn share(&self, now: Duration) -> f64 {
        match self.known_stage {
            Some(Stage::Completed) => 1.0,
            Some(Stage::Reverted) => 0.0,
            _ if self.tripped => 0.0,
            None => 0.0,
            Some(Stage::Trial) if self.in_trial_for(now) < self.trial_lead => 0.0,
            Some(Stage::Trial) => self.trial_share,
            Some(Stage::Widening) => {
                let since = self.widening_since.unwrap_or(now);
                let part = now.saturating_sub(since).div_duration_f64(WIDENING).min(1.0);
                self.trial_share + (1.0 - self.trial_share) * part
            }
        }
    }

    /// Version for a request of a session that was last on `pinned`, and that a server of the
    /// version `failed` has failed before.
    pub fn rule(
        &self,
        session: SessionKey,
        pinned: Option<&VersionId>,
        failed: Option<&str>,
        now: Duration,
    ) -> VersionRule<'_> {
        if failed == Some(self.target.as_str()) && self.may_be_bad() {
            return VersionRule::Except(&self.target);
        }
        let share = self.share(now);
        let on_target = match (self.known_stage, pinned) {
            (Some(Stage::Trial), Some(pinned)) if !self.tripped => *pinned == self.target,
            (Some(Stage::Widening), Some(pinned)) if share > 0.0 && *pinned == self.target => true,
            (Some(Stage::Trial), None) if self.kept.contains(&session) => false,
            _ => side(session) < share,
        };
        if on_target { VersionRule::Only(&self.target) } else { VersionRule::Except(&self.target) }
    }

    /// Takes an answer of either version into account; true if the new one is bad by it.
    pub fn note(&mut self, version: &str, evidence: &Evidence<'_>, now: Duration) -> bool {
        let of_target = version == self.target;
        // NB: with the whole share on the new version, the old one's times are of another load.
        let comparable = self.share(now) < 1.0;
        if of_target && comparable {
            let slow = self.is_slow(evidence);
            if let Some(slow) = slow {
                self.slow.push(slow, evidence.server);
            }
            if let Some(slow) = slow.or_else(|| self.is_slow_for_any_kind(evidence)) {
                self.roughly_slow.push(slow, evidence.server);
            }
        }
        if of_target {
            self.failed.push(evidence.failed, evidence.server);
        } else {
            self.old_of_all_kinds.note(evidence);
        }
        let records = if of_target { &mut self.new } else { &mut self.old };
        if !records.contains_key(evidence.kind) {
            records.insert(evidence.kind.to_owned(), Record::default());
        }
        if let Some(record) = records.get_mut(evidence.kind) {
            record.note(evidence);
        }
        let was_tripped = self.tripped;
        if of_target && !self.tripped && self.known_stage != Some(Stage::Completed) {
            self.tripped = self.is_bad(evidence.kind);
            self.found_bad = self.tripped;
        }
        self.tripped && !was_tripped
    }

    /// Whether an answer is slower than nearly all of the old version's, if those are known.
    fn is_slow(&self, evidence: &Evidence<'_>) -> Option<bool> {
        let bound = self.old.get(evidence.kind)?.slow_from()?;
        Some(!evidence.failed && evidence.slowness > bound)
    }

    /// Whether an answer is slower than nearly all of the old version's of whatever kind.
    fn is_slow_for_any_kind(&self, evidence: &Evidence<'_>) -> Option<bool> {
        let bound = self.old_of_all_kinds.slow_from()?;
        Some(!evidence.failed && evidence.slowness > bound)
    }

    /// What should be made known next, if anything, by one of so many `entries`.
    pub fn next_move(&self, now: Duration, entries: usize) -> Option<Move> {
        let elapsed = now.saturating_sub(self.seen);
        match self.known_stage {
            Some(Stage::Completed | Stage::Reverted) => None,
            _ if self.tripped => Some(Move::Revert),
            None => Some(Move::Begin),
            Some(Stage::Trial) if self.is_to_tell_kept(now) => Some(Move::Keep),
            Some(_) if !self.own_doubt_told && self.doubt(entries).is_some() => Some(Move::Doubt),
            Some(Stage::Trial) if elapsed >= self.within.mul_f64(TRIAL_PART) => Some(Move::Widen),
            Some(Stage::Trial) => None,
            Some(Stage::Widening) => {
                let since = self.widening_since.unwrap_or(now);
                let whole = now.saturating_sub(since) >= WIDENING + WIDENING / 8;
                let due = elapsed >= self.within.mul_f64(COMPLETE_PART);
                (whole && due).then_some(Move::Complete)
            }
        }
    }

    fn is_bad(&self, kind: &str) -> bool {
        let Some(new) = self.new.get(kind) else { return false };
        let old_share = self.old.get(kind).map_or(0.0, |old| old.failed.share());
        let fails = new.failed.count() >= MIN_FAILURES
            && new.failed.servers() >= MIN_SERVERS
            && new.failed.share() >= MIN_FAILURE_SHARE
            && new.failed.share() >= FAILURE_RATIO * old_share;
        fails || self.is_slow_in(1.0)
    }

    /// Whether the new version has failed often enough to spare requests a second try there.
    fn may_be_bad(&self) -> bool {
        let failures = self.new.values().map(|record| record.failed.count()).sum::<usize>();
        self.known_stage != Some(Stage::Completed) && failures >= MIN_FAILURES_TO_SPARE
    }

    /// This entry's doubt, as one of so many `entries`.
    pub fn doubt(&self, entries: usize) -> Option<Doubt> {
        let one_of_many = self.known_stage == Some(Stage::Trial) && entries >= MANY_ENTRIES;
        if self.is_slow_in(DOUBT_PART) || self.fails_doubtfully() {
            Some(Doubt::Strong)
        } else if one_of_many && self.roughly_slow.is_of(DOUBT_SLOW_OF_MANY) {
            Some(Doubt::Slight)
        } else {
            None
        }
    }

    fn fails_doubtfully(&self) -> bool {
        let of_old = self.old.values().map(|record| record.failed.share()).fold(0.0, f64::max);
        self.failed.count() >= DOUBT_FAILURES
            && self.failed.servers() >= MIN_SERVERS
            && self.failed.share() >= MIN_FAILURE_SHARE
            && self.failed.share() >= FAILURE_RATIO * of_old
    }

    /// Whether at least this part of the slow answers needed to call the version bad is there.
    fn is_slow_in(&self, part: f64) -> bool {
        let min_slow = match self.known_stage {
            Some(Stage::Widening) => MIN_SLOW_WIDENING,
            _ => MIN_SLOW,
        };
        self.slow.is_of((part * min_slow as f64).ceil() as usize)
    }
}

/// Where a session stands between 0 and 1, by its top bits, alike at every entry.
fn side(session: SessionKey) -> f64 {
    (session >> 11) as f64 / (1u64 << 53) as f64
}

impl Record {
    fn note(&mut self, evidence: &Evidence<'_>) {
        self.failed.push(evidence.failed, evidence.server);
        if evidence.failed {
            return;
        }
        if self.slowness.len() == OLD_TIMES {
            self.slowness.pop_front();
        }
        self.slowness.push_back(evidence.slowness);
    }

    /// Slowness beyond that of nearly all of these.
    fn slow_from(&self) -> Option<f64> {
        if self.slowness.len() < MIN_OLD_TIMES {
            return None;
        }
        let mut sorted: Vec<f64> = self.slowness.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let rank = (quantile * (sorted.len() - 1) as f64).ceil() as usize;
            sorted.get(rank).copied()
        };
        Some(at(SLOW_QUANTILE)?.max(SLOW_FACTOR * at(ORDINARY_QUANTILE)?))
    }
}

impl Latest {
    fn push(&mut self, faulty: bool, server: &str) {
        if self.answers.len() == WINDOW {
            self.answers.pop_front();
        }
        self.answers.push_back((faulty, server.to_owned()));
    }

    fn count(&self) -> usize {
        self.answers.iter().filter(|(faulty, _)| *faulty).count()
    }

    fn share(&self) -> f64 {
        self.count() as f64 / self.answers.len().max(1) as f64
    }

    /// Whether there are at least so many, of more than one server.
    fn is_of(&self, answers: usize) -> bool {
        self.count() >= answers && self.servers() >= MIN_SERVERS
    }

    /// Servers that gave faulty answers.
    fn servers(&self) -> usize {
        let mut servers: Vec<&ServerId> = Vec::new();
        for (_, server) in self.answers.iter().filter(|(faulty, _)| *faulty) {
            if !servers.contains(&server) {
                servers.push(server);
            }
        }
        servers.len()
    }
}
