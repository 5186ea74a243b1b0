//! Quarantine of prompts that crash servers: what is blocked, and what must not be.

use std::collections::BTreeSet;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::quarantine::{FIRST_TIME, Loss, Part, Tracker, Turn};

/// Requests of the fleet in the window over which losses are compared with them.
const REQUESTS: u32 = 60;

/// A part that all prompts of an account have.
const SHARED: Part = 7;

/// The part that crashes servers.
const CRASHES: Part = 666;

const ALONE: Turn = Turn {
    entries: 1,
    offset: 0,
};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records the loss of a prompt at a server.
fn lose(tracker: &mut Tracker, server: u32, parts: &[Part], ms: u64) {
    let parts = parts.into();
    tracker.record_loss(&Loss { server, parts }, REQUESTS, at(ms), at(ms));
}

fn blocked(tracker: &Tracker, parts: &[Part], ms: u64) -> bool {
    tracker.blocked_for(parts, at(ms)).is_some()
}

/// Three prompts with the part crash a server each.
fn crashed() -> Tracker {
    let mut tracker = Tracker::default();
    for (server, own) in [(1, 11), (2, 12), (3, 13)] {
        lose(
            &mut tracker,
            server,
            &[SHARED, CRASHES, own],
            1_000 * u64::from(server),
        );
    }
    tracker
}

#[test]
fn a_part_that_crashes_servers_is_blocked_and_not_the_parts_beside_it() {
    let mut tracker = crashed();
    assert!(blocked(&tracker, &[SHARED, CRASHES, 14], 3_000));
    assert!(!blocked(&tracker, &[SHARED, 15], 3_000));
    tracker.record_answer(&[SHARED, 15], at(3_500), at(3_500));
    assert!(blocked(&tracker, &[8, CRASHES, 16], 3_500));
    assert!(!blocked(&tracker, &[SHARED, 17], 3_500));
}

#[test]
fn a_single_prompt_that_crashes_servers_is_blocked_by_itself() {
    let mut tracker = Tracker::default();
    for server in 1..=3 {
        lose(
            &mut tracker,
            server,
            &[SHARED, CRASHES, 11],
            1_000 * u64::from(server),
        );
    }
    assert!(blocked(&tracker, &[SHARED, CRASHES, 11], 3_000));
    assert!(!blocked(&tracker, &[SHARED, CRASHES, 12], 3_000));
    lose(&mut tracker, 4, &[SHARED, CRASHES, 12], 4_000);
    lose(&mut tracker, 5, &[SHARED, CRASHES, 12], 5_000);
    assert!(blocked(&tracker, &[SHARED, CRASHES, 13], 5_000));
}

#[test]
fn servers_that_fail_together_block_no_part() {
    let mut tracker = Tracker::default();
    for server in 1..=8 {
        lose(
            &mut tracker,
            server,
            &[SHARED, u64::from(server)],
            1_000 + 20 * u64::from(server),
        );
    }
    assert!(!blocked(&tracker, &[SHARED, 20], 1_200));
}

#[test]
fn a_part_that_is_answered_between_its_losses_is_not_blocked() {
    let mut tracker = Tracker::default();
    for server in 1..=20 {
        let ms = 1_000 * u64::from(server);
        lose(&mut tracker, server, &[SHARED, u64::from(server)], ms);
        if server % 2 == 0 {
            tracker.record_answer(&[SHARED, 100], at(ms + 500), at(ms + 500));
        }
    }
    assert!(!blocked(&tracker, &[SHARED, 21], 20_500));
}

#[test]
fn where_many_prompts_are_lost_a_part_needs_more_losses() {
    let mut tracker = Tracker::default();
    let mut server = 0;
    let mut lost = |tracker: &mut Tracker, parts: &[Part], ms| {
        server += 1;
        lose(tracker, server, parts, ms);
    };
    for step in 0..5 {
        for other in 0..5 {
            lost(
                &mut tracker,
                &[1_000 + step * 10 + other],
                1_000 * (step + 1),
            );
        }
        lost(&mut tracker, &[SHARED, step], 1_000 * (step + 1));
        assert!(!blocked(&tracker, &[SHARED, 99], 1_000 * (step + 1)));
    }
}

#[test]
fn prompts_that_are_lost_in_the_same_crashes_are_not_blocked() {
    let mut tracker = crashed();
    for server in 4..=8 {
        let ms = 1_000 * u64::from(server);
        lose(
            &mut tracker,
            server,
            &[SHARED, CRASHES, u64::from(server)],
            ms,
        );
        lose(&mut tracker, server, &[9, 100 + u64::from(server)], ms + 10);
    }
    assert!(!blocked(&tracker, &[9, 200], 8_010));
}

#[test]
fn an_answer_to_a_blocked_prompt_ends_its_block() {
    let mut tracker = crashed();
    let cleared = tracker.record_answer(&[SHARED, CRASHES, 18], at(4_000), at(4_000));
    assert_eq!(cleared, [SHARED, CRASHES]);
    assert!(!blocked(&tracker, &[SHARED, CRASHES, 19], 4_000));
}

#[test]
fn news_of_a_loss_that_arrives_twice_counts_once() {
    let mut tracker = Tracker::default();
    let parts = [SHARED, CRASHES, 11].into();
    let loss = Loss { server: 1, parts };
    for step in 0..6 {
        tracker.record_loss(&loss, REQUESTS, at(1_000 + step), at(1_000 + 250 * step));
    }
    assert!(!blocked(&tracker, &loss.parts, 2_500));
}

#[test]
fn an_answer_that_was_seen_before_the_news_of_a_loss_counts() {
    let mut tracker = Tracker::default();
    tracker.record_answer(&[SHARED, 5], at(1_050), at(1_050));
    let parts = [SHARED, CRASHES, 11].into();
    let loss = Loss { server: 1, parts };
    let answered = tracker.record_loss(&loss, REQUESTS, at(1_000), at(1_100));
    assert_eq!(answered, [SHARED]);
}

#[test]
fn after_its_time_single_prompts_are_tried_and_a_further_crash_blocks_for_longer() {
    let mut tracker = crashed();
    let over = at(3_000) + FIRST_TIME;
    let parts = [SHARED, CRASHES, 20];
    assert!(tracker.blocked_for(&parts, over).is_none());
    assert!(tracker.refused_for(&parts, ALONE, over).is_none());
    let entries: u32 = 30;
    let turn = |offset| Turn { entries, offset };
    let admitted = (0..entries.into()).filter(|offset| {
        let refused = tracker.refused_for(&parts, turn(*offset), over);
        refused.is_none()
    });
    assert_eq!(admitted.count(), 1);
    let parts = parts.into();
    tracker.record_loss(&Loss { server: 9, parts }, REQUESTS, over, over);
    let again = tracker.blocked_for(&[SHARED, CRASHES, 21], over);
    assert_eq!(again, Some(FIRST_TIME * 2));
}

#[test]
fn a_combination_that_another_entry_found_is_adopted_once() {
    let mut tracker = Tracker::default();
    assert!(tracker.adopt(&[CRASHES, SHARED], at(0)));
    assert!(!tracker.adopt(&[SHARED, CRASHES], at(0)));
    assert!(blocked(&tracker, &[SHARED, CRASHES, 11], 0));
    assert!(!blocked(&tracker, &[CRASHES, 11], 0));
}

/// Entries that keep a wider combination beside a narrower one record and remove it in turn.
#[test]
fn a_narrower_combination_replaces_a_wider_one() {
    let mut tracker = crashed();
    assert!(tracker.knows(&[SHARED, CRASHES]));
    assert!(tracker.adopt(&[CRASHES], at(3_000)));
    assert!(!tracker.knows(&[SHARED, CRASHES]));
    assert!(!tracker.adopt(&[SHARED, CRASHES], at(3_000)));
    assert_eq!(tracker.blocked(at(3_000)).count(), 1);
}

/// An entry that started later than others must not prolong the record for the next one.
#[test]
fn a_combination_that_was_adopted_does_not_count_as_found() {
    let mut tracker = Tracker::default();
    tracker.adopt(&[CRASHES], at(0));
    assert!(tracker.blocked(at(0)).all(|combination| !combination.found));
    assert!(
        crashed()
            .blocked(at(3_000))
            .all(|combination| combination.found)
    );
}

/// Whatever is lost and answered, no prompt is blocked whose parts were lost together only once, and none
/// whose answer was the last that was seen of it.
#[test]
fn only_prompts_that_were_lost_repeatedly_and_not_answered_since_are_blocked() {
    check!()
        .with_type::<Vec<(bool, [u8; 3], u8)>>()
        .for_each(|steps| {
            let mut tracker = Tracker::default();
            let mut lost: Vec<BTreeSet<Part>> = Vec::new();
            let mut ms = 0;
            for (server, (answered, parts, pause)) in (0..).zip(steps) {
                ms += u64::from(*pause) * 10 + 1;
                let parts: Vec<Part> = parts.iter().map(|part| u64::from(part % 6)).collect();
                if *answered {
                    tracker.record_answer(&parts, at(ms), at(ms));
                    assert!(
                        !blocked(&tracker, &parts, ms),
                        "answered prompts are not blocked"
                    );
                } else {
                    lose(&mut tracker, server, &parts, ms);
                    lost.push(parts.iter().copied().collect());
                }
                for combination in tracker.blocked(at(ms)) {
                    let contains = |lost: &BTreeSet<Part>| {
                        combination.parts.iter().all(|part| lost.contains(part))
                    };
                    let count = lost.iter().filter(|lost| contains(lost)).count();
                    assert!(
                        count >= 2,
                        "a combination that was lost {count} times is blocked"
                    );
                }
            }
        });
}
