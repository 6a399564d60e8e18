//! `pondwalk stand-ins`: runs local stand-ins of the systems that pondwalk depends on.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pondwalk_standin::{
    Engine, InstanceList, KvStore, ListedInstance, PlainService, RatingService, VersionProfile,
};

use super::block_on;
use crate::exit::Exit;

// Ports used by `sample_configs/local`.
const STORE_PORT: u16 = 2379;
const INSTANCES_PORT: u16 = 2400;
const RATING_PORT: u16 = 2410;
const ENGINE_PORT: u16 = 9101;
const SERVICE_PORT: u16 = 9201;
const AGENT_PORT: u16 = 7101;
const SERVICE_AGENT_PORT: u16 = 7201;
const ENTRY_PORT: u16 = 8080;

/// Runs until the process is stopped.
pub fn run() -> anyhow::Result<Exit> {
    block_on(async {
        let _store = KvStore::default().listen(local(STORE_PORT)).await?;
        let lag = Duration::from_millis(500);
        let _list = InstanceList::start(local(INSTANCES_PORT), lag, instances()).await?;
        let rating_delay = Duration::from_millis(50);
        let _rating = RatingService::start(local(RATING_PORT), rating_delay).await?;
        let _engine = Engine::start(local(ENGINE_PORT), versions()).await?;
        let service_delay = Duration::from_millis(5);
        let _service = PlainService::start(local(SERVICE_PORT), service_delay).await?;
        println!("store {}, instance list {}", local(STORE_PORT), local(INSTANCES_PORT));
        println!("rating service {}", local(RATING_PORT));
        println!("engine {}, plain service {}", local(ENGINE_PORT), local(SERVICE_PORT));
        tokio::signal::ctrl_c().await?;
        Ok(Exit::Success)
    })
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn instances() -> Vec<ListedInstance> {
    let instance = |name: &str, role: &str, port| ListedInstance {
        instance: name.to_owned(),
        role: role.to_owned(),
        data_centre: "dc1".to_owned(),
        address: local(port),
        state: "live".to_owned(),
    };
    vec![
        instance("b1", "agent", AGENT_PORT),
        instance("s1", "agent", SERVICE_AGENT_PORT),
        instance("entry-1", "entry", ENTRY_PORT),
    ]
}

fn versions() -> BTreeMap<String, VersionProfile> {
    let profile = |token_ms, quality| VersionProfile {
        first_token: Duration::from_millis(5 * token_ms),
        token: Duration::from_millis(token_ms),
        tokens: 30,
        quality,
    };
    BTreeMap::from([
        ("small/3".to_owned(), profile(10, 0.76)),
        ("medium/2".to_owned(), profile(20, 0.86)),
        ("medium/3".to_owned(), profile(20, 0.87)),
        ("large/7".to_owned(), profile(40, 0.94)),
    ])
}
