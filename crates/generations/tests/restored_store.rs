//! Generations are neither lost nor given out twice unnoticed when the store is restored from a
//! copy.

use std::time::Duration;

use pondwalk_config::PolicyRecord;
use pondwalk_generations::{OnConflict, commit_edit, read_head, read_head_since, withdraw};
use pondwalk_standin::{KvFaults, KvStore};
use pondwalk_store::Store;
use pondwalk_types::{Policy, VersionSpec, VersionState};

fn store(kv: &KvStore) -> Store {
    Store::new(kv.transport(), Duration::from_secs(1))
}

/// Adds a version to the configuration in force.
async fn add(store: &Store, change_id: u64, version: &str) -> PolicyRecord {
    let edit = |current: &Policy| {
        let mut next = current.clone();
        next.versions.insert(version.to_owned(), VersionSpec::default());
        Ok(next)
    };
    commit_edit(store, change_id, OnConflict::Retry, edit).await.expect("accepted")
}

fn versions(record: &PolicyRecord) -> Vec<&str> {
    record.policy.versions.keys().map(String::as_str).collect()
}

#[tokio::test(start_paused = true)]
async fn lost_generations_are_written_back_unchanged() {
    let kv = KvStore::default();
    let store = store(&kv);
    let empty = kv.copy();
    add(&store, 1, "m/1").await;
    let first = kv.copy();
    add(&store, 2, "m/2").await;
    let known = add(&store, 3, "m/3").await;
    for copy in [&first, &empty] {
        kv.restore(copy);
        let head = read_head_since(&store, Some(&known)).await.expect("up");
        assert_eq!(head.record, known);
        assert_eq!(read_head(&store).await, Ok(head));
    }
    assert_eq!(add(&store, 4, "m/4").await.generation, 4);
}

#[tokio::test(start_paused = true)]
async fn changes_after_a_restoration_get_a_new_generation_and_keep_withdrawals() {
    // The change is accepted under a number below, equal to and above the lost ones.
    for changes in 1..=4 {
        let kv = KvStore::default();
        let store = store(&kv);
        add(&store, 1, "m/1").await;
        let copy = kv.copy();
        add(&store, 2, "m/2").await;
        let edit = |policy: &_| withdraw(policy, &"m/1".to_owned());
        let known = commit_edit(&store, 3, OnConflict::Retry, edit).await.expect("accepted");
        kv.restore(&copy);
        for change in 0..changes {
            add(&store, 10 + change, &format!("n/{change}")).await;
        }
        let accepted = read_head(&store).await.expect("up").record;
        let merged = read_head_since(&store, Some(&known)).await.expect("up").record;
        assert!(merged.generation > known.generation.max(accepted.generation));
        assert_eq!(merged.change_id, accepted.change_id);
        assert!(merged.policy.versions.contains_key("n/0"), "{:?}", versions(&merged));
        let withdrawn = merged.policy.versions.get("m/1").map(|spec| spec.state);
        assert_eq!(withdrawn, Some(VersionState::Withdrawn));
        // Both records that it follows are known as earlier ones, to any entry.
        for earlier in [&known, &accepted, &merged] {
            let head = read_head_since(&store, Some(earlier)).await.expect("up");
            assert_eq!(head.record, merged);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn entries_that_recover_at_once_write_one_generation() {
    let kv = KvStore::default();
    let store = store(&kv);
    add(&store, 1, "m/1").await;
    let copy = kv.copy();
    let known = add(&store, 2, "m/2").await;
    kv.restore(&copy);
    add(&store, 3, "m/3").await;
    kv.set_faults(KvFaults { delay: Duration::from_millis(50), ..KvFaults::default() });
    let both =
        tokio::join!(read_head_since(&store, Some(&known)), read_head_since(&store, Some(&known)));
    let (first, second) = (both.0.expect("up").record, both.1.expect("up").record);
    assert_eq!(first, second);
    assert_eq!(first.generation, 3);
}

#[tokio::test(start_paused = true)]
async fn later_generations_are_read_as_they_are() {
    let kv = KvStore::default();
    let store = store(&kv);
    let known = add(&store, 1, "m/1").await;
    for change in 2..=400 {
        add(&store, change, "m/2").await;
    }
    let head = read_head(&store).await.expect("up");
    assert_eq!(read_head_since(&store, Some(&known)).await, Ok(head.clone()));
    // Records written by earlier versions name no ancestors.
    let old = PolicyRecord { ancestors: Vec::new(), ..known };
    assert_eq!(read_head_since(&store, Some(&old)).await, Ok(head));
}
