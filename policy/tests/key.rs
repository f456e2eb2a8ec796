//! Keys of claim rows.

use policy::{claim, id::Key};
use rstest::rstest;

#[rstest]
#[case(Key::new("a", "b", "c"), 2, "a/b/c/2")]
#[case(Key::new("a/b", "c", "d"), 0, "a%2Fb/c/d/0")]
#[case(Key::new("a", "b/c", "d%2F"), 0, "a/b%2Fc/d%252F/0")]
fn row_keys_are_distinct(#[case] key: Key, #[case] stage: usize, #[case] expected: &str) {
    assert_eq!(claim::row_key(&key, stage), expected);
}
