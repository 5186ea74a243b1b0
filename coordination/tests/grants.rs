//! Entries that compete for a server's memory by compare-and-swap never use more than its limit.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bolero::{TypeGenerator, check};
use medlarfall_coordination::grants::{Absences, Record, holder};

const LIMIT: u64 = 1_000;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step {
    entry: u8,
    tokens: u16,
    reads_first: bool,
    answer_lost: bool,
}

#[test]
fn what_entries_use_never_exceeds_the_limit() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut store = (0_u64, Record::default());
        let mut seen: BTreeMap<u8, (u64, Record)> = BTreeMap::new();
        let mut used: BTreeMap<u8, u64> = BTreeMap::new();
        for step in steps {
            let (entry, tokens) = (step.entry % 4, u64::from(step.tokens));
            let name = holder(&entry.to_string(), "run");
            if step.reads_first {
                seen.insert(entry, store.clone());
            }
            let Some((revision, record)) = seen.get(&entry) else {
                continue;
            };
            let held = used.get(&entry).copied().unwrap_or(0);
            used.insert(entry, held.min(tokens));
            let Ok(record) = record.with(&name, tokens, LIMIT) else {
                continue;
            };
            if *revision != store.0 {
                continue;
            }
            store = (store.0 + 1, record);
            if !step.answer_lost {
                used.insert(entry, tokens);
            }
            let total: u64 = used.values().sum();
            assert!(total <= LIMIT, "{used:?}");
        }
    });
}

#[test]
fn a_smaller_grant_is_accepted_even_above_a_lowered_limit() {
    let record = Record::default().with("a@1", 900, LIMIT).expect("it fits");
    assert_eq!(
        record
            .with("a@1", 800, 500)
            .map(|record| record.granted("a@1")),
        Ok(800)
    );
    assert!(record.with("a@1", 950, 500).is_err());
}

#[test]
fn the_earlier_incarnation_of_an_entry_is_gone_after_the_grace_period() {
    let holders = [Arc::from("a@1"), Arc::from("a@2"), Arc::from("b@1")];
    let grace = Duration::from_secs(30);
    let at = Duration::from_secs;
    let mut absences = Absences::new();
    absences.observe(holders.iter(), |_| true, at(0));
    absences.observe(holders.iter(), |_| true, at(31));
    let gone: Vec<&Arc<str>> = holders
        .iter()
        .filter(|holder| absences.gone(holder, grace, at(31)))
        .collect();
    assert_eq!(gone, [&holders[0]]);
}

#[test]
fn a_holder_is_gone_only_after_the_grace_period() {
    let holders = [Arc::from("a@1"), Arc::from("b@1")];
    let grace = Duration::from_secs(30);
    let at = Duration::from_secs;
    let mut absences = Absences::new();
    absences.observe(holders.iter(), |entry| entry == "a", at(0));
    assert!(!absences.gone("b@1", grace, at(30)));
    assert!(absences.gone("b@1", grace, at(31)));
    assert!(!absences.gone("a@1", grace, at(31)));
    absences.observe(holders.iter(), |_| true, at(32));
    assert!(!absences.gone("b@1", grace, at(100)));
}
