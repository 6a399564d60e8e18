//! A small deployment for fault injection.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_standin::VersionProfile;

use crate::{
    day::key_digest,
    deployment::{Plan, ServerPlan},
};

/// Key of the workspace that sends the requests.
pub const KEY: &str = "key of one";
/// Key of another workspace.
pub const OTHER_KEY: &str = "key of two";
/// Version that is loaded at the start.
pub const OLD: &str = "small/1";
/// Version that can be rolled out.
pub const NEW: &str = "small/2";

/// Returns a plan of two entries and three engines.
pub fn fault_plan() -> Plan {
    let profile = VersionProfile {
        first_token: Duration::from_millis(50),
        token: Duration::from_millis(25),
        tokens: 20,
        quality: 0.9,
    };
    let server = |number| ServerPlan {
        server: format!("b{number}"),
        data_centre: format!("dc{number}"),
        versions: BTreeMap::from([(OLD.to_owned(), profile), (NEW.to_owned(), profile)]),
        loaded: Some(OLD.to_owned()),
        service: None,
        slots: 16,
    };
    let policy_ini = format!(
        "[version small/*]\nprompt_price_per_1k_tokens = 1\noutput_price_per_1k_tokens = 1\n\
         [workspace one]\nallowed_versions = {OLD}\nkeys_sha256 = {}\n\
         [workspace two]\nallowed_versions = {OLD}\nkeys_sha256 = {}\n",
        key_digest(KEY),
        key_digest(OTHER_KEY)
    );
    Plan {
        servers: (1..=3).map(server).collect(),
        entries: 2,
        policy_ini,
        entry_ini: String::new(),
    }
}
