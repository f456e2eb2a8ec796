//! Table edits with `gwictl` during platform outages and while daemons are replaced.

use crate::common::{
    ClientRequest, Entry, IDEMPOTENT, NON_IDEMPOTENT, POLL_INTERVAL, TestCluster, wait_until,
    with_timeout,
};
use rstest::rstest;
use serde_json::Value;
use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};
use tokio::{task, time};

const HOSTS: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// Runs `gwictl --json` against the cluster's platform; returns the exit status, the parsed
/// standard output and the standard error.
async fn gwictl(cluster: &TestCluster, arguments: &str) -> (i32, Value, String) {
    let arguments = format!("--patience 3 --json {arguments}");
    let Output {
        status,
        stdout,
        stderr,
    } = run(cluster, &arguments).await;
    let value = serde_json::from_slice(&stdout).unwrap_or_default();
    let error = String::from_utf8(stderr).expect("standard error is UTF-8");
    (
        status.code().expect("gwictl exits without a signal"),
        value,
        error,
    )
}

async fn run(cluster: &TestCluster, arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gwictl"));
    command.arg("--platform");
    command.arg(cluster.fleet.platform().address().to_string());
    command.args(arguments.split_whitespace());
    let run = task::spawn_blocking(move || command.output()).await;
    run.expect("task does not panic").expect("gwictl runs")
}

/// Waits until the entry has the table revision in force.
async fn wait_for_revision(entry: &Entry, revision: u64) {
    let wait = async {
        while entry.status().await["revision"] != revision {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    with_timeout("revision", wait).await;
}

/// Starts entries that are linked as peers.
async fn start_linked_entries(cluster: &TestCluster) -> Vec<Entry> {
    let first = cluster.start_ready_entry(HOSTS[0]).await;
    let seeds = first.peer_address().await.to_string();
    let mut entries = vec![first];
    for host in &HOSTS[1..] {
        let entry = cluster.start_entry_with(host, "peers", &format!("seeds = {seeds}"));
        entry.wait_ready().await;
        entries.push(entry);
    }
    for entry in &entries {
        entry.wait_linked(1).await;
    }
    entries
}

/// Two operators edit the same cell concurrently: one edit is accepted, the other is rejected with
/// the conflicting cell.
#[tokio::test(flavor = "multi_thread")]
async fn race() {
    let cluster = TestCluster::start(1).await;
    for base in 1..6 {
        let cell = |share| format!("table set workspace/tailors.share={share} --base {base}");
        let (ann, bob) = (cell(base * 2), cell(base * 2 + 1));
        let (ann, bob) = tokio::join!(gwictl(&cluster, &ann), gwictl(&cluster, &bob));
        let (accepted, refused) = if ann.0 == 0 { (ann, bob) } else { (bob, ann) };
        assert_eq!((accepted.0, refused.0), (0, 4), "{accepted:?} {refused:?}");
        let names_cell = refused.2.contains("workspace/tailors: column share");
        assert!(names_cell, "{}", refused.2);
        assert_eq!(accepted.1["revision"], base + 1);
    }
    let (_, log, _) = gwictl(&cluster, "table log").await;
    assert_eq!(log.as_array().map(Vec::len), Some(5), "{log}");
}

/// An accepted edit reaches all daemons from the only one that has it, although the others are
/// replaced during a platform outage.
#[tokio::test(flavor = "multi_thread")]
async fn outlives_replacement() {
    let cluster = TestCluster::start(1).await;
    let mut entries = start_linked_entries(&cluster).await;
    let (status, edit, error) = gwictl(&cluster, "table set workspace/tailors.share=5").await;
    assert_eq!(status, 0, "{error}");
    let revision = edit["revision"].as_u64().expect("edit has a revision");
    wait_for_revision(&entries[2], revision).await;
    cluster.fleet.platform().control(|it| it.outage = true);
    let seeds = entries[2].peer_address().await.to_string();
    for index in [0, 1, 3] {
        entries[index].kill();
        entries[index] =
            cluster.start_entry_with(HOSTS[index], "peers", &format!("seeds = {seeds}"));
    }
    for entry in &entries {
        wait_until("table", || entry.log_count("table in force") > 0).await;
        wait_for_revision(entry, revision).await;
    }
}

/// The response to an edit is lost; the edit is applied once, and repeating it returns the same
/// result.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_reply(#[case] lost: u32) {
    let cluster = TestCluster::start(1).await;
    cluster
        .fleet
        .platform()
        .control(|it| it.lose_replies = lost);
    let edit = "table set workspace/tailors.share=3 --base 1 --edit e-1";
    let (status, first, error) = gwictl(&cluster, edit).await;
    assert_eq!(status, 0, "{error}");
    let (status, again, error) = gwictl(&cluster, edit).await;
    assert_eq!((status, &again), (0, &first), "{error}");
    let (_, log, _) = gwictl(&cluster, "table log").await;
    assert_eq!(log.as_array().map(Vec::len), Some(1), "{log}");
}

/// `gwictl` rejects an invalid table; if the platform holds one nevertheless, the daemons keep the
/// previous revision.
#[tokio::test(flavor = "multi_thread")]
async fn invalid() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    let arguments = "table set workspace/tailors.share=-1 target/t.weight=x";
    let (status, _, error) = gwictl(&cluster, arguments).await;
    assert_eq!(status, 3, "{error}");
    assert!(
        error.contains("workspace/tailors: column share: \"-1\""),
        "{error}"
    );
    let mut table = cluster.fleet.deployment().table.clone();
    table.revision = 2;
    let tailors = table
        .workspaces
        .get_mut("tailors")
        .expect("workspace has a row");
    tailors.share = -1.0;
    cluster.fleet.platform().set_table(&table);
    wait_until("alarm", || {
        entry.log_count("platform holds an invalid table") > 0
    })
    .await;
    assert_eq!(entry.status().await["revision"], 1);
    let reply = entry.send(&ClientRequest::new(IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
}

/// During a platform outage, idempotent requests are served, non-idempotent ones fail without a
/// call, and edits fail with an error that names the platform.
#[tokio::test(flavor = "multi_thread")]
async fn outage() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.fleet.platform().control(|it| it.outage = true);
    let (status, _, error) = gwictl(&cluster, "table set workspace/tailors.share=3").await;
    assert_eq!(status, 1, "{error}");
    assert!(error.contains("platform is not available"), "{error}");
    for request in 0..20 {
        let reply = entry
            .send(&ClientRequest::new(IDEMPOTENT, &format!("r{request}")))
            .await;
        assert_eq!(reply.outcome(), "answered", "{reply:?}");
    }
    let reply = entry.send(&ClientRequest::new(NON_IDEMPOTENT, "o")).await;
    assert_eq!(reply.outcome(), "failed", "{reply:?}");
    assert_eq!(cluster.call_count("clerks"), 0, "no call without a claim");
    assert_eq!(entry.status().await["revision"], 1);
}

/// `gwictl status`, `explain` and `drain` work with the operator token; a wrong token is rejected
/// and appears neither in the error nor in the log.
#[tokio::test(flavor = "multi_thread")]
async fn operator() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    let (right, wrong) = (cluster.file_path("right"), cluster.file_path("wrong"));
    fs::write(&right, "operators\n").expect("token can be written");
    fs::write(&wrong, "not-the-token\n").expect("token can be written");
    let flags = |file: &PathBuf| format!("--token-file {}", file.display());
    let at = format!("--entry {}", entry.address().await);
    entry.send(&ClientRequest::new(IDEMPOTENT, "r-1")).await;
    let (status, state, error) = gwictl(&cluster, &format!("{at} {} status", flags(&right))).await;
    assert_eq!((status, &state["host"]), (0, &"e1".into()), "{error}");
    let explain = format!("{at} {} explain tailors/{IDEMPOTENT}/r-1", flags(&right));
    let (status, decisions, error) = gwictl(&cluster, &explain).await;
    assert_eq!(
        (status, &decisions[0]["pool"]),
        (0, &"encoders".into()),
        "{error}"
    );
    for command in ["status", "drain"] {
        let arguments = format!("{at} {} {command}", flags(&wrong));
        let (status, _, error) = gwictl(&cluster, &arguments).await;
        assert_eq!(status, 1, "{error}");
        assert!(
            error.contains("401") && !error.contains("not-the-token"),
            "{error}"
        );
    }
    let (status, _, error) = gwictl(&cluster, &format!("{at} {} drain", flags(&right))).await;
    assert_eq!(status, 0, "{error}");
    wait_until("end", || entry.exit_status().is_some()).await;
    assert!(!entry.log_text().contains("not-the-token") && !entry.log_text().contains("fleetkeys"));
}

/// Peers report a paused entry as lost, and as live again once it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn paused() {
    let cluster = TestCluster::start(1).await;
    let entries = start_linked_entries(&cluster).await;
    let presence = async |presence: &str| {
        let wait = async {
            loop {
                let status = entries[0].status().await;
                let members = status["members"].as_array().expect("status lists members");
                let paused = members.iter().find(|member| member["host"] == HOSTS[3]);
                if paused.is_some_and(|member| member["presence"] == presence) {
                    return;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        };
        with_timeout(presence, wait).await;
    };
    presence("live").await;
    entries[3].signal("STOP");
    presence("lost").await;
    entries[3].signal("CONT");
    presence("live").await;
}

/// A CSV export is edited and applied; applying a stale one is rejected with the conflicting cells.
#[tokio::test(flavor = "multi_thread")]
async fn sheet() {
    let cluster = TestCluster::start(1).await;
    let csv = run(&cluster, "table get --csv").await.stdout;
    let csv = String::from_utf8(csv).expect("CSV is UTF-8");
    let file = cluster.file_path("sheet.csv");
    let name = file.display();
    let edited = csv.replace("workspace,tailors,1,", "workspace,tailors,4,");
    fs::write(&file, edited).expect("sheet can be written");
    let (status, diff, error) = gwictl(&cluster, &format!("table diff {name}")).await;
    assert_eq!(status, 0, "{error}");
    assert_eq!(
        (&diff[0]["before"], &diff[0]["after"]),
        (&"1".into(), &"4".into())
    );
    let (status, _, error) = gwictl(&cluster, &format!("table apply {name}")).await;
    assert_eq!(status, 0, "{error}");
    fs::write(
        &file,
        csv.replace("workspace,tailors,1,", "workspace,tailors,6,"),
    )
    .expect("sheet can be written");
    let (status, _, error) = gwictl(&cluster, &format!("table apply {name}")).await;
    assert_eq!(status, 4, "{error}");
    assert!(error.contains("\"1\" was seen, \"4\" stands"), "{error}");
}
