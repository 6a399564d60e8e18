//! A holder stops relying on its lease before the store can give it to another.

use std::time::Duration;

use pondwalk_entry::lease::FencedLease;
use pondwalk_standin::{KvFaults, KvStore};
use pondwalk_store::{Store, StoreError};

const KEY: &str = "pondwalk/conductor";
const TTL: Duration = Duration::from_secs(10);

fn store(kv: &KvStore) -> Store {
    Store::new(kv.transport(), Duration::from_secs(5))
}

#[tokio::test(start_paused = true)]
async fn one_holds_it_at_a_time() {
    let kv = KvStore::default();
    let first = FencedLease::take(&store(&kv), KEY, TTL).await.expect("free");
    assert!(!first.valid_for().is_zero());
    let second = FencedLease::take(&store(&kv), KEY, TTL).await;
    assert_eq!(second.err(), Some(StoreError::Conflict));
}

#[tokio::test(start_paused = true)]
async fn a_paused_holder_wakes_to_a_lease_it_does_not_rely_on() {
    let kv = KvStore::default();
    let mut first = FencedLease::take(&store(&kv), KEY, TTL).await.expect("free");
    tokio::time::advance(Duration::from_millis(8_500)).await;
    assert!(first.valid_for().is_zero(), "before the store lets go of it");
    let early = FencedLease::take(&store(&kv), KEY, TTL).await;
    assert_eq!(early.err(), Some(StoreError::Conflict));
    tokio::time::advance(Duration::from_secs(2)).await;
    let second = FencedLease::take(&store(&kv), KEY, TTL).await.expect("lapsed");
    assert!(second.fence() > first.fence());
    assert_eq!(first.renew().await, Err(StoreError::LeaseLapsed));
    assert!(first.valid_for().is_zero());
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_shortens_the_time_and_does_not_lengthen_it() {
    let kv = KvStore::default();
    let mut lease = FencedLease::take(&store(&kv), KEY, TTL).await.expect("free");
    kv.set_faults(KvFaults { delay: Duration::from_secs(3), ..KvFaults::default() });
    lease.renew().await.expect("renewed");
    assert!(lease.valid_for() <= Duration::from_secs(5), "counted from before it was sent");
}

#[tokio::test(start_paused = true)]
async fn without_the_store_the_time_runs_out() {
    let kv = KvStore::default();
    let mut lease = FencedLease::take(&store(&kv), KEY, TTL).await.expect("free");
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    assert_eq!(lease.renew().await, Err(StoreError::Unreachable));
    tokio::time::advance(TTL).await;
    assert!(lease.valid_for().is_zero());
}
