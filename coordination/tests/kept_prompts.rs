//! Prompts that servers still have in their caches, and placement by the time that they save.

use std::time::Duration;

use medlarfall_coordination::balance::{Preference, TimedCandidate, choose_by_time};
use medlarfall_coordination::dissemination::Count;
use medlarfall_coordination::kept_prompts::{MAX_PARTS, MAX_SERVERS, Part, RETENTION, Servers};
use medlarfall_coordination::placement::name_hash;
use medlarfall_coordination::server_load::{Estimate, Report, Usual, Work};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Duration = Duration::from_secs(100);

/// Time of the simulated servers for a prompt token, in seconds.
const TOKEN: f64 = 0.000_2;

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

/// An engine evicts what was used least recently when its memory is full; what it evicted saves nothing.
#[test]
fn the_least_recently_used_parts_beyond_the_memory_are_forgotten() {
    let mut servers = Servers::default();
    let chain = |id| [part(1, 400), part(id, 500)];
    let memory = Some(1_400);
    servers.record(7, &chain(2), memory, NOW);
    servers.record(7, &chain(3), memory, NOW + RETENTION / 4);
    assert_eq!(servers.saved_at(7, &chain(2), NOW), 900);
    servers.record(7, &chain(4), memory, NOW + RETENTION / 2);
    let saved = |id| servers.saved_at(7, &chain(id), NOW + RETENTION / 2);
    assert_eq!((saved(2), saved(3), saved(4)), (400, 900, 900));
    // A chain that exceeds the memory keeps its first parts.
    servers.record(8, &[part(1, 400), part(2, 2_000)], memory, NOW);
    let long = [part(1, 400), part(2, 2_000)];
    assert_eq!(servers.saved_at(8, &long, NOW), 400);
}

#[test]
fn a_part_counts_only_after_the_same_parts_and_with_the_same_length() {
    let mut servers = Servers::default();
    servers.record(7, &[part(1, 400), part(2, 500)], None, NOW);
    let saved = |parts: &[Part]| servers.saved_at(7, parts, NOW);
    assert_eq!(saved(&[part(2, 500)]), 0);
    assert_eq!(saved(&[part(3, 400), part(2, 500)]), 0);
    assert_eq!(saved(&[part(1, 400), part(3, 9), part(2, 500)]), 400);
    assert_eq!(saved(&[part(1, 9_999), part(2, 500)]), 0);
}

/// Requests of other entries evict parts unseen, and a restarted server has none.
#[test]
fn age_and_restarts_forget() {
    let mut servers = Servers::default();
    let chain = [part(1, 400)];
    servers.record(7, &chain, None, NOW);
    let just_before = NOW + RETENTION.mul_f64(0.999);
    assert_eq!(servers.saved(&chain, just_before).at(7), 400);
    assert!(servers.saved(&chain, NOW + RETENTION).is_empty());
    servers.record(8, &chain, None, NOW);
    servers.forget(7);
    assert_eq!(servers.saved_at(7, &chain, NOW), 0);
    assert_eq!(servers.saved(&chain, NOW).at(8), 400);
}

/// Callers with ever new parts, or a large fleet, must not fill the entry's memory.
#[test]
fn parts_and_servers_are_bounded() {
    let mut servers = Servers::default();
    for step in 0..2_000 {
        servers.record(7, &[part(step, 10)], None, NOW);
    }
    let at_7 = (0..2_000).filter(|id| servers.saved_at(7, &[part(*id, 10)], NOW) > 0);
    assert_eq!(at_7.count(), MAX_PARTS);
    for server in 0..1_000 {
        let now = NOW + Duration::from_millis(u64::from(server));
        servers.record(server, &[part(1, 10)], None, now);
    }
    let now = NOW + Duration::from_secs(1);
    let found = (0..1_000).filter(|server| servers.saved_at(*server, &[part(1, 10)], now) > 0);
    let found: Vec<u32> = found.collect();
    assert_eq!(found.len(), MAX_SERVERS);
    assert!(found.contains(&999));
}

fn usual() -> Usual {
    Usual {
        token: TOKEN,
        prompt: 4_000.0,
        ..Usual::default()
    }
}

fn server(slowness: f64) -> Estimate {
    let mut server = Estimate::new(8);
    server.set_usual(usual());
    let report = Report::checked(0, 0, Some(8), Some(slowness));
    server.record_report(report.expect("plausible"), NOW);
    server
}

fn time(server: &Estimate, tokens: u64, saved: u64, peers: Count) -> f64 {
    let work = Work::Stream {
        prompt_tokens: Some(tokens),
        peers,
    };
    let time = server.expected_seconds(work, NOW);
    time - server.saved_seconds(Some(tokens), saved, NOW)
}

/// The saving must not outweigh a longer wait, and no statement of a caller may make a wait disappear.
#[test]
fn a_saved_prompt_beats_an_equal_wait_but_not_a_busy_server() {
    let idle = time(&server(100.0), 4_000, 0, Count::default());
    let saving = time(&server(100.0), 4_000, 3_000, Count::default());
    assert!((idle - 0.8).abs() < 1e-9 && (saving - 0.2).abs() < 1e-9);
    let busy = Count {
        streams: 1,
        prefilling: 1,
        ..Count::default()
    };
    assert!(time(&server(100.0), 4_000, 3_000, busy) > idle);
    // A slow server saves more time, since it would need more for the tokens.
    let slow = server(200.0);
    assert!((slow.saved_seconds(Some(4_000), 1_000, NOW) - 0.4).abs() < 1e-9);
    let exaggerated = time(&server(100.0), 4_000, u64::MAX, busy);
    let wait = server(100.0).tokens_ahead(busy, NOW) * TOKEN;
    assert!((exaggerated - wait).abs() < 1e-9, "{exaggerated} {wait}");
}

/// The work ahead must not count tokens that are not processed.
#[test]
fn saved_tokens_are_not_ahead_of_later_prompts() {
    let mut server = server(100.0);
    assert_eq!(server.prompt_sent(Some(4_000), 3_000, NOW), 1_000);
    assert_eq!(server.prompt_sent(Some(4_000), u64::MAX, NOW), 0);
    assert!((server.tokens_ahead(Count::default(), NOW) - 1_000.0).abs() < 1e-9);
}

/// A simulated engine: prompts in turn, and a cache with eviction of what was used least recently.
#[derive(Default)]
struct Engine {
    free_at: f64,
    /// Prompts that wait for their first event: when it comes, the entry, the counted tokens.
    waiting: Vec<(f64, usize, u64, [Part; 2])>,
    cache: Vec<[Part; 2]>,
}

/// Chains that an engine's cache holds.
const CACHED_CHAINS: usize = 6;

struct Outcome {
    processed: u64,
    /// 95th percentile of the time to the first event, in seconds.
    late: f64,
}

/// Places 4,000 prompts of 40 chains on 10 servers through 4 entries, one each `interval` seconds.
fn simulate(seed: u64, interval: f64, by_prompts: bool) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..10).map(|_| Engine::default()).collect();
    let mut estimates = vec![vec![server(100.0); 10]; 4];
    let mut kept = vec![Servers::default(); 4];
    let mut outcome = Outcome {
        processed: 0,
        late: 0.0,
    };
    let mut times = Vec::new();
    for step in 0..4_000_u32 {
        let seconds = f64::from(step) * interval;
        let now = NOW + Duration::from_secs_f64(seconds);
        for (index, engine) in engines.iter_mut().enumerate() {
            let ended = engine.waiting.extract_if(.., |(end, ..)| *end <= seconds);
            for (_, entry, counted, shared) in ended {
                estimates[entry][index].prompt_ended(counted, None, now);
                let tag = u32::try_from(index).expect("small");
                kept[entry].record(tag, &shared, Some(24_000), now);
            }
        }
        let entry = random.random_range(0..4);
        // Of two numbers the lower one: some prompts are more popular than others.
        let chain = random
            .random_range(0..40_u64)
            .min(random.random_range(0..40));
        let shared = [part(chain % 8, 1_000), part(100 + chain, 3_000)];
        let tokens = 4_500;
        let savings = kept[entry].saved(&shared, now);
        let saved = |index: usize| {
            let tag = u32::try_from(index).expect("small");
            if by_prompts { savings.at(tag) } else { 0 }
        };
        let candidates = engines.iter().enumerate().map(|(index, engine)| {
            let others = engine.waiting.iter().filter(|(_, by, ..)| *by != entry);
            let others = u32::try_from(others.count()).expect("few");
            let peers = Count {
                streams: others,
                prefilling: others,
                ..Count::default()
            };
            TimedCandidate {
                hash: name_hash(&index.to_string()),
                time: time(&estimates[entry][index], tokens, saved(index), peers),
                failure_rate: 0.0,
                suspect: false,
            }
        });
        let candidates: Vec<TimedCandidate> = candidates.collect();
        let preference = Preference {
            usual: 0.8,
            tolerance: if by_prompts && !savings.is_empty() {
                0.05 * 0.8
            } else {
                0.25 * 0.8
            },
            affinity: true,
        };
        let chosen = choose_by_time(&candidates, preference, random.random()).expect("servers");
        let counted = estimates[entry][chosen].prompt_sent(Some(tokens), saved(chosen), now);
        let engine = &mut engines[chosen];
        let has = |parts: usize| engine.cache.iter().any(|c| c[..parts] == shared[..parts]);
        let cached = match (has(2), has(1)) {
            (true, _) => 4_000,
            (false, true) => 1_000,
            (false, false) => 0,
        };
        engine.cache.retain(|other| *other != shared);
        engine.cache.push(shared);
        if engine.cache.len() > CACHED_CHAINS {
            engine.cache.remove(0);
        }
        let processed = tokens - cached;
        outcome.processed += processed;
        let work = f64::from(u32::try_from(processed).expect("small")) * TOKEN;
        engine.free_at = engine.free_at.max(seconds) + work;
        engine
            .waiting
            .push((engine.free_at, entry, counted, shared));
        times.push(engine.free_at - seconds);
    }
    times.sort_by(f64::total_cmp);
    outcome.late = times[times.len() * 95 / 100];
    outcome
}

fn share(part: u64, whole: u64) -> f64 {
    let float = |number| f64::from(u32::try_from(number).expect("small"));
    float(part) / float(whole)
}

/// Placement that ignores caches lets each server process each prompt anew.
#[test]
fn fewer_tokens_are_processed_and_first_events_come_earlier() {
    // Without the records, the servers are occupied to 67% and to 95%. At 67% the late prompts are those that
    // find no part and no wait, in both cases.
    let cases = [(0.1, 0.85, 1.0), (0.07, 0.95, 0.95)];
    for (seed, (interval, most_tokens, most_late)) in
        (1..=3).flat_map(|seed| cases.map(|case| (seed, case)))
    {
        let without = simulate(seed, interval, false);
        let with = simulate(seed, interval, true);
        println!(
            "seed {seed}, {interval} s: {} instead of {} tokens, {:.2} instead of {:.2} s",
            with.processed, without.processed, with.late, without.late
        );
        assert!(share(with.processed, without.processed) < most_tokens);
        assert!(with.late <= most_late * without.late + 1e-9);
    }
}
