//! Servers and requests for tests of a fleet.

#![allow(dead_code)]

use std::time::Duration;

use pondwalk_decide::direct::{
    DataCentreRule, Fleet, PlacementRequest, PromptPart, ServerInfo, VersionRule,
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A server in the first data centre.
pub fn server(id: &str, version: &str) -> ServerInfo {
    ServerInfo {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "dc1".to_owned(),
        version: version.to_owned(),
        slots: 8,
        ready: true,
        born_ms: None,
        cold_until: Duration::ZERO,
    }
}

/// A fleet of `count` servers of one version, named from `s0`.
pub fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new("dc1");
    (0..count).for_each(|n| fleet.apply_server(server(&format!("s{n}"), "v1")));
    fleet
}

/// A request to the smallest model.
pub fn request(parts: &[PromptPart]) -> PlacementRequest<'_> {
    PlacementRequest {
        parts,
        model: 0,
        prefill_ms_per_token: 0.05,
        base_ms: 20.0,
        excluded_servers: &[],
        versions: VersionRule::Any,
        data_centres: DataCentreRule::Any,
    }
}

/// Prompt parts with these lengths in tokens.
pub fn parts(tokens: &[u32]) -> Vec<PromptPart> {
    let parts = tokens.iter().enumerate();
    parts.map(|(id, tokens)| PromptPart { id: id as u64, tokens: *tokens }).collect()
}
