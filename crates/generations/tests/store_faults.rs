//! Generations are consecutive and unique despite failures of the store and concurrent changes.

use std::time::Duration;

use pondwalk_generations::{
    ChangeError, EditError, OnConflict, add_roll_out, commit_edit, read_head, replace_policy,
    withdraw,
};
use pondwalk_standin::{KvFaults, KvStore};
use pondwalk_store::{Store, StoreError};
use pondwalk_types::{Policy, RollOut, VersionSpec, VersionState, WorkspacePolicy};

fn store(kv: &KvStore) -> Store {
    Store::new(kv.transport(), Duration::from_secs(1))
}

fn policy(versions: &[&str]) -> Policy {
    let mut policy = Policy::default();
    for version in versions {
        policy.versions.insert((*version).to_owned(), VersionSpec::default());
    }
    policy
}

async fn apply(store: &Store, id: u64, policy: &Policy) -> Result<u64, ChangeError> {
    let edit = |current: &Policy| Ok(replace_policy(current, policy, &[]));
    commit_edit(store, id, OnConflict::Abort, edit).await.map(|record| record.generation)
}

#[tokio::test(start_paused = true)]
async fn generations_are_consecutive() {
    let kv = KvStore::default();
    let store = store(&kv);
    for expected in 1..=5 {
        assert_eq!(apply(&store, expected, &policy(&["m/1"])).await, Ok(expected));
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_response_creates_only_one_generation() {
    let kv = KvStore::default();
    let store = store(&kv);
    kv.set_faults(KvFaults { lost_answers: 1, ..KvFaults::default() });
    assert_eq!(apply(&store, 7, &policy(&["m/1"])).await, Ok(1));
    assert_eq!(read_head(&store).await.map(|head| head.record.generation), Ok(1));
}

#[tokio::test(start_paused = true)]
async fn no_change_is_accepted_while_the_store_is_unavailable() {
    let kv = KvStore::default();
    let store = store(&kv);
    kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    let refused = apply(&store, 1, &policy(&["m/1"])).await;
    assert_eq!(refused, Err(ChangeError::Store(StoreError::Unreachable)));
    kv.set_faults(KvFaults::default());
    assert_eq!(read_head(&store).await.map(|head| head.record.generation), Ok(0));
}

#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_changes_reports_a_conflict() {
    let kv = KvStore::default();
    let slow = KvFaults { delay: Duration::from_millis(50), ..KvFaults::default() };
    kv.set_faults(slow);
    let store = store(&kv);
    let (first, second) = (policy(&["m/1"]), policy(&["m/2"]));
    let (a, b) = tokio::join!(apply(&store, 1, &first), apply(&store, 2, &second));
    let conflict = Err(ChangeError::Conflict { generation: 1 });
    assert!((a == Ok(1) && b == conflict) || (b == Ok(1) && a == conflict), "{a:?} {b:?}");
}

#[tokio::test(start_paused = true)]
async fn concurrent_withdrawals_both_take_effect() {
    let kv = KvStore::default();
    let store = store(&kv);
    apply(&store, 1, &policy(&["m/1", "m/2"])).await.expect("accepted");
    kv.set_faults(KvFaults { delay: Duration::from_millis(50), ..KvFaults::default() });
    let withdraw_version = |id, version: &'static str| {
        let store = store.clone();
        async move {
            let edit = |policy: &Policy| withdraw(policy, &version.to_owned());
            commit_edit(&store, id, OnConflict::Retry, edit).await.map(|record| record.generation)
        }
    };
    let (a, b) = tokio::join!(withdraw_version(2, "m/1"), withdraw_version(3, "m/2"));
    let mut generations = [a.expect("accepted"), b.expect("accepted")];
    generations.sort_unstable();
    assert_eq!(generations, [2, 3]);
    let head = read_head(&store).await.expect("readable").record.policy;
    assert!(head.versions.values().all(|spec| spec.state == VersionState::Withdrawn));
}

#[test]
fn a_policy_file_undoes_a_withdrawal_only_with_reinstate() {
    let file = policy(&["m/1", "m/2"]);
    let withdrawn = withdraw(&file, &"m/1".to_owned()).expect("known");
    let kept = replace_policy(&withdrawn, &file, &[]);
    assert_eq!(kept.versions["m/1"].state, VersionState::Withdrawn);
    let reinstated = replace_policy(&withdrawn, &file, &["m/1".to_owned()]);
    assert_eq!(reinstated.versions["m/1"].state, VersionState::Live);
}

#[test]
fn a_roll_out_allows_the_new_version_only_where_the_old_one_is_allowed() {
    let mut policy = policy(&["m/1", "m/2"]);
    let mut user = WorkspacePolicy::default();
    user.allowed_versions.insert("m/1".to_owned());
    policy.workspaces.insert("user".to_owned(), user);
    policy.workspaces.insert("stranger".to_owned(), WorkspacePolicy::default());
    let roll_out = RollOut { version: "m/2".to_owned(), replaces: "m/1".to_owned() };
    let next = add_roll_out(&policy, &roll_out).expect("accepted");
    assert!(next.workspaces["user"].allowed_versions.contains("m/2"));
    assert!(next.workspaces["stranger"].allowed_versions.is_empty());
    let withdrawn = withdraw(&next, &"m/2".to_owned()).expect("known");
    let again = add_roll_out(&withdrawn, &roll_out);
    assert_eq!(again, Err(EditError::Withdrawn("m/2".to_owned())));
}
