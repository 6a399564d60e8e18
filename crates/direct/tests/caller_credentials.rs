//! Keys in requests: what a backend server is shown of them, and in whose name requests run.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{
    World, address, catalog, catalog_in_regions, catalog_with_keys, request, run_test,
    run_test_with, with,
};
use hyper::header::HeaderValue;
use pondwalk_direct::catalog::{Catalog, Limits, Route, RouteKind, Service, Share};
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    task::spawn_local,
    time::sleep,
};

fn answer() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

async fn start_one_server(world: &World, catalog: Catalog) {
    world.configure(catalog);
    world.start_server(1, "s", "v1", answer());
    world.start().await;
}

/// Sends a request with these `authorization` lines, and returns the headers that the server saw.
async fn headers_seen(world: &World, path: &str, lines: &[&[u8]]) -> HashMap<String, String> {
    let id = format!("r{}", world.backends.runs());
    let mut sent = request(path, &id);
    sent.headers_mut().remove("authorization");
    for line in lines {
        let value = HeaderValue::from_bytes(line).expect("a value");
        sent.headers_mut().append("authorization", value);
    }
    assert_eq!(world.call(sent).await.status, 200, "{lines:?}");
    let seen = world.backends.requests(address(1)).pop().expect("a request");
    assert_eq!(seen.headers["x-request-id"], id);
    seen.headers
}

/// A configuration with one anonymous route.
fn open_route(version: u64, kind: RouteKind) -> Route {
    Route {
        name: format!("open-{version}"),
        host: "h.example".to_owned(),
        path_prefix: "/open/".to_owned(),
        kind,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(2),
        max_event_gap: Some(Duration::from_secs(1)),
        priority: 0,
        models: Vec::new(),
        shares: vec![Share { service: "s".into(), weight: 1.0 }],
        max_attempts: 3,
        anonymous: true,
        allowed_regions: Vec::new(),
    }
}

fn service() -> Service {
    Service { name: "s".into(), max_connections: 100, engine: None, warm_up: None }
}

/// Spellings of credentials in the scheme of keys, and of keys in force.
const SPELLINGS: [&[&[u8]]; 14] = [
    &[b"Bearer k1"],
    &[b"bearer k1"],
    &[b"BEARER   k1"],
    &[b"Bearer\tk1"],
    &[b"  Bearer k1 "],
    &[b"Bearer unknown-k1"],
    &[b"Bearer k1\xff"],
    &[b"Bearer k1", b"Bearer k2"],
    &[b"Bearer k1", b"Basic abc"],
    &[b"Basic abc", b"Bearer k1"],
    &[b"Basic abc, Bearer k1"],
    &[b"Basic abc,bearer k1"],
    &[b"Token k1"],
    &[b"k1"],
];

/// Guards against a key that reaches a server through a route that does not ask for one.
#[test]
fn key_is_not_shown_to_a_server_on_an_anonymous_route() {
    run_test(|world| async move {
        start_one_server(&world, catalog(1)).await;
        for lines in SPELLINGS {
            let seen = headers_seen(&world, "/open/", lines).await;
            assert_eq!(seen.get("authorization"), None, "{lines:?}");
        }
    });
}

/// Guards against a key that reaches a server where a configuration has no workspaces.
#[test]
fn key_is_not_shown_to_a_server_without_workspaces() {
    run_test(|world| async move {
        let route = open_route(1, RouteKind::Once);
        let route = Route { anonymous: false, ..route };
        let limits = Limits::default();
        let catalog = Catalog::new(1, limits, vec![route], vec![service()], Vec::new());
        start_one_server(&world, catalog).await;
        // Keys in force are unknown here, so that only the scheme marks a key.
        for lines in &SPELLINGS[..12] {
            let seen = headers_seen(&world, "/open/", lines).await;
            assert_eq!(seen.get("authorization"), None, "{lines:?}");
            assert_eq!(seen.get("pondwalk-workspace"), None);
        }
    });
}

/// Guards against a key that reaches a server after its route was removed.
#[test]
fn key_is_not_shown_after_its_route_was_removed() {
    run_test(|world| async move {
        let open = open_route(1, RouteKind::Repeatable);
        let keyed = Route {
            name: "keyed".to_owned(),
            path_prefix: "/open/account/".to_owned(),
            anonymous: false,
            ..open.clone()
        };
        let workspace = pondwalk_direct::catalog::Workspace {
            name: "w1".into(),
            keys: vec!["k1".to_owned()],
            priority: None,
            allowed_regions: Vec::new(),
        };
        let catalog_of = |version, routes| {
            let workspaces = vec![workspace.clone()];
            Catalog::new(version, Limits::default(), routes, vec![service()], workspaces)
        };
        start_one_server(&world, catalog_of(1, vec![open.clone(), keyed])).await;
        for version in [2, 3] {
            let seen = headers_seen(&world, "/open/account/", &[b"Bearer k1"]).await;
            assert_eq!(seen.get("authorization"), None);
            assert_eq!(seen["pondwalk-workspace"], "w1");
            world.configure(catalog_of(version, vec![open.clone()]));
            sleep(Duration::from_secs(1)).await;
        }
    });
}

/// Guards against a request with a key in force that runs in no workspace's name.
#[test]
fn request_with_a_key_on_an_anonymous_route_runs_in_its_workspace() {
    run_test(|world| async move {
        start_one_server(&world, catalog(1)).await;
        let seen = headers_seen(&world, "/open/", &[b"Bearer k1"]).await;
        assert_eq!(seen["pondwalk-workspace"], "w1");
        for lines in [&[b"Bearer unknown".as_slice()][..], &[b"Basic k1"], &[]] {
            let mut sent = request("/open/", "forged");
            sent.headers_mut().remove("authorization");
            for line in lines {
                let value = HeaderValue::from_bytes(line).expect("a value");
                sent.headers_mut().append("authorization", value);
            }
            let sent = with(sent, "pondwalk-workspace", "w1");
            assert_eq!(world.call(sent).await.status, 200);
            let seen = world.backends.requests(address(1)).pop().expect("a request");
            assert_eq!(seen.headers.get("pondwalk-workspace"), None, "{lines:?}");
        }
    });
}

#[test]
fn other_credentials_pass_on_an_anonymous_route() {
    run_test(|world| async move {
        start_one_server(&world, catalog(1)).await;
        for text in ["Basic abc", "Bearerlike k9", "Digest username=\"a\", realm=\"b\""] {
            let seen = headers_seen(&world, "/open/", &[text.as_bytes()]).await;
            assert_eq!(seen["authorization"], text);
        }
    });
}

#[test]
fn key_beside_other_credentials_is_accepted() {
    run_test(|world| async move {
        start_one_server(&world, catalog(1)).await;
        for lines in [&[b"Basic abc".as_slice(), b"Bearer k1"][..], &[b"Bearer\tk1"]] {
            let seen = headers_seen(&world, "/once/", lines).await;
            assert_eq!(seen.get("authorization"), None);
            assert_eq!(seen["pondwalk-workspace"], "w1");
        }
    });
}

/// Guards against an anonymous route that refuses callers for the keys that they present.
#[test]
fn anonymous_route_does_not_refuse_stale_or_removed_keys() {
    run_test(|world| async move {
        start_one_server(&world, catalog(1)).await;
        world.configure(catalog_with_keys(2, &["k2"]));
        sleep(Duration::from_secs(1)).await;
        let seen = headers_seen(&world, "/open/", &[b"Bearer k1"]).await;
        assert_eq!(seen.get("authorization").or(seen.get("pondwalk-workspace")), None);
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(30)).await;
        let seen = headers_seen(&world, "/open/", &[b"Bearer k2"]).await;
        assert_eq!(seen.get("authorization").or(seen.get("pondwalk-workspace")), None);
    });
}

/// Guards against a repeated send that names the workspace of a key removed meanwhile.
#[test]
fn workspace_of_a_key_removed_during_a_request_is_not_named_again() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Silent);
        world.start_server(2, "s", "v1", Behaviour::Silent);
        world.start().await;
        let waiting = world.send(request("/open/", "r"));
        let revoking = async {
            sleep(Duration::from_millis(100)).await;
            let first = world.backends.requests(address(1));
            let first = first.into_iter().chain(world.backends.requests(address(2)));
            let names = first.map(|seen| seen.headers.get("pondwalk-workspace").cloned());
            assert_eq!(names.collect::<Vec<_>>(), [Some("w1".to_owned())]);
            for n in 1..=2 {
                world.backends.set_behaviour(address(n), answer());
            }
            world.configure(catalog_with_keys(2, &["k2"]));
        };
        let (response, ()) = tokio::join!(waiting, revoking);
        assert_eq!(response.status(), 200);
        let named = (1..=2).flat_map(|n| world.backends.requests(address(n)));
        let named = named.filter(|seen| seen.headers.contains_key("pondwalk-workspace"));
        assert_eq!(named.count(), 1);
    });
}

/// Sends requests of a kind to two servers, of which one fails the first time. Returns how many
/// sends reached them, and how many of these showed credentials.
async fn count_sends(world: &World, kind: RouteKind, fails: Behaviour) -> (usize, usize) {
    let (route, limits) = (open_route(1, kind), Limits::default());
    world.configure(Catalog::new(1, limits, vec![route], vec![service()], Vec::new()));
    let gap = Duration::from_millis(10);
    for n in 1..=2 {
        let whole = Behaviour::Stream { last: 9, gap, confidence: None, cut_in: None };
        world.start_server(n, "s", "v1", whole);
    }
    world.backends.script(address(1), [fails]);
    world.start().await;
    for n in 0..8 {
        assert!(world.call(request("/open/", &format!("r{n}"))).await.is_complete);
    }
    let seen: Vec<_> = (1..=2).flat_map(|n| world.backends.requests(address(n))).collect();
    let showing = seen.iter().filter(|one| one.headers.contains_key("authorization"));
    (seen.len(), showing.count())
}

/// Guards against a resumed stream or a repeated send that shows the key.
#[test]
fn key_is_not_shown_by_resumed_and_repeated_sends() {
    let gap = Duration::from_millis(10);
    let broken = Behaviour::Stream { last: 9, gap, confidence: None, cut_in: Some(4) };
    let stream = RouteKind::Stream { resumable: true };
    for (kind, fails) in [(stream, broken), (RouteKind::Repeatable, Behaviour::DropResponse)] {
        run_test(|world| async move {
            assert_eq!(count_sends(&world, kind, fails).await, (9, 0));
        });
    }
}

#[test]
fn request_with_a_key_on_an_anonymous_route_stays_in_its_workspaces_regions() {
    run_test_with("regions=dc1:east,dc2:west\n", |world| async move {
        world.configure(catalog_in_regions(1, &[], &["west"]));
        world.start_server(1, "s", "v1", answer());
        world.backends.start(address(2), "s2", answer());
        world.list_server_in("dc2", 2, "s", "v1", "ready");
        world.start().await;
        for n in 0..20 {
            assert_eq!(world.call(request("/open/", &format!("r{n}"))).await.status, 200);
        }
        assert_eq!(world.backends.requests(address(1)).len(), 0);
    });
}

/// Guards against a key in the trailers of a body, and in a header for proxies.
#[test]
fn key_is_not_shown_from_trailers_and_proxy_headers() {
    run_test(|world| async move {
        start_one_server(&world, catalog(1)).await;
        let (mut caller, server_end) = duplex(64 * 1024);
        let entry = world.entry.clone();
        spawn_local(async move { entry.serve(server_end).await });
        let text = "POST /open/ HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\
            proxy-authorization: Bearer k1\r\nconnection: close\r\n\
            trailer: authorization\r\ntransfer-encoding: chunked\r\n\r\n\
            4\r\nbody\r\n0\r\nauthorization: Bearer k1\r\n\r\n";
        caller.write_all(text.as_bytes()).await.expect("sent");
        let mut response = String::new();
        caller.read_to_string(&mut response).await.expect("a response");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let seen = &world.backends.requests(address(1))[0];
        assert!(!seen.headers.values().any(|value| value.contains("k1")), "{:?}", seen.headers);
        assert_eq!(seen.body, b"body");
    });
}

/// Guards against a key that is shown while its route, or the need for keys, comes and goes.
#[test]
fn key_is_not_shown_while_routes_turn_anonymous_and_workspaces_come_and_go() {
    run_test(|world| async move {
        let workspace = pondwalk_direct::catalog::Workspace {
            name: "w1".into(),
            keys: vec!["k1".to_owned()],
            priority: None,
            allowed_regions: Vec::new(),
        };
        let phases = [(false, true), (true, true), (true, false), (false, false), (false, true)];
        for (version, (anonymous, has_workspaces)) in (1..).zip(phases) {
            let route = Route { anonymous, ..open_route(version, RouteKind::Repeatable) };
            let workspaces = if has_workspaces { vec![workspace.clone()] } else { Vec::new() };
            let limits = Limits::default();
            let catalog = Catalog::new(version, limits, vec![route], vec![service()], workspaces);
            if version == 1 {
                start_one_server(&world, catalog).await;
            } else {
                world.configure(catalog);
                sleep(Duration::from_secs(1)).await;
            }
            let seen = headers_seen(&world, "/open/", &[b"Bearer k1"]).await;
            assert_eq!(seen.get("authorization"), None, "version {version}");
            let named = seen.get("pondwalk-workspace").map(String::as_str);
            assert_eq!(named, has_workspaces.then_some("w1"), "version {version}");
        }
    });
}
