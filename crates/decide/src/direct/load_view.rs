//! View of the work of all other entries, assembled from the summaries that they send.
//!
//! Entries form a tree. An entry reports the sum of its subtree to its parent, and a root reports
//! it to the other roots; a parent answers with everything that it knows except what came from the
//! asking entry. What comes from above is never part of a subtree's sum, so no work is counted
//! again on its way through the tree.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::load_summary::{LoadKey, LoadSummary, LoadSummaryError, ServerWork};

/// Intervals without a new message after which a summary is dropped.
pub const EXPIRY_INTERVALS: u32 = 5;
/// Minimum time without a message after which the view is not fresh.
const MIN_FRESH_TIME: Duration = Duration::from_secs(1);
/// Time for which the sequence number of an expired summary is kept, so that a message that was
/// delayed until then has no effect.
const SEQUENCE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of servers in a message.
pub const MAX_SERVERS: usize = 2_048;
/// Maximum number of services in a message. With the other two limits, a message has at most some
/// 130 KB.
pub const MAX_SERVICES: usize = 512;
/// Maximum number of demands in a message.
pub const MAX_DEMANDS: usize = 2_048;

/// Position of another entry relative to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadRole {
    /// Entry to which this one reports; its summary covers all other entries.
    Parent,
    /// Entry that reports to this one; its summary covers its subtree.
    Child,
    /// Another root; its summary covers its subtree.
    Root,
}

impl LoadRole {
    /// Rank among messages of one sender in several roles: the lowest one is used.
    ///
    /// While entries disagree about the tree, two of them may regard each other as parents, or one
    /// as a root and the other as a parent. A fixed choice keeps the sums from alternating, and a
    /// parent's summary from becoming part of the subtree.
    fn rank(self) -> u8 {
        match self {
            LoadRole::Parent => 0,
            LoadRole::Child => 1,
            LoadRole::Root => 2,
        }
    }
}

/// Sender of a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadOrigin {
    /// Hash of the sender's name.
    pub key: LoadKey,
    /// Its position relative to this entry.
    pub role: LoadRole,
    /// Time until its next message is expected.
    pub interval: Duration,
}

/// Latest message of a sender.
#[derive(Debug)]
struct Contribution {
    origin: LoadOrigin,
    incarnation: u64,
    /// The incarnation before this one, whose delayed messages have no effect.
    previous_incarnation: Option<u64>,
    sequence: u64,
    received_at: Duration,
    summary: LoadSummary,
    /// Whether another entry has become the parent since.
    is_replaced: bool,
}

impl Contribution {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Whether the summary still counts.
    fn is_live(&self, now: Duration) -> bool {
        let expiry = self.origin.interval * EXPIRY_INTERVALS;
        // Without the parent's summary the view would show almost no work while it is still fresh.
        let limit = match self.origin.role {
            LoadRole::Parent => expiry.max(MIN_FRESH_TIME),
            LoadRole::Child | LoadRole::Root => expiry,
        };
        !self.is_replaced && self.age(now) < limit
    }
}

/// Work of the other entries, by the entry that reported it.
#[derive(Debug)]
pub struct LoadView {
    /// Minimum interval between the messages of a sender.
    interval: Duration,
    is_root: bool,
    contributions: BTreeMap<LoadKey, Contribution>,
    last_received: Option<Duration>,
    /// End of the freshness granted by messages from the parent or from roots.
    fresh_until_from_above: Duration,
    /// End of the freshness granted by messages from children.
    fresh_until_from_below: Duration,
}

impl LoadView {
    /// Creates an empty view; summaries are expected at most once per `interval`.
    pub fn new(interval: Duration) -> Self {
        LoadView {
            interval,
            is_root: false,
            contributions: BTreeMap::new(),
            last_received: None,
            fresh_until_from_above: Duration::ZERO,
            fresh_until_from_below: Duration::ZERO,
        }
    }

    /// Sets whether this entry is a root.
    ///
    /// The view of a root is fresh if it receives any message, that of another entry only if it
    /// receives messages from above: its children know only a small part of the work.
    pub fn set_root(&mut self, is_root: bool) {
        self.is_root = is_root;
    }

    /// Records a summary. One that is not newer than the sender's latest has no effect.
    ///
    /// # Errors
    ///
    /// Returns an error, without effect, if the summary is invalid.
    pub fn receive(
        &mut self,
        origin: LoadOrigin,
        incarnation: u64,
        sequence: u64,
        summary: LoadSummary,
        now: Duration,
    ) -> Result<(), LoadSummaryError> {
        summary.check()?;
        let origin = LoadOrigin { interval: origin.interval.max(self.interval), ..origin };
        let mut previous_incarnation = None;
        if let Some(known) = self.contributions.get(&origin.key) {
            let is_old = known.previous_incarnation == Some(incarnation)
                || known.incarnation == incarnation && sequence <= known.sequence;
            let is_outranked = known.is_live(now) && known.origin.role.rank() < origin.role.rank();
            if is_old || is_outranked {
                return Ok(());
            }
            previous_incarnation = match known.incarnation == incarnation {
                true => known.previous_incarnation,
                false => Some(known.incarnation),
            };
        }
        self.contributions
            .retain(|_, known| known.is_live(now) || known.age(now) < SEQUENCE_RETENTION);
        if origin.role == LoadRole::Parent {
            let parents = self.contributions.values_mut();
            let parents = parents.filter(|known| known.origin.role == LoadRole::Parent);
            parents.for_each(|known| known.is_replaced = true);
        }
        let contribution = Contribution {
            origin,
            incarnation,
            previous_incarnation,
            sequence,
            received_at: now,
            summary,
            is_replaced: false,
        };
        self.contributions.insert(origin.key, contribution);
        self.last_received = Some(now);
        let fresh_until = now + (origin.interval * EXPIRY_INTERVALS).max(MIN_FRESH_TIME);
        let renewed = match origin.role {
            LoadRole::Parent | LoadRole::Root => &mut self.fresh_until_from_above,
            LoadRole::Child => &mut self.fresh_until_from_below,
        };
        *renewed = fresh_until.max(*renewed);
        Ok(())
    }

    /// Summary to send to an entry in this role: for a child, the work of all other entries; for
    /// the parent or a root, that of this entry and its children. Never includes what the entry
    /// itself has reported.
    pub fn for_peer(
        &self,
        key: LoadKey,
        role: LoadRole,
        own: &LoadSummary,
        now: Duration,
    ) -> LoadSummary {
        let mut sum = self.sum(now, |origin| {
            origin.key != key && (role == LoadRole::Child || origin.role == LoadRole::Child)
        });
        sum.add(own);
        limit_size(&mut sum);
        sum
    }

    /// Work of all other entries; `None` unless it is fresh.
    pub fn peers(&self, now: Duration) -> Option<LoadSummary> {
        self.is_fresh(now).then(|| self.sum(now, |_| true))
    }

    /// Whether messages have arrived recently.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now < self.fresh_until_from_above || self.is_root && now < self.fresh_until_from_below
    }

    /// Time since the latest message that had an effect, if there was one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.last_received?))
    }

    /// Sums the live contributions whose origin is selected.
    ///
    /// A server works off a millisecond per millisecond, whoever sent the work. The time since the
    /// messages is therefore divided among the contributions in proportion to their work, so that
    /// sums taken at several entries do not subtract it several times.
    fn sum(&self, now: Duration, is_selected: impl Fn(&LoadOrigin) -> bool) -> LoadSummary {
        let mut queued_ms: BTreeMap<LoadKey, f32> = BTreeMap::new();
        for contribution in self.counted(now) {
            for (key, work) in &contribution.summary.servers {
                *queued_ms.entry(*key).or_default() += work.queued_ms;
            }
        }
        let mut sum = LoadSummary::default();
        for contribution in self.counted(now) {
            if !is_selected(&contribution.origin) {
                continue;
            }
            let age_ms = contribution.age(now).as_secs_f32() * 1_000.0;
            let before = &contribution.summary;
            for (key, work) in &before.servers {
                let total_ms = queued_ms.get(key).copied().unwrap_or(0.0);
                let share = if total_ms > 0.0 { work.queued_ms / total_ms } else { 0.0 };
                let left_ms = (work.queued_ms - age_ms * share).max(0.0);
                let work = ServerWork { queued_ms: left_ms, ..*work };
                sum.servers.entry(*key).or_default().add(&work);
            }
            for (key, work) in &before.services {
                sum.services.entry(*key).or_default().add(work);
            }
            for (key, demand) in &before.demands {
                sum.demands.entry(*key).or_default().offered_ms_per_s += demand.offered_ms_per_s;
            }
        }
        sum
    }

    /// Live contributions. A parent's summary contains those of the roots, which an entry may still
    /// hold after it has ceased to be a root.
    fn counted(&self, now: Duration) -> impl Iterator<Item = &Contribution> {
        let live = move |known: &&Contribution| known.is_live(now);
        let has_parent = self
            .contributions
            .values()
            .any(|known| known.origin.role == LoadRole::Parent && known.is_live(now));
        let is_counted =
            move |known: &&Contribution| !has_parent || known.origin.role != LoadRole::Root;
        self.contributions.values().filter(live).filter(is_counted)
    }
}

/// Drops servers without work, and what exceeds the limits of a message, least work first.
fn limit_size(summary: &mut LoadSummary) {
    summary.servers.retain(|_, work| {
        work.queued_ms > 0.0 || work.waiting > 0 || work.running > 0 || work.pace_samples > 0.0
    });
    keep_largest(&mut summary.servers, MAX_SERVERS, |work| {
        (work.queued_ms, work.waiting.saturating_add(work.running), work.pace_samples)
    });
    keep_largest(&mut summary.services, MAX_SERVICES, |work| {
        (work.prefill_ms_per_s, work.requests.iter().fold(0, |a, b| a.max(*b)), 0.0)
    });
    keep_largest(&mut summary.demands, MAX_DEMANDS, |demand| (demand.offered_ms_per_s, 0, 0.0));
}

/// Keeps the `max` entries with the largest sizes.
fn keep_largest<K: Ord + Copy, V>(
    map: &mut BTreeMap<K, V>,
    max: usize,
    size: impl Fn(&V) -> (f32, u32, f32),
) {
    if map.len() <= max {
        return;
    }
    let mut sizes: Vec<_> = map.iter().map(|(key, value)| (size(value), *key)).collect();
    sizes.sort_by(|(a, _), (b, _)| {
        b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(b.2.total_cmp(&a.2))
    });
    for (_, key) in &sizes[max..] {
        map.remove(key);
    }
}
