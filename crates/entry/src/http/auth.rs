//! Authentication of callers.

use std::fmt::Write;

use poem::{Request, http::header};
use pondwalk_types::{Refusal, WorkspaceId};
use sha2::{Digest, Sha256};

use crate::core::Core;

const BEARER_PREFIX: &str = "Bearer ";

/// The workspace that the API key of the caller belongs to.
pub fn authenticate(core: &Core, request: &Request) -> Result<WorkspaceId, Refusal> {
    let installed = core.installed().ok_or(Refusal::NoConfiguration)?;
    let header = request.header(header::AUTHORIZATION).unwrap_or_default();
    let key = header.strip_prefix(BEARER_PREFIX).ok_or(Refusal::UnknownCaller)?;
    installed.keys.get(&digest(key)).cloned().ok_or(Refusal::UnknownCaller)
}

/// SHA-256 in lower-case hex.
fn digest(key: &str) -> String {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(key.trim().as_bytes()) {
        // NB: writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
