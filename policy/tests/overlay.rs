//! Selection of the seeds to contact.

use policy::member::overlay;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{collections::BTreeSet, net::SocketAddr};

/// Rounds of single exchanges that are replayed.
const ROUNDS: u64 = 100;

fn seeds(count: u16) -> impl Iterator<Item = SocketAddr> {
    (0..count).map(|port| SocketAddr::from(([127, 0, 0, 1], port + 1)))
}

#[rstest]
#[case::alone(false, 0, 0)]
#[case::few_seeds(false, 3, 3)]
#[case::whole_fleet(false, 300, overlay::ISOLATED_SEEDS)]
#[case::linked(true, 300, 1)]
fn number_of_seeds_is_bounded(
    #[case] is_linked: bool,
    #[case] count: u16,
    #[case] expected: usize,
) {
    for round in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(round);
        let chosen = overlay::random_seeds(seeds(count), is_linked, &mut rng);
        let distinct: BTreeSet<_> = chosen.iter().collect();
        assert_eq!(distinct.len(), expected);
        assert_eq!(chosen.len(), expected);
    }
}

#[test]
fn all_seeds_are_contacted_eventually() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let rounds = (0..ROUNDS).flat_map(|_| overlay::random_seeds(seeds(16), false, &mut rng));
    assert_eq!(rounds.collect::<BTreeSet<_>>().len(), 16);
}
