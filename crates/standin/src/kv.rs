//! The platform's key-value service, in memory: compare-and-swap, leases and watches.

mod state;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use poem::{
    Body, Endpoint, EndpointExt, Response, Route, handler,
    http::{StatusCode, Uri},
    post,
    web::Data,
};
use pondwalk_store::{
    StoreError, Transport,
    gateway::{
        LEASE_GRANT_PATH, LEASE_KEEP_ALIVE_PATH, RANGE_PATH, TXN_PATH, WATCH_PATH, WatchReply,
        WatchRequest,
    },
};
use tokio::{sync::Notify, time::Instant};

use crate::listen::{Listening, listen};
use state::KvState;

/// Faults that the service injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvFaults {
    /// Whether the service is unreachable.
    pub down: bool,
    /// Time added to each call.
    pub delay: Duration,
    /// Number of the next writes that take effect but whose responses are lost.
    pub lost_answers: u32,
}

/// Numbers of calls, in the categories that the platform bills.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvCounts {
    /// Reads, including watches.
    pub reads: u64,
    /// Writes, including calls for leases.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<KvState>,
    faults: Mutex<KvFaults>,
    counts: Mutex<KvCounts>,
    changed: Notify,
}

/// A copy of the service's state, from which it can be restored.
#[derive(Debug)]
pub struct KvCopy {
    state: KvState,
}

/// Handle on the service; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct KvStore {
    shared: Arc<Shared>,
}

/// The service with an HTTP listener.
#[derive(Debug)]
pub struct KvServer {
    /// Handle on the service's state.
    pub store: KvStore,
    listening: Listening,
}

impl KvServer {
    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }
}

impl KvStore {
    /// Starts to serve at `address`.
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn listen(&self, address: SocketAddr) -> io::Result<KvServer> {
        let listening = listen(address, routes(self.clone())).await?;
        Ok(KvServer { store: self.clone(), listening })
    }

    /// Returns a transport that calls the service directly, without a network.
    pub fn transport(&self) -> Transport {
        let store = self.clone();
        Arc::new(move |path, body, wait| {
            let store = store.clone();
            Box::pin(async move {
                let call = store.call(path, body);
                tokio::time::timeout(wait, call).await.unwrap_or(Err(StoreError::ResponseLost))
            })
        })
    }

    /// Copies the state.
    pub fn copy(&self) -> KvCopy {
        KvCopy { state: lock(&self.shared.state).clone() }
    }

    /// Restores the state of a copy: later changes are lost, and their revisions are used again.
    pub fn restore(&self, copy: &KvCopy) {
        *lock(&self.shared.state) = copy.state.clone();
    }

    /// Sets the faults of later calls.
    pub fn set_faults(&self, faults: KvFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Numbers of calls since the start.
    pub fn counts(&self) -> KvCounts {
        *lock(&self.shared.counts)
    }

    async fn call(&self, path: &str, body: String) -> Result<String, StoreError> {
        let faults = *lock(&self.shared.faults);
        self.count(path);
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        if faults.down {
            return Err(StoreError::Unreachable);
        }
        if path == WATCH_PATH {
            return self.watch(&body).await;
        }
        let (reply, is_write) = self.execute(path, &body)?;
        if is_write {
            self.shared.changed.notify_waiters();
            return self.reply_unless_lost(reply);
        }
        Ok(reply)
    }

    fn execute(&self, path: &str, body: &str) -> Result<(String, bool), StoreError> {
        let mut state = lock(&self.shared.state);
        state.expire(Instant::now());
        match path {
            RANGE_PATH => Ok((encode(&state.range(&decode(body)?))?, false)),
            TXN_PATH => Ok((encode(&state.transact(&decode(body)?))?, true)),
            LEASE_GRANT_PATH => Ok((encode(&state.grant(&decode(body)?, Instant::now()))?, true)),
            LEASE_KEEP_ALIVE_PATH => {
                Ok((encode(&state.renew(&decode(body)?, Instant::now()))?, true))
            }
            _ => Err(StoreError::Malformed),
        }
    }

    fn reply_unless_lost(&self, reply: String) -> Result<String, StoreError> {
        let mut faults = lock(&self.shared.faults);
        if faults.lost_answers == 0 {
            return Ok(reply);
        }
        faults.lost_answers -= 1;
        Err(StoreError::ResponseLost)
    }

    async fn watch(&self, body: &str) -> Result<String, StoreError> {
        let request: WatchRequest = decode(body)?;
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if lock(&self.shared.faults).down {
                return Err(StoreError::Unreachable);
            }
            let reply: Option<WatchReply> = lock(&self.shared.state).changes(&request);
            if let Some(reply) = reply {
                return encode(&reply).map(|line| line + "\n");
            }
            changed.await;
        }
    }

    fn count(&self, path: &str) {
        let mut counts = lock(&self.shared.counts);
        match path {
            RANGE_PATH | WATCH_PATH => counts.reads += 1,
            _ => counts.writes += 1,
        }
    }
}

fn routes(store: KvStore) -> impl Endpoint {
    let paths = [RANGE_PATH, TXN_PATH, LEASE_GRANT_PATH, LEASE_KEEP_ALIVE_PATH, WATCH_PATH];
    let route = paths.iter().fold(Route::new(), |route, path| route.at(*path, post(serve_call)));
    route.data(store)
}

#[handler]
async fn serve_call(uri: &Uri, body: Body, store: Data<&KvStore>) -> Response {
    let body = body.into_string().await.unwrap_or_default();
    match store.call(uri.path(), body).await {
        Ok(text) => Response::builder().body(text),
        Err(StoreError::Unreachable) => status(StatusCode::SERVICE_UNAVAILABLE),
        Err(StoreError::Malformed) => status(StatusCode::BAD_REQUEST),
        Err(_) => status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

fn decode<T: serde::de::DeserializeOwned>(body: &str) -> Result<T, StoreError> {
    serde_json::from_str(body).map_err(|_| StoreError::Malformed)
}

fn encode<T: serde::Serialize>(reply: &T) -> Result<String, StoreError> {
    serde_json::to_string(reply).map_err(|_| StoreError::Malformed)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
