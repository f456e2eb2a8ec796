//! Tests of the table: validation, CSV, edits and replicas.

use policy::table::{
    Pipeline, Table, Target, Workspace,
    edit::{Cell, Edit, EditError, LogEntry},
    replica::{Replica, Update, UpdateOutcome},
    row::{Key, Row},
    sheet::SheetError,
};
use proptest::prelude::*;
use rstest::rstest;
use std::sync::Arc;

fn table() -> Table {
    let mut table = Table {
        revision: 3,
        ..Table::default()
    };
    table.insert("tailors", Row::Workspace(Workspace::default()));
    table.insert("crew", Row::Workspace(Workspace::default()));
    table.insert(
        "fitting",
        Row::Pipeline(Pipeline::new(["encoders", "desk"])),
    );
    table.insert("e1", Row::Target(Target::default()));
    table
}

/// Parses an edit from cells such as `workspace/tailors.share=2`, separated by spaces.
fn edit(id: &str, base: u64, cells: &str) -> Edit {
    let cell = |word: &str| {
        let (path, value) = word.split_once('=').expect("a cell has a value");
        let (row, column) = path.rsplit_once('.').expect("a cell has a column");
        Cell {
            row: row.parse().expect("the row has a kind and a name"),
            column: column.parse().expect("the column exists"),
            value: value.into(),
        }
    };
    Edit {
        id: id.into(),
        who: id.into(),
        base,
        cells: cells.split_whitespace().map(cell).collect(),
    }
}

#[rstest]
#[case(
    "kind,name,share\nworkspace,a,0\n",
    "workspace/a: column share: \"0\" is not a number above 0 and at most 1000000"
)]
#[case(
    "kind,name,share,priority\nworkspace,a,x,2000\n",
    "workspace/a: column share: \"x\" is not a number above 0 and at most 1000000|workspace/a: column priority: \"2000\" is not a whole number from -1000 to 1000"
)]
#[case(
    "kind,name,ceiling\ntarget,e1,1.5\n",
    "target/e1: column ceiling: \"1.5\" is not blank or a whole number from 0 to 1000000"
)]
#[case(
    "kind,name,share\ntarget,e1,1\n",
    "target/e1: column share: \"1\" is not blank, since rows of this kind have no such column"
)]
#[case(
    "kind,name,stages\npipeline,p,a>a\n",
    "pipeline/p: column stages: \"a>a\" is not 1 to 16 names of pools, each once, joined by '>'"
)]
#[case(
    "kind,name,stages\npipeline,p,\n",
    "pipeline/p: column stages: \"\" is not 1 to 16 names of pools, each once, joined by '>'"
)]
#[case(
    "kind,name\nworkspace,\"a b\"\nworkspace,a/b\n",
    "workspace/a b: column name: \"a b\" is not a name of 1 to 64 letters, digits, '-', '_' or '.'|workspace/a/b: column name: \"a/b\" is not a name of 1 to 64 letters, digits, '-', '_' or '.'"
)]
#[case(
    "kind,name\nhost,a\nworkspace,a\nworkspace,a\nrevision,x\n",
    "line 2: column kind: \"host\" is not workspace, pipeline, target or revision|line 4: row workspace/a is a duplicate|line 5: revision \"x\" is not a whole number"
)]
#[case(
    "kind,colour,kind\n",
    "header: column \"colour\" is unknown or duplicate|header: column \"kind\" is unknown or duplicate|header: column \"name\" is missing"
)]
#[case(
    "kind,name,share\nworkspace,a\n",
    "line 2: the record is malformed or its number of cells differs from the header"
)]
fn parsing_reports_every_error(#[case] sheet: &str, #[case] expected: &str) {
    let faults = Table::from_csv(sheet).expect_err("the sheet is invalid");
    let found: Vec<_> = faults.iter().map(SheetError::to_string).collect();
    assert_eq!(found.join("|"), expected);
}

#[test]
fn csv_round_trips_the_whole_table() {
    let sheet = table().to_csv();
    assert_eq!(Table::from_csv(&sheet), Ok(table()), "{sheet}");
}

#[rstest]
#[case::same_cell(
    "workspace/tailors.share=2",
    "workspace/tailors.share=3",
    "workspace/tailors.share 1>2 asked 3"
)]
#[case::same_row(
    "workspace/tailors.ceiling=5",
    "workspace/tailors.share=3",
    "workspace/tailors.ceiling >5 asked -"
)]
#[case::other_row("workspace/crew.share=2", "workspace/tailors.share=3", "revision 5")]
#[case::new_row(
    "target/e2.weight=2",
    "target/e2.weight=3",
    "target/e2.weight >2 asked 3"
)]
#[case::removed(
    "workspace/crew.share= workspace/crew.priority=",
    "workspace/crew.share=4",
    "workspace/crew.priority 0> asked -|workspace/crew.share 1> asked 4"
)]
#[case::invalid(
    "workspace/crew.share=2",
    "target/e1.weight=-1 workspace/tailors.share=0",
    "workspace/tailors.share|target/e1.weight"
)]
#[case::unchanged("workspace/crew.share=2", "workspace/tailors.share=1", "unchanged")]
fn second_edit_on_the_same_base(#[case] first: &str, #[case] second: &str, #[case] expected: &str) {
    let (next, entry) = edit("ann", 3, first)
        .apply(&table(), &[], 7)
        .expect("the first edit is valid");
    let log = [entry];
    assert_eq!(
        next.rewind(&log).expect("the log holds only valid cells"),
        table()
    );
    let result = match edit("bob", 3, second).apply(&next, &log, 8) {
        Ok((table, _)) => format!("revision {}", table.revision),
        Err(EditError::Conflict { cells }) => {
            let mut result: Vec<_> = cells
                .iter()
                .map(|c| {
                    let asked = c.requested.as_deref().unwrap_or("-");
                    format!(
                        "{}.{} {}>{} asked {asked}",
                        c.row, c.column, c.seen, c.current
                    )
                })
                .collect();
            result.sort();
            result.join("|")
        }
        Err(EditError::Invalid { faults }) => {
            let result: Vec<_> = faults
                .iter()
                .map(|f| format!("{}.{}", f.row, f.column))
                .collect();
            result.join("|")
        }
        Err(EditError::Unchanged) => "unchanged".into(),
        Err(other) => other.to_string(),
    };
    assert_eq!(result, expected);
}

#[rstest]
#[case(9, &[], EditError::Ahead { base: 9, current: 3 })]
#[case(1, &[], EditError::Forgotten { base: 1 })]
fn edits_need_a_base_in_the_log(
    #[case] base: u64,
    #[case] log: &[LogEntry],
    #[case] expected: EditError,
) {
    let refusal = edit("ann", base, "workspace/crew.share=2").apply(&table(), log, 0);
    assert_eq!(refusal, Err(expected));
}

#[test]
fn replica_catches_up_by_deltas_and_never_goes_back() {
    let (mut replica, mut lagging) = (Replica::new(), Replica::new());
    let first = Update::Snapshot {
        table: Arc::new(table()),
    };
    assert_eq!(replica.apply(&first), UpdateOutcome::Adopted);
    assert_eq!(lagging.apply(&first), UpdateOutcome::Adopted);
    let mut newest = table();
    for cells in [
        "target/e1.weight=2",
        "workspace/crew.share= workspace/crew.priority=",
    ] {
        (newest, _) = edit("ann", newest.revision, cells)
            .apply(&newest, &[], 0)
            .expect("the edit is valid");
        let table = Arc::new(newest.clone());
        assert_eq!(
            replica.apply(&Update::Snapshot { table }),
            UpdateOutcome::Adopted
        );
    }
    assert_eq!(replica.apply(&first), UpdateOutcome::Lower { offered: 3 });
    let update = replica
        .update_since(lagging.revision())
        .expect("the peer lags");
    assert!(matches!(&update, Update::Delta(delta) if delta.rows.len() == 2));
    assert_eq!(Replica::new().apply(&update), UpdateOutcome::Gap);
    assert_eq!(lagging.apply(&update), UpdateOutcome::Adopted);
    assert_eq!(
        lagging.table().map(|t| Table::clone(t)),
        Some(newest.clone())
    );
    assert_eq!(lagging.apply(&update), UpdateOutcome::Known);
    newest.targets.clear();
    let fork = Update::Snapshot {
        table: Arc::new(newest),
    };
    assert_eq!(lagging.apply(&fork), UpdateOutcome::Forked);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Snapshots and deltas may arrive in any order, stale ones included.
    #[test]
    fn the_revision_in_force_never_falls(revisions in prop::collection::vec((0_u64..20, 0_u64..20, any::<bool>()), 1..60)) {
        let mut replica = Replica::new();
        let mut before = None;
        for (from, to, is_snapshot) in revisions {
            let update = if is_snapshot {
                Update::Snapshot { table: Arc::new(Table { revision: to, ..table() }) }
            } else {
                let rows = vec![(Key::new(policy::table::row::Kind::Target, "e1"), None)];
                Update::Delta(policy::table::replica::Delta { from, to, rows })
            };
            replica.apply(&update);
            prop_assert!(replica.revision() >= before);
            before = replica.revision();
        }
    }
}
