//! An entry that starts receives the full state from exactly one peer.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::{
    catalog,
    net::{Impostor, Net, full_state, peer_address},
    run_test,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream},
    task::spawn_local,
    time::sleep,
};

/// Sends a state in two parts, with a pause between them, and counts the requests for one.
fn sending_in_parts(requests: &Rc<Cell<usize>>) -> Impostor {
    let requests = Rc::clone(requests);
    Rc::new(move |mut stream: DuplexStream| {
        let requests = Rc::clone(&requests);
        spawn_local(async move {
            let mut question = [0; 4_096];
            while stream.read(&mut question).await.is_ok_and(|bytes| bytes > 0) {
                requests.set(requests.get() + 1);
                let state = full_state(&[("catalog", "1")], 100);
                let body = state.to_bytes().expect("it serializes");
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(head.as_bytes()).await;
                let (first, second) = body.split_at(body.len() / 2);
                let _ = stream.write_all(first).await;
                sleep(Duration::from_millis(300)).await;
                let _ = stream.write_all(second).await;
            }
        });
    })
}

#[test]
fn only_one_peer_is_asked_for_the_initial_state() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        let requests = Rc::default();
        for n in 0..3 {
            net.impostors.borrow_mut().insert(peer_address(n), sending_in_parts(&requests));
        }
        let seeds: Vec<String> = (0..3).map(|n| peer_address(n).to_string()).collect();
        let further = format!("[membership]\nseeds={}\n", seeds.join(","));
        let entry = net.start_with(&world, 9, &further);
        sleep(Duration::from_millis(290)).await;
        assert_eq!(requests.get(), 1);
        sleep(Duration::from_millis(60)).await;
        assert!(
            entry.buffered_log_lines().contains("first_state"),
            "{}",
            entry.buffered_log_lines()
        );
    });
}
