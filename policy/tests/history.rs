//! Configurations in random interleavings of changes, returns of the store from older copies, late rows of
//! peers, and restarts of daemons.

use policy::relay::history::{Edition, Version};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const DAEMONS: usize = 4;
const STEPS: u32 = 400;
/// Number of earlier states of the store from which it may come back.
const COPIES: usize = 6;
/// Number of editions on the way between daemons.
const MAX_LATE: usize = 8;

/// The store and its operator.
#[derive(Clone, Copy, Debug)]
struct Store {
    era: u64,
    number: u64,
    edition: Edition,
}

impl Store {
    fn new() -> Self {
        let version = Version { era: 0, number: 1 };
        let edition = Edition {
            version,
            revision: 1,
        };
        Self {
            era: 0,
            number: 1,
            edition,
        }
    }

    fn write(&mut self, revision: u64, other_writes: u64) {
        self.number += 1 + other_writes;
        let version = Version {
            era: self.era,
            number: self.number,
        };
        self.edition = Edition { version, revision };
    }
}

/// Puts an edition in force if it is newer.
fn offer(current: &mut Option<Edition>, offered: Edition) {
    if current.is_none_or(|current| offered.supersedes(&current)) {
        if let Some(current) = current {
            assert!(offered.revision >= current.revision, "{offered:?}");
        }
        *current = Some(offered);
    }
}

/// Within a process no revision goes back, and all daemons end up with the last one.
#[rstest]
fn revisions_never_go_back(#[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::new();
    let mut copies = vec![store];
    let mut revision = 1;
    let mut daemons = [None::<Edition>; DAEMONS];
    let mut late: Vec<(usize, Edition)> = Vec::new();
    for _ in 0..STEPS {
        let (daemon, peer) = (
            random.random_range(0..DAEMONS),
            random.random_range(0..DAEMONS),
        );
        match random.random_range(0..10) {
            0 | 1 => {
                revision += random.random_range(1..4);
                store.write(revision, random.random_range(0..3));
                copies.push(store);
            }
            2 => {
                let oldest = copies.len().saturating_sub(COPIES);
                let copy = copies[random.random_range(oldest..copies.len())];
                store = Store {
                    era: store.era + 1,
                    ..copy
                };
                store.edition.version.era = store.era;
                // The lost revision may be read from the copy before the operator writes it again.
                offer(&mut daemons[daemon], store.edition);
                if random.random_bool(0.7) {
                    store.write(revision, random.random_range(0..3));
                }
                copies.push(store);
            }
            3..=5 => offer(&mut daemons[daemon], store.edition),
            6 => daemons[daemon] = None,
            7 if !late.is_empty() => {
                let (to, edition) = late.swap_remove(random.random_range(0..late.len()));
                offer(&mut daemons[to], edition);
            }
            _ => {
                if let Some(edition) = daemons[peer] {
                    if late.len() < MAX_LATE && random.random_bool(0.5) {
                        late.push((daemon, edition));
                    } else {
                        offer(&mut daemons[daemon], edition);
                    }
                }
            }
        }
    }
    store.write(revision + 1, 0);
    for daemon in &mut daemons {
        offer(daemon, store.edition);
        for (_, edition) in &late {
            offer(daemon, *edition);
        }
        assert_eq!(daemon.map(|edition| edition.revision), Some(revision + 1));
    }
}
