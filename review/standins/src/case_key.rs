//! UNASKED: a client's key is passed on to a server after its route was removed.

use std::{io::Write, net::TcpStream, path::Path, sync::Arc, sync::Mutex, thread, time::Duration};

use crate::{
    Outcome,
    http::Message,
    lab::{
        Entries, Record, Scratch, Worker, answer_head, configuration, connect_client, read_answer,
        send,
    },
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANT: &str = "hule930";
/// Requests before the change, and after it.
const REQUESTS: usize = 24;
/// Time between two requests. All requests after the change are sent within `propagation_ms` (2 s)
/// of its confirmation, while both configurations may be in force.
const REQUEST_GAP: Duration = Duration::from_millis(60);

fn route(name: &str, prefix: &str, is_anonymous: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"app.example\",\"path_prefix\":\"{prefix}\",\
         \"type\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":150,\"priority\":0,\
         \"backend\":\"app\",\"max_attempts\":2,\"anonymous\":{is_anonymous}}}"
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let record = Record::new();
    let scratch = Scratch::new();
    let (store, store_address) = Store::start();
    let tenants =
        format!(",\"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]");
    let open = route("r-open", "/info/", true);
    let keyed = route("r-keyed", "/info/account/", false);
    let both = [open.clone(), keyed];
    store.put("op/config", &configuration(1, &both, &["app"], &tenants));
    record.add("operator", "configuration 1: /info/ (anonymous), /info/account/ (with a key)");
    let run_requests: Arc<Mutex<Vec<Message>>> = Arc::default();
    let seen = Arc::clone(&run_requests);
    let handler = move |worker: &Worker, request: &Message, mut stream: TcpStream| {
        let id = request.header("x-pondwalk-attempt-id").unwrap_or_default();
        let shown = |name: &str| request.header(name).unwrap_or("(none)").to_owned();
        worker.record.add(
            &worker.id,
            format!(
                "runs {id} {}; X-Pondwalk-Tenant: {}; Authorization: {}",
                request.target(),
                shown("x-pondwalk-tenant"),
                shown("authorization")
            ),
        );
        seen.lock().expect("not poisoned").push(request.clone());
        let answer = answer_head(request, 200, "Content-Length: 2\r\n") + "ok";
        let _ = stream.write_all(answer.as_bytes());
    };
    let handler = Arc::new(handler);
    let workers =
        ["i-a", "i-b"].map(|id| Worker::start(id, "app", &store, &record, handler.clone()));
    let entries = Entries::start(2, store_address, &scratch, &record);
    let request_all = |phase: &str| {
        for number in 0..REQUESTS {
            let entry = &entries.addresses[number % entries.addresses.len()];
            let id = format!("{phase}{number:02}ca11");
            let headers = format!("X-Pondwalk-Deadline-Ms: 1500\r\nAuthorization: Token {KEY}\r\n");
            let path = format!("/info/account/{number}");
            let answer = connect_client(entry.callers, 64 * 1024)
                .and_then(|stream| send(&stream, "GET", &path, &id, &headers, b""))
                .and_then(|mut reader| read_answer(&mut reader));
            let what = match answer {
                Ok((status, _)) => format!("gets {status}"),
                Err(error) => format!("gets nothing: {error}"),
            };
            record.add("client", format!("{id} GET {path} with its key at {} {what}", entry.name));
            thread::sleep(REQUEST_GAP);
        }
    };
    request_all("a");
    if has_trouble {
        store.put("op/config", &configuration(2, &[open], &["app"], &tenants));
        record.add("operator", "configuration 2 is confirmed: /info/account/ is removed");
    }
    request_all("b");
    thread::sleep(Duration::from_millis(300));
    drop(entries);
    drop(workers);
    let run_requests = run_requests.lock().expect("not poisoned");
    if run_requests.len() < REQUESTS {
        record.write(folder);
        crate::lab::cannot_run("requests did not run before the change");
    }
    let leaked: Vec<&Message> = run_requests
        .iter()
        .filter(|request| request.headers.iter().any(|(_, value)| value.contains(KEY)))
        .collect();
    for request in &leaked {
        let id = request.header("x-pondwalk-attempt-id").unwrap_or_default();
        record.add("check", format!("UNASKED: the key itself was passed on with {id}"));
    }
    let untold: Vec<&Message> = run_requests
        .iter()
        .filter(|request| request.header("x-pondwalk-tenant").is_none_or(|name| name != TENANT))
        .collect();
    let summary = format!(
        "{} of {} requests that ran showed the server the client's key; {} bore another \
         X-Pondwalk-Tenant than the key's, or none",
        leaked.len(),
        run_requests.len(),
        untold.len()
    );
    record.add("check", &summary);
    println!("{summary}");
    record.write(folder);
    Entries::keep_logs(&scratch, folder);
    Outcome { is_broken: !leaked.is_empty() }
}
