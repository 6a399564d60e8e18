//! Requests that must run at most once and be billed exactly once.

use std::time::Duration;

use pondwalk_ledger::read_ledger;
use pondwalk_standin::KvFaults;
use serde_json::json;

use super::{Finding, request, runs_of, send, send_in_background, wait_until};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// Maximum wait for bills to be written.
const BILLS_TIMEOUT: Duration = Duration::from_secs(15);

fn order(id: &str, key: &str) -> CallerRequest {
    let idempotency_key = Some(key.to_owned());
    CallerRequest { repeatable: false, idempotency_key, ..request(id) }
}

/// Sends the same order through two entries at once and again afterwards; it runs once.
pub async fn repeated_keys(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("one order sent through two entries at once, and again: one run");
    for n in 0..10 {
        let key = format!("key{n}");
        let ids = [format!("o{n}-a"), format!("o{n}-b"), format!("o{n}-c")];
        let first = send_in_background(deployment, 0, order(&ids[0], &key));
        let second = send(deployment, 1, &order(&ids[1], &key)).await;
        let first = first.await.unwrap_or_default();
        let third = send(deployment, n, &order(&ids[2], &key)).await;
        let ran: usize = ids.iter().map(|id| runs_of(deployment, id)).sum();
        let answered = [&first, &second, &third].iter().filter(|reply| reply.complete).count();
        let refused = [&first, &second, &third]
            .iter()
            .filter(|reply| reply.code.as_deref() == Some("duplicate_key"))
            .all(|reply| reply.ran == Some(json!(false)));
        finding.expect(ran == 1 && answered == 1 && refused, || {
            format!("{key}: {ran} runs, {answered} answers, {first:?} {second:?} {third:?}")
        });
    }
    Ok(finding)
}

/// Kills an agent during answers; repeatable requests are answered by other servers, orders run once.
pub async fn agent_killed(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("an agent killed in mid-answer: reads answered elsewhere, orders run once");
    let reads: Vec<_> =
        (0..12).map(|n| send_in_background(deployment, n, request(&format!("read{n}")))).collect();
    let orders: Vec<_> = (0..12)
        .map(|n| send_in_background(deployment, n, order(&format!("order{n}"), &format!("k{n}"))))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.kill_agent(0).await;
    for (n, read) in reads.into_iter().enumerate() {
        let reply = read.await.unwrap_or_default();
        finding.expect(reply.complete, || format!("read{n}: {reply:?}"));
    }
    for (n, order_sent) in orders.into_iter().enumerate() {
        let reply = order_sent.await.unwrap_or_default();
        let ran = runs_of(deployment, &format!("order{n}"));
        let is_consistent = reply.complete || reply.ran != Some(json!(false)) || ran == 0;
        finding.expect(ran <= 1 && is_consistent, || format!("order{n}: {ran} runs, {reply:?}"));
        if !reply.complete && ran == 1 {
            let again =
                send(deployment, n, &order(&format!("order{n}-again"), &format!("k{n}"))).await;
            let repeated = runs_of(deployment, &format!("order{n}-again"));
            finding.expect(repeated == 0, || format!("order{n} ran again: {again:?}"));
        }
    }
    Ok(finding)
}

/// Takes the store down; reads are answered, orders are refused without running, bills are written later.
pub async fn store_down(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("the store down: reads answered, orders refused and not run, bills kept");
    deployment.kv.store.set_faults(KvFaults { down: true, ..KvFaults::default() });
    for n in 0..6 {
        let reply = send(deployment, n, &request(&format!("down{n}"))).await;
        finding.expect(reply.complete, || format!("down{n}: {reply:?}"));
        let id = format!("down-order{n}");
        let reply = send(deployment, n, &order(&id, &id)).await;
        let refused = reply.code.as_deref() == Some("claim_unavailable")
            && reply.ran == Some(json!(false))
            && runs_of(deployment, &id) == 0;
        finding.expect(refused, || format!("{id}: {reply:?}"));
    }
    deployment.kv.store.set_faults(KvFaults { lost_answers: 3, ..KvFaults::default() });
    let store = deployment.store();
    let billed = wait_until(BILLS_TIMEOUT, async || {
        read_ledger(&store).await.is_ok_and(|ledger| ledger.bills.len() == 6)
    });
    let billed = billed.await;
    finding.expect(billed, || "bills of the outage are missing".to_owned());
    let reply = send(deployment, 0, &order("after", "after")).await;
    finding.expect(reply.complete, || format!("an order after the outage: {reply:?}"));
    Ok(finding)
}

/// Kills an entry with unwritten bills; agents write them, and each is counted once.
pub async fn entry_killed(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("an entry killed before its bills were written: each answer billed once");
    deployment.kv.store.set_faults(KvFaults { down: true, ..KvFaults::default() });
    let mut answered = 0;
    for n in 0..8 {
        let reply = send(deployment, 0, &request(&format!("bill{n}"))).await;
        answered += usize::from(reply.complete);
    }
    finding.expect(answered == 8, || format!("{answered} of 8 answered"));
    deployment.kill_entry(0).await;
    deployment.kv.store.set_faults(KvFaults::default());
    let store = deployment.store();
    let billed = wait_until(BILLS_TIMEOUT, async || {
        read_ledger(&store).await.is_ok_and(|ledger| ledger.bills.len() == answered)
    });
    let billed = billed.await;
    let seen = read_ledger(&store).await?.bills.len();
    finding.expect(billed, || format!("{seen} bills for {answered} answers"));
    Ok(finding)
}
