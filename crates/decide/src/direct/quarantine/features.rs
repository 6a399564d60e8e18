//! Features of requests: what may be the cause when servers crash under them.

use super::super::hash::hash_text;

/// A feature of a request, the same at all entries: its whole content, or a part of its prompt that
/// other requests may share.
pub type FeatureHash = u128;

/// Bits that mark a prompt part; the hash of a content has them by chance once in four billion.
const PART_MARK: u128 = 0xffff_ffff << 96;
/// Position of the service's hash in a prompt part.
const SERVICE_SHIFT: u32 = 64;

/// Feature of a prompt part at a service. Who calls doesn't matter: a part that crashes servers
/// does so whoever sends it.
pub fn part_feature(service: &str, part: u64) -> FeatureHash {
    PART_MARK | u128::from(hash_text(service) as u32) << SERVICE_SHIFT | u128::from(part)
}

/// Whether a feature is a prompt part.
pub fn is_part(feature: FeatureHash) -> bool {
    feature & PART_MARK == PART_MARK
}

/// Id of a prompt part, as callers name it.
pub fn part_id(feature: FeatureHash) -> u64 {
    feature as u64
}

/// Whether a feature is a prompt part at this service.
pub fn is_part_of(feature: FeatureHash, service: &str) -> bool {
    feature == part_feature(service, part_id(feature))
}
