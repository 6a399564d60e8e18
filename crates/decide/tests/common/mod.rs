//! Servers and requests for the tests of a fleet.

#![allow(dead_code)]

use std::time::Duration;

use pondwalk_decide::direct::{Ask, Fleet, Homes, PromptPart, ServerFacts, VersionRule};

/// Milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A server in the first data centre.
pub fn server(id: &str, version: &str) -> ServerFacts {
    ServerFacts {
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

/// Servers `s0` and on, of one version.
pub fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new("dc1");
    (0..count).for_each(|n| fleet.put(server(&format!("s{n}"), "v1")));
    fleet
}

/// A request to the smallest model.
pub fn ask(parts: &[PromptPart]) -> Ask<'_> {
    Ask {
        parts,
        model: 0,
        read_ms_per_token: 0.05,
        base_ms: 20.0,
        avoid: &[],
        versions: VersionRule::Any,
        homes: Homes::Anywhere,
    }
}

/// Parts of a prompt with these lengths in tokens.
pub fn parts(tokens: &[u32]) -> Vec<PromptPart> {
    let parts = tokens.iter().enumerate();
    parts.map(|(id, tokens)| PromptPart { id: id as u64, tokens: *tokens }).collect()
}
