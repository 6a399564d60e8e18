//! Places and ends a fixed number of requests, to be timed as a whole process.
//!
//! With 180 servers and prompts of three parts: 2.80 G instructions without what servers ask for, 2.94 G with it
//! (`valgrind --tool=callgrind`, of the whole process).

use std::{error::Error, time::Duration};

use pondwalk_decide::direct::{
    DataCentreRule, Fleet, PlacementRequest, PromptPart, ServerInfo, VersionRule,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Servers of the service.
const SERVERS: u16 = 180;
/// Requests placed.
const REQUESTS: u32 = 20_000;
/// Requests under way at a time.
const UNDER_WAY: usize = 400;
/// Prompts that share their first parts.
const SHARED: u64 = 40;

fn main() -> Result<(), Box<dyn Error>> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut fleet = Fleet::new("dc0");
    for number in 0..SERVERS {
        fleet.apply_server(ServerInfo {
            id: format!("s{number}"),
            born_ms: Some(1),
            address: ([127, 0, 0, 1], 1_000 + number).into(),
            data_centre: format!("dc{}", number % 3),
            version: "v1".into(),
            slots: 16,
            ready: true,
            cold_until: Duration::ZERO,
        });
    }
    let mut under_way = Vec::new();
    for number in 0..REQUESTS {
        let now = Duration::from_micros(u64::from(number) * 1_000);
        let shared = rng.random_range(0..SHARED);
        let part = |id, tokens| PromptPart { id, tokens };
        let own = part(1_000_000 + u64::from(number), 200);
        let parts = [part(shared % 5, 400), part(100 + shared, 600), own];
        let ask = PlacementRequest {
            parts: &parts,
            model: 0,
            prefill_ms_per_token: 0.02,
            base_ms: 20.0,
            excluded_servers: &[],
            versions: VersionRule::Any,
            data_centres: DataCentreRule::Any,
        };
        let mut ticket = fleet.place(&ask, now, &mut rng).ok_or("no server takes it")?;
        fleet.on_answer_started(&mut ticket, 30.0, now);
        under_way.push(ticket);
        if under_way.len() > UNDER_WAY {
            fleet.on_finished(&under_way.swap_remove(0));
        }
    }
    println!("{} requests under way", under_way.len());
    Ok(())
}
