//! Retry budgets: retries never exceed the reserve plus the share of successes.

use std::time::Duration;

use bolero::check;
use medlarfall_coordination::retry_budget::{Backoff, Budget, Policy};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn retries_stay_within_reserve_and_share() {
    check!().with_type::<Vec<bool>>().for_each(|events| {
        let policy = Policy {
            share: 0.2,
            reserve: 3.0,
            ceiling: 5.0,
        };
        let mut budget = Budget::new(policy);
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for retry in events {
            if *retry {
                retries += u32::from(budget.withdraw());
            } else {
                budget.succeeded();
                successes += 1;
            }
            let allowed = policy.reserve + policy.share * f64::from(successes);
            assert!(f64::from(retries) <= allowed + 1e-6);
        }
    });
}

#[test]
fn what_was_saved_up_is_bounded() {
    let policy = Policy {
        share: 1.0,
        reserve: 0.0,
        ceiling: 5.0,
    };
    let mut budget = Budget::new(policy);
    for _ in 0..100 {
        budget.succeeded();
    }
    let taken = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(taken, 5);
}

#[test]
fn pauses_stay_below_the_ceiling_and_the_deadline() {
    check!()
        .with_type::<(u32, u16, u64)>()
        .for_each(|(retry, remains, seed)| {
            let backoff = Backoff {
                base: Duration::from_millis(10),
                ceiling: Duration::from_millis(200),
            };
            let remains = Duration::from_millis(u64::from(*remains));
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let pause = backoff.pause(*retry, remains, &mut rng);
            assert!(pause.is_none_or(|pause| pause <= backoff.ceiling && pause < remains));
        });
}
