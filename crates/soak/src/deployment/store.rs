//! The store, the faults injected into it, and HTTP calls of the soak itself.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use bytes::Bytes;
use futures::future::join_all;
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
use crate::{
    proxy::{Proxy, Rejection},
    records::{Span, now_us},
};

/// Time after which a silent store closes a connection.
const SILENT_STORE_TIMEOUT_MS: u64 = 30_000;
/// Timeout of one HTTP call of the soak.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Deployment {
    /// Applies a fault mode to the store for `time`.
    pub async fn inject_store_fault(
        &self,
        order: FaultModeOrder,
        time: Duration,
    ) -> anyhow::Result<()> {
        let from_us = now_us();
        self.set_fault_mode(order).await?;
        sleep(time).await;
        self.set_fault_mode(FaultModeOrder::Fair).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Makes the store discard its change history.
    pub async fn forget_history(&self) -> anyhow::Result<()> {
        let from_us = now_us();
        call(self.store, Method::POST, "/order/forget", Bytes::new()).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Makes the store unavailable for `outage`, then restores a copy of this age.
    pub async fn restore_store(&self, outage: Duration, age: Duration) -> anyhow::Result<()> {
        let from_us = now_us();
        if !outage.is_zero() {
            self.set_fault_mode(FaultModeOrder::Silent { ms: SILENT_STORE_TIMEOUT_MS }).await?;
            sleep(outage).await;
        }
        let age_ms = age.as_millis().to_string();
        call(self.store, Method::POST, "/order/restore", age_ms.into()).await?;
        self.set_fault_mode(FaultModeOrder::Fair).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Makes the store's responses endless for `time`.
    pub async fn flood_from_store(&self, time: Duration) {
        let from_us = now_us();
        join_all(self.store_proxies().map(|proxy| proxy.flood(time))).await;
        // Connections that were flooded are closed by the entries, or here.
        self.store_proxies().for_each(|proxy| proxy.reset());
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
    }

    /// Stalls all open connections of entries to the store.
    pub fn silence_store(&self) {
        self.store_proxies().for_each(|proxy| proxy.silence());
        self.record_store_disturbance();
    }

    /// Resets all open connections of entries to the store.
    pub fn reset_store(&self) {
        self.store_proxies().for_each(|proxy| proxy.reset());
        self.record_store_disturbance();
    }

    /// Makes the store reject some of the entries for `time`, while it serves the others.
    pub async fn reject_entries(
        &self,
        entries: impl Iterator<Item = usize>,
        rejection: Rejection,
        time: Duration,
    ) {
        join_all(entries.map(|entry| self.entries[entry].store_proxy.reject(rejection, time)))
            .await;
    }

    fn store_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.entries.iter().map(|slot| &*slot.store_proxy)
    }

    fn record_store_disturbance(&self) {
        let now_us = now_us();
        let span = Span { from_us: now_us, to_us: now_us + 1 };
        self.records.borrow_mut().store_disturbed.push(span);
    }

    /// Writes a key of the store.
    pub(super) async fn put(&self, key: &str, value: String) -> anyhow::Result<()> {
        call(self.store, Method::PUT, &format!("/order/key/{key}"), value.into()).await
    }

    /// Sets the store's fault mode.
    pub(super) async fn set_fault_mode(&self, order: FaultModeOrder) -> anyhow::Result<()> {
        let body = serde_json::to_vec(&order)?;
        call(self.store, Method::POST, "/order/weather", body.into()).await
    }

    /// Removes a key of the store.
    pub(super) async fn remove(&self, key: &str) -> anyhow::Result<()> {
        call(self.store, Method::DELETE, &format!("/order/key/{key}"), Bytes::new()).await
    }
}

/// Makes one HTTP call; any status but 200 is an error.
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
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        spawn_local(async move { connection.await.unwrap_or_default() });
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        ensure!(status == StatusCode::OK, "unexpected status {status}");
        Ok(())
    };
    timeout(CALL_TIMEOUT, exchange).await.context("the call timed out")?
}
