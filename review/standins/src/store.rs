//! A stand-in of the platform's store: keys with revisions, ranges, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_request},
    json::{Json, decode_base64, encode_base64, parse, quote},
};

/// A change of a key.
#[derive(Debug, Clone)]
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

/// The keys at some time.
#[derive(Debug, Clone)]
struct Copied {
    at: Instant,
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<Change>,
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    is_away: bool,
    copies: Vec<Copied>,
}

/// Time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_millis(200);

/// The store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (Store, SocketAddr) {
        let store = Store::default();
        store.lock().era = 1;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let copied = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(COPY_INTERVAL);
                copied.copy();
            }
        });
        (store, address)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().expect("not poisoned")
    }

    fn copy(&self) {
        let mut inner = self.lock();
        let copied =
            Copied { at: Instant::now(), revision: inner.revision, keys: inner.keys.clone() };
        inner.copies.push(copied);
    }

    /// A drill begins: the store is away, and every call ends without an answer.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.inner.1.notify_all();
    }

    /// The store comes back from a copy that is `age` old. What the operator and the servers wrote
    /// since is written again. Returns the new era.
    pub fn come_back(&self, age: Duration) -> u64 {
        let mut inner = self.lock();
        let taken = Instant::now() - age;
        let copied = inner.copies.iter().rev().find(|copied| copied.at <= taken).cloned();
        let Some(copied) = copied else { crate::lab::cannot_run("no copy is so old") };
        let lost = std::mem::replace(&mut inner.keys, copied.keys);
        inner.revision = copied.revision;
        inner.history.retain(|change| change.revision <= copied.revision);
        inner.copies.clear();
        inner.era += 1;
        inner.is_away = false;
        let is_theirs = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        for (key, (value, _)) in lost.into_iter().filter(|(key, _)| is_theirs(key)) {
            if inner.keys.get(&key).is_none_or(|(known, _)| *known != value) {
                inner.revision += 1;
                inner.write(&key, Some(value));
            }
        }
        let era = inner.era;
        drop(inner);
        self.inner.1.notify_all();
        era
    }

    /// Writes a key as the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().expect("not poisoned");
        inner.revision += 1;
        inner.write(key, Some(value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.lock().is_away {
                return;
            }
            let (status, body) = self.answer(&request);
            let inner = self.lock();
            if inner.is_away {
                return;
            }
            let era = inner.era;
            drop(inner);
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend(body.as_bytes());
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%3A", ":"))
        };
        let prefix = parameter("path_prefix").unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/api/kv-range") => self.range(&prefix, parameter("since_revision")),
            ("GET", "/api/kv-watch") => {
                let number = |name| parameter(name).and_then(|text| text.parse().ok());
                let since = number("since_revision").unwrap_or(0);
                self.watch(&prefix, since, number("wait_time_ms").unwrap_or(0))
            }
            ("POST", "/api/kv-txn") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                self.transaction(&parse(&body).unwrap_or(Json::Null))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let inner = self.inner.0.lock().expect("not poisoned");
        let selected = inner.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let selected = selected.filter(|(key, _)| after.as_ref().is_none_or(|one| *key > one));
        let entries: Vec<String> =
            selected.map(|(key, (value, revision))| item(key, Some(value), *revision)).collect();
        let revision = inner.revision;
        let entries = entries.join(",");
        let body = format!(
            "{{\"entries\":[{entries}],\"truncated\":false,\"position_revision\":{revision}}}"
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let (inner, changed) = &*self.inner;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut inner = inner.lock().expect("not poisoned");
        loop {
            if since > inner.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = inner
                .history
                .iter()
                .filter(|change| change.revision > since && change.key.starts_with(prefix))
                .map(|change| item(&change.key, change.value.as_ref(), change.revision))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"position_revision\":{}}}",
                    events.join(","),
                    inner.revision
                );
                return (200, body);
            }
            inner = changed.wait_timeout(inner, left).expect("not poisoned").0;
        }
    }

    fn transaction(&self, body: &Json) -> (u16, String) {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().expect("not poisoned");
        let holds = body.get("expected_revision").list().iter().all(|row| {
            let known = inner.keys.get(row.get("private_key").text());
            known.map_or(0, |(_, revision)| *revision) == row.get("revision").number()
        });
        if !holds {
            return (412, "{\"entries\":[]}".to_owned());
        }
        let writes = body.get("write").list();
        if writes.iter().any(|write| {
            let key = write.get("private_key").text();
            key.starts_with("op/") || key.starts_with("servers/")
        }) {
            return (403, "{}".to_owned());
        }
        inner.revision += 1;
        for write in writes {
            let value = decode_base64(write.get("data").text());
            inner.write(write.get("private_key").text(), Some(value));
        }
        for key in body.get("delete").list() {
            inner.write(key.text(), None);
        }
        changed.notify_all();
        (200, format!("{{\"revision\":{}}}", inner.revision))
    }
}

impl Inner {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        let revision = self.revision;
        match &value {
            Some(value) => {
                self.keys.insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                self.keys.remove(key);
            }
        }
        self.history.push(Change { key: key.to_owned(), value, revision });
    }
}

fn item(key: &str, value: Option<&Vec<u8>>, revision: u64) -> String {
    let key = quote(key);
    match value {
        Some(value) => {
            let data = encode_base64(value);
            format!(
                "{{\"private_key\":{key},\"data\":\"{data}\",\"revision\":{revision},\
                 \"created\":{revision},\"lease_id\":0}}"
            )
        }
        None => format!("{{\"private_key\":{key},\"revision\":{revision},\"compacted\":true}}"),
    }
}
