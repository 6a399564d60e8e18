//! Bills and claims are counted exactly once despite failures of the store.

use std::{sync::Mutex, time::Duration};

use futures::future::join_all;
use pondwalk_ledger::{Bill, BillBuffer, BillItem, Claims, bills::flush, read_ledger};
use pondwalk_standin::{KvFaults, KvStore};
use pondwalk_store::{Store, StoreError};
use pondwalk_types::Refusal;

fn store(kv: &KvStore) -> Store {
    Store::new(kv.transport(), Duration::from_secs(1))
}

fn bill(request: usize) -> Bill {
    let item =
        BillItem { version: "m/1".to_owned(), prompt_tokens: 10, output_tokens: 5, cost: 0.25 };
    Bill { request: format!("r{request}"), workspace: "w".to_owned(), items: vec![item] }
}

#[tokio::test(start_paused = true)]
async fn a_lost_response_does_not_bill_twice() {
    let kv = KvStore::default();
    let store = store(&kv);
    let buffer = Mutex::new(BillBuffer::new(1));
    for request in 0..10 {
        buffer.lock().expect("sound").add(bill(request));
        kv.set_faults(KvFaults { lost_answers: 1, ..KvFaults::default() });
        flush(&buffer, &store).await.expect("resolved by reading back");
    }
    let ledger = read_ledger(&store).await.expect("readable");
    assert_eq!((ledger.bills.len(), ledger.repeats), (10, 0));
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_an_hour_loses_no_bill() {
    let kv = KvStore::default();
    let store = store(&kv);
    let buffer = Mutex::new(BillBuffer::new(1));
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    for minute in 0..60 {
        (0..100).for_each(|n| buffer.lock().expect("sound").add(bill(minute * 100 + n)));
        assert_eq!(flush(&buffer, &store).await, Err(StoreError::Unreachable));
        tokio::time::advance(Duration::from_secs(60)).await;
    }
    kv.set_faults(KvFaults::default());
    let mut durable = 0;
    while buffer.lock().expect("sound").backlog() > 0 {
        durable += flush(&buffer, &store).await.expect("the store is back").len();
    }
    assert_eq!(durable, 6_000);
    assert_eq!(read_ledger(&store).await.expect("readable").bills.len(), 6_000);
}

#[tokio::test(start_paused = true)]
async fn a_bill_written_by_two_processes_is_counted_once() {
    let kv = KvStore::default();
    let store = store(&kv);
    for writer in [1, 2] {
        let buffer = Mutex::new(BillBuffer::new(writer));
        buffer.lock().expect("sound").add(bill(1));
        flush(&buffer, &store).await.expect("written");
    }
    let ledger = read_ledger(&store).await.expect("readable");
    assert_eq!((ledger.bills.len(), ledger.repeats), (1, 1));
    let totals = ledger.totals();
    assert_eq!(totals[&("w".to_owned(), "m/1".to_owned())], (1, 0.25));
}

#[tokio::test(start_paused = true)]
async fn only_one_of_many_concurrent_claims_on_a_key_succeeds() {
    let kv = KvStore::default();
    let (first, second) = (Claims::spawn(store(&kv)), Claims::spawn(store(&kv)));
    let attempts = (0..20_u64).map(|n| {
        let claims = if n % 2 == 0 { &first } else { &second };
        claims.claim("w", "key", "request", n)
    });
    let attempts: Vec<_> = attempts.collect();
    let mut succeeded = 0;
    for outcome in join_all(attempts).await {
        match outcome {
            Ok(_) => succeeded += 1,
            Err(refusal) => assert_eq!(refusal, Refusal::DuplicateKey),
        }
    }
    assert_eq!(succeeded, 1);
}

#[tokio::test(start_paused = true)]
async fn a_claim_succeeds_although_its_response_was_lost() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    claims.claim("w", "warm-up", "r", 0).await.expect("creates the lease");
    kv.set_faults(KvFaults { lost_answers: 1, ..KvFaults::default() });
    assert!(claims.claim("w", "key", "r", 1).await.is_ok());
    assert_eq!(claims.claim("w", "key", "r", 2).await, Err(Refusal::DuplicateKey));
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_refused_while_the_store_is_unavailable() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    assert_eq!(claims.claim("w", "key", "r", 1).await, Err(Refusal::ClaimUnavailable));
    kv.set_faults(KvFaults::default());
    assert!(
        claims.claim("w", "key", "r", 2).await.is_ok(),
        "nothing ran, so the request may be retried"
    );
}

#[tokio::test(start_paused = true)]
async fn a_released_key_can_be_claimed_once_more() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    let ticket = claims.claim("w", "key", "r", 1).await.expect("claimed");
    claims.release(ticket.clone()).await.expect("released");
    assert!(claims.claim("w", "key", "r", 2).await.is_ok());
    assert_eq!(claims.claim("w", "key", "r", 3).await, Err(Refusal::DuplicateKey));
    let stale = claims.release(ticket).await;
    assert_eq!(stale, Err(StoreError::Conflict), "a ticket can be released only once");
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_share_a_write() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    claims.claim("w", "warm-up", "r", 0).await.expect("creates the lease");
    let before = kv.counts().writes;
    let keys: Vec<String> = (0..50).map(|n| format!("key{n}")).collect();
    let attempts: Vec<_> = keys.iter().map(|key| claims.claim("w", key, "r", 1)).collect();
    assert!(join_all(attempts).await.into_iter().all(|outcome| outcome.is_ok()));
    assert!(kv.counts().writes - before <= 2, "50 claims in one or two writes");
}
