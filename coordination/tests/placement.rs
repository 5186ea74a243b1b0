//! Placement by proximity, bounded load and prefix affinity, in this order, and ejection.

use std::sync::Arc;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::ejection::Ejector;
use medlarfall_coordination::placement::{Candidate, Proximity, choose, name_hash, prefix_hash};

const PROXIMITIES: [Proximity; 3] = [
    Proximity::FailureDomain,
    Proximity::Region,
    Proximity::Anywhere,
];

fn candidate(index: usize, proximity: Proximity, used: u64, fits: bool) -> Candidate {
    Candidate {
        hash: name_hash(&format!("engine-{index}")),
        proximity,
        used,
        capacity: 70_000,
        fits,
    }
}

fn idle(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|index| candidate(index, Proximity::FailureDomain, 0, true))
        .collect()
}

#[test]
fn the_choice_fits_and_none_that_fits_is_nearer() {
    check!()
        .with_type::<(u64, Vec<(u8, u16, bool)>)>()
        .for_each(|(prefix, inputs)| {
            let candidates: Vec<Candidate> = inputs
                .iter()
                .enumerate()
                .map(|(index, (near, used, fits))| {
                    candidate(
                        index,
                        PROXIMITIES[usize::from(near % 3)],
                        (*used).into(),
                        *fits,
                    )
                })
                .collect();
            let fitting = candidates.iter().filter(|candidate| candidate.fits);
            let nearest = fitting.map(|candidate| candidate.proximity).min();
            let chosen = choose(&candidates, *prefix).map(|index| candidates[index]);
            assert_eq!(chosen.map(|candidate| candidate.proximity), nearest);
            assert!(chosen.is_none_or(|candidate| candidate.fits));
        });
}

#[test]
fn a_prefix_keeps_its_server_and_few_prefixes_move_when_a_server_leaves() {
    let all = idle(20);
    let remaining = idle(19);
    let prefixes: Vec<u64> = (0..1_000)
        .map(|number| prefix_hash(&format!("manifest of camp {number}")))
        .collect();
    let moved = prefixes
        .iter()
        .filter(|prefix| choose(&all, **prefix) != choose(&remaining, **prefix))
        .count();
    assert!(
        moved < 100,
        "{moved} of 1000 prefixes moved when one of 20 servers left"
    );
}

#[test]
fn a_server_above_its_load_bound_is_avoided() {
    let mut all = idle(4);
    let preferred = choose(&all, 7).expect("all fit");
    all[preferred].used = 900;
    let next = choose(&all, 7).expect("all fit");
    assert_ne!(next, preferred);
}

#[test]
fn a_fault_that_all_servers_share_does_not_empty_the_pool() {
    let mut ejector = Ejector::new();
    let now = Duration::from_secs(1);
    let names: Vec<Arc<str>> = (0..6)
        .map(|index| Arc::from(format!("engine-{index}")))
        .collect();
    for name in names.iter().cycle().take(60) {
        ejector.record_failure(Arc::clone(name), now);
    }
    let ejected = names
        .iter()
        .filter(|name| ejector.ejected(name, names.len(), now))
        .count();
    assert_eq!(ejected, 3);
    ejector.record_success(&names[5]);
    assert!(!ejector.ejected(&names[5], names.len(), now));
}
