//! Streams and backups placed by the memory that they occupy.

use medlarfall_coordination::dissemination::Count;
use medlarfall_coordination::server_memory::Demand;

const SERVERS: usize = 132;
const STREAMS: usize = 400;

/// A prompt of 5,200 tokens with its events, at engines with memory for nine.
const DEMAND: Demand = Demand {
    request_tokens: 5_940,
    memory_tokens: 55_000,
};

/// Load of streams that generate, relative to a prompt in prefill.
const GENERATION_LOAD: f64 = 0.2;

/// Returns the server with the least load; among equal ones the one after `start`, as a hash chooses.
fn choose(servers: &[Count], start: usize, load: impl Fn(&Count) -> f64) -> usize {
    let order = (0..servers.len()).map(|step| (start + step) % servers.len());
    let rounded = |index: &usize| (load(&servers[*index]) * 2.0).round();
    order
        .min_by(|left, right| rounded(left).total_cmp(&rounded(right)))
        .expect("servers")
}

/// Places streams with a backup each, and returns the number of servers whose memory is exceeded.
fn full_servers(by_memory: bool) -> usize {
    let mut servers = vec![Count::default(); SERVERS];
    for stream in 0..STREAMS {
        let hash = stream * 7_919 % SERVERS;
        let generation = |count: &Count| f64::from(count.streams) * GENERATION_LOAD;
        let primary = choose(&servers, hash, |count| {
            generation(count) + if by_memory { DEMAND.load(*count) } else { 0.0 }
        });
        servers[primary].streams += 1;
        let backup = choose(&servers, hash / 2, |count| {
            if by_memory {
                DEMAND.backup_load(*count)
            } else {
                generation(count)
            }
        });
        servers[backup].backups += 1;
    }
    let full = |count: &&Count| {
        let held = Count {
            backups: count.backups.saturating_sub(1),
            ..**count
        };
        DEMAND.occupancy(held) > 1.0
    };
    servers.iter().filter(full).count()
}

/// Guards against servers whose memory backups fill while others have plenty: streams there are preempted,
/// and backups find no memory.
#[test]
fn no_server_is_full_while_the_fleet_has_memory() {
    let unaware = full_servers(false);
    assert!(unaware > 0, "no server is full without memory either");
    assert_eq!(full_servers(true), 0);
}

/// Guards against a load that memory distorts while there is plenty of it.
#[test]
fn ample_memory_adds_no_load() {
    let few = Count {
        streams: 2,
        backups: 2,
        ..Count::default()
    };
    assert!(DEMAND.load(few).abs() < f64::EPSILON);
    let unknown = Demand {
        memory_tokens: 0,
        ..DEMAND
    };
    assert!(unknown.occupancy(few).is_finite());
}
