//! What a request carries, as a fixed number by which all entries know it again.
//!
//! Each try of a caller has an id of its own, so an id says nothing of what was tried before. The
//! content does: who asks, on which path, with which body. Headers and the method are left out, since
//! they change from try to try (an id, a time limit, the last event received), and so are host and
//! query where there is a body: they name the way, and the body is what is asked. Without a body,
//! host and query are all that tells two requests apart, so they count.
//!
//! It is an HMAC-SHA-256 under the caller's name, cut to 128 bits: no caller can make a request that
//! counts as another caller's. It takes as long as reading the body once, and is worked out only
//! where something is known against any content at all.

use hmac::{Hmac, Mac};
use pondwalk_decide::direct::ContentHash;
use sha2::Sha256;

/// Bytes of the code that are kept.
const CONTENT_BYTES: usize = 16;

/// The parts of a request that make up its content.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// Workspace of its key; empty where none is asked for.
    pub caller: &'a str,
    /// Host that it names.
    pub host: &'a str,
    /// Path, and the query behind it.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// The content of a request of these parts.
pub fn content_of(parts: Parts<'_>) -> ContentHash {
    let (path, query) = parts.target.split_once('?').unwrap_or((parts.target, ""));
    let mut hash = Hmac::<Sha256>::new_from_slice(parts.caller.as_bytes())
        .unwrap_or_else(|_| unreachable!("a key of any length is taken"));
    add(&mut hash, path.as_bytes());
    add(&mut hash, parts.body);
    if parts.body.is_empty() {
        add(&mut hash, parts.host.as_bytes());
        add(&mut hash, query.as_bytes());
    }
    let code = hash.finalize().into_bytes();
    let mut kept = [0; CONTENT_BYTES];
    kept.copy_from_slice(&code[..CONTENT_BYTES]);
    ContentHash::from_be_bytes(kept)
}

/// Adds a part behind its length, so that no two parts can be taken for one.
fn add(hash: &mut Hmac<Sha256>, part: &[u8]) {
    hash.update(&(part.len() as u64).to_be_bytes());
    hash.update(part);
}

/// A content as logs write it.
pub fn content_text(content: ContentHash) -> String {
    format!("{content:032x}")
}
