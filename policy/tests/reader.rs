//! Daemons that read the store for all, and how many of them read when the readers are lost.

use policy::{
    id::HostId,
    relay::reader::{Candidate, Order, READERS, Schedule},
};
use rstest::rstest;
use std::{collections::HashSet, time::Duration};

fn fleet(daemons: usize, domains: usize) -> Vec<Candidate> {
    (0..daemons)
        .map(|number| Candidate {
            host: format!("n-{number}").into(),
            domain: format!("d-{}", number % domains).into(),
            cpu: if number % 20 == 0 { 0.5 } else { 0.12 },
        })
        .collect()
}

fn readers(order: &Order, fleet: &[Candidate]) -> Vec<Candidate> {
    let readers = fleet.iter().filter(|daemon| order.is_reader(&daemon.host));
    readers.cloned().collect()
}

/// Calls to the store don't grow with the fleet or with its domains.
#[rstest]
fn few_daemons_in_different_domains_read(
    #[values(3, 7, 30, 100, 300)] daemons: usize,
    #[values(1, 3, 5)] domains: usize,
) {
    let fleet = fleet(daemons, domains);
    let readers = readers(&Order::new(fleet.clone()), &fleet);
    assert_eq!(readers.len(), READERS);
    let distinct: HashSet<_> = readers.iter().map(|reader| &reader.domain).collect();
    assert_eq!(distinct.len(), domains.min(READERS));
}

/// The order depends on neither the order of the candidates nor those that are missing behind.
#[test]
fn daemons_agree() {
    let fleet = fleet(60, 4);
    let order = Order::new(fleet.clone());
    let reversed = Order::new(fleet.iter().rev().cloned().collect());
    for daemon in &fleet {
        assert_eq!(order.place(&daemon.host), reversed.place(&daemon.host));
    }
}

/// A reader that is lost is replaced by one other daemon; the remaining readers go on.
#[test]
fn lost_reader_is_replaced() {
    let mut fleet = fleet(60, 4);
    let before = readers(&Order::new(fleet.clone()), &fleet);
    fleet.retain(|daemon| daemon.host != before[0].host);
    let after = readers(&Order::new(fleet.clone()), &fleet);
    let kept = before[1..].iter().filter(|reader| {
        let mut hosts = after.iter().map(|daemon| &daemon.host);
        hosts.any(|host| *host == reader.host)
    });
    assert_eq!(kept.count(), READERS - 1);
}

/// Load pattern: all readers go silent at once. The number of daemons that turn to the store before
/// the first of them can tell the others does not grow with the fleet.
#[rstest]
fn daemons_stand_in_by_turns(#[values(30, 100, 300)] daemons: usize) {
    const TOLD_AFTER: Duration = Duration::from_millis(100);
    let fleet = fleet(daemons, 5);
    let order = Order::new(fleet.clone());
    let others = fleet.iter().filter(|daemon| !order.is_reader(&daemon.host));
    let delays = others.map(|daemon| order.stand_in_delay(&daemon.host));
    let delays: Vec<Duration> = delays.collect();
    let first = delays.iter().filter(|delay| **delay < TOLD_AFTER).count();
    assert!((1..=3).contains(&first), "{first}");
    let longest = delays.iter().max().copied().unwrap_or_default();
    assert!(longest <= Duration::from_secs(1));
}

#[test]
fn unknown_daemon_comes_last() {
    let order = Order::new(fleet(10, 2));
    assert_eq!(order.place(&HostId::from("other")), 10);
}

/// A change is known in time although a connection that hides it has to time out first, and although
/// a reader that had just read is lost.
#[rstest]
fn schedule_keeps_the_bound(#[values(2_000, 3_000, 4_000)] bound_ms: u64) {
    const CALL_TIMEOUT: Duration = Duration::from_millis(900);
    let bound = Duration::from_millis(bound_ms);
    let schedule = Schedule::new(bound);
    assert!(schedule.feed_wait + CALL_TIMEOUT + schedule.min_interval <= bound);
    assert!(schedule.max_table_age < bound);
    assert!(schedule.feed_wait + schedule.min_interval < schedule.max_table_age);
}

/// A removal is known at the last daemon within the time for which a target that leaves goes on, whoever
/// reads it. The parts of the way are added up: the store answers a call, the reader calls again after
/// its interval, and the word passes a link; before that, the readers may have been lost and others
/// stand in.
#[rstest]
#[case::all_readers_sound(0)]
#[case::readers_cut_off_from_the_store(READERS)]
fn delay_of_a_removal_is_less_than_the_drain(
    #[case] blind_readers: usize,
    #[values(3, 7, 30, 100, 300)] daemons: usize,
) {
    /// `drain-ms` and `config-ms` of the users' sites.
    const DRAIN: Duration = Duration::from_secs(2);
    const CHANGE_BOUND: Duration = Duration::from_secs(2);
    /// A call of a sound store, the way over a link, and the check for a turn to stand in.
    const CALL: Duration = Duration::from_millis(10);
    const LINK: Duration = Duration::from_millis(20);
    const CHECK: Duration = Duration::from_millis(100);
    let schedule = Schedule::new(CHANGE_BOUND);
    let order = Order::new(fleet(daemons, 5));
    let fleet = fleet(daemons, 5);
    let first_sound = fleet
        .iter()
        .filter(|daemon| order.place(&daemon.host) >= blind_readers)
        .map(|daemon| order.stand_in_delay(&daemon.host))
        .min();
    let reading = match (blind_readers, first_sound) {
        (0, _) => schedule.min_interval + CALL,
        (_, Some(delay)) => schedule.max_table_age + delay + CHECK + CALL,
        // All daemons are cut off from the store, so that none is bound by its word.
        (_, None) => return,
    };
    let known = reading + LINK;
    assert!(known < DRAIN, "{known:?}");
}
