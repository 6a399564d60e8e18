//! The store, what is done to it, and calls of the soak's own.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use pondwalk_standin::platform_store::FaultModeOrder;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::Deployment;
use crate::records::{Span, now_us};

/// Time in which a silent store closes a connection.
const SILENCE_MS: u64 = 30_000;
/// Time of one call of the soak's own.
const CALL_LIMIT: Duration = Duration::from_secs(1);

impl Deployment {
    /// Lets calls to the store fare so for a while.
    pub async fn disturb_store(&self, order: FaultModeOrder, time: Duration) -> anyhow::Result<()> {
        let from_us = now_us();
        self.set_weather(order).await?;
        sleep(time).await;
        self.set_weather(FaultModeOrder::Fair).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Lets the store forget its history.
    pub async fn forget_history(&self) -> anyhow::Result<()> {
        let from_us = now_us();
        call(self.store, Method::POST, "/order/forget", Bytes::new()).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Lets the store be away for a while, and come back from a copy of this age.
    pub async fn restore_store(&self, away: Duration, age: Duration) -> anyhow::Result<()> {
        let from_us = now_us();
        if !away.is_zero() {
            self.set_weather(FaultModeOrder::Silent { ms: SILENCE_MS }).await?;
            sleep(away).await;
        }
        let age_ms = age.as_millis().to_string();
        call(self.store, Method::POST, "/order/restore", age_ms.into()).await?;
        self.set_weather(FaultModeOrder::Fair).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Lets all open connections of entries to the store go silent.
    pub fn silence_store(&self) {
        self.store_way.silence();
        self.note_store_disturbed();
    }

    /// Resets all open connections of entries to the store.
    pub fn reset_store(&self) {
        self.store_way.reset();
        self.note_store_disturbed();
    }

    fn note_store_disturbed(&self) {
        let now_us = now_us();
        let span = Span { from_us: now_us, to_us: now_us + 1 };
        self.records.borrow_mut().store_disturbed.push(span);
    }

    /// Writes a key.
    pub(super) async fn put(&self, key: &str, value: String) -> anyhow::Result<()> {
        call(self.store, Method::PUT, &format!("/order/key/{key}"), value.into()).await
    }

    /// Lets calls to the store fare so from now on.
    pub(super) async fn set_weather(&self, order: FaultModeOrder) -> anyhow::Result<()> {
        let body = serde_json::to_vec(&order)?;
        call(self.store, Method::POST, "/order/weather", body.into()).await
    }

    /// Removes a key.
    pub(super) async fn remove(&self, key: &str) -> anyhow::Result<()> {
        call(self.store, Method::DELETE, &format!("/order/key/{key}"), Bytes::new()).await
    }
}

/// Makes one call and tells whether it was answered with success.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> anyhow::Result<()> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::from(body))?;
    let calling = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        spawn_local(async move { connection.await.unwrap_or_default() });
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        ensure!(status == StatusCode::OK, "answered with {status}");
        Ok(())
    };
    timeout(CALL_LIMIT, calling).await.context("no answer in time")?
}
