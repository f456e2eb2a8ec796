//! Distribution of a large configuration in fleets with slow network links, in virtual time.

use policy::{
    id::HostId,
    relay::{
        distribution::{Fetcher, max_uploads},
        history::{Edition, Version},
    },
};
use rstest::rstest;
use std::time::Duration;

/// Resolution of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Interval at which each daemon checks whether to send a request; in a fleet of 85, heartbeats of
/// peers arrive more often.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Compressed size of the configuration in bytes; about 7,800 routes of the users' sites.
const PLAN_BYTES: f64 = 130_000.0;
/// Time within which it must be in force on the grown sites, 3 s, without the time for reading 1.6 MB
/// from the store over the slowest link, 10 Mbit/s.
const BOUND: Duration = Duration::from_millis(1_700);
const DOMAINS: usize = 3;
/// 10 Mbit/s.
const SLOW_LINK: u64 = 1_250_000;
/// 200 Mbit/s.
const FAST_LINK: u64 = 25_000_000;

struct Daemon {
    domain: usize,
    link_rate: u64,
    fetcher: Fetcher,
    revision: u64,
    copies_received: usize,
}

struct Transfer {
    from: usize,
    to: usize,
    bytes_left: f64,
}

fn edition(revision: u64) -> Edition {
    Edition {
        version: Version {
            era: 1,
            number: revision,
        },
        revision,
    }
}

fn host(index: usize) -> HostId {
    format!("h{index}").into()
}

/// Fleet in which the first daemon of each domain reads the store.
fn fleet(size: usize, fast: usize) -> Vec<Daemon> {
    let daemons = (0..size).map(|index| Daemon {
        domain: index % DOMAINS,
        link_rate: if index < fast { FAST_LINK } else { SLOW_LINK },
        fetcher: Fetcher::new(host(index)),
        revision: 1,
        copies_received: 0,
    });
    daemons.collect()
}

fn announce(fleet: &mut [Daemon], now: Duration, from: usize) {
    let (domain, revision) = (fleet[from].domain, fleet[from].revision);
    for (index, daemon) in fleet.iter_mut().enumerate() {
        if index != from {
            let is_local = daemon.domain == domain;
            daemon
                .fetcher
                .announce(now, &host(from), edition(revision), is_local);
        }
    }
}

/// Lets the daemons that lack the configuration request it. A source that is busy declines.
fn send_requests(fleet: &mut [Daemon], now: Duration, transfers: &mut Vec<Transfer>) {
    for to in 0..fleet.len() {
        let current = edition(fleet[to].revision);
        let Some(source) = fleet[to]
            .fetcher
            .next_request(now, Some(&current), |_| false)
        else {
            continue;
        };
        let from: usize = source[1..].parse().expect("host names end with an index");
        let uploads = transfers.iter().filter(|transfer| transfer.from == from);
        if uploads.count() >= max_uploads(fleet[from].link_rate) {
            fleet[to].fetcher.end_request(now, &source);
        } else {
            transfers.push(Transfer {
                from,
                to,
                bytes_left: PLAN_BYTES,
            });
        }
    }
}

/// Moves bytes for one step; transfers share the network links at both ends.
fn advance(fleet: &mut [Daemon], now: Duration, transfers: &mut Vec<Transfer>) {
    let share = |fleet: &[Daemon], daemon: usize| {
        let active = transfers
            .iter()
            .filter(|transfer| transfer.from == daemon || transfer.to == daemon);
        fleet[daemon].link_rate as f64 / active.count().max(1) as f64
    };
    let rates: Vec<f64> = transfers
        .iter()
        .map(|transfer| share(fleet, transfer.from).min(share(fleet, transfer.to)))
        .collect();
    for (transfer, rate) in transfers.iter_mut().zip(rates) {
        transfer.bytes_left -= rate * STEP.as_secs_f64();
    }
    let done: Vec<(usize, usize)> = transfers
        .extract_if(.., |transfer| transfer.bytes_left <= 0.0)
        .map(|transfer| (transfer.from, transfer.to))
        .collect();
    for (from, to) in done {
        fleet[to].fetcher.end_request(now, &host(from));
        fleet[to].copies_received += 1;
        fleet[to].revision = 2;
        announce(fleet, now, to);
    }
}

#[rstest]
#[case::a_few_fast_links(85, 6)]
#[case::only_slow_links(85, 0)]
#[case::large_fleet_of_slow_links(330, 0)]
fn configuration_reaches_all_daemons_once_and_in_time(#[case] size: usize, #[case] fast: usize) {
    let mut fleet = fleet(size, fast);
    let mut transfers = Vec::new();
    let mut now = Duration::ZERO;
    for reader in 0..DOMAINS {
        fleet[reader].revision = 2;
        announce(&mut fleet, now, reader);
    }
    while fleet.iter().any(|daemon| daemon.revision < 2) {
        if now.as_millis().is_multiple_of(REQUEST_INTERVAL.as_millis()) {
            send_requests(&mut fleet, now, &mut transfers);
        }
        advance(&mut fleet, now, &mut transfers);
        now += STEP;
        assert!(now < BOUND, "not everywhere after {BOUND:?}");
    }
    assert!(fleet.iter().all(|daemon| daemon.copies_received <= 1));
}

/// A source that does not answer, or that is lost, is replaced by another one.
#[rstest]
#[case::silent(false)]
#[case::link_lost(true)]
fn another_source_is_asked(#[case] is_lost: bool) {
    let mut fetcher = Fetcher::new(host(0));
    let current = edition(1);
    let mut now = Duration::ZERO;
    for source in [1, 2] {
        fetcher.announce(now, &host(source), edition(2), true);
    }
    let first = fetcher.next_request(now, Some(&current), |_| false);
    let first = first.expect("a source is due");
    assert_eq!(fetcher.next_request(now, Some(&current), |_| false), None);
    if is_lost {
        fetcher.remove(&first);
    } else {
        now += Duration::from_secs(1);
    }
    let second = fetcher.next_request(now, Some(&current), |_| false);
    assert!(second.is_some_and(|second| second != first));
}

/// A source whose answer takes long is not replaced while its bytes arrive.
#[test]
fn arriving_answer_is_not_requested_again() {
    let mut fetcher = Fetcher::new(host(0));
    let current = edition(1);
    for source in [1, 2] {
        fetcher.announce(Duration::ZERO, &host(source), edition(2), true);
    }
    let first = fetcher.next_request(Duration::ZERO, Some(&current), |_| false);
    let later = Duration::from_secs(5);
    let is_receiving = |source: &HostId| Some(source) == first.as_ref();
    assert_eq!(
        fetcher.next_request(later, Some(&current), is_receiving),
        None
    );
    let second = fetcher.next_request(later, Some(&current), |_| false);
    assert!(second.is_some() && second != first);
}

/// Sources in other domains are asked only if the own domain does not have the configuration.
#[test]
fn sources_in_the_own_domain_come_first() {
    let mut fetcher = Fetcher::new(host(0));
    let current = edition(1);
    let mut now = Duration::ZERO;
    fetcher.announce(now, &host(1), edition(2), false);
    assert_eq!(fetcher.next_request(now, Some(&current), |_| false), None);
    now += Duration::from_millis(300);
    fetcher.announce(now, &host(2), edition(2), true);
    assert_eq!(
        fetcher.next_request(now, Some(&current), |_| false),
        Some(host(2))
    );
    fetcher.end_request(now, &host(2));
    assert_eq!(
        fetcher.next_request(now, Some(&current), |_| false),
        Some(host(1))
    );
}

/// Announcements of the edition in force, or of an older one, lead to no request.
#[rstest]
#[case::same(2)]
#[case::older(1)]
fn only_newer_editions_are_requested(#[case] announced: u64) {
    let mut fetcher = Fetcher::new(host(0));
    fetcher.announce(Duration::ZERO, &host(1), edition(announced), true);
    assert_eq!(
        fetcher.next_request(Duration::ZERO, Some(&edition(2)), |_| false),
        None
    );
}
