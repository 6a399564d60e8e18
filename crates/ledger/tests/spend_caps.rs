//! Spend caps are kept across many processes, lost responses and an outage of the store.

use std::time::Duration;

use futures::future::join_all;
use pondwalk_ledger::spend::{allocate_slice, release_unspent};
use pondwalk_standin::{KvFaults, KvStore};
use pondwalk_store::{Store, StoreError};

const CAP: f64 = 100.0;

fn store(kv: &KvStore) -> Store {
    Store::new(kv.transport(), Duration::from_secs(1))
}

#[tokio::test(start_paused = true)]
async fn slices_of_many_processes_sum_to_the_cap() {
    let kv = KvStore::default();
    let workspace = "w".to_owned();
    let mut total = 0.0;
    for round in 0..30_u64 {
        let allocations = (0..4).map(|n| {
            let (store, workspace) = (store(&kv), workspace.clone());
            async move { allocate_slice(&store, &workspace, 1, CAP, round * 10 + n + 1).await }
        });
        total += join_all(allocations).await.into_iter().flatten().sum::<f64>();
    }
    assert!((total - CAP).abs() < 1e-6, "{total}");
}

#[tokio::test(start_paused = true)]
async fn a_lost_response_allocates_only_one_slice() {
    let kv = KvStore::default();
    let (store, workspace) = (store(&kv), "w".to_owned());
    kv.set_faults(KvFaults { lost_answers: 1, ..KvFaults::default() });
    let slice =
        allocate_slice(&store, &workspace, 1, CAP, 7).await.expect("resolved by reading back");
    assert!((slice - CAP / 40.0).abs() < 1e-9);
    let mut rest = 0.0;
    for id in 100..200 {
        rest += allocate_slice(&store, &workspace, 1, CAP, id).await.expect("up");
    }
    assert!((slice + rest - CAP).abs() < 1e-6);
}

#[tokio::test(start_paused = true)]
async fn a_released_amount_can_be_allocated_again() {
    let kv = KvStore::default();
    let (store, workspace) = (store(&kv), "w".to_owned());
    for id in 1..=40 {
        allocate_slice(&store, &workspace, 1, CAP, id).await.expect("up");
    }
    assert_eq!(allocate_slice(&store, &workspace, 1, CAP, 50).await, Ok(0.0));
    release_unspent(&store, &workspace, 1, 1.5, 51).await.expect("up");
    let slice = allocate_slice(&store, &workspace, 1, CAP, 52).await.expect("up");
    assert!((slice - 1.5).abs() < 1e-9);
    assert!(allocate_slice(&store, &workspace, 2, CAP, 53).await.expect("up") > 0.0, "a new day");
}

#[tokio::test(start_paused = true)]
async fn no_slice_is_allocated_while_the_store_is_unavailable() {
    let kv = KvStore::default();
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    let slice = allocate_slice(&store(&kv), &"w".to_owned(), 1, CAP, 1).await;
    assert_eq!(slice, Err(StoreError::Unreachable));
}
