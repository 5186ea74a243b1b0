//! Admission by several entries to a service with less capacity than is asked for.

use medlarfall_coordination::room::Key;

#[path = "support/site.rs"]
mod site;

use site::{CALLS, Callers, Kind, Mode, Outcome, STREAMS, Site};

const SECOND: u64 = 1_000_000;
const LENGTH: u64 = 20;

/// Target latency of calls.
const TARGET: u64 = 150_000;

const fn key(priority: u8, account: u32) -> Key {
    Key { priority, account }
}

/// Nine accounts with the same priority; the first asks for as much as the others together.
fn accounts(load: f64, entries: usize) -> Vec<Callers> {
    let callers = |account: u32| Callers {
        key: key(1, 97 * account),
        load: if account == 1 {
            load / 2.0
        } else {
            load / 16.0
        },
        entries: if account == 1 { 40 } else { entries },
        target: TARGET,
    };
    (1..=9).map(callers).collect()
}

/// Runs a site until it is steady, and then for [`LENGTH`] seconds.
fn run(mode: Mode, entries: usize, callers: &[Callers]) -> Site {
    let mut site = Site::new(CALLS, mode, entries, callers, 7);
    site.run(6 * SECOND);
    site.run((6 + LENGTH) * SECOND);
    site
}

/// Returns the sum over all accounts, relative to the capacity.
fn total(site: &Site, value: impl Fn(&Outcome) -> f64) -> f64 {
    let total: f64 = site.outcomes.values().map(value).sum();
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let possible = CALLS.capacity() * LENGTH as f64;
    total / possible
}

/// Loads relative to the capacity.
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 5.0];

/// Returns the calls answered on time, relative to the capacity.
fn goodput(mode: Mode, entries: usize, load: f64) -> f64 {
    let site = run(mode, entries, &accounts(load, entries));
    let goodput = total(&site, |outcome| outcome.on_time);
    let held_in_vain = total(&site, |outcome| outcome.held_in_vain);
    println!(
        "{entries} entries, load {load}, {mode:?}: goodput {goodput:.3}, {} tries, held in vain {held_in_vain:.3}",
        site.tries,
    );
    // Requests that are rejected in the end are rejected at once.
    assert!(held_in_vain <= 0.01, "{held_in_vain}");
    goodput
}

/// Guards against capacity that is lost to queues at servers, or to an entry that holds requests back.
#[test]
fn one_entry_uses_the_capacity() {
    for load in LOADS {
        let shared = goodput(Mode::Shared, 1, load);
        let oracle = goodput(Mode::Oracle, 1, load);
        assert!(shared >= 0.95 * oracle.min(load), "load {load}");
        assert!(
            shared >= goodput(Mode::Today, 1, load) - 0.01,
            "load {load}"
        );
    }
}

/// Guards against entries that work against each other: they lose the capacity as today, where each sends at
/// once. How close they come to all of it is the subject of the next test.
#[test]
fn several_entries_use_most_of_the_capacity() {
    for entries in [9, 75] {
        for load in LOADS {
            let shared = goodput(Mode::Shared, entries, load);
            assert!(
                shared >= goodput(Mode::Today, entries, load) - 0.01,
                "load {load}"
            );
            assert!(shared >= 0.75 * load.min(1.0), "load {load}");
        }
    }
}

/// Guards against capacity that is lost since entries don't know each other's latest requests.
#[test]
fn several_entries_use_the_capacity() {
    for entries in [9, 75] {
        assert!(
            goodput(Mode::Shared, entries, 2.0) >= 0.95,
            "{entries} entries"
        );
    }
}

/// Guards against an account that gets more by sending to 40 entries.
#[test]
fn no_account_gets_more_than_its_share() {
    for entries in [1, 9, 75] {
        for load in [2.0, 5.0] {
            let site = run(Mode::Shared, entries, &accounts(load, entries));
            let possible = CALLS.capacity() * 20.0;
            for (key, outcome) in &site.outcomes {
                let share = outcome.served / (possible / 9.0);
                println!(
                    "{entries} entries, load {load}, account {}: {share:.3}",
                    key.account
                );
                assert!(share <= 1.1, "{entries} entries, load {load}: {share}");
            }
        }
    }
}

/// Lets urgent requests and others compete, at all entries and at half of them. Returns the parts of them
/// that are answered on time.
fn compete(kind: Kind, targets: [u64; 2], entries: usize, load: f64, mode: Mode) -> [f64; 2] {
    let callers = |priority: u8, load: f64, entries: usize, target: u64| Callers {
        key: key(priority, 5),
        load,
        entries,
        target,
    };
    let callers = [
        callers(0, load * 0.4, entries, targets[0]),
        callers(2, load * 0.6, entries.div_ceil(2), targets[1]),
    ];
    let length = kind.deadline * 20;
    let mut site = Site::new(kind, mode, entries, &callers, 7);
    site.run(length / 4);
    site.run(length);
    let parts = callers.map(|callers| {
        let outcome = site.outcomes[&callers.key];
        outcome.on_time / outcome.calls
    });
    println!("{kind:?}, {entries} entries, load {load}, {mode:?}: on time {parts:.3?}");
    parts
}

/// Guards against less urgent requests that get the capacity first, at this entry or at another one.
#[test]
fn urgent_requests_fare_best() {
    for entries in [1, 9, 75] {
        for load in LOADS {
            for (kind, targets) in [
                (CALLS, [TARGET, TARGET * 5 / 2]),
                (STREAMS, [4 * SECOND, 10 * SECOND]),
            ] {
                let [urgent, other] = compete(kind, targets, entries, load, Mode::Shared);
                let [urgent_today, _] = compete(kind, targets, entries, load, Mode::Today);
                assert!(
                    urgent >= other - 0.01,
                    "{kind:?}, {entries} entries, load {load}"
                );
                assert!(
                    urgent >= urgent_today - 0.02,
                    "{kind:?}, {entries} entries, load {load}"
                );
            }
        }
    }
}

/// Guards against entries that stay at their old shares when one of them dies.
#[test]
fn the_share_of_a_dead_entry_is_free_within_two_seconds() {
    let (mut before, mut after) = (0.0, 0.0);
    for seed in 0..10 {
        let mut site = Site::new(CALLS, Mode::Shared, 9, &accounts(2.0, 9), seed);
        site.run(6 * SECOND);
        site.run(8 * SECOND);
        before += total(&site, |outcome| outcome.on_time);
        site.stop(3);
        site.run(10 * SECOND);
        site.run(12 * SECOND);
        after += total(&site, |outcome| outcome.on_time);
    }
    println!("goodput {after} after {before}");
    assert!(after >= 0.95 * before, "{after} after {before}");
}

/// Guards against entries that hold requests back on old estimates: without reports all are sent, and the
/// servers' rejections decide.
#[test]
fn without_reports_all_are_sent() {
    let mut site = Site::new(CALLS, Mode::Shared, 9, &accounts(0.5, 9), 7);
    site.reports = false;
    site.run(6 * SECOND);
    assert!(!site.room(0).is_tight());
    let served: f64 = site.outcomes.values().map(|outcome| outcome.served).sum();
    assert!(served >= 0.45 * CALLS.capacity() * 6.0, "{served}");
}
