//! Configurations that can't be put in force as they were written.

mod common;

use std::time::Duration;

use common::{
    TestResponse, World, address, catalog, catalog_with_keys, net::Net, request, run_test,
    run_test_with, total, with,
};
use pondwalk_direct::catalog::{Catalog, Defects, Limits, Route, Service, Workspace};
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::time::sleep;

/// Time within which a change must be in force.
const PROPAGATION: Duration = Duration::from_secs(2);
/// Time after which a key that was taken away must not be accepted.
const KEY_BOUND: Duration = Duration::from_secs(5);

async fn start_one_server(world: &World) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
    world.start().await;
}

async fn call(world: &World, path: &str, key: &str) -> TestResponse {
    let sent = with(request(path, "r"), "authorization", &format!("Bearer {key}"));
    world.call(sent).await
}

async fn status(world: &World, key: &str) -> u16 {
    call(world, "/once/", key).await.status.as_u16()
}

async fn open_status(world: &World, path: &str) -> u16 {
    let mut open = request(path, "r1");
    open.headers_mut().remove("authorization");
    world.call(open).await.status.as_u16()
}

fn log(world: &World) -> String {
    world.entry.buffered_log_lines()
}

/// Replies that brought an unreadable configuration confirmed the older one, whose keys stayed in
/// force for as long as the process ran.
#[test]
fn unreadable_configuration_does_not_confirm_keys() {
    run_test(|world| async move {
        start_one_server(&world).await;
        sleep(Duration::from_secs(5)).await;
        world.store.put("catalog", "no configuration");
        sleep(KEY_BOUND).await;
        for _ in 0..20 {
            assert_eq!(status(&world, "k1").await, 503);
            sleep(Duration::from_secs(1)).await;
        }
        assert!(!world.entry.is_ready());
    });
}

/// The same where decoding or applying the configuration fails in the program.
#[test]
fn configuration_that_panics_does_not_confirm_keys() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.store.put("catalog", "panic");
        sleep(KEY_BOUND).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

#[test]
fn deployment_that_is_not_strict_honours_keys_longer_beside_an_unreadable_configuration() {
    run_test_with("strict_keys=false\nlenient_key_bound_ms=20000", |world| async move {
        start_one_server(&world).await;
        world.store.put("catalog", "no configuration");
        sleep(Duration::from_secs(15)).await;
        assert_eq!(status(&world, "k1").await, 200);
        assert_eq!(status(&world, "unknown").await, 503, "the key may have been added");
        sleep(Duration::from_secs(6)).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

#[test]
fn anonymous_requests_are_served_beside_an_unreadable_configuration() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.store.put("catalog", "no configuration");
        sleep(Duration::from_secs(30)).await;
        assert_eq!(open_status(&world, "/open/").await, 200);
        assert_eq!(open_status(&world, "/nowhere/").await, 503, "the route may have been added");
    });
}

#[test]
fn readable_configuration_ends_the_effects_of_an_unreadable_one() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.store.put("catalog", "no configuration");
        sleep(Duration::from_secs(20)).await;
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(PROPAGATION).await;
        assert_eq!(status(&world, "k1").await, 200);
        assert_eq!(status(&world, "k2").await, 401);
        assert!(world.entry.is_ready());
        assert_eq!(
            total(std::slice::from_ref(&world.entry), "pondwalk_configuration_unreadable "),
            0
        );
    });
}

/// Routes and keys that an unreadable configuration may have added got 404 and 401 until the state
/// was old.
#[test]
fn refusals_are_not_final_beside_an_unreadable_configuration() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.store.put("catalog", "no configuration");
        sleep(Duration::from_millis(500)).await;
        assert_eq!(open_status(&world, "/nowhere/").await, 503);
        assert_eq!(status(&world, "unknown").await, 503);
        assert_eq!(status(&world, "k1").await, 200);
    });
}

#[test]
fn keys_stay_refused_while_unreadable_configurations_follow_one_another() {
    run_test(|world| async move {
        start_one_server(&world).await;
        for round in 0..20 {
            world.store.put("catalog", &format!("no configuration {round}"));
            sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(status(&world, "k1").await, 503);
        // A store that forgets its history is read anew.
        world.store.drop_history();
        sleep(Duration::from_secs(3)).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

/// An entry without an older configuration told callers to come back within milliseconds.
#[test]
fn entry_that_starts_beside_an_unreadable_configuration_refuses_at_once() {
    run_test(|world| async move {
        world.store.put("catalog", "no configuration");
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        world.start().await;
        let before = tokio::time::Instant::now();
        let refused = call(&world, "/once/", "k1").await;
        assert!(before.elapsed() < Duration::from_millis(50), "{:?}", before.elapsed());
        assert_eq!(refused.status.as_u16(), 503);
        assert!(refused.body.contains("configuration_unreadable"), "{}", refused.body);
        let retry_after: f64 = refused.headers["retry-after"]
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .expect("seconds");
        assert!(retry_after >= 1.0, "{retry_after}");
        world.configure(catalog(2));
        sleep(PROPAGATION).await;
        assert_eq!(status(&world, "k1").await, 200);
    });
}

#[test]
fn operator_sees_what_is_not_in_force_and_since_when() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.store.put("catalog", "no configuration");
        sleep(Duration::from_secs(10)).await;
        let lines = log(&world);
        let line = lines.lines().find(|line| line.contains("\"configuration_unreadable\""));
        let line = line.unwrap_or_else(|| panic!("no line in {lines}"));
        assert!(line.contains("\"in_force\":1") && line.contains("not a number"), "{line}");
        let metrics = world.entry.metrics_text();
        assert!(metrics.contains("pondwalk_configuration_unreadable 1\n"), "{metrics}");
        assert!(metrics.contains("pondwalk_configuration_version 1\n"), "{metrics}");
        let value = |name: &str| total(std::slice::from_ref(&world.entry), name);
        let revisions =
            ["pondwalk_configuration_revision ", "pondwalk_configuration_revision_written "];
        assert!(value(revisions[0]) < value(revisions[1]), "{metrics}");
        assert!(value("pondwalk_configuration_confirmed_age_ms ") >= 9_000, "{metrics}");
        assert!(value("pondwalk_configuration_unreadable_age_ms ") >= 9_000, "{metrics}");
    });
}

/// Catalog of which some values could not be read.
fn defective(mut catalog: Catalog, lacks: impl FnOnce(&mut Defects)) -> Catalog {
    lacks(&mut catalog.defects);
    catalog
}

/// Catalog with routes of the service `s` and, for `/none/`, of no service.
fn catalog_of(version: u64, workspaces: Vec<Workspace>) -> Catalog {
    let like = catalog(version);
    let route = |path: &str| Route::clone(like.route("h.example", path).expect(path));
    let without_service =
        Route { path_prefix: "/none/".to_owned(), shares: Vec::new(), ..route("/once/") };
    let routes = vec![route("/once/"), route("/again/"), route("/open/"), without_service];
    let services = like.services().map(|service| Service::clone(service)).collect();
    Catalog::new(version, Limits::default(), routes, services, workspaces)
}

#[test]
fn refusals_are_not_final_where_something_could_not_be_read() {
    run_test(|world| async move {
        start_one_server(&world).await;
        assert_eq!(open_status(&world, "/nowhere/").await, 404);
        world.configure(defective(catalog(2), |defects| defects.lacks_routes = true));
        sleep(PROPAGATION).await;
        assert_eq!(open_status(&world, "/nowhere/").await, 503);
        assert_eq!(status(&world, "k1").await, 200);
        assert_eq!(status(&world, "unknown").await, 401);
        world.configure(defective(catalog(3), |defects| defects.lacks_access = true));
        sleep(PROPAGATION).await;
        assert_eq!(open_status(&world, "/nowhere/").await, 404);
        assert_eq!(status(&world, "k1").await, 200);
        assert_eq!(status(&world, "unknown").await, 503);
        assert_eq!(open_status(&world, "/open/").await, 200);
    });
}

#[test]
fn workspaces_that_could_not_be_read_open_no_route() {
    run_test(|world| async move {
        start_one_server(&world).await;
        let without = catalog_of(2, Vec::new());
        world.configure(defective(without, |defects| defects.lacks_access = true));
        sleep(PROPAGATION).await;
        assert_eq!(status(&world, "k1").await, 503);
        assert_eq!(open_status(&world, "/once/").await, 503);
        assert_eq!(open_status(&world, "/open/").await, 200);
    });
}

#[test]
fn withheld_keys_are_refused_for_now_and_not_shown() {
    run_test(|world| async move {
        start_one_server(&world).await;
        let mut withholding = catalog_with_keys(2, &["k1"]);
        withholding.withhold_keys(["k2".to_owned()]);
        world.configure(withholding);
        sleep(PROPAGATION).await;
        assert_eq!(status(&world, "k1").await, 200);
        assert_eq!(status(&world, "k2").await, 503);
        assert_eq!(status(&world, "k3").await, 401);
        // A request with a key runs in its workspace's name on any route, or not at all.
        assert_eq!(call(&world, "/open/", "k2").await.status.as_u16(), 503);
        // In another scheme too, on a route that needs none.
        let sent = with(request("/open/", "shown"), "authorization", "Basic k2");
        assert_eq!(world.call(sent).await.status.as_u16(), 200);
        let received = world.backends.requests(address(1));
        let shown = received.last().expect("a request");
        assert!(!shown.headers.contains_key("authorization"));
    });
}

#[test]
fn route_without_a_service_refuses_at_once_and_for_now() {
    run_test(|world| async move {
        start_one_server(&world).await;
        let keys = vec!["k1".to_owned()];
        let allowed_regions = Vec::new();
        let workspace = Workspace { name: "w1".into(), keys, priority: None, allowed_regions };
        world.configure(catalog_of(2, vec![workspace]));
        sleep(PROPAGATION).await;
        let refused = call(&world, "/none/", "k1").await;
        assert_eq!(refused.status.as_u16(), 503);
        assert!(refused.body.contains("configuration_unreadable"), "{}", refused.body);
        assert_eq!(call(&world, "/again/", "k1").await.status.as_u16(), 200);
    });
}

/// A configuration without a version is ordered by the store's revisions.
#[test]
fn configuration_without_a_version_takes_the_place_of_the_older_one() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.configure(catalog_with_keys(7, &["k1", "k2"]));
        sleep(PROPAGATION).await;
        let without = catalog_with_keys(0, &["k1"]);
        world.configure(defective(without, |defects| defects.lacks_version = true));
        sleep(PROPAGATION).await;
        assert_eq!((status(&world, "k1").await, status(&world, "k2").await), (200, 401));
        sleep(Duration::from_secs(20)).await;
        assert_eq!(status(&world, "k1").await, 200);
        world.configure(catalog_with_keys(8, &["k3"]));
        sleep(PROPAGATION).await;
        assert_eq!((status(&world, "k1").await, status(&world, "k3").await), (401, 200));
    });
}

/// A later document with a lower version neither comes into force nor confirms the one that is.
#[test]
fn later_configuration_with_a_lower_version_does_not_confirm_keys() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.configure(catalog_with_keys(u64::MAX, &["k1", "k2"]));
        sleep(PROPAGATION).await;
        assert_eq!(status(&world, "k2").await, 200);
        world.configure(catalog_with_keys(9, &["k1"]));
        sleep(KEY_BOUND).await;
        assert_eq!(status(&world, "k2").await, 503);
        assert!(log(&world).contains("older_configuration_ignored"));
    });
}

/// A store restored from a copy brings the older configuration again until the operator writes.
#[test]
fn older_configuration_of_a_restored_store_leaves_the_newer_one_confirmed() {
    run_test(|world| async move {
        start_one_server(&world).await;
        let copy = world.store.snapshot();
        world.configure(catalog_with_keys(2, &["k1"]));
        sleep(PROPAGATION).await;
        world.store.restore(copy);
        sleep(Duration::from_secs(20)).await;
        assert_eq!(status(&world, "k1").await, 200);
        assert_ne!(status(&world, "k2").await, 200);
    });
}

#[test]
fn unreadable_configuration_and_an_outage_add_up() {
    run_test(|world| async move {
        start_one_server(&world).await;
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(2)).await;
        world.store.put("catalog", "no configuration");
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(status(&world, "k1").await, 503);
        sleep(Duration::from_secs(20)).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

/// Entries pass configurations on as they were written, so each reads them for itself.
#[test]
fn entries_that_hear_of_an_unreadable_configuration_from_others_confirm_no_keys() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        let mut entries: Vec<_> = (0..5).map(|n| net.start_later(&world, n)).collect();
        sleep(Duration::from_secs(10)).await;
        world.store.put("catalog", "no configuration");
        sleep(KEY_BOUND).await;
        // The first state of this one comes from the others.
        entries.push(net.start_later(&world, 5));
        sleep(Duration::from_secs(10)).await;
        let statuses = async || {
            let mut statuses = Vec::new();
            for entry in &entries {
                let answer = world.call_at(entry, request("/once/", "r")).await;
                statuses.push(answer.status.as_u16());
            }
            statuses
        };
        assert_eq!(statuses().await, [503; 6]);
        world.configure(catalog(2));
        sleep(PROPAGATION).await;
        assert_eq!(statuses().await, [200; 6]);
    });
}
