//! Remembers features of requests that succeeded.

use std::{collections::HashMap, time::Duration};

use super::FeatureHash;

/// Time after which a success is forgotten, at the latest after twice as long; the effect of a
/// request may change with the server's software.
const SUCCESS_RETENTION: Duration = Duration::from_secs(300);
/// Number of features remembered, at most twice as many; some 30 bytes each.
const MAX_SUCCESSFUL_FEATURES: usize = 8_192;
/// Crashes after the latest success for which a feature stays exempt: as many as two requests that
/// crash servers cause before they are quarantined.
const MAX_FORGIVEN_CRASHES: usize = 8;

/// Crashes, in all, for which a feature is exempt that has only been in an answer in progress.
const MAX_CRASHES_OF_SURVIVORS: usize = 4;

/// What is known of the latest success of a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// This entry observed it.
    Observed,
    /// Another entry reported it.
    Reported,
    /// An answer is in progress.
    InProgress,
    /// An answer has ended, but its server may still crash.
    Unsettled,
    /// The servers of such answers crashed.
    Revoked,
}

/// Successful runs of one feature.
#[derive(Debug, Clone, Copy)]
struct Success {
    /// Crashes since the latest success.
    crashes: usize,
    /// Crashes of servers after whole answers since the latest one whose server kept running.
    crashes_after_runs: usize,
    evidence: Evidence,
}

impl Success {
    fn new(crashes: usize, evidence: Evidence) -> Self {
        Success { crashes, crashes_after_runs: 0, evidence }
    }

    /// Whether the server of a whole answer has kept running, here or at another entry.
    fn is_settled(&self) -> bool {
        matches!(self.evidence, Evidence::Observed | Evidence::Reported)
    }

    fn is_exempt(&self) -> bool {
        self.crashes <= MAX_FORGIVEN_CRASHES && self.evidence != Evidence::Revoked
    }
}

/// Features that succeeded recently. A request that crashes every server never succeeds, so these
/// are not quarantined when servers crash while running them, by chance or because of another
/// request. Requests of many callers that share a feature are in flight wherever a server crashes.
#[derive(Debug, Default)]
pub struct SuccessfulFeatures {
    newer: HashMap<FeatureHash, Success>,
    older: HashMap<FeatureHash, Success>,
    /// When the older generation was replaced.
    rotated_at: Duration,
}

impl SuccessfulFeatures {
    /// Records a successful run at this entry.
    pub fn record_success(&mut self, feature: FeatureHash, now: Duration) {
        self.insert(feature, Success::new(0, Evidence::Observed), now);
    }

    /// Records a successful run that another entry reported.
    pub fn record_reported_success(&mut self, feature: FeatureHash, now: Duration) {
        // An own success keeps its count of crashes: two entries that clear a feature for one
        // another must not exempt it for ever.
        if !self.is_proven(feature) {
            self.insert(feature, Success::new(0, Evidence::Reported), now);
        }
    }

    /// Records an answer in progress at this entry, after so many crashes. It exempts the feature
    /// for fewer crashes than a success, and doesn't end the count of them: a feature may crash its
    /// server later in the answer.
    pub fn record_survival(&mut self, feature: FeatureHash, crashes: usize, now: Duration) {
        if self.get(feature).is_none() {
            let crashes = crashes + MAX_FORGIVEN_CRASHES - MAX_CRASHES_OF_SURVIVORS;
            self.insert(feature, Success::new(crashes, Evidence::InProgress), now);
        }
    }

    /// Records a whole answer whose server may still crash. If another one settled before, it is a
    /// success at once; returns whether it is. Otherwise it exempts the feature like a success,
    /// until it [counts as one](SuccessfulFeatures::record_success), is
    /// [forgotten](SuccessfulFeatures::forget_unsettled) or
    /// [revoked](SuccessfulFeatures::record_crash_after_run).
    pub fn record_whole_run(&mut self, feature: FeatureHash, now: Duration) -> bool {
        match self.get(feature).copied() {
            Some(success) if success.is_settled() => {
                let evidence = Evidence::Observed;
                self.insert(feature, Success { crashes: 0, evidence, ..success }, now);
                true
            }
            Some(success) if success.evidence != Evidence::InProgress => false,
            _ => {
                self.insert(feature, Success::new(0, Evidence::Unsettled), now);
                false
            }
        }
    }

    /// Forgets a whole answer of whose server nothing more is known.
    pub fn forget_unsettled(&mut self, feature: FeatureHash) {
        for successes in [&mut self.newer, &mut self.older] {
            if successes.get(&feature).is_some_and(|one| one.evidence == Evidence::Unsettled) {
                successes.remove(&feature);
            }
        }
    }

    /// Records that the server crashed after a whole answer. Further answers count only once their
    /// servers have kept running, if none had settled before or this has happened too often since.
    pub fn record_crash_after_run(&mut self, feature: FeatureHash) {
        let Some(success) = self.get_mut(feature) else { return };
        success.crashes_after_runs += 1;
        if !success.is_settled() || success.crashes_after_runs > MAX_FORGIVEN_CRASHES {
            success.evidence = Evidence::Revoked;
        }
    }

    /// Records that another entry reports such a crash. What has settled is left to the crashes
    /// that this entry observes, since one crash is reported for each run.
    pub fn revoke_unsettled(&mut self, feature: FeatureHash) {
        if let Some(success) = self.get_mut(feature).filter(|success| !success.is_settled()) {
            success.evidence = Evidence::Revoked;
        }
    }

    fn insert(&mut self, feature: FeatureHash, success: Success, now: Duration) {
        if self.newer.len() >= MAX_SUCCESSFUL_FEATURES || now >= self.rotated_at + SUCCESS_RETENTION
        {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = now;
        }
        self.newer.insert(feature, success);
    }

    /// Records that a server crashed under a feature, here or at another entry.
    pub fn record_crash(&mut self, feature: FeatureHash) {
        if let Some(success) = self.get_mut(feature) {
            success.crashes += 1;
        }
    }

    /// Whether the server of a whole answer has kept running, here or at another entry.
    pub fn is_settled(&self, feature: FeatureHash) -> bool {
        self.get(feature).is_some_and(Success::is_settled)
    }

    /// Whether the feature succeeded recently and is exempt from quarantine.
    pub fn is_exempt(&self, feature: FeatureHash) -> bool {
        self.get(feature).is_some_and(Success::is_exempt)
    }

    /// Whether the feature is exempt by a success that this entry observed.
    pub fn is_proven(&self, feature: FeatureHash) -> bool {
        self.get(feature)
            .is_some_and(|success| success.evidence == Evidence::Observed && success.is_exempt())
    }

    /// Whether recording another success would change nothing.
    pub fn is_fresh(&self, feature: FeatureHash) -> bool {
        self.newer
            .get(&feature)
            .is_some_and(|success| success.evidence == Evidence::Observed && success.crashes == 0)
    }

    /// Number of features remembered.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether no feature is remembered.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }

    fn get_mut(&mut self, feature: FeatureHash) -> Option<&mut Success> {
        let (newer, older) = (self.newer.get_mut(&feature), self.older.get_mut(&feature));
        newer.or(older)
    }

    fn get(&self, feature: FeatureHash) -> Option<&Success> {
        self.newer.get(&feature).or(self.older.get(&feature))
    }
}
