//! Faults that concern sessions and their pins.

use super::{Finding, plan, request, send};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// Sends altered pins and pins of other workspaces or sessions; entries refuse them.
pub async fn forged_pins(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding = Finding::new("session pins altered or brought from elsewhere: refused");
    let session = |pin: Option<String>| Some(("talk".to_owned(), pin));
    let first = CallerRequest { session: session(None), ..request("pin0") };
    let reply = send(deployment, 0, &first).await;
    let pin = reply.pin.clone().unwrap_or_default();
    finding.expect(!pin.is_empty(), || format!("no pin: {reply:?}"));
    let mut altered = pin.clone().into_bytes();
    altered[3] ^= 1;
    let altered = String::from_utf8(altered).unwrap_or_default();
    let unsigned = pin.split('.').next().unwrap_or_default().to_owned();
    let cases = [
        CallerRequest { session: session(Some(altered)), ..request("pin1") },
        CallerRequest { session: session(Some(unsigned)), ..request("pin2") },
        CallerRequest {
            key: plan::OTHER_KEY.to_owned(),
            session: session(Some(pin.clone())),
            ..request("pin3")
        },
        CallerRequest {
            session: Some(("another".to_owned(), Some(pin.clone()))),
            ..request("pin4")
        },
    ];
    for case in &cases {
        let reply = send(deployment, 1, case).await;
        let refused = reply.status == 403 && reply.code.as_deref() == Some("bad_session_pin");
        finding.expect(refused, || format!("{}: {reply:?}", case.request));
    }
    let good = CallerRequest { session: session(Some(pin)), ..request("pin5") };
    let reply = send(deployment, 1, &good).await;
    finding.expect(reply.complete, || format!("the genuine pin: {reply:?}"));
    Ok(finding)
}

/// Replaces every agent and entry; sessions continue with their version.
pub async fn everything_replaced(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("every agent and entry replaced: sessions keep their version and go on");
    let mut sessions = Vec::new();
    for n in 0..5 {
        let first = CallerRequest {
            session: Some((format!("talk{n}"), None)),
            ..request(&format!("before{n}"))
        };
        let reply = send(deployment, n, &first).await;
        finding.expect(reply.complete, || format!("before{n}: {reply:?}"));
        sessions.push((first.session.map(|(name, _)| name), reply.pin, reply.version));
    }
    replace_all(deployment).await?;
    for (n, (name, pin, version)) in sessions.into_iter().enumerate() {
        let next = CallerRequest {
            session: name.map(|name| (name, pin)),
            ..request(&format!("after{n}"))
        };
        let reply = send(deployment, n, &next).await;
        let continues = reply.complete && reply.version == version && !reply.restarted;
        finding.expect(continues, || format!("after{n}: {reply:?}"));
    }
    Ok(finding)
}

async fn replace_all(deployment: &mut Deployment) -> Result<(), DemoError> {
    for server in 0..deployment.servers.len() {
        deployment.kill_agent(server).await;
        deployment.restart_agent(server).await?;
    }
    for entry in 0..deployment.entries.len() {
        deployment.kill_entry(entry).await;
        deployment.add_entry().await?;
    }
    if deployment.wait_ready(super::START_TIMEOUT).await {
        Ok(())
    } else {
        Err(DemoError::NotReady)
    }
}
