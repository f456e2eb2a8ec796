//! Order in which daemons learn of evacuations.

use policy::relay::{
    evacuation::{Change, Evacuations, Record},
    history::Version,
};
use rstest::rstest;

fn version(era: u64, number: u64) -> Version {
    Version { era, number }
}

fn record(domain: &str, at: (u64, u64), is_present: bool) -> Record {
    Record {
        domain: domain.into(),
        version: version(at.0, at.1),
        is_present,
    }
}

fn change(domain: &str, is_evacuated: bool) -> Change {
    Change {
        domain: domain.into(),
        is_evacuated,
    }
}

fn tell(from: &Evacuations, to: &mut Evacuations) -> Vec<Change> {
    to.merge(from.read_at(), from.records().collect())
}

#[test]
fn row_begins_and_its_deletion_ends_an_evacuation() {
    let mut known = Evacuations::default();
    assert_eq!(known.digest(), None);
    let begun = known.apply(record("z-a", (1, 5), true));
    assert_eq!(begun, Some(change("z-a", true)));
    assert!(known.contains("z-a") && !known.contains("z-b"));
    assert!(known.digest().is_some());
    assert_eq!(known.apply(record("z-a", (1, 6), true)), None);
    let ended = known.apply(record("z-a", (1, 7), false));
    assert_eq!(ended, Some(change("z-a", false)));
    assert_eq!(known.digest(), None);
}

/// Guards against a late word of an older row that begins an evacuation again, or ends one.
#[rstest]
#[case::begin_after_end((1, 5), true, (1, 6), false)]
#[case::end_after_begin((1, 5), false, (1, 6), true)]
#[case::across_eras((1, 90), true, (2, 6), false)]
fn older_row_changes_nothing(
    #[case] older: (u64, u64),
    #[case] older_present: bool,
    #[case] newer: (u64, u64),
    #[case] newer_present: bool,
) {
    let mut known = Evacuations::default();
    known.apply(record("z-a", newer, newer_present));
    assert_eq!(known.apply(record("z-a", older, older_present)), None);
    assert_eq!(known.contains("z-a"), newer_present);
}

/// Guards against an evacuation that never ends because its deletion was not in any feed.
#[rstest]
#[case::same_era((1, 9))]
#[case::older_copy((2, 3))]
fn full_read_without_the_row_ends_the_evacuation(#[case] read_at: (u64, u64)) {
    let mut known = Evacuations::default();
    known.apply(record("z-a", (1, 5), true));
    known.apply(record("z-b", (1, 6), true));
    let read_at = version(read_at.0, read_at.1);
    let kept = record("z-b", (read_at.era, 2), true);
    assert_eq!(known.replace(read_at, vec![kept]), [change("z-a", false)]);
    assert!(known.contains("z-b"));
}

/// A row that a peer read later than this daemon began its read may be missing from it.
#[test]
fn full_read_keeps_later_rows() {
    let mut known = Evacuations::default();
    known.apply(record("z-a", (1, 12), true));
    assert_eq!(known.replace(version(1, 9), Vec::new()), []);
    assert!(known.contains("z-a"));
}

/// Guards against a peer that has missed the end and begins the evacuation again at daemons that have
/// read the whole table since.
#[test]
fn row_of_before_a_full_read_is_ignored() {
    let mut known = Evacuations::default();
    known.replace(version(2, 9), Vec::new());
    assert_eq!(known.apply(record("z-a", (1, 50), true)), None);
    assert_eq!(known.apply(record("z-a", (2, 9), true)), None);
    let later = known.apply(record("z-a", (2, 10), true));
    assert_eq!(later, Some(change("z-a", true)));
}

/// A peer that holds an evacuation of which the other daemon has never heard learns that it has ended.
#[test]
fn peers_agree_in_both_directions() {
    let mut reader = Evacuations::default();
    reader.replace(version(1, 20), Vec::new());
    let mut cut_off = Evacuations::default();
    cut_off.apply(record("z-a", (1, 5), true));
    assert_eq!(tell(&cut_off, &mut reader), []);
    assert_eq!(tell(&reader, &mut cut_off), [change("z-a", false)]);
    reader.apply(record("z-b", (1, 21), true));
    assert_ne!(reader.digest(), cut_off.digest());
    assert_eq!(tell(&reader, &mut cut_off), [change("z-b", true)]);
    assert_eq!(reader.digest(), cut_off.digest());
    assert_eq!(tell(&cut_off, &mut reader), []);
    reader.apply(record("z-b", (1, 22), false));
    assert_eq!(tell(&reader, &mut cut_off), [change("z-b", false)]);
}

/// Daemons that tell each other of rows in any order, and repeatedly, agree in the end.
#[test]
fn order_of_reports_does_not_matter() {
    let records = [
        record("z-a", (1, 3), true),
        record("z-a", (1, 4), false),
        record("z-a", (1, 6), true),
        record("z-b", (1, 5), true),
        record("z-b", (2, 1), false),
    ];
    for shift in 0..records.len() {
        let mut known = Evacuations::default();
        let mut order = records.to_vec();
        order.rotate_left(shift);
        for record in order.iter().rev().chain(&order) {
            known.apply(record.clone());
        }
        let domains: Vec<_> = known.domains().collect();
        assert_eq!(domains, ["z-a"], "shift {shift}");
    }
}

/// Deletions of many domains take no memory once a read of the whole table shows them.
#[test]
fn deletions_are_forgotten() {
    let mut known = Evacuations::default();
    for number in 0..100 {
        let domain = format!("z-{number}");
        known.apply(record(&domain, (1, 2 * number + 1), true));
        known.apply(record(&domain, (1, 2 * number + 2), false));
    }
    known.replace(version(1, 300), Vec::new());
    assert_eq!(known.records().count(), 0);
    assert_eq!(known.apply(record("z-7", (1, 15), true)), None);
}
