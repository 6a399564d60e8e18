//! View of the other entries' work: sums along a tree, expiry, and messages that must have no
//! effect.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_decide::direct::{
    Demand, LoadOrigin, LoadRole, LoadSummary, LoadSummaryError, LoadView, MAX_SERVERS, ServerWork,
    ServiceWork,
};

const INTERVAL: Duration = Duration::from_millis(100);
/// Service and workspace in the summaries.
const SERVICE: u64 = 1;
const WORKSPACE: u64 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn origin(key: u64, role: LoadRole) -> LoadOrigin {
    LoadOrigin { key, role, interval: INTERVAL }
}

/// Work at one server, with every kind of value; integers, so that sums are exact.
fn work(server: u64, queued_ms: f32) -> LoadSummary {
    let work =
        ServerWork { queued_ms, waiting: 2, running: 3, pace_log_sum: 1.0, pace_samples: 4.0 };
    let service = ServiceWork { requests: [1, 2, 3, 4], prefill_ms_per_s: 5.0 };
    LoadSummary {
        servers: BTreeMap::from([(server, work)]),
        services: BTreeMap::from([(SERVICE, service)]),
        demands: BTreeMap::from([((SERVICE, WORKSPACE), Demand { offered_ms_per_s: 6.0 })]),
    }
}

fn queued_ms(summary: Option<LoadSummary>, server: u64) -> Option<f32> {
    summary?.servers.get(&server).map(|work| work.queued_ms)
}

/// A view that has received one summary from its parent, at 1 s.
fn view_with_parent(queued_ms: f32) -> LoadView {
    let mut view = LoadView::new(INTERVAL);
    let parent = origin(10, LoadRole::Parent);
    view.receive(parent, 7, 5, work(1, queued_ms), ms(1_000)).expect("valid");
    view
}

/// Guards against queued prefill that is counted as if no time had passed since the message.
#[test]
fn queued_prefill_falls_with_time() {
    let view = view_with_parent(80.0);
    assert_eq!(queued_ms(view.peers(ms(1_000)), 1), Some(80.0));
    assert_eq!(queued_ms(view.peers(ms(1_050)), 1), Some(30.0));
    let later = view.peers(ms(1_200)).expect("fresh");
    assert_eq!((later.servers[&1].queued_ms, later.servers[&1].running), (0.0, 3));
}

/// Guards against subtracting the time once for each sender: a server works off only a millisecond
/// per millisecond, whoever sent the work.
#[test]
fn elapsed_time_is_subtracted_once_for_all_senders() {
    let mut view = LoadView::new(INTERVAL);
    view.set_root(true);
    for child in 1..=16 {
        let child = origin(child, LoadRole::Child);
        view.receive(child, 7, 1, work(1, 20.0), ms(1_000)).expect("valid");
    }
    let left = queued_ms(view.peers(ms(1_050)), 1).expect("fresh");
    assert!((left - 270.0).abs() < 0.1, "{left} ms of 320 are left after 50 ms");
}

/// Guards against messages that arrive twice or out of order and restore an earlier state.
#[test]
fn duplicate_and_older_messages_have_no_effect() {
    let mut view = view_with_parent(80.0);
    let parent = origin(10, LoadRole::Parent);
    for sequence in [5, 4] {
        view.receive(parent, 7, sequence, work(1, 999.0), ms(1_900)).expect("valid");
        assert_eq!(queued_ms(view.peers(ms(1_000)), 1), Some(80.0), "sequence {sequence}");
    }
    assert_eq!(view.peers(ms(2_000)), None, "they do not renew the view either");
    view.receive(parent, 7, 6, work(1, 50.0), ms(2_000)).expect("valid");
    assert_eq!(queued_ms(view.peers(ms(2_000)), 1), Some(50.0));
}

/// Guards against a restarted sender that is ignored since it counts from 1 again, and against
/// delayed messages of the process before.
#[test]
fn restarted_sender_replaces_its_earlier_incarnation() {
    let mut view = view_with_parent(80.0);
    let parent = origin(10, LoadRole::Parent);
    view.receive(parent, 8, 1, work(1, 40.0), ms(1_010)).expect("valid");
    view.receive(parent, 7, 9, work(1, 999.0), ms(1_010)).expect("valid");
    assert_eq!(queued_ms(view.peers(ms(1_010)), 1), Some(40.0));
}

/// Guards against work of a failed child that is counted for ever.
#[test]
fn dead_child_is_dropped_after_five_intervals() {
    let mut view = view_with_parent(0.0);
    let (dead, slow) = (origin(20, LoadRole::Child), origin(21, LoadRole::Child));
    let slow = LoadOrigin { interval: ms(300), ..slow };
    view.receive(dead, 1, 1, work(2, 1_000.0), ms(1_000)).expect("valid");
    view.receive(slow, 1, 1, work(3, 1_000.0), ms(1_000)).expect("valid");
    let subtree =
        |view: &LoadView, now| view.for_peer(10, LoadRole::Parent, &LoadSummary::default(), now);
    let has = |at| {
        let servers = subtree(&view, at).servers;
        (servers.contains_key(&2), servers.contains_key(&3))
    };
    assert_eq!(has(ms(1_499)), (true, true));
    assert_eq!(has(ms(1_500)), (false, true));
    assert_eq!(has(ms(2_499)), (false, true), "one that announced a longer interval stays longer");
    assert_eq!(has(ms(2_500)), (false, false));
}

/// Guards against a view without recent messages that is read as "no work".
#[test]
fn view_without_messages_is_not_fresh() {
    assert_eq!(LoadView::new(INTERVAL).peers(ms(5_000)), None);
    let view = view_with_parent(2_000.0);
    assert_eq!(queued_ms(view.peers(ms(1_999)), 1), Some(1_001.0));
    assert_eq!(view.peers(ms(2_000)), None);
    assert_eq!(view.age(ms(2_500)), Some(ms(1_500)));
}

/// Guards against a view that knows only its subtree, while its parent is silent, and passes for
/// the sum over all entries.
#[test]
fn messages_of_children_keep_only_a_root_fresh() {
    let mut view = view_with_parent(0.0);
    for sequence in 1..20 {
        let child = origin(20, LoadRole::Child);
        view.receive(child, 1, sequence, work(2, 1.0), ms(1_000 + 100 * sequence)).expect("valid");
    }
    assert_eq!(view.peers(ms(2_900)), None);
    view.set_root(true);
    assert!(view.peers(ms(2_900)).is_some());
}

/// Guards against an entry that takes its own work for that of others, and against a subtree's sum
/// that contains work from above.
#[test]
fn contributions_do_not_circulate() {
    let mut view = LoadView::new(INTERVAL);
    for (key, role) in [(20, LoadRole::Child), (21, LoadRole::Child), (30, LoadRole::Root)] {
        view.receive(origin(key, role), 1, 1, work(key, 100.0), ms(1_000)).expect("valid");
    }
    let own = work(1, 100.0);
    let sent = |key, role| {
        let sent = view.for_peer(key, role, &own, ms(1_000));
        sent.servers.into_keys().collect::<Vec<_>>()
    };
    assert_eq!(sent(20, LoadRole::Child), [1, 21, 30]);
    assert_eq!(sent(30, LoadRole::Root), [1, 20, 21]);
    assert_eq!(sent(40, LoadRole::Root), [1, 20, 21], "nothing of one root goes to another");
    assert_eq!(sent(10, LoadRole::Parent), [1, 20, 21]);
}

/// Guards against counting work twice when an entry ceases to be a root or changes its parent, and
/// against sums that grow in circles while two entries regard each other as parents.
#[test]
fn changes_of_the_tree_do_not_count_work_twice() {
    let mut view = LoadView::new(INTERVAL);
    let received = |view: &mut LoadView, key, role, sequence, server| {
        view.receive(origin(key, role), 1, sequence, work(server, 100.0), ms(1_000))
            .expect("valid");
    };
    received(&mut view, 30, LoadRole::Root, 1, 1);
    received(&mut view, 31, LoadRole::Parent, 1, 1);
    assert_eq!(
        queued_ms(view.peers(ms(1_000)), 1),
        Some(100.0),
        "the parent's includes the root's"
    );
    received(&mut view, 32, LoadRole::Parent, 1, 1);
    assert_eq!(queued_ms(view.peers(ms(1_000)), 1), Some(100.0), "one parent at a time");
    received(&mut view, 32, LoadRole::Child, 2, 1);
    let subtree = view.for_peer(99, LoadRole::Root, &LoadSummary::default(), ms(1_000));
    assert!(subtree.servers.is_empty(), "a parent's work is not part of the subtree");
}

/// Guards against values that would make every later sum useless.
#[test]
fn invalid_summaries_are_rejected() {
    let invalid = [
        (f32::NAN, LoadSummaryError::NotFinite),
        (f32::INFINITY, LoadSummaryError::NotFinite),
        (-1.0, LoadSummaryError::OutOfRange),
        (1e10, LoadSummaryError::OutOfRange),
    ];
    for (queued, error) in invalid {
        let mut view = view_with_parent(80.0);
        let result = view.receive(origin(10, LoadRole::Parent), 7, 6, work(1, queued), ms(1_900));
        assert_eq!(result, Err(error), "{queued}");
        assert_eq!(queued_ms(view.peers(ms(1_010)), 1), Some(70.0));
        assert_eq!(view.peers(ms(2_000)), None, "it does not renew the view");
    }
}

/// Guards against messages that grow with the number of servers without a limit.
#[test]
fn only_the_busiest_servers_are_sent() {
    let mut own = LoadSummary::default();
    for server in 0..3_000 {
        own.servers
            .insert(server, ServerWork { queued_ms: server as f32, ..ServerWork::default() });
    }
    let view = LoadView::new(INTERVAL);
    let sent = view.for_peer(10, LoadRole::Parent, &own, ms(0)).servers;
    assert_eq!(sent.len(), MAX_SERVERS);
    assert!(sent.keys().all(|server| *server >= 3_000 - MAX_SERVERS as u64));
    own.servers.retain(|server, _| *server < 10);
    let sent = view.for_peer(10, LoadRole::Parent, &own, ms(0)).servers;
    assert_eq!(sent.len(), 9, "servers without work are left out");
}

/// Parent of each entry in a tree of roots, branches (if any) and leaves; `None` for roots.
fn parents(entries: usize, roots: usize, branches: usize) -> Vec<Option<usize>> {
    let parent = |entry: usize| match entry.checked_sub(roots)? {
        other if branches == 0 || other < branches => Some(other % roots),
        other => Some(roots + (other - branches) % branches),
    };
    (0..entries).map(parent).collect()
}

/// Guards against work that is lost or counted twice on its way through the tree, at the sizes of
/// the first deployment (27 entries, two roots) and of the largest one (357, with branches).
#[test]
fn every_entry_learns_the_sum_over_all_others() {
    for (entries, roots, branches, rounds) in [(27, 2, 0, 3), (357, 3, 21, 5)] {
        let parents = parents(entries, roots, branches);
        let mut views: Vec<_> = (0..entries).map(|_| LoadView::new(INTERVAL)).collect();
        let own: Vec<_> = (0..entries).map(|n| work(n as u64 % 50, (n % 9) as f32)).collect();
        let now = ms(1_000);
        let mut sequence = 0;
        let mut send = |views: &mut Vec<LoadView>, from: usize, to: usize, role, role_of_to| {
            sequence += 1;
            let sent = views[from].for_peer(to as u64, role_of_to, &own[from], now);
            views[to].receive(origin(from as u64, role), 1, sequence, sent, now).expect("valid");
        };
        for _ in 0..rounds {
            for (entry, parent) in parents.iter().enumerate() {
                views[entry].set_root(parent.is_none());
                if let Some(parent) = *parent {
                    send(&mut views, entry, parent, LoadRole::Child, LoadRole::Parent);
                    send(&mut views, parent, entry, LoadRole::Parent, LoadRole::Child);
                    continue;
                }
                for other in (0..roots).filter(|other| *other != entry) {
                    send(&mut views, entry, other, LoadRole::Root, LoadRole::Root);
                    send(&mut views, other, entry, LoadRole::Root, LoadRole::Root);
                }
            }
        }
        for (entry, view) in views.iter().enumerate() {
            let mut expected = LoadSummary::default();
            let others = own.iter().enumerate().filter(|(other, _)| *other != entry);
            others.for_each(|(_, work)| expected.add(work));
            assert_eq!(view.peers(now), Some(expected), "entry {entry} of {entries}");
        }
    }
}
