//! Places and ends a fixed number of requests, to be timed as a whole process.
//!
//! With 180 servers and prompts of three parts: 2.80 G instructions without server notices, 2.94 G
//! with them (`valgrind --tool=callgrind`, of the whole process).

use std::{error::Error, time::Duration};

use pondwalk_decide::direct::{
    DataCentreRule, Fleet, PlacementRequest, PromptPart, ServerInfo, VersionRule,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of servers of the service.
const SERVERS: u16 = 180;
/// Number of requests placed.
const REQUESTS: u32 = 20_000;
/// Number of requests in flight at a time.
const MAX_IN_FLIGHT: usize = 400;
/// Number of different prompts, whose first parts are shared by requests.
const SHARED_PROMPTS: u64 = 40;

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
    let mut in_flight = Vec::new();
    for number in 0..REQUESTS {
        let now = Duration::from_micros(u64::from(number) * 1_000);
        let shared = rng.random_range(0..SHARED_PROMPTS);
        let part = |id, tokens| PromptPart { id, tokens };
        let own = part(1_000_000 + u64::from(number), 200);
        let parts = [part(shared % 5, 400), part(100 + shared, 600), own];
        let request = PlacementRequest {
            parts: &parts,
            model: 0,
            prefill_ms_per_token: 0.02,
            base_ms: 20.0,
            excluded_servers: &[],
            versions: VersionRule::Any,
            data_centres: DataCentreRule::Any,
        };
        let mut ticket =
            fleet.place(&request, now, &mut rng).ok_or("no server can take the request")?;
        fleet.on_answer_started(&mut ticket, 30.0, now);
        in_flight.push(ticket);
        if in_flight.len() > MAX_IN_FLIGHT {
            fleet.on_finished(&in_flight.swap_remove(0));
        }
    }
    println!("{} requests in flight", in_flight.len());
    Ok(())
}
