//! The fair queue compared with a simple model, and its fairness to small accounts.

use std::sync::Arc;

use bolero::check;
use medlarfall_coordination::fair_queue::{FairQueue, Item};

fn item(account: &str, weight: u64, cost: u64, value: usize) -> Item<usize> {
    Item {
        account: Arc::from(account),
        weight,
        priority: 0,
        cost,
        value,
    }
}

/// Returns how many of the next `count` items belong to `account`.
fn served(queue: &mut FairQueue<usize>, count: usize, account: &str) -> usize {
    (0..count)
        .filter_map(|_| queue.pop(|_| true))
        .filter(|item| *item.account == *account)
        .count()
}

#[test]
fn items_are_returned_once_and_in_order_within_an_account() {
    check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|steps| {
            let mut queue = FairQueue::new();
            let mut waiting: Vec<(String, usize)> = Vec::new();
            for (number, (account, cost, pop)) in steps.iter().enumerate() {
                let account = format!("account-{}", account % 5);
                queue.push(item(&account, 1, (*cost).into(), number));
                waiting.push((account, number));
                let Some(popped) = pop.then(|| queue.pop(|_| true)).flatten() else {
                    continue;
                };
                let first = waiting
                    .iter()
                    .position(|(account, _)| **account == *popped.account);
                let (_, number) = waiting.remove(first.expect("the account has a queued item"));
                assert_eq!(number, popped.value);
            }
            assert_eq!(queue.len(), waiting.len());
            let rest = std::iter::from_fn(|| queue.pop(|_| true)).count();
            assert_eq!(rest, waiting.len());
            assert!(queue.is_empty());
        });
}

#[test]
fn shares_follow_the_weights() {
    let mut queue = FairQueue::new();
    for number in 0..400 {
        queue.push(item("heavy", 3, 10, number));
        queue.push(item("light", 1, 10, number));
    }
    let heavy = served(&mut queue, 400, "heavy");
    assert!(
        (299..=301).contains(&heavy),
        "{heavy} of 400 for three quarters of the weight"
    );
}

#[test]
fn a_small_account_waits_for_one_item_of_a_large_one_at_most() {
    let mut queue = FairQueue::new();
    for number in 0..1_000 {
        queue.push(item("large", 1, 10, number));
    }
    served(&mut queue, 500, "large");
    queue.push(item("small", 1, 10, 0));
    assert_eq!(served(&mut queue, 2, "small"), 1);
}

#[test]
fn leaving_and_returning_gives_no_advantage() {
    let mut queue = FairQueue::new();
    let mut flapping = 0;
    for round in 0..100 {
        queue.push(item("steady", 1, 10, round));
        queue.push(item("steady", 1, 10, round));
        queue.push(item("flapping", 1, 10, round));
        flapping += served(&mut queue, 1, "flapping");
    }
    assert!(
        flapping <= 51,
        "{flapping} of 100 for the account that leaves and returns"
    );
}

#[test]
fn an_account_that_does_not_fit_is_passed_over_and_keeps_its_turn() {
    let mut queue = FairQueue::new();
    queue.push(item("wide", 1, 100, 1));
    queue.push(item("narrow", 1, 1, 2));
    assert_eq!(
        queue.pop(|item| item.cost < 50).map(|item| item.value),
        Some(2)
    );
    assert_eq!(queue.pop(|_| true).map(|item| item.value), Some(1));
}

#[test]
fn removed_items_are_returned() {
    let mut queue = FairQueue::new();
    for number in 0..10 {
        queue.push(item(&format!("account-{}", number % 3), 1, 1, number));
    }
    let removed = queue.remove(|item| item.value % 2 == 0);
    let mut removed: Vec<usize> = removed.into_iter().map(|item| item.value).collect();
    removed.sort_unstable();
    assert_eq!(removed, [1, 3, 5, 7, 9]);
    assert_eq!(queue.len(), 5);
}

#[test]
fn an_item_that_does_not_fit_blocks_its_account_only_at_the_passed_over_limit() {
    let mut queue = FairQueue::new();
    queue.push(item("one", 1, 100, 0));
    for number in 1..=1_000 {
        queue.push(item("one", 1, 1, number));
    }
    let small = std::iter::from_fn(|| queue.pop(|item| item.cost < 50)).count();
    assert_eq!(small, 256);
    assert_eq!(queue.pop(|_| true).map(|item| item.value), Some(0));
}
