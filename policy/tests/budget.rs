//! Retry budget.

use policy::budget::Budget;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;

#[rstest]
#[case(0.1, 10, 100, 20)]
#[case(0.1, 10, 1_000, 110)]
#[case(0.0, 3, 1_000, 3)]
#[case(1.0, 0, 1_000, 0)]
#[case(2.0, 1, 10, 11)]
fn extra_attempts_are_a_share_of_the_first_ones(
    #[case] share: f64,
    #[case] burst: u32,
    #[case] firsts: u32,
    #[case] expected: u32,
) {
    let mut budget = Budget::new(share, burst);
    let mut spent = 0;
    for _ in 0..firsts {
        while budget.try_spend() {
            spent += 1;
        }
        budget.deposit();
    }
    while budget.try_spend() {
        spent += 1;
    }
    assert_eq!(spent, expected);
}

#[test]
fn balance_is_capped_at_the_burst() {
    let mut budget = Budget::new(0.5, 4);
    (0..1_000).for_each(|_| budget.deposit());
    assert_eq!(budget.available(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn spending_never_exceeds_burst_and_share(steps in vec(any::<bool>(), 0..500), share in 0.0..1.0) {
        const BURST: u32 = 5;
        let mut budget = Budget::new(share, BURST);
        let (mut firsts, mut extras) = (0.0, 0.0);
        for first in steps {
            if first {
                budget.deposit();
                firsts += 1.0;
            } else if budget.try_spend() {
                extras += 1.0;
            }
            prop_assert!(extras <= f64::from(BURST) + (share + 0.0005) * firsts);
        }
    }
}

/// A smaller burst applies immediately; a larger one is filled by first attempts only.
#[test]
fn resize_never_increases_the_balance() {
    let mut budget = Budget::new(0.5, 10);
    budget.resize(0.5, 4);
    assert_eq!(budget.available(), 4);
    budget.resize(0.5, 10);
    assert_eq!(budget.available(), 4);
    budget.deposit();
    budget.deposit();
    assert_eq!(budget.available(), 5);
}
