//! Session pins: the version of a session, signed and carried by the caller.
//!
//! A pin is `BASE64(payload).BASE64(HMAC-SHA256(payload))`; the payload names workspace, session
//! and version. Any entry can verify it, so sessions survive the loss of instances without being
//! stored.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use pondwalk_types::{Refusal, SessionId, VersionId, WorkspaceId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The content of a pin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The workspace that it was issued to.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
    /// The session that it belongs to.
    #[serde(rename = "s")]
    pub session: SessionId,
    /// The version that the session is pinned to.
    #[serde(rename = "v")]
    pub version: VersionId,
}

/// Signs pins with the current key and verifies them with the current and the previous key.
pub struct PinSigner {
    current: Hmac<Sha256>,
    previous: Option<Hmac<Sha256>>,
}

impl std::fmt::Debug for PinSigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PinSigner")
    }
}

impl PinSigner {
    /// A signer with the current key and an optional previous key.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        PinSigner { current: hmac_with_key(current), previous: previous.map(hmac_with_key) }
    }

    /// The signed pin as a header value.
    pub fn sign(&self, pin: &Pin) -> String {
        // NB: serialization cannot fail, because all fields are strings.
        let payload = serde_json::to_vec(pin).unwrap_or_default();
        let mut mac = self.current.clone();
        mac.update(&payload);
        let signature = mac.finalize().into_bytes();
        format!("{}.{}", URL_SAFE_NO_PAD.encode(&payload), URL_SAFE_NO_PAD.encode(signature))
    }

    /// Verifies the signature and the workspace of a pin.
    pub fn verify(&self, text: &str, workspace: &str) -> Result<Pin, Refusal> {
        let pin = self.decode_verified(text).ok_or(Refusal::BadSessionPin)?;
        if pin.workspace == workspace { Ok(pin) } else { Err(Refusal::BadSessionPin) }
    }

    fn decode_verified(&self, text: &str) -> Option<Pin> {
        let (payload, signature) = text.split_once('.')?;
        let payload = URL_SAFE_NO_PAD.decode(payload).ok()?;
        let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
        let keys = [Some(&self.current), self.previous.as_ref()];
        let valid = keys.into_iter().flatten().any(|key| {
            let mut mac = key.clone();
            mac.update(&payload);
            mac.verify_slice(&signature).is_ok()
        });
        if valid { serde_json::from_slice(&payload).ok() } else { None }
    }
}

fn hmac_with_key(key: &str) -> Hmac<Sha256> {
    Hmac::new_from_slice(key.as_bytes())
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"))
}
