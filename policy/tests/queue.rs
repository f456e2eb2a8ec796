//! Tests of the queue of a pool.

use policy::{
    id::{Key, Time},
    queue::{Item, Queue},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};

fn item(workspace: &str, request: &str, priority: i32, deadline: u64) -> Item {
    Item {
        key: Key::new(workspace, "fit", request),
        priority,
        share: 1.0,
        deadline: Duration::from_secs(deadline),
        cost: 1.0,
    }
}

fn pop_all(queue: &mut Queue) -> Vec<String> {
    std::iter::from_fn(|| queue.pop())
        .map(|item| item.key.request.to_string())
        .collect()
}

#[rstest]
#[case::priority_first(&[("a", "1", 0, 1), ("a", "2", 5, 9), ("b", "3", 5, 8)], "2 3 1")]
#[case::then_shares(&[("a", "1", 0, 1), ("a", "2", 0, 2), ("a", "3", 0, 3), ("b", "4", 0, 9)], "1 4 2 3")]
#[case::then_deadline(&[("a", "1", 0, 9), ("a", "2", 0, 3), ("a", "3", 0, 6)], "2 3 1")]
#[case::then_arrival(&[("a", "1", 0, 5), ("a", "2", 0, 5), ("a", "3", 0, 5)], "1 2 3")]
fn items_are_ordered_by_priority_share_deadline_and_arrival(
    #[case] pushes: &[(&str, &str, i32, u64)],
    #[case] expected: &str,
) {
    let mut queue = Queue::new(8);
    for &(workspace, request, priority, deadline) in pushes {
        queue
            .push(item(workspace, request, priority, deadline))
            .unwrap();
    }
    assert_eq!(pop_all(&mut queue).join(" "), expected);
}

#[rstest]
#[case::equal(1.0, 1.0, 1.0, 30)]
#[case::double_share(2.0, 1.0, 1.0, 40)]
#[case::half_share(1.0, 2.0, 1.0, 20)]
#[case::double_cost(1.0, 1.0, 2.0, 20)]
fn service_converges_to_the_shares(
    #[case] ours: f64,
    #[case] theirs: f64,
    #[case] cost: f64,
    #[case] expected: usize,
) {
    let mut queue = Queue::new(1_000);
    for at in 0..200 {
        let share = |share, cost| {
            move |item| Item {
                share,
                cost,
                ..item
            }
        };
        queue
            .push(share(ours, cost)(item("a", &at.to_string(), 0, at)))
            .unwrap();
        queue
            .push(share(theirs, 1.0)(item("b", &at.to_string(), 0, at)))
            .unwrap();
    }
    let served = (0..60).filter_map(|_| queue.pop());
    let count = served.filter(|item| item.key.workspace == "a").count();
    assert!(count.abs_diff(expected) <= 1, "{count} of 60 items");
}

#[test]
fn idle_workspace_accumulates_no_credit() {
    let mut queue = Queue::new(1_000);
    for at in 0..200 {
        queue.push(item("a", &at.to_string(), 0, at)).unwrap();
    }
    (0..100).for_each(|_| drop(queue.pop()));
    for at in 0..50 {
        queue.push(item("b", &at.to_string(), 0, at)).unwrap();
    }
    let served = (0..20).filter_map(|_| queue.pop());
    let count = served.filter(|item| item.key.workspace == "b").count();
    assert!(count.abs_diff(10) <= 1, "{count} of 20 items");
}

#[rstest]
#[case::heaviest_workspace_is_evicted(("c", 0, 5), "a3")]
#[case::heaviest_workspace_is_refused(("a", 0, 99), "new")]
#[case::heaviest_workspace_with_an_earlier_deadline(("a", 0, 1), "a3")]
#[case::low_priority_refused(("c", -1, 1), "new")]
#[case::high_priority_evicts(("a", 1, 99), "a3")]
fn full_queue_refuses_the_eviction_candidate(
    #[case] (workspace, priority, deadline): (&str, i32, u64),
    #[case] expected: &str,
) {
    let mut queue = Queue::new(4);
    for (workspace, request, deadline) in [
        ("a", "a1", 1),
        ("a", "a2", 2),
        ("a", "a3", 3),
        ("b", "b1", 90),
    ] {
        queue.push(item(workspace, request, 0, deadline)).unwrap();
    }
    let refused = queue
        .push(item(workspace, "new", priority, deadline))
        .unwrap_err();
    assert_eq!(refused.key.request, expected);
    assert_eq!(queue.len(), 4);
}

#[test]
fn empty_priority_level_is_skipped_by_eviction() {
    let mut queue = Queue::new(1);
    queue.push(item("a", "low", -1, 1)).unwrap();
    queue.pop().unwrap();
    queue.push(item("a", "usual", 0, 1)).unwrap();
    let refused = queue.push(item("a", "high", 1, 1)).unwrap_err();
    assert_eq!(refused.key.request, "usual");
}

#[test]
fn duplicate_key_is_refused() {
    let mut queue = Queue::new(4);
    queue.push(item("a", "1", 0, 1)).unwrap();
    let refused = queue.push(item("a", "1", 0, 7)).unwrap_err();
    assert_eq!(refused.deadline, Duration::from_secs(7));
    assert_eq!(queue.len(), 1);
}

#[test]
fn requeued_items_keep_their_position_and_share() {
    let mut queue = Queue::new(8);
    for (workspace, request) in [("a", "1"), ("a", "2"), ("b", "3"), ("b", "4")] {
        queue.push(item(workspace, request, 0, 5)).unwrap();
    }
    let expected = pop_all(&mut queue);
    for (workspace, request) in [("a", "1"), ("a", "2"), ("b", "3"), ("b", "4")] {
        queue.push(item(workspace, request, 0, 5)).unwrap();
    }
    for _ in 0..5 {
        let popped = [
            queue.pop().unwrap(),
            queue.pop().unwrap(),
            queue.pop().unwrap(),
        ];
        popped
            .into_iter()
            .rev()
            .for_each(|item| queue.requeue(item));
    }
    assert_eq!(pop_all(&mut queue), expected);
}

#[rstest]
#[case(0, &[], 6)]
#[case(2, &["1"], 5)]
#[case(4, &["1", "2", "3"], 3)]
#[case(99, &["1", "2", "3", "4", "5", "6"], 0)]
fn items_past_their_deadline_expire(
    #[case] time: u64,
    #[case] expected: &[&str],
    #[case] left: usize,
) {
    let mut queue = Queue::new(8);
    for at in 1..=6 {
        queue
            .push(item(
                "a",
                &at.to_string(),
                at % 2,
                u64::try_from(at).unwrap(),
            ))
            .unwrap();
    }
    let late = queue.expire(Duration::from_secs(time));
    let names: Vec<_> = late.iter().map(|item| item.key.request.as_str()).collect();
    assert_eq!(names, expected);
    assert_eq!(queue.len(), left);
}

#[rstest]
#[case(9, 0.0)]
#[case(5, 2.0)]
#[case(0, 3.0)]
#[case(-9, 4.0)]
fn backlog_counts_items_of_equal_or_higher_priority(#[case] priority: i32, #[case] expected: f64) {
    let mut queue = Queue::new(8);
    for (request, level) in [("1", 5), ("2", 5), ("3", 0), ("4", -1)] {
        queue.push(item("a", request, level, 5)).unwrap();
    }
    assert!((queue.backlog(priority) - expected).abs() < 1e-9);
}

#[derive(Clone, Debug)]
enum Operation {
    Push {
        workspace: u8,
        request: u8,
        priority: i32,
        deadline: u64,
    },
    Pop,
    PopAndRequeue(usize),
    Remove {
        workspace: u8,
        request: u8,
    },
    Expire(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    let push = (0..4_u8, any::<u8>(), 0..3, 0..50_u64);
    prop_oneof![
        6 => push.prop_map(|(workspace, request, priority, deadline)| Operation::Push {
            workspace, request, priority, deadline,
        }),
        3 => Just(Operation::Pop),
        1 => (0..4_usize).prop_map(Operation::PopAndRequeue),
        1 => (0..4_u8, any::<u8>()).prop_map(|(workspace, request)| Operation::Remove { workspace, request }),
        1 => (0..20_u64).prop_map(Operation::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn no_item_is_lost_and_capacity_is_respected(operations in vec(operation(), 0..200)) {
        const CAPACITY: usize = 12;
        let mut queue = Queue::new(CAPACITY);
        let mut waiting: BTreeMap<Key, Item> = BTreeMap::new();
        for operation in operations {
            match operation {
                Operation::Push { workspace, request, priority, deadline } => {
                    let new = item(&workspace.to_string(), &request.to_string(), priority, deadline);
                    let known = waiting.contains_key(&new.key);
                    let refused = queue.push(new.clone()).err().map(|item| *item);
                    prop_assert_eq!(refused.is_some(), known || waiting.len() == CAPACITY);
                    if !known {
                        waiting.insert(new.key.clone(), new);
                        if let Some(refused) = refused {
                            prop_assert_eq!(waiting.remove(&refused.key), Some(refused));
                        }
                    }
                }
                Operation::Pop => {
                    let popped = queue.pop();
                    prop_assert_eq!(popped.is_some(), !waiting.is_empty());
                    if let Some(popped) = popped {
                        let highest = waiting.values().map(|item| item.priority).max();
                        prop_assert_eq!(Some(popped.priority), highest);
                        prop_assert_eq!(waiting.remove(&popped.key), Some(popped));
                    }
                }
                Operation::PopAndRequeue(count) => {
                    let popped: Vec<_> = (0..count).filter_map(|_| queue.pop()).collect();
                    let expected: Vec<_> = popped.iter().map(|item| item.key.clone()).collect();
                    popped.into_iter().rev().for_each(|item| queue.requeue(item));
                    let again: Vec<_> = (0..count).filter_map(|_| queue.pop()).collect();
                    let found: Vec<_> = again.iter().map(|item| item.key.clone()).collect();
                    prop_assert_eq!(found, expected);
                    again.into_iter().rev().for_each(|item| queue.requeue(item));
                }
                Operation::Remove { workspace, request } => {
                    let key = Key::new(workspace.to_string(), "fit", request.to_string());
                    prop_assert_eq!(queue.remove(&key), waiting.remove(&key));
                }
                Operation::Expire(time) => {
                    let time = Time::from_secs(time);
                    for late in queue.expire(time) {
                        prop_assert!(late.deadline < time);
                        prop_assert_eq!(waiting.remove(&late.key), Some(late));
                    }
                    prop_assert!(waiting.values().all(|item| item.deadline >= time));
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            let cost: f64 = waiting.values().map(|item| item.cost).sum();
            prop_assert!((queue.backlog(i32::MIN) - cost).abs() < 1e-6);
        }
    }
}

#[rstest]
#[case::own_items_with_their_shares("a", 0, 4.0)]
#[case::no_own_items("c", 0, 0.0)]
#[case::no_more_than_all_others("b", 0, 5.0)]
#[case::higher_priority_goes_first("c", -1, 5.0)]
fn work_ahead_follows_the_shares(
    #[case] workspace: &str,
    #[case] priority: i32,
    #[case] expected: f64,
) {
    let mut queue = Queue::new(8);
    for (workspace, request) in [("a", "1"), ("a", "2"), ("b", "3"), ("b", "4"), ("b", "5")] {
        queue.push(item(workspace, request, 0, 9)).unwrap();
    }
    let ahead = queue.work_ahead(&workspace.into(), priority);
    assert!((ahead - expected).abs() < 1e-9, "{ahead}");
}
