//! Load balancing of single requests and of simulated loads, and the election of store readers.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::balance::{Candidate, Load, choose, likely_servers};
use medlarfall_coordination::dissemination::ledger::{FRESH, Ledger};
use medlarfall_coordination::dissemination::{Count, tag};
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::propagation::Budget;
use medlarfall_coordination::reader_election::{Election, retry_pause};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn candidate(name: &str) -> Candidate {
    Candidate {
        hash: name_hash(name),
        proximity: Proximity::FailureDomain,
        requests: 0.0,
        slots: 8,
        failure_rate: 0.0,
        suspect: false,
    }
}

#[test]
fn a_suspect_server_is_the_last_choice_but_still_one() {
    let suspect = Candidate {
        suspect: true,
        ..candidate("a")
    };
    let loaded = Candidate {
        requests: 7.0,
        ..candidate("b")
    };
    assert_eq!(choose(&[suspect, loaded], 1.0, 1), Some(1));
    assert_eq!(choose(&[suspect], 1.0, 1), Some(0));
    assert_eq!(choose(&[], 1.0, 1), None);
}

#[test]
fn a_far_server_is_chosen_once_the_near_ones_are_loaded_beyond_the_distance() {
    let far = Candidate {
        proximity: Proximity::Region,
        ..candidate("far")
    };
    let near = |requests| Candidate {
        requests,
        ..candidate("near")
    };
    assert_eq!(choose(&[far, near(0.5)], 1.0, 1), Some(1));
    assert_eq!(choose(&[far, near(2.0)], 1.0, 1), Some(0));
}

#[test]
fn a_server_with_more_failures_than_the_others_gets_less() {
    let failing = Candidate {
        failure_rate: 0.4,
        ..candidate("failing")
    };
    let busy = Candidate {
        requests: 5.0,
        ..candidate("busy")
    };
    assert_eq!(choose(&[failing, busy], 1.0, 1), Some(1));
}

/// Requests that fail on every server must not move load between servers.
#[test]
fn failures_common_to_all_servers_are_ignored() {
    let failing = |name, requests| Candidate {
        failure_rate: 0.3,
        requests,
        ..candidate(name)
    };
    let choice = choose(&[failing("a", 3.0), failing("b", 0.0)], 1.0, 1);
    assert_eq!(choice, Some(1));
}

#[test]
fn peer_reports_count_only_without_a_recent_own_response() {
    let now = Duration::from_secs(5);
    let mut load = Load::default();
    load.record_outcome(false, now);
    assert!(!load.record_peer_unreachable(now + Duration::from_millis(100)));
    assert!(load.record_peer_unreachable(now + Duration::from_secs(1)));
    assert!(load.suspect(now + Duration::from_millis(1_100)));
}

#[test]
fn the_streams_that_a_silent_hub_reported_expire() {
    let mut ledger = Ledger::default();
    let domain: Arc<str> = Arc::from("cage-a");
    let count = Count {
        streams: 2,
        prefilling: 1,
        backups: 0,
    };
    ledger.set(&domain, tag("s1"), count, Duration::ZERO);
    ledger.set(&domain, tag("s1"), count, Duration::ZERO);
    assert_eq!(
        ledger.at(tag("s1"), Duration::from_secs(9)),
        count,
        "a repeated message counted twice"
    );
    ledger.expire(FRESH + Duration::from_millis(1));
    assert_eq!(
        ledger.at(tag("s1"), Duration::from_secs(9)),
        Count::default()
    );
}

/// Simulates streams that six entries place on 24 servers, and returns the maximum number of
/// concurrent prefills at one server. A prefill takes a second; 6.2 streams arrive each second.
fn max_concurrent_prefills(exchange: bool, seed: u64) -> u32 {
    let names: Vec<Arc<str>> = (0..24).map(|n| Arc::from(format!("s{n}"))).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut loads = vec![vec![Load::default(); names.len()]; 6];
    let domain: Arc<str> = Arc::from("cage-a");
    let mut ledgers = vec![Ledger::default(); 6];
    let mut prefilling: Vec<(Duration, usize, usize)> = Vec::new();
    let mut max = 0;
    let mut now = Duration::ZERO;
    while now < Duration::from_mins(2) {
        now += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / 6.2);
        prefilling.retain(|(end, entry, server)| {
            if *end <= now {
                loads[*entry][*server].prefill_ended();
                loads[*entry][*server].request_ended();
            }
            *end > now
        });
        let entry = rng.random_range(0..6);
        let candidates: Vec<Candidate> = names
            .iter()
            .zip(&loads[entry])
            .map(|(name, load)| Candidate {
                requests: load.stream_load(ledgers[entry].at(tag(name), now)),
                ..candidate(name)
            })
            .collect();
        let server = choose(&candidates, 1.0, rng.random()).expect("servers");
        loads[entry][server].request_started();
        loads[entry][server].prefill_started();
        prefilling.push((now + Duration::from_secs(1), entry, server));
        let at = prefilling.iter().filter(|(_, _, other)| *other == server);
        max = max.max(u32::try_from(at.count()).expect("few"));
        for (ledger, own) in ledgers.iter_mut().zip(&loads).filter(|_| exchange) {
            for (server, name) in names.iter().enumerate() {
                let counts = loads.iter().map(|load| load[server].streams());
                let total = counts.fold(Count::default(), Count::plus);
                ledger.set(&domain, tag(name), total, now);
            }
            let own = names.iter().zip(own);
            let own = own.map(|(name, load)| (tag(name), load.streams()));
            ledger.set_reported(own, [], now);
        }
    }
    max
}

/// Without the exchange of stream counts, prompts queue behind one another while other servers are
/// idle.
#[test]
fn entries_that_exchange_their_load_do_not_stack_prompts() {
    for seed in 0..5 {
        let exchanged = max_concurrent_prefills(true, seed);
        let separate = max_concurrent_prefills(false, seed);
        assert!(
            exchanged <= 2,
            "seed {seed}: {exchanged} concurrent prefills at one server"
        );
        assert!(
            separate > exchanged,
            "seed {seed}: {separate} without messages"
        );
    }
}

/// Simulates a fleet whose first readers fall silent. Returns the maximum number of concurrent
/// readers afterwards, and the time until two entries read again.
fn take_over(entries: usize) -> (usize, Duration) {
    let names: Vec<Arc<str>> = (0..entries)
        .map(|n| Arc::from(format!("entry-{n}")))
        .collect();
    let mut fleet: Vec<Election> = names
        .iter()
        .map(|name| Election::new(name, 100, Budget::default()))
        .collect();
    let mut silent: Vec<usize> = Vec::new();
    let (mut max, mut recovery) = (0, None);
    for tick in 0..60_u64 {
        let now = Duration::from_millis(100 * tick);
        let reads: Vec<bool> = (0..entries)
            .map(|entry| !silent.contains(&entry) && fleet[entry].must_read(now))
            .collect();
        let reading: Vec<usize> = (0..entries).filter(|entry| reads[*entry]).collect();
        if tick == 20 {
            assert_eq!(reading.len(), 2, "the fleet has not settled");
            silent.clone_from(&reading);
        }
        if tick > 20 {
            max = max.max(reading.len());
            if reading.len() >= 2 && recovery.is_none() {
                recovery = Some(now.saturating_sub(Duration::from_secs(2)));
            }
        }
        for (receiver, election) in fleet.iter_mut().enumerate() {
            let senders = (0..entries).filter(|e| *e != receiver && !silent.contains(e));
            for entry in senders {
                election.record(&names[entry], 100, reads[entry], now);
            }
        }
    }
    (max, recovery.expect("no entry took over"))
}

/// If the whole fleet took over at the same time, its entries would send one another megabytes.
#[test]
fn a_few_entries_take_over_from_readers_that_fall_silent() {
    for entries in [6, 9, 81] {
        let (max, recovery) = take_over(entries);
        assert!(max <= 6, "{entries} entries: {max} concurrent readers");
        // The departure of a server must be known within 2 s.
        assert!(
            recovery < Duration::from_secs(2),
            "{entries} entries: {recovery:?}"
        );
    }
}

/// A reader announces each change to the fleet, which saturates a narrow link if the fleet is large.
#[test]
fn entries_with_narrow_links_leave_reading_to_others() {
    let mut narrow = Election::new("a", 10, Budget::default());
    let mut wide = Election::new("b", 200, Budget::default());
    for name in ["c", "d", "e"] {
        narrow.record(&Arc::from(name), 100, true, Duration::ZERO);
        wide.record(&Arc::from(name), 100, true, Duration::ZERO);
    }
    assert!(!narrow.must_read(Duration::ZERO));
    assert!(wide.must_read(Duration::ZERO));
}

#[test]
fn an_entry_refused_by_the_store_knows_that_others_read() {
    let mut first = Election::new("a", 200, Budget::default());
    assert!(!first.others_read(Duration::ZERO));
    first.record(&Arc::from("b"), 10, true, Duration::ZERO);
    assert!(first.must_read(Duration::ZERO));
    assert!(first.others_read(Duration::from_secs(1)));
    assert!(!first.others_read(Duration::from_secs(2)));
}

#[test]
fn an_entry_without_announcements_from_others_reads() {
    let election = Election::new("entry-0", 100, Budget::default());
    assert!(election.must_read(Duration::from_secs(1)));
}

/// After a restart of all entries, a stream's server must be found by querying 32 of the 180 servers
/// in 4 failure domains.
#[test]
fn the_server_that_ran_a_stream_is_among_the_likely_ones() {
    let servers: Vec<(u64, Proximity)> = (0..180)
        .map(|index| {
            let near = if index % 4 == 0 {
                Proximity::FailureDomain
            } else {
                Proximity::Region
            };
            (name_hash(&format!("server-{index}")), near)
        })
        .collect();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut runs = vec![0_u32; servers.len()];
    let (mut found, mut all) = (0, 0);
    for stream in 0..2_000_u64 {
        let request_hash = random.random();
        let candidates: Vec<Candidate> = servers
            .iter()
            .zip(&runs)
            .map(|((hash, proximity), runs)| Candidate {
                hash: *hash,
                proximity: *proximity,
                requests: f64::from(*runs) * 0.2,
                ..candidate("")
            })
            .collect();
        let chosen = choose(&candidates, 1.0, request_hash).expect("a server");
        runs[chosen] += 1;
        // Streams of this and of other failure domains end at the same rate.
        if stream % 2 == 0 {
            runs[random.random_range(0..servers.len())] += 1;
        }
        if stream >= 80 {
            for _ in 0..2 {
                let ending = random.random_range(0..servers.len());
                runs[ending] = runs[ending].saturating_sub(1);
            }
        }
        all += 1;
        found += u32::from(likely_servers(&servers, request_hash, 32).contains(&chosen));
    }
    assert!(found * 10 >= all * 8, "{found} of {all} found");
}

#[test]
fn likely_servers_are_no_more_than_all_servers() {
    let servers = [(1, Proximity::FailureDomain), (2, Proximity::Region)];
    assert_eq!(likely_servers(&servers, 5, 32).len(), 2);
    assert_eq!(likely_servers(&servers, 5, 1).len(), 1);
    assert!(likely_servers(&[], 5, 8).is_empty());
}

/// The watches of two readers fall silent at the same moment, each reader having just received the
/// announcement that the other reads. Both must retry immediately, since a configuration must be in
/// force 2 s after its acceptance.
#[test]
fn a_lost_response_is_retried_immediately_although_others_read() {
    for failures in 1..=2 {
        assert!(retry_pause(failures, true) <= Duration::from_millis(50));
    }
    let refused = retry_pause(3, true);
    assert!(refused >= Duration::from_secs(1), "{refused:?}");
    assert!(retry_pause(9, false) <= Duration::from_millis(250));
}
