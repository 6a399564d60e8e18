//! A version on trial whose servers leave many requests unanswered until they are tried elsewhere.

mod common;

use std::{rc::Rc, time::Duration};

use common::{World, address, catalog, request, run_test, with};
use pondwalk_standin::backends::Behaviour;
use tokio::{task::spawn_local, time::sleep};

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

/// Rolls out a version within thirty seconds, with three servers of the old version and two of the
/// new one. From its widening stage on, the servers in `falls_silent` answer only every other
/// request.
async fn roll_out(world: World, falls_silent: &[u16]) -> String {
    let world = Rc::new(world);
    world.configure(catalog(1));
    (1..=3).for_each(|n| world.start_server(n, "s", "v1", ok_response()));
    (11..=12).for_each(|n| world.start_server(n, "s", "v2", ok_response()));
    world.start().await;
    world.store.put("order/s", "v2 30");
    for n in 0..800 {
        if n == 450 {
            for server in falls_silent {
                let alternating = (0..400).flat_map(|_| [Behaviour::Silent, ok_response()]);
                world.backends.script(address(*server), alternating);
            }
        }
        let (world, session) = (Rc::clone(&world), format!("a{n}"));
        let sent = with(request("/again/x", &format!("r{n}")), "pondwalk-session", &session);
        spawn_local(async move { world.call(sent).await });
        sleep(Duration::from_millis(40)).await;
    }
    world.store.value("progress/s").expect("the progress is reported")
}

#[test]
fn version_with_half_of_requests_unanswered_is_reverted() {
    run_test(|world| async move {
        assert_eq!(roll_out(world, &[11, 12]).await, "v2 Reverted");
    });
}

#[test]
fn version_with_one_unresponsive_server_is_completed() {
    run_test(|world| async move {
        assert_eq!(roll_out(world, &[11]).await, "v2 Completed");
    });
}

#[test]
fn version_as_unresponsive_as_the_old_one_is_completed() {
    run_test(|world| async move {
        assert_eq!(roll_out(world, &[1, 2, 3, 11, 12]).await, "v2 Completed");
    });
}
