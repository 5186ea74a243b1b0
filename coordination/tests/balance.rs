//! Which server gets a request: single choices, and what a load of streams meets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::balance::{Candidate, Load, choose, likely_servers};
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::reader_election::{Election, retry_pause};
use medlarfall_coordination::shared_load::{Count, FRESH, Table};
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
fn a_server_that_fails_more_than_the_others_gets_less() {
    let grey = Candidate {
        failure_rate: 0.4,
        ..candidate("grey")
    };
    let busy = Candidate {
        requests: 5.0,
        ..candidate("busy")
    };
    assert_eq!(choose(&[grey, busy], 1.0, 1), Some(1));
}

/// A fault that all servers share (requests that fail everywhere) drives nobody away.
#[test]
fn failures_that_all_share_count_for_nothing() {
    let failing = |name, requests| Candidate {
        failure_rate: 0.3,
        requests,
        ..candidate(name)
    };
    let choice = choose(&[failing("a", 3.0), failing("b", 0.0)], 1.0, 1);
    assert_eq!(choice, Some(1));
}

#[test]
fn what_others_say_counts_only_without_evidence_of_one_s_own() {
    let now = Duration::from_secs(5);
    let mut load = Load::default();
    load.record_outcome(false, now);
    assert!(!load.record_peer_unreachable(now + Duration::from_millis(100)));
    assert!(load.record_peer_unreachable(now + Duration::from_secs(1)));
    assert!(load.suspect(now + Duration::from_millis(1_100)));
}

#[test]
fn what_a_silent_peer_told_is_forgotten() {
    let mut table = Table::default();
    let count = Count {
        streams: 2,
        prefilling: 1,
    };
    let told = HashMap::from([(Arc::from("s1"), count)]);
    table.record(Arc::from("entry-1"), told.clone(), Duration::ZERO);
    table.record(Arc::from("entry-1"), told, Duration::ZERO);
    assert_eq!(table.at("s1"), count, "a repeated message counted twice");
    table.expire(FRESH + Duration::from_millis(1));
    assert_eq!(table.at("s1"), Count::default());
}

/// Plays streams that six entries place on 24 servers and returns the most prompts that were read
/// at one server at once. A prompt takes a second; 6.2 streams come each second.
fn most_prompts_at_once(tell: bool, seed: u64) -> u32 {
    let names: Vec<Arc<str>> = (0..24).map(|n| Arc::from(format!("s{n}"))).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut loads = vec![vec![Load::default(); names.len()]; 6];
    let mut tables: Vec<Table> = (0..6).map(|_| Table::default()).collect();
    let mut reading: Vec<(Duration, usize, usize)> = Vec::new();
    let mut most = 0;
    let mut now = Duration::ZERO;
    while now < Duration::from_mins(2) {
        now += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / 6.2);
        reading.retain(|(end, entry, server)| {
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
                requests: load.stream_load(tables[entry].at(name)),
                ..candidate(name)
            })
            .collect();
        let server = choose(&candidates, 1.0, rng.random()).expect("servers");
        loads[entry][server].request_started();
        loads[entry][server].prefill_started();
        reading.push((now + Duration::from_secs(1), entry, server));
        let at = reading.iter().filter(|(_, _, other)| *other == server);
        most = most.max(u32::try_from(at.count()).expect("few"));
        for (teller, load) in loads.iter().enumerate().filter(|_| tell) {
            let told: HashMap<Arc<str>, Count> = names
                .iter()
                .zip(load)
                .map(|(name, load)| (Arc::clone(name), load.streams()))
                .collect();
            for (hearer, table) in tables.iter_mut().enumerate() {
                if hearer != teller {
                    table.record(Arc::from(format!("e{teller}")), told.clone(), now);
                }
            }
        }
    }
    most
}

/// The load that the exchange of streams answers: without it prompts queue behind one another
/// while other servers are free.
#[test]
fn entries_that_tell_one_another_do_not_stack_prompts() {
    for seed in 0..5 {
        let told = most_prompts_at_once(true, seed);
        let untold = most_prompts_at_once(false, seed);
        assert!(told <= 2, "seed {seed}: {told} prompts at one server");
        assert!(untold > told, "seed {seed}: {untold} without messages");
    }
}

/// Plays a fleet whose first readers fall silent, and returns how many entries read at most at once
/// afterwards, and after how long there were two again.
fn step_in(entries: usize) -> (usize, Duration) {
    let names: Vec<Arc<str>> = (0..entries)
        .map(|n| Arc::from(format!("entry-{n}")))
        .collect();
    let mut fleet: Vec<Election> = names.iter().map(|name| Election::new(name, 100)).collect();
    let mut silent: Vec<usize> = Vec::new();
    let (mut most, mut back) = (0, None);
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
            most = most.max(reading.len());
            if reading.len() >= 2 && back.is_none() {
                back = Some(now.saturating_sub(Duration::from_secs(2)));
            }
        }
        for (hearer, readers) in fleet.iter_mut().enumerate() {
            let heard = (0..entries).filter(|e| *e != hearer && !silent.contains(e));
            for entry in heard {
                readers.record(&names[entry], 100, reads[entry], now);
            }
        }
    }
    (most, back.expect("nobody stepped in"))
}

/// The load that the order of stepping in answers: a fleet that reads all at once tells itself
/// megabytes.
#[test]
fn a_few_entries_step_in_for_readers_that_fall_silent() {
    for entries in [6, 9, 81] {
        let (most, back) = step_in(entries);
        assert!(most <= 6, "{entries} entries: {most} read at once");
        // A server that leaves has to be known within 2 s.
        assert!(back < Duration::from_secs(2), "{entries} entries: {back:?}");
    }
}

/// The load that answers: a reader tells a large fleet of each change, which fills a narrow link.
#[test]
fn entries_with_narrow_links_leave_the_reading_to_others() {
    let mut narrow = Election::new("a", 10);
    let mut wide = Election::new("b", 200);
    for name in ["c", "d", "e"] {
        narrow.record(&Arc::from(name), 100, true, Duration::ZERO);
        wide.record(&Arc::from(name), 100, true, Duration::ZERO);
    }
    assert!(!narrow.must_read(Duration::ZERO));
    assert!(wide.must_read(Duration::ZERO));
}

#[test]
fn an_entry_that_the_store_turns_away_knows_that_others_read() {
    let mut first = Election::new("a", 200);
    assert!(!first.others_read(Duration::ZERO));
    first.record(&Arc::from("b"), 10, true, Duration::ZERO);
    assert!(first.must_read(Duration::ZERO));
    assert!(first.others_read(Duration::from_secs(1)));
    assert!(!first.others_read(Duration::from_secs(2)));
}

#[test]
fn an_entry_that_hears_of_nobody_reads() {
    let readers = Election::new("entry-0", 100);
    assert!(readers.must_read(Duration::from_secs(1)));
}

/// Plays streams that 4 failure domains of 45 servers take, and returns how many of those that run
/// when all entries stop are found again by asking 32 servers.
#[test]
fn the_server_that_ran_a_stream_is_among_those_that_are_asked() {
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
        let lot = random.random();
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
        let chosen = choose(&candidates, 1.0, lot).expect("a server");
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
        found += u32::from(likely_servers(&servers, lot, 32).contains(&chosen));
    }
    assert!(found * 10 >= all * 8, "{found} of {all} found");
}

#[test]
fn no_more_servers_are_asked_than_there_are() {
    let servers = [(1, Proximity::FailureDomain), (2, Proximity::Region)];
    assert_eq!(likely_servers(&servers, 5, 32).len(), 2);
    assert_eq!(likely_servers(&servers, 5, 1).len(), 1);
    assert!(likely_servers(&[], 5, 8).is_empty());
}

/// Two readers' watches fall silent at the same moment. Each has just heard that the other reads, and
/// a configuration has to be in force 2 s after its acceptance: both ask again at once.
#[test]
fn a_lost_answer_is_asked_for_again_at_once_though_others_read() {
    for failures in 1..=2 {
        assert!(retry_pause(failures, true) <= Duration::from_millis(50));
    }
    let turned_away = retry_pause(3, true);
    assert!(turned_away >= Duration::from_secs(1), "{turned_away:?}");
    assert!(retry_pause(9, false) <= Duration::from_millis(250));
}
