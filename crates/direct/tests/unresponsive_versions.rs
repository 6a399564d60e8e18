//! A version on trial whose servers let many requests wait until they are tried elsewhere.

mod common;

use std::{rc::Rc, time::Duration};

use common::{World, address, catalog, play, request, with};
use pondwalk_standin::backends::Act;
use tokio::{task::spawn_local, time::sleep};

fn made() -> Act {
    Act::Answer(200, "made".into())
}

/// Rolls out a version within thirty seconds, three servers of the old one beside two of the new; from its
/// widening on the servers of `falls_silent` answer every other request only.
async fn roll_out(world: World, falls_silent: &[u16]) -> String {
    let world = Rc::new(world);
    world.configure(catalog(1));
    (1..=3).for_each(|n| world.start_server(n, "s", "v1", made()));
    (11..=12).for_each(|n| world.start_server(n, "s", "v2", made()));
    world.start().await;
    world.store.put("order/s", "v2 30");
    for n in 0..800 {
        if n == 450 {
            for server in falls_silent {
                let by_turns = (0..400).flat_map(|_| [Act::Silent, made()]);
                world.backends.script(address(*server), by_turns);
            }
        }
        let (world, session) = (Rc::clone(&world), format!("a{n}"));
        let sent = with(request("/again/x", &format!("r{n}")), "pondwalk-session", &session);
        spawn_local(async move { world.ask(sent).await });
        sleep(Duration::from_millis(40)).await;
    }
    world.store.value("progress/s").expect("it is told")
}

#[test]
fn a_version_whose_servers_let_every_other_request_wait_is_reverted() {
    play(|world| async move {
        assert_eq!(roll_out(world, &[11, 12]).await, "v2 Reverted");
    });
}

#[test]
fn a_version_is_completed_though_one_of_its_servers_lets_requests_wait() {
    play(|world| async move {
        assert_eq!(roll_out(world, &[11]).await, "v2 Completed");
    });
}

#[test]
fn a_version_is_completed_where_servers_of_both_let_requests_wait_alike() {
    play(|world| async move {
        assert_eq!(roll_out(world, &[1, 2, 3, 11, 12]).await, "v2 Completed");
    });
}
