//! Pauses that servers ask for, against a list of all that were asked for.

use std::time::Duration;

use medlarfall_coordination::server_pause::{LONGEST_PAUSE, Pauses, Start};

const NOW: Duration = Duration::from_secs(100);

fn start(id: &str, started_ms: u64) -> Start<'_> {
    Start {
        id,
        started_ms: Some(started_ms),
    }
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_later_answer_with_a_shorter_pause_does_not_end_a_pause() {
    let mut pauses = Pauses::default();
    assert!(pauses.record(start("a", 1), seconds(5), NOW));
    assert!(!pauses.record(start("a", 1), seconds(1), NOW + seconds(1)));
    assert_eq!(pauses.wait(start("a", 1), NOW + seconds(1)), seconds(4));
    assert!(pauses.wait(start("a", 1), NOW + seconds(5)).is_zero());
}

#[test]
fn an_absurd_pause_does_not_take_a_server_out_of_use_for_hours() {
    let mut pauses = Pauses::default();
    pauses.record(start("a", 1), Duration::MAX, NOW);
    assert_eq!(pauses.wait(start("a", 1), NOW), LONGEST_PAUSE);
}

#[test]
fn an_answer_of_an_earlier_start_does_not_pause_a_server() {
    let mut pauses = Pauses::default();
    pauses.record(start("a", 2), seconds(1), NOW);
    assert!(!pauses.record(start("a", 1), seconds(9), NOW));
    assert_eq!(pauses.wait(start("a", 2), NOW), seconds(1));
    assert!(pauses.wait(start("a", 3), NOW).is_zero());
}

#[test]
fn a_server_is_paused_until_the_last_pause_that_its_latest_start_asked_for() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|answers| {
            let mut pauses = Pauses::default();
            let mut all: Vec<(usize, u64, Duration)> = Vec::new();
            let mut now = NOW;
            let names = ["a", "b"];
            let mut latest = [1, 1];
            for (server, pause, passed) in answers {
                now += Duration::from_millis(u64::from(*passed) * 20);
                let index = usize::from(server % 2);
                latest[index] += u64::from(*server > 230);
                let pause = Duration::from_millis(u64::from(*pause) * 50);
                pauses.record(start(names[index], latest[index]), pause, now);
                all.push((index, latest[index], now + pause));
                for (index, name) in names.into_iter().enumerate() {
                    let own = |(of, start, _): &&(usize, u64, Duration)| {
                        (*of, *start) == (index, latest[index])
                    };
                    let until = all.iter().filter(own).map(|(.., until)| *until).max();
                    let wait = until.unwrap_or_default().saturating_sub(now);
                    assert_eq!(pauses.wait(start(name, latest[index]), now), wait);
                }
            }
        });
}
