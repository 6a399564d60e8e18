//! Answers that end within their head: no caller may take them for answers.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use common::{address, catalog, events, request, run_test, run_test_on_sockets, settings, stream};
use hyper::{Method, StatusCode};
use pondwalk_direct::upstream::tcp_connector;
use pondwalk_standin::backends::Behaviour;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_local,
    time::sleep,
};

const MARKS: &str = "x-request-id: {id}\r\npondwalk-signature: proof\r\n";

/// Heads of all framings, statuses and preludes.
fn heads() -> Vec<String> {
    let mut heads = Vec::new();
    for prelude in ["", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n"] {
        for line in [
            "200 OK\r\ncontent-length: 4",
            "200 OK\r\ntransfer-encoding: chunked",
            "200 OK\r\nx: y",
        ] {
            heads.push(format!("{prelude}HTTP/1.1 {line}\r\n{MARKS}\r\n"));
        }
    }
    for line in ["204 No Content", "304 Not Modified", "200 OK\r\ncontent-length: 0"] {
        heads.push(format!("HTTP/1.1 {line}\r\n{MARKS}\r\n"));
    }
    // The length comes last, so that a cut may shorten it.
    heads.push(format!("HTTP/1.1 200 OK\r\n{MARKS}content-length: 400\r\n\r\n"));
    heads
}

/// The first `bytes` of a head whose id takes as many bytes as its mark.
fn cut(head: &str, bytes: usize, pause: Duration) -> Behaviour {
    Behaviour::Raw(head[..bytes].to_owned(), pause)
}

/// Guards against a cut head that becomes a complete answer, with a short body or none.
#[test]
fn answer_cut_within_its_head_is_no_answer() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Echo);
        world.start().await;
        for (number, head) in heads().iter().enumerate() {
            for bytes in 0..head.len() {
                let pause = Duration::from_millis(u64::from(bytes % 2 == 0) * 20);
                world.backends.set_behaviour(address(1), cut(head, bytes, pause));
                let path = ["/once/", "/again/", "/stream/", "/fixed/"][bytes % 4];
                // Requests alike under which a server seems to crash would be quarantined.
                let mut sent = request(&format!("{path}{number}/{bytes}"), "{id}");
                if bytes % 3 == 0 {
                    *sent.method_mut() = Method::HEAD;
                }
                let response = world.call(sent).await;
                let status = response.status;
                assert!(status.is_server_error(), "{path} {status} {:?}", &head[..bytes]);
                sleep(Duration::from_secs(2)).await;
            }
        }
    });
}

/// Guards against a repeated or resumed send whose cut head completes the answer.
#[test]
fn repeated_and_resumed_answers_cut_within_their_head_are_no_answers() {
    for path in ["/again/", "/stream/"] {
        run_test(|world| async move {
            let whole = || match path {
                "/again/" => Behaviour::Answer(200, "made".into()),
                _ => stream(9, None),
            };
            world.configure(catalog(1));
            for n in 1..=2 {
                world.start_server(n, "s", "v1", whole());
            }
            world.start().await;
            for (number, head) in heads().iter().enumerate() {
                for bytes in (0..head.len()).step_by(11) {
                    let gap = Duration::from_millis(10);
                    let broken =
                        Behaviour::Stream { last: 9, gap, confidence: None, cut_in: Some(4) };
                    let first = if path == "/again/" { whole() } else { broken };
                    let cut = cut(head, bytes, Duration::ZERO);
                    let scripts = [[first, cut.clone()], [cut, whole()]];
                    for (n, script) in (1..).zip(scripts) {
                        world.backends.set_behaviour(address(n), whole());
                        world.backends.script(address(n), script);
                    }
                    let response =
                        world.call(request(&format!("{path}{number}/{bytes}"), "{id}")).await;
                    if response.status == StatusCode::OK && response.is_complete {
                        let expected =
                            if path == "/again/" { "made".into() } else { events(1..=9) };
                        assert_eq!(response.body, expected, "{path} {:?}", &head[..bytes]);
                    }
                    sleep(Duration::from_secs(2)).await;
                }
            }
        });
    }
}

/// Guards against an informational response that is passed on as the answer: the caller waits for
/// another one.
#[test]
fn switch_of_protocols_is_no_answer() {
    run_test(|world| async move {
        world.configure(catalog(1));
        let head =
            format!("HTTP/1.1 101 Switching\r\n{MARKS}connection: upgrade\r\nupgrade: x\r\n\r\n");
        world.start_server(1, "s", "v1", Behaviour::Raw(head, Duration::from_secs(1)));
        world.start().await;
        for path in ["/once/", "/again/", "/stream/"] {
            assert_eq!(world.call(request(path, path)).await.status, StatusCode::BAD_GATEWAY);
        }
    });
}

/// Writes the text of the moment to each request, and resets the connection.
async fn reset_each(listener: TcpListener, text: Rc<RefCell<String>>, resets: Rc<Cell<u32>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        resets.set(resets.get() + 1);
        let mut head = [0; 4_096];
        // The entry may close first.
        let _ = stream.read(&mut head).await;
        let bytes = text.borrow().clone().into_bytes();
        let _ = stream.write_all(&bytes).await;
        sleep(Duration::from_millis(1)).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    }
}

/// Guards against an answer that is reset on the way and looks complete.
#[test]
fn answer_reset_anywhere_before_its_end_does_not_look_complete() {
    run_test_on_sockets(|world| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let text = Rc::new(RefCell::new(String::new()));
        let resets = Rc::new(Cell::new(0));
        spawn_local(reset_each(listener, Rc::clone(&text), Rc::clone(&resets)));
        world.configure(catalog(1));
        world.store.put("server/s1", &format!("s {address} dc1 v1 ready"));
        let entry = world.entry_with(settings("e2", None), tcp_connector());
        entry.start();
        sleep(Duration::from_millis(200)).await;
        let bodies = ["", "data: a\n\ndata: b\n\n"];
        for line in ["content-length: 18", "transfer-encoding: chunked", "x: y"] {
            for body in bodies {
                let chunk = if line.starts_with('t') { "12\r\n" } else { "" };
                let whole = format!("HTTP/1.1 200 OK\r\n{line}\r\n{MARKS}\r\n{chunk}{body}");
                for bytes in (whole.len() - body.len()..=whole.len()).step_by(3) {
                    // All that a framed body has would be whole without the reset.
                    if line.starts_with('c') && bytes == whole.len() && !body.is_empty() {
                        continue;
                    }
                    *text.borrow_mut() = whole[..bytes].to_owned();
                    let path = ["/once/", "/fixed/"][bytes % 2];
                    let before = resets.get();
                    let sent = request(&format!("{path}{line}/{bytes}").replace(' ', ""), "{id}");
                    let response = world.call_at(&entry, sent).await;
                    assert!(resets.get() > before, "{} {}", response.status, response.body);
                    let is_whole = response.status == StatusCode::OK && response.is_complete;
                    assert!(!is_whole, "{path} {:?}", &whole[..bytes]);
                }
            }
        }
    });
}
