//! Signals of the process: stop and reload.
//!
//! A signal that arrives before its handler is installed ends the process. So the signals are held
//! back from the first moment, and delivered once they are handled.

use std::io;

use nix::sys::signal::{SigSet, Signal as SignalName};
use tokio::{
    select,
    signal::unix::{Signal, SignalKind, signal},
};

const HANDLED: [SignalName; 3] = [SignalName::SIGTERM, SignalName::SIGINT, SignalName::SIGHUP];

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// To stop.
    Stop,
    /// To reload the settings.
    Reload,
}

/// Holds the handled signals back; to be called before the process starts threads.
pub fn hold() {
    // Fails only for an invalid argument.
    let _ = HANDLED.into_iter().collect::<SigSet>().thread_block();
}

/// Delivers the signals that were held back, and all later ones.
pub fn release() {
    // Fails only for an invalid argument.
    let _ = HANDLED.into_iter().collect::<SigSet>().thread_unblock();
}

/// Installed handlers.
#[derive(Debug)]
pub struct SignalHandlers {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl SignalHandlers {
    /// Installs the handlers, and then delivers the signals that were held back.
    ///
    /// # Errors
    ///
    /// An error if a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        let handlers = SignalHandlers {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        };
        release();
        Ok(handlers)
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        select! {
            biased;
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hang_up.recv() => SignalRequest::Reload,
        }
    }
}
