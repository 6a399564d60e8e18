//! Content of a request: a hash by which all entries recognise it.
//!
//! Each attempt of a caller has an id of its own, so ids don't relate attempts. The content does:
//! it covers the caller, the path and the body. Headers and the method are excluded, since they
//! change between attempts (id, time limit, last event received). Host and query are excluded if
//! there is a body, since the body then identifies the request; without a body they are included,
//! as nothing else distinguishes two requests.
//!
//! The content is an HMAC-SHA-256 keyed with the caller's name and truncated to 128 bits, so no
//! caller can forge a request that counts as another caller's. Computing it takes one pass over the
//! body and is done only if any content is under suspicion.

use hmac::{Hmac, Mac};
use pondwalk_decide::direct::FeatureHash;
use sha2::Sha256;

/// Length of the truncated hash in bytes.
const CONTENT_BYTES: usize = 16;

/// Parts of a request that its content covers.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// Workspace of the key; empty if none is required.
    pub caller: &'a str,
    /// Host of the request.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Computes the content of a request.
pub fn content_of(parts: Parts<'_>) -> FeatureHash {
    let (path, query) = parts.target.split_once('?').unwrap_or((parts.target, ""));
    let mut hash = Hmac::<Sha256>::new_from_slice(parts.caller.as_bytes())
        .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
    add(&mut hash, path.as_bytes());
    add(&mut hash, parts.body);
    if parts.body.is_empty() {
        add(&mut hash, parts.host.as_bytes());
        add(&mut hash, query.as_bytes());
    }
    let digest = hash.finalize().into_bytes();
    let mut truncated = [0; CONTENT_BYTES];
    truncated.copy_from_slice(&digest[..CONTENT_BYTES]);
    FeatureHash::from_be_bytes(truncated)
}

/// Adds a part prefixed with its length, so that different parts can't produce the same input.
fn add(hash: &mut Hmac<Sha256>, part: &[u8]) {
    hash.update(&(part.len() as u64).to_be_bytes());
    hash.update(part);
}

/// Formats a content for logs.
pub fn content_text(content: FeatureHash) -> String {
    format!("{content:032x}")
}
