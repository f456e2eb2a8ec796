//! Memory that responses without end may take from a daemon.

use policy::relay::memory::{SMALL_RESPONSE_BYTES, Usage};
use rstest::rstest;

/// Bytes that arrive at once.
const CHUNK: u64 = 16 << 10;

/// Many responses grow in turn until each of them has failed. Others of usual size go on all the
/// while.
#[rstest]
#[case::small_site(260_000_000, 50)]
#[case::large_site(160_000_000, 12)]
#[case::all_targets(160_000_000, 500)]
fn endless_responses_leave_memory_for_small_ones(#[case] limit: u64, #[case] responses: usize) {
    let mut usage = Usage::default();
    let mut sizes = vec![Some(0); responses];
    while sizes.iter().any(Option::is_some) {
        for size in &mut sizes {
            let Some(from) = *size else { continue };
            if usage.try_grow(from, from + CHUNK, limit) {
                *size = Some(from + CHUNK);
            } else {
                usage.release(from);
                *size = None;
            }
        }
        let held: u64 = sizes.iter().flatten().sum();
        let small = SMALL_RESPONSE_BYTES * responses as u64;
        assert!(held <= limit / 8 + small, "{held} bytes are held");
        assert!(usage.try_grow(0, SMALL_RESPONSE_BYTES, limit));
        usage.release(SMALL_RESPONSE_BYTES);
    }
    assert_eq!(usage, Usage::default());
}
