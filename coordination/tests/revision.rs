//! Properties of the ledger of highest revisions and of the exchange between two ledgers.

use std::collections::BTreeMap;

use bolero::check;
use medlarfall_coordination::revision::{Ledger, Message, Record, Verdict};

type Numbers = Ledger<u64, u64>;
type Offers = Vec<(u8, u8)>;

/// Returns a record whose value follows from key and revision, as in a store with compare-and-swap.
fn record(key: u8, revision: u8) -> Record<u64, u64> {
    let key = key % 8;
    Record::new(
        &format!("service-{key}"),
        u64::from(revision),
        u64::from(key) * 1_000 + u64::from(revision),
    )
}

fn ledger(records: &[(u8, u8)]) -> Numbers {
    let mut ledger = Numbers::new();
    for (key, revision) in records {
        ledger.offer(record(*key, *revision));
    }
    ledger
}

fn held(ledger: &Numbers) -> Vec<Record<u64, u64>> {
    ledger.iter().cloned().collect()
}

fn exchange(left: &mut Numbers, right: &mut Numbers) -> usize {
    let mut message = left.start_exchange();
    let mut steps = 0;
    while message != Message::Done {
        let reply = right.respond(message).0;
        message = left.respond(reply).0;
        steps += 1;
        assert!(steps <= 3, "the exchange took more than 3 steps");
    }
    steps
}

#[test]
fn the_highest_revision_is_stored_in_any_order_of_offers() {
    check!().with_type::<Offers>().for_each(|records: &Offers| {
        let mut ledger = Numbers::new();
        let mut model: BTreeMap<String, u64> = BTreeMap::new();
        for (key, revision) in records {
            let record = record(*key, *revision);
            let highest = model.get(record.key.as_ref()).copied();
            let expected = match highest {
                Some(highest) if highest > record.revision => Verdict::Older { highest },
                Some(highest) if highest == record.revision => Verdict::Same,
                _ => Verdict::Newer,
            };
            model.insert(
                record.key.to_string(),
                highest.unwrap_or_default().max(record.revision),
            );
            assert_eq!(ledger.offer(record), expected);
        }
        let held: BTreeMap<String, u64> = ledger
            .iter()
            .map(|record| (record.key.to_string(), record.revision))
            .collect();
        assert_eq!(held, model);
    });
}

#[test]
fn an_exchange_makes_two_ledgers_equal_and_reverts_neither() {
    check!()
        .with_type::<(Offers, Offers)>()
        .for_each(|(one, two): &(Offers, Offers)| {
            let (mut left, mut right) = (ledger(one), ledger(two));
            let both: Offers = one.iter().chain(two).copied().collect();
            exchange(&mut left, &mut right);
            let expected = held(&ledger(&both));
            assert_eq!(held(&left), expected);
            assert_eq!(held(&right), expected);
            assert_eq!(
                exchange(&mut left, &mut right),
                1,
                "equal ledgers need one call"
            );
        });
}

#[test]
fn another_value_of_a_held_revision_is_refused() {
    let mut ledger = Numbers::new();
    ledger.offer(Record::new("briefs", 3, 1));
    assert_eq!(ledger.offer(Record::new("briefs", 3, 2)), Verdict::Fork);
    assert_eq!(ledger.get("briefs").map(|record| record.value), Some(1));
}

#[test]
fn a_forgotten_key_does_not_change_the_hash() {
    let (mut ledger, mut empty) = (Numbers::new(), Numbers::new());
    ledger.offer(Record::new("briefs", 3, 1));
    ledger.forget("briefs");
    ledger.forget("tracker");
    assert_eq!(empty.respond(ledger.start_exchange()).0, Message::Done);
}
