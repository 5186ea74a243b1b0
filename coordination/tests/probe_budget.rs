//! Probes stay in proportion to requests, and never end.

use std::time::Duration;

use medlarfall_coordination::probe_budget::Budget;

/// Returns the probes that an entry sends that wants `wanted` and gets `requests` each second, for a minute.
fn probes(wanted: u32, requests: u32) -> u32 {
    let mut budget = Budget::new(Duration::ZERO);
    let mut sent = 0;
    for step in 0..600 {
        let now = Duration::from_millis(100 * step);
        (0..requests / 10).for_each(|_| budget.record_request(now));
        sent += budget.take(wanted / 10, now);
    }
    sent
}

/// Guards against probes that multiply with the number of silent servers.
#[test]
fn probes_stay_in_proportion_to_requests() {
    let sent = probes(500, 10);
    assert!(sent <= 60 * (10 * 2 + 5) + 60, "{sent}");
}

/// Guards against lost servers that are not found since no requests arrive.
#[test]
fn silent_servers_are_probed_without_requests() {
    assert!(probes(50, 0) >= 60 * 5);
}

/// Guards against probes that are withheld at the usual load: four a second for each stream.
#[test]
fn the_usual_probes_are_all_sent() {
    assert_eq!(probes(20, 10), 60 * 20);
}
