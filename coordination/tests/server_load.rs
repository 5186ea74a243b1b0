//! The estimate of one server, and the placement of single requests by expected time.

use std::time::Duration;

use medlarfall_coordination::balance::{
    Candidate, Preference, TimedCandidate, choose, choose_by_time,
};
use medlarfall_coordination::dissemination::Count;
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::server_load::{Estimate, Report, Usual, Work};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);

fn report(running: u32, percent: f64) -> Report {
    Report::checked(running, 0, Some(4), Some(percent)).expect("plausible")
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the estimate of a server with a usual slowness of 1 and calls of `call`.
fn known(call: Duration) -> Estimate {
    let mut estimate = Estimate::new(4);
    for step in 0..200 {
        let now = SECOND + ms(100) * step;
        estimate.request_sent(now);
        estimate.record_report(report(1, 100.0), now + call);
        estimate.request_ended(Some(call), now + call);
    }
    estimate
}

/// A moment's slowness must not keep a server from work after it has passed.
#[test]
fn a_slow_moment_fades_towards_the_mean() {
    let mut estimate = known(ms(30));
    let now = 30 * SECOND;
    estimate.record_report(report(0, 250.0), now);
    assert!((estimate.slowness(now) - 2.5).abs() < 1e-9);
    let later = estimate.slowness(now + SECOND);
    assert!((0.95..1.1).contains(&later), "{later}");
}

/// Reports of a burst elsewhere must not count for ever, nor be forgotten at once.
#[test]
fn requests_of_other_entries_decay_and_own_ones_count_exactly() {
    let mut estimate = known(ms(30));
    let now = 30 * SECOND;
    estimate.request_sent(now);
    estimate.record_report(report(9, 100.0), now);
    assert!((estimate.work_ahead(now) - 9.0).abs() < 1e-9);
    assert!(estimate.room(now) < 1e-9);
    let later = estimate.work_ahead(now + SECOND);
    assert!((1.0..2.0).contains(&later), "{later}");
    assert!(estimate.expected_wait(now) > estimate.expected_wait(now + SECOND));
}

/// The wait in a server's queue must not count as the server's own speed.
#[test]
fn a_full_server_is_not_taken_for_a_slow_one() {
    let mut estimate = Estimate::new(4);
    for step in 0..200 {
        let now = SECOND + ms(100) * step;
        estimate.request_sent(now);
        // 16 requests at 4 slots: a call of 30 ms takes 120 ms.
        estimate.record_report(report(16, 100.0), now + ms(120));
        estimate.request_ended(Some(ms(120)), now + ms(120));
    }
    let now = 30 * SECOND;
    let rate = estimate.throughput(now);
    assert!(
        (120.0..145.0).contains(&rate),
        "{rate} instead of 4 / 30 ms"
    );
}

#[test]
fn a_server_that_got_nothing_for_long_is_believed_to_be_usual_again() {
    let estimate = known(ms(300));
    let at = |now| estimate.expected_time(Work::Call, now);
    assert!(at(21 * SECOND) > ms(250), "{:?}", at(21 * SECOND));
    assert!(at(2_000 * SECOND) < ms(150), "{:?}", at(2_000 * SECOND));
}

/// The log must not get a line for each request.
#[test]
fn a_changed_speed_is_announced_once() {
    let mut estimate = known(ms(100));
    estimate.set_usual(Usual {
        call: 0.05,
        ..Usual::default()
    });
    let now = 40 * SECOND;
    let ratio = estimate.announce_speed(now).expect("twice the usual time");
    assert!((1.9..2.1).contains(&ratio), "{ratio}");
    assert_eq!(estimate.announce_speed(now + 20 * SECOND), None);
}

fn place(times: &[f64], preference: Preference, request_hash: u64) -> usize {
    let candidates: Vec<TimedCandidate> = (0..)
        .zip(times)
        .map(|(index, time): (u32, &f64)| TimedCandidate {
            hash: name_hash(&index.to_string()),
            time: *time,
            failure_rate: 0.0,
            suspect: false,
        })
        .collect();
    choose_by_time(&candidates, preference, request_hash).expect("a server")
}

/// Entries with the same report must not all choose the server that was best in it.
#[test]
fn entries_with_the_same_report_spread_their_requests() {
    let times: Vec<f64> = (0..10).map(|n| 0.033 + f64::from(n) * 0.000_1).collect();
    let preference = Preference {
        usual: 0.033,
        tolerance: 0.05 * 0.033,
        affinity: false,
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut placed = [0; 10];
    for _ in 0..1_000 {
        placed[place(&times, preference, random.random())] += 1;
    }
    assert!(placed.iter().all(|count| *count <= 250), "{placed:?}");
    let much_slower = [0.033, 0.066, 0.066];
    for _ in 0..100 {
        assert_eq!(place(&much_slower, preference, random.random()), 0);
    }
}

#[test]
fn suspect_and_failing_servers_are_the_last_choice_by_time_too() {
    let server = |hash, time| TimedCandidate {
        hash,
        time,
        failure_rate: 0.0,
        suspect: false,
    };
    let preference = Preference {
        usual: 0.033,
        tolerance: 0.01,
        affinity: false,
    };
    let suspect = TimedCandidate {
        suspect: true,
        ..server(1, 0.01)
    };
    let failing = TimedCandidate {
        failure_rate: 0.4,
        ..server(3, 0.01)
    };
    let choose = |candidates: &[TimedCandidate]| choose_by_time(candidates, preference, 7);
    assert_eq!(choose(&[suspect, server(2, 0.3)]), Some(1));
    assert_eq!(choose(&[failing, server(2, 0.2)]), Some(1));
    assert_eq!(choose(&[suspect]), Some(0));
    assert_eq!(choose(&[]), None);
}

/// What became of simulated streams.
#[derive(Debug, Default)]
struct Streams {
    /// Streams at each server, from the fastest to the slowest.
    placed: [u32; 10],
    /// Factors on the usual time at the servers of long and of other prompts, summed.
    long_factors: f64,
    short_factors: f64,
    /// Times to the first event, in seconds.
    times: Vec<f64>,
}

/// Simulates streams at ten servers whose prompts take 0.7 to 1.7 times as long as usual, by expected time
/// or by counted prompts. The prompts have a few common prefixes; every fourth one is long.
fn place_streams(by_time: bool) -> Streams {
    let factors: Vec<f64> = (0..10).map(|n| 0.7 + f64::from(n) / 9.0).collect();
    let mut servers = vec![Estimate::new(12); 10];
    let mut now = SECOND;
    for (server, factor) in servers.iter_mut().zip(&factors) {
        server.set_usual(Usual {
            token: 0.000_2,
            prompt: 4_000.0,
            ..Usual::default()
        });
        for _ in 0..60 {
            let counted = server.prompt_sent(Some(4_000), 0, now);
            let took = Duration::from_secs_f64(0.8 * factor);
            server.prompt_ended(counted, Some((took, 0.0)), now);
        }
    }
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let preference = Preference {
        usual: 0.8,
        tolerance: 0.25 * 0.8,
        affinity: true,
    };
    let mut ends: Vec<(Duration, usize, u64)> = Vec::new();
    let mut outcome = Streams::default();
    for stream in 0..1_200_u64 {
        now += ms(150);
        let ended: Vec<_> = ends.extract_if(.., |(end, ..)| *end <= now).collect();
        for (end, server, counted) in ended {
            servers[server].prompt_ended(counted, None, end);
        }
        let length = if stream % 4 == 0 { 10_000 } else { 2_000 };
        let work = Work::Stream {
            prompt_tokens: Some(length),
            peers: Count::default(),
        };
        let time = |server: &Estimate| server.expected_time(work, now).as_secs_f64();
        let times: Vec<f64> = servers.iter().map(time).collect();
        let prefix = name_hash(&random.random_range(0..20).to_string());
        let chosen = if by_time {
            place(&times, preference, prefix)
        } else {
            let candidate = |server: u32| Candidate {
                hash: name_hash(&server.to_string()),
                proximity: Proximity::FailureDomain,
                requests: ends
                    .iter()
                    .filter(|(_, at, _)| *at == server as usize)
                    .map(|_| 1.0)
                    .sum(),
                slots: 12,
                failure_rate: 0.0,
                suspect: false,
            };
            choose(&(0..10).map(candidate).collect::<Vec<_>>(), 1.0, prefix).expect("servers")
        };
        outcome.placed[chosen] += 1;
        outcome.times.push(times[chosen]);
        if length > 4_000 {
            outcome.long_factors += factors[chosen];
        } else {
            outcome.short_factors += factors[chosen];
        }
        let counted = servers[chosen].prompt_sent(Some(length), 0, now);
        ends.push((
            now + Duration::from_secs_f64(times[chosen]),
            chosen,
            counted,
        ));
    }
    outcome.times.sort_by(f64::total_cmp);
    outcome
}

/// A permanently slow server must get fewer streams, and long prompts must go to fast ones.
#[test]
fn streams_follow_the_speed_of_servers() {
    let by_time = place_streams(true);
    let by_count = place_streams(false);
    let ends = |streams: &Streams| -> (u32, u32) {
        (
            streams.placed[..3].iter().sum(),
            streams.placed[7..].iter().sum(),
        )
    };
    let (fast, slow) = ends(&by_time);
    assert!(4 * fast > 5 * slow, "{:?}", by_time.placed);
    let (long, short) = (by_time.long_factors / 300.0, by_time.short_factors / 900.0);
    assert!(long < short, "{long} {short}");
    let late = |streams: &Streams| streams.times[streams.times.len() * 99 / 100];
    assert!(late(&by_time) < 0.8 * late(&by_count));
}

#[test]
fn prompts_with_a_common_prefix_reach_the_same_server_while_several_are_about_equal() {
    let preference = Preference {
        usual: 0.8,
        tolerance: 0.25 * 0.8,
        affinity: true,
    };
    for prefix in 0..20 {
        let first = place(&[0.8, 0.85, 0.9], preference, prefix);
        assert_eq!(place(&[0.9, 0.8, 0.85], preference, prefix), first);
    }
}

/// A caller that states an absurd length must not change what is believed of the others.
#[test]
fn an_implausible_prompt_length_is_treated_as_absent() {
    let mut estimate = known(ms(30));
    let now = 30 * SECOND;
    let usual = estimate.prompt_sent(None, 0, now);
    assert_eq!(estimate.prompt_sent(Some(u64::MAX), 0, now), usual);
    assert_eq!(estimate.prompt_sent(Some(0), 0, now), usual);
    for _ in 0..3 {
        estimate.prompt_ended(usual, None, now);
    }
    assert!(estimate.tokens_ahead(Count::default(), now) < 1.0);
}
