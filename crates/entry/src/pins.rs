//! Session pins: the version a session keeps, signed and carried by the caller.
//!
//! A pin is `BASE64(payload).BASE64(HMAC-SHA256(payload))`; the payload names workspace, session
//! and version. Any entry can check it, so a session outlives every instance without a store
//! write.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use pondwalk_types::{Refusal, SessionId, VersionId, WorkspaceId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// What a pin says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The workspace it was issued to.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
    /// The session it is for.
    #[serde(rename = "s")]
    pub session: SessionId,
    /// The version that the session keeps.
    #[serde(rename = "v")]
    pub version: VersionId,
}

/// Signs pins with one key, and checks them by that and a former one.
pub struct PinSigner {
    current: Hmac<Sha256>,
    former: Option<Hmac<Sha256>>,
}

impl std::fmt::Debug for PinSigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PinSigner")
    }
}

impl PinSigner {
    /// A signer with its keys.
    pub fn new(current: &str, former: Option<&str>) -> Self {
        PinSigner { current: keyed(current), former: former.map(keyed) }
    }

    /// The pin as a header value.
    pub fn sign(&self, pin: &Pin) -> String {
        // NB: a pin is a plain tree of texts, which always has a JSON form.
        let payload = serde_json::to_vec(pin).unwrap_or_default();
        let mut mac = self.current.clone();
        mac.update(&payload);
        let signature = mac.finalize().into_bytes();
        format!("{}.{}", URL_SAFE_NO_PAD.encode(&payload), URL_SAFE_NO_PAD.encode(signature))
    }

    /// Checks a pin; one that was altered, or issued to another workspace, is refused.
    pub fn check(&self, text: &str, workspace: &str) -> Result<Pin, Refusal> {
        let pin = self.verified(text).ok_or(Refusal::BadSessionPin)?;
        if pin.workspace == workspace { Ok(pin) } else { Err(Refusal::BadSessionPin) }
    }

    fn verified(&self, text: &str) -> Option<Pin> {
        let (payload, signature) = text.split_once('.')?;
        let payload = URL_SAFE_NO_PAD.decode(payload).ok()?;
        let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
        let keys = [Some(&self.current), self.former.as_ref()];
        let valid = keys.into_iter().flatten().any(|key| {
            let mut mac = key.clone();
            mac.update(&payload);
            mac.verify_slice(&signature).is_ok()
        });
        if valid { serde_json::from_slice(&payload).ok() } else { None }
    }
}

fn keyed(key: &str) -> Hmac<Sha256> {
    Hmac::new_from_slice(key.as_bytes())
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"))
}
