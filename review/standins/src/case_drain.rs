//! LOST: a planned stop while clients read their answers slowly.

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    http::read_head,
    lab::{
        Entries, Record, SIGTERM, Scratch, Worker, answer_head, configuration, connect_client,
        send, signal,
    },
    store::Store,
};

const CLIENTS: usize = 8;
/// Size of an answer.
const ANSWER_BYTES: usize = 700_000;
/// Bytes that a client reads per second.
const READ_BYTES_PER_S: usize = 100_000;
/// Receive buffer of a client.
const RECEIVE_BUFFER: i32 = 4 * 1024;
/// Time limit of a request; also the route's timeout.
const TIME_LIMIT_MS: u64 = 20_000;
/// Time from the first requests to the SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(300);
const GRACE: Duration = Duration::from_secs(8);

/// What a client received.
struct Received {
    id: String,
    status: u16,
    bytes: usize,
    ended_ms: u64,
    sent_ms: u64,
    is_whole: bool,
    /// Whether the channel ended in the middle of the answer.
    is_cut: bool,
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let record = Record::new();
    let scratch = Scratch::new();
    let (store, store_address) = Store::start();
    let route = format!(
        "{{\"name\":\"r-doc\",\"hostname\":\"app.example\",\"path_prefix\":\"/doc/\",\
         \"type\":\"idempotent\",\"timeout_ms\":{TIME_LIMIT_MS},\"target_latency_ms\":8000,\
         \"priority\":0,\"backend\":\"app\",\"max_attempts\":2,\"anonymous\":false}}"
    );
    store.put("op/config", &configuration(1, &[route], &["app"], ""));
    let whole: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let sent_whole = Arc::clone(&whole);
    let handler =
        move |worker: &Worker, request: &crate::http::Message, mut stream: std::net::TcpStream| {
            let id = request.header("x-pondwalk-attempt-id").unwrap_or_default().to_owned();
            worker.record.add(&worker.id, format!("{id} begins to run"));
            let head = answer_head(request, 200, &format!("Content-Length: {ANSWER_BYTES}\r\n"));
            let mut bytes = head.into_bytes();
            bytes.extend(body());
            let sent = stream.write_all(&bytes);
            if sent.is_ok() {
                sent_whole.lock().expect("not poisoned").insert(id.clone());
            }
            worker.record.add(
                &worker.id,
                match sent {
                    Ok(()) => format!("{id} has run, whole answer of {ANSWER_BYTES} bytes sent"),
                    Err(error) => format!("{id} answer broken off: {error}"),
                },
            );
        };
    let handler = Arc::new(handler);
    let workers =
        ["i-a", "i-b"].map(|id| Worker::start(id, "app", &store, &record, handler.clone()));
    let site = [
        ("guarantees.propagation_ms", "3000".to_owned()),
        ("guarantees.retry_min_extra", "94".to_owned()),
        ("guarantees.session_ttl_s", "8.5".to_owned()),
    ];
    let mut entries = Entries::start_with(2, store_address, &site, &scratch, &record);
    let entry = entries.addresses[0].callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || read_slowly(&record, entry, number))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let (stopped, stopped_ms) = (Instant::now(), record.now_ms());
    let mut ended_after = None;
    if has_trouble {
        record.add("platform", format!("SIGTERM to {}", entries.addresses[0].name));
        signal(&entries.children[0], SIGTERM);
    }
    while clients.iter().any(|client| !client.is_finished()) {
        thread::sleep(Duration::from_millis(20));
        if !has_trouble || ended_after.is_some() {
            continue;
        }
        if matches!(entries.children[0].try_wait(), Ok(Some(_))) {
            ended_after = Some(stopped.elapsed());
            let ms = stopped.elapsed().as_millis();
            record.add(
                &entries.addresses[0].name,
                format!("has ended by itself, {ms} ms after SIGTERM"),
            );
        } else if stopped.elapsed() >= GRACE {
            record.add("platform", "SIGKILL at the end of the grace period");
            let _ = entries.children[0].kill();
            ended_after = Some(stopped.elapsed());
        }
    }
    let received: Vec<Received> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    drop(workers);
    let whole = whole.lock().expect("not poisoned").clone();
    // Every request must have been run whole, and its answer begun, before the stop could matter.
    if received.len() < CLIENTS || received.iter().any(|one| one.status != 200) {
        drop(entries);
        record.write(folder);
        crate::lab::cannot_run("an answer did not begin");
    }
    let counted_until_ms = stopped_ms + GRACE.as_millis() as u64 + 1_000;
    let cut: Vec<&Received> = received
        .iter()
        .filter(|one| {
            one.is_cut
                && whole.contains(&one.id)
                && one.ended_ms < one.sent_ms + TIME_LIMIT_MS
                && (!has_trouble || one.ended_ms <= counted_until_ms)
        })
        .collect();
    if !has_trouble && received.iter().any(|one| !one.is_whole) {
        drop(entries);
        record.write(folder);
        crate::lab::cannot_run("an answer was not whole without the stop");
    }
    for one in &cut {
        record.add(
            "check",
            format!(
                "LOST: {} was read, run and answered with {}; its channel ended after {} of \
                 {ANSWER_BYTES} bytes, {} ms after it was sent",
                one.id,
                one.status,
                one.bytes,
                one.ended_ms - one.sent_ms
            ),
        );
    }
    let is_broken = !cut.is_empty();
    let summary = format!("{} of {} answers cut off", cut.len(), received.len());
    record.add("check", &summary);
    println!("{summary}");
    drop(entries);
    record.write(folder);
    Entries::keep_logs(&scratch, folder);
    Outcome { is_broken }
}

fn body() -> Vec<u8> {
    (0..ANSWER_BYTES).map(|position| (position % 251) as u8).collect()
}

/// Sends a request and reads its answer at a constant rate.
fn read_slowly(record: &Record, entry: std::net::SocketAddr, number: usize) -> Received {
    let id = format!("c{number:02}f00d");
    let who = format!("client-{number}");
    let mut received = Received {
        id: id.clone(),
        status: 0,
        bytes: 0,
        ended_ms: 0,
        sent_ms: 0,
        is_whole: false,
        is_cut: false,
    };
    let result = (|| -> std::io::Result<()> {
        let stream = connect_client(entry, RECEIVE_BUFFER)?;
        let headers = format!("X-Pondwalk-Deadline-Ms: {TIME_LIMIT_MS}\r\n");
        received.sent_ms = record.now_ms();
        let mut reader = send(&stream, "GET", &format!("/doc/{number}"), &id, &headers, b"")?;
        record.add(&who, format!("sends {id}"));
        let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        received.status = head.status();
        record
            .add(&who, format!("{id} gets {} with {} bytes to come", head.status(), head.length()));
        let started = Instant::now();
        let mut buffer = [0; 4096];
        while received.bytes < head.length() {
            let due = started.elapsed().as_secs_f64() * READ_BYTES_PER_S as f64;
            if received.bytes as f64 > due {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let read = reader.read(&mut buffer).inspect_err(|_| received.is_cut = true)?;
            if read == 0 {
                received.is_cut = true;
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let expected = |offset: usize| ((received.bytes + offset) % 251) as u8;
            if (0..read).any(|offset| buffer[offset] != expected(offset)) {
                return Err(std::io::Error::other("wrong bytes"));
            }
            received.bytes += read;
        }
        received.is_whole = head.status() == 200 && received.bytes == ANSWER_BYTES;
        Ok(())
    })();
    received.ended_ms = record.now_ms();
    record.add(
        &who,
        match result {
            Ok(()) => format!("{id} has the whole answer, {} bytes", received.bytes),
            Err(error) => format!("{id} channel ends after {} bytes: {error}", received.bytes),
        },
    );
    received
}
