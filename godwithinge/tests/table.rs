//! Tests of table edits and polling while the platform fails, loses responses or is stale.

use godwithinge::{
    platform::Client,
    table::{Error, Poller, Store},
};
use policy::table::{
    Table, Workspace,
    edit::{Cell, Edit, EditError},
    row::Row,
};
use rstest::rstest;
use standin::platform::{self, Server, Settings};
use std::time::Duration;
use tokio::time;

/// Starts a platform that holds two workspaces, `tailors` and `crew`.
async fn start() -> (Server, Client) {
    let server = platform::start(Settings::default())
        .await
        .expect("the platform starts");
    let client = Client::new(server.address().to_string(), Duration::from_millis(500));
    let mut table = Table::default();
    table.insert("tailors", Row::Workspace(Workspace::default()));
    table.insert("crew", Row::Workspace(Workspace::default()));
    server.set_table(&table);
    (server, client)
}

/// Returns an edit that sets the column `share` of one row.
fn edit(id: &str, base: u64, row: &str, share: &str) -> Edit {
    Edit {
        id: id.into(),
        who: id.into(),
        base,
        cells: vec![Cell {
            row: row.parse().expect("the row key is valid"),
            column: policy::table::row::Column::Share,
            value: share.into(),
        }],
    }
}

/// Returns the cells of a conflict as `row.column`.
fn conflicting_cells(error: &Error) -> Vec<String> {
    match error {
        Error::Refused(EditError::Conflict { cells }) => cells
            .iter()
            .map(|c| format!("{}.{}", c.row, c.column))
            .collect(),
        other => panic!("expected a conflict, got: {other}"),
    }
}

/// Guards against two concurrent edits of one cell, based on the same revision, both taking effect.
#[tokio::test]
async fn one_of_two_racing_edits_is_accepted() {
    let (_server, client) = start().await;
    for round in 0..20 {
        let store = Store::new(client.clone());
        let base = store
            .read()
            .await
            .expect("the table is read")
            .table
            .revision;
        let shares = [format!("{}", 2 * round + 2), format!("{}", 2 * round + 3)];
        let ann = edit(
            &format!("ann{round}"),
            base,
            "workspace/tailors",
            &shares[0],
        );
        let bob = edit(
            &format!("bob{round}"),
            base,
            "workspace/tailors",
            &shares[1],
        );
        let (ann, bob) = tokio::join!(store.edit(&ann, 1), store.edit(&bob, 1));
        let refused = match (ann, bob) {
            (Ok(_), Err(error)) | (Err(error), Ok(_)) => error,
            both => panic!("{both:?}"),
        };
        assert_eq!(conflicting_cells(&refused), ["workspace/tailors.share"]);
        let log = store.log(base).await.expect("the log is read");
        assert_eq!(log.len(), 1);
    }
}

#[tokio::test]
async fn edits_of_different_rows_both_take_effect() {
    let (_server, client) = start().await;
    let store = Store::new(client);
    let base = store
        .read()
        .await
        .expect("the table is read")
        .table
        .revision;
    let ann = edit("ann", base, "workspace/tailors", "2");
    let bob = edit("bob", base, "workspace/crew", "3");
    let (ann, bob) = tokio::join!(store.edit(&ann, 1), store.edit(&bob, 1));
    let mut revisions = [ann, bob].map(|entry| entry.expect("the edit is accepted").revision);
    revisions.sort_unstable();
    assert_eq!(revisions, [base + 1, base + 2]);
}

/// Guards against an edit taking effect twice when the response of its commit is lost and the edit
/// is retried.
#[rstest]
#[case::reply_lost(1)]
#[case::replies_lost(3)]
#[tokio::test]
async fn a_lost_reply_does_not_repeat_an_edit(#[case] lost: u32) {
    let (server, client) = start().await;
    let store = Store::new(client);
    let base = store
        .read()
        .await
        .expect("the table is read")
        .table
        .revision;
    server.control(|settings| settings.lose_replies = lost);
    let ann = edit("ann", base, "workspace/tailors", "2");
    let first = store.edit(&ann, 1).await.expect("the edit took effect");
    let again = store.edit(&ann, 2).await.expect("the edit took effect");
    assert_eq!(first, again);
    assert_eq!(store.log(base).await.expect("the log is read").len(), 1);
}

#[tokio::test]
async fn an_edit_with_an_unknown_outcome_says_how_to_retry() {
    let (server, _) = start().await;
    let client = Client::new(server.address().to_string(), Duration::from_secs(5));
    let store = Store::new(client).with_edit_timeout(Duration::from_secs(3));
    server.control(|settings| (settings.lose_replies, settings.delay_ms) = (1, 500));
    let ann = edit("e-1", 0, "workspace/tailors", "2");
    let (outcome, ()) = tokio::join!(store.edit(&ann, 1), async {
        // Starts an outage after the edit took effect and before the store can read it back.
        while server.rows("changes").is_empty() {
            time::sleep(Duration::from_millis(1)).await;
        }
        server.control(|settings| (settings.outage, settings.delay_ms) = (true, 0));
    });
    server.control(|settings| settings.outage = false);
    let message = outcome.expect_err("the edit was not read back").to_string();
    assert!(
        message.starts_with("edit e-1 based on revision 0 may have"),
        "{message}"
    );
    let again = store.edit(&ann, 2).await.expect("the edit took effect");
    assert_eq!((again.revision, again.at_ms), (1, 1));
}

#[tokio::test]
async fn an_outage_refuses_edits_with_a_clear_error() {
    let (server, client) = start().await;
    let store = Store::new(client).with_edit_timeout(Duration::from_millis(300));
    let base = store
        .read()
        .await
        .expect("the table is read")
        .table
        .revision;
    server.control(|settings| settings.outage = true);
    let error = store
        .edit(&edit("ann", base, "workspace/crew", "2"), 1)
        .await;
    let error = error.expect_err("the platform is unavailable");
    assert!(
        error.to_string().starts_with("platform is not available"),
        "{error}"
    );
}

/// Guards against hiding a platform that returns an older version: the poller shows the older table
/// and reports no change once the platform is current again.
#[tokio::test]
async fn a_poller_reads_changes_and_shows_a_stale_platform() {
    let (server, client) = start().await;
    let store = Store::new(client.clone());
    let mut poller = Poller::new(client);
    let first = poller
        .read()
        .await
        .expect("the table is read")
        .expect("the table has changed");
    assert_eq!(poller.read().await.expect("the table is read"), None);
    let old = store.read().await.expect("the table is read").version;
    for (share, id) in [("2", "a"), ("3", "b")] {
        let base = store
            .read()
            .await
            .expect("the table is read")
            .table
            .revision;
        let entry = store
            .edit(&edit(id, base, "workspace/crew", share), 1)
            .await;
        entry.expect("the edit is accepted");
    }
    let newest = poller
        .read()
        .await
        .expect("the table is read")
        .expect("the table has changed");
    assert_eq!(newest.revision, first.revision + 2);
    assert_eq!(newest.workspaces["crew"].share.to_string(), "3");
    server.control(|settings| settings.stale = old);
    let stale = poller
        .read()
        .await
        .expect("the table is read")
        .expect("the table is stale");
    assert_eq!(stale, first);
    server.control(|settings| settings.stale = 0);
    assert_eq!(poller.read().await.expect("the table is read"), None);
}
