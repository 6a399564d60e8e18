//! Asks another entry for changes.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, StatusCode,
    client::conn::http1::{SendRequest, handshake},
    header::HOST,
};
use hyper_util::rt::TokioIo;
use pondwalk_store::StoreEvent;
use thiserror::Error;
use tokio::{task::spawn_local, time::timeout};

use super::{BAD_VERSION_PATH, BadVersion, CHANGES_PATH, Changes};
use crate::upstream::Connect;

/// Longest time for an answer. One takes a few milliseconds; an entry that is busy or paused for
/// longer than this is of no use as a source.
const ASK_LIMIT: Duration = Duration::from_millis(250);

/// Why another entry told no changes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AskError {
    /// It did not answer in time.
    #[error("no answer in time")]
    Silent,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Failed(String),
    /// It has lost the store itself, or was last confirmed too long ago.
    #[error("its confirmation is old")]
    Old,
    /// Its answer cannot be read.
    #[error("the answer cannot be read")]
    Malformed,
    /// It does not remember all changes asked for.
    #[error("it does not remember all changes")]
    Forgotten,
}

/// What another entry told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Age of its confirmation by the store.
    pub confirmed_age: Duration,
    /// Revision that the changes lead to.
    pub revision: u64,
    /// The changes in order.
    pub events: Vec<StoreEvent>,
}

type Sender = SendRequest<Full<Bytes>>;

/// A kept connection to the entry asked last.
#[derive(Debug, Default)]
pub struct PeerClient {
    kept: RefCell<Option<(SocketAddr, Sender)>>,
}

impl PeerClient {
    /// Asks the entry at `address` for all changes after `revision`.
    pub async fn ask(
        &self,
        connect: &Connect,
        address: SocketAddr,
        revision: u64,
    ) -> Result<Told, AskError> {
        let asking = self.exchange(connect, address, revision);
        let changes = timeout(ASK_LIMIT, asking).await.map_err(|_| AskError::Silent)??;
        let told = changes.changes.ok_or(AskError::Forgotten)?;
        let events = told.into_iter().map(|change| change.into_event().ok_or(AskError::Malformed));
        Ok(Told {
            confirmed_age: Duration::from_millis(changes.confirmed_age_ms),
            revision: changes.revision,
            events: events.collect::<Result<_, _>>()?,
        })
    }

    /// Tells the entry at `address` that the version on trial at a service is bad.
    pub async fn tell_bad(
        connect: &Connect,
        address: SocketAddr,
        bad: &BadVersion,
    ) -> Result<(), AskError> {
        let body = serde_json::to_vec(bad).map_err(|_| AskError::Malformed)?;
        let request = Request::post(BAD_VERSION_PATH).header(HOST, address.to_string());
        let request = request.body(Full::from(body)).map_err(|_| AskError::Malformed)?;
        let telling = async {
            let answer = open(connect, address).await?.send_request(request).await;
            match answer.map_err(failed)?.status() {
                StatusCode::OK => Ok(()),
                status => Err(AskError::Failed(status.to_string())),
            }
        };
        timeout(ASK_LIMIT, telling).await.map_err(|_| AskError::Silent)?
    }

    async fn exchange(
        &self,
        connect: &Connect,
        address: SocketAddr,
        revision: u64,
    ) -> Result<Changes, AskError> {
        let kept = self.kept.borrow_mut().take();
        let kept = kept.filter(|(to, sender)| *to == address && sender.is_ready());
        let mut sender = match kept {
            Some((_, sender)) => sender,
            None => open(connect, address).await?,
        };
        let request = Request::get(format!("{CHANGES_PATH}?after={revision}"));
        let request = request.header(HOST, address.to_string()).body(Full::default());
        let request = request.map_err(|_| AskError::Malformed)?;
        let answer = sender.send_request(request).await.map_err(failed)?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(AskError::Old),
            status => return Err(AskError::Failed(status.to_string())),
        }
        let body = answer.into_body().collect().await.map_err(failed)?.to_bytes();
        *self.kept.borrow_mut() = Some((address, sender));
        serde_json::from_slice(&body).map_err(|_| AskError::Malformed)
    }
}

async fn open(connect: &Connect, address: SocketAddr) -> Result<Sender, AskError> {
    let stream = connect(address).await.map_err(failed)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(failed)?;
    // NB: a failure of the connection reaches the exchange that waits on it.
    spawn_local(async move { connection.await.unwrap_or_default() });
    Ok(sender)
}

fn failed(error: impl ToString) -> AskError {
    AskError::Failed(error.to_string())
}
