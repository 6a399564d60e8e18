//! The threads of a role: several for traffic, and one for control state.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    thread::JoinHandle,
};

use thiserror::Error;
use tokio::{runtime::Runtime, sync::oneshot};

/// Why a role could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Threads could not be started.
    #[error("cannot start threads: {0}")]
    Threads(io::Error),
}

/// Starts `threads` traffic threads whose names begin with `name`.
pub fn traffic_runtime(name: &str, threads: usize) -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(StartError::Threads)
}

/// A role's control thread.
#[derive(Debug)]
pub struct ControlThread {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts a thread of the given name that drives one future until it is stopped.
    pub fn start<F>(name: &str, work: F) -> Result<Self, StartError>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(StartError::Threads)?;
        let (stop, stopped) = oneshot::channel();
        let drive = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = work => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(drive);
        Ok(ControlThread { stop, thread: thread.map_err(StartError::Threads)? })
    }

    /// Ends the thread.
    pub fn stop(self) {
        // NB: the thread may have ended already, and then there is nobody to tell.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

/// Locks a mutex; a panic elsewhere does not spread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
