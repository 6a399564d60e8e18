//! Bills and claims count once, whatever the store does.

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
async fn a_lost_answer_does_not_bill_twice() {
    let kv = KvStore::default();
    let store = store(&kv);
    let book = Mutex::new(BillBuffer::new(1));
    for request in 0..10 {
        book.lock().expect("sound").add(bill(request));
        kv.set_faults(KvFaults { lost_answers: 1, ..KvFaults::default() });
        flush(&book, &store).await.expect("settled by reading back");
    }
    let ledger = read_ledger(&store).await.expect("readable");
    assert_eq!((ledger.bills.len(), ledger.repeats), (10, 0));
}

#[tokio::test(start_paused = true)]
async fn an_hour_without_the_store_loses_no_bill() {
    let kv = KvStore::default();
    let store = store(&kv);
    let book = Mutex::new(BillBuffer::new(1));
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    for minute in 0..60 {
        (0..100).for_each(|n| book.lock().expect("sound").add(bill(minute * 100 + n)));
        assert_eq!(flush(&book, &store).await, Err(StoreError::Unreachable));
        tokio::time::advance(Duration::from_secs(60)).await;
    }
    kv.set_faults(KvFaults::default());
    let mut durable = 0;
    while book.lock().expect("sound").backlog() > 0 {
        durable += flush(&book, &store).await.expect("the store is back").len();
    }
    assert_eq!(durable, 6_000);
    assert_eq!(read_ledger(&store).await.expect("readable").bills.len(), 6_000);
}

#[tokio::test(start_paused = true)]
async fn a_bill_written_by_two_processes_counts_once() {
    let kv = KvStore::default();
    let store = store(&kv);
    for writer in [1, 2] {
        let book = Mutex::new(BillBuffer::new(writer));
        book.lock().expect("sound").add(bill(1));
        flush(&book, &store).await.expect("written");
    }
    let ledger = read_ledger(&store).await.expect("readable");
    assert_eq!((ledger.bills.len(), ledger.repeats), (1, 1));
    let totals = ledger.totals();
    assert_eq!(totals[&("w".to_owned(), "m/1".to_owned())], (1, 0.25));
}

#[tokio::test(start_paused = true)]
async fn a_key_is_claimed_by_one_of_many() {
    let kv = KvStore::default();
    let (here, there) = (Claims::spawn(store(&kv)), Claims::spawn(store(&kv)));
    let attempts = (0..20_u64).map(|n| {
        let claims = if n % 2 == 0 { &here } else { &there };
        claims.claim("w", "key", "request", n)
    });
    let attempts: Vec<_> = attempts.collect();
    let mut won = 0;
    for outcome in join_all(attempts).await {
        match outcome {
            Ok(_) => won += 1,
            Err(refusal) => assert_eq!(refusal, Refusal::DuplicateKey),
        }
    }
    assert_eq!(won, 1);
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_was_lost_is_still_ours() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    claims.claim("w", "warm-up", "r", 0).await.expect("takes out the lease");
    kv.set_faults(KvFaults { lost_answers: 1, ..KvFaults::default() });
    assert!(claims.claim("w", "key", "r", 1).await.is_ok());
    assert_eq!(claims.claim("w", "key", "r", 2).await, Err(Refusal::DuplicateKey));
}

#[tokio::test(start_paused = true)]
async fn without_the_store_a_claim_is_refused() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    assert_eq!(claims.claim("w", "key", "r", 1).await, Err(Refusal::ClaimUnavailable));
    kv.set_faults(KvFaults::default());
    assert!(
        claims.claim("w", "key", "r", 2).await.is_ok(),
        "nothing ran, so it may be tried again"
    );
}

#[tokio::test(start_paused = true)]
async fn a_released_key_can_be_claimed_again_once() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    let ticket = claims.claim("w", "key", "r", 1).await.expect("claimed");
    claims.release(ticket.clone()).await.expect("released");
    assert!(claims.claim("w", "key", "r", 2).await.is_ok());
    assert_eq!(claims.claim("w", "key", "r", 3).await, Err(Refusal::DuplicateKey));
    let stale = claims.release(ticket).await;
    assert_eq!(stale, Err(StoreError::Conflict), "a former holder releases nothing");
}

#[tokio::test(start_paused = true)]
async fn claims_that_come_together_share_a_write() {
    let kv = KvStore::default();
    let claims = Claims::spawn(store(&kv));
    claims.claim("w", "warm-up", "r", 0).await.expect("takes out the lease");
    let before = kv.counts().writes;
    let keys: Vec<String> = (0..50).map(|n| format!("key{n}")).collect();
    let attempts: Vec<_> = keys.iter().map(|key| claims.claim("w", key, "r", 1)).collect();
    assert!(join_all(attempts).await.into_iter().all(|outcome| outcome.is_ok()));
    assert!(kv.counts().writes - before <= 2, "50 claims in one or two writes");
}
