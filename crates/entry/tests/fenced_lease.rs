//! The holder of a lease stops relying on it before the store can grant it to another process.

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
async fn only_one_process_holds_the_lease() {
    let kv = KvStore::default();
    let first = FencedLease::acquire(&store(&kv), KEY, TTL).await.expect("the lease is free");
    assert!(!first.valid_for().is_zero());
    let second = FencedLease::acquire(&store(&kv), KEY, TTL).await;
    assert_eq!(second.err(), Some(StoreError::Conflict));
}

#[tokio::test(start_paused = true)]
async fn paused_holder_does_not_rely_on_an_expired_lease() {
    let kv = KvStore::default();
    let mut first = FencedLease::acquire(&store(&kv), KEY, TTL).await.expect("the lease is free");
    tokio::time::advance(Duration::from_millis(8_500)).await;
    assert!(first.valid_for().is_zero(), "invalid before the store releases the lease");
    let early = FencedLease::acquire(&store(&kv), KEY, TTL).await;
    assert_eq!(early.err(), Some(StoreError::Conflict));
    tokio::time::advance(Duration::from_secs(2)).await;
    let second = FencedLease::acquire(&store(&kv), KEY, TTL).await.expect("the lease has lapsed");
    assert!(second.fencing_token() > first.fencing_token());
    assert_eq!(first.renew().await, Err(StoreError::LeaseExpired));
    assert!(first.valid_for().is_zero());
}

#[tokio::test(start_paused = true)]
async fn slow_renewal_does_not_extend_the_validity() {
    let kv = KvStore::default();
    let mut lease = FencedLease::acquire(&store(&kv), KEY, TTL).await.expect("the lease is free");
    kv.set_faults(KvFaults { delay: Duration::from_secs(3), ..KvFaults::default() });
    lease.renew().await.expect("the lease is renewed");
    assert!(
        lease.valid_for() <= Duration::from_secs(5),
        "the validity is counted from before the renewal was sent"
    );
}

#[tokio::test(start_paused = true)]
async fn lease_expires_while_the_store_is_unreachable() {
    let kv = KvStore::default();
    let mut lease = FencedLease::acquire(&store(&kv), KEY, TTL).await.expect("the lease is free");
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    assert_eq!(lease.renew().await, Err(StoreError::Unreachable));
    tokio::time::advance(TTL).await;
    assert!(lease.valid_for().is_zero());
}
