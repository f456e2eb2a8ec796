//! Addresses of other daemons, and when they are dialled.

use super::{link, state::Relay};
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Delay before an address is dialled again after a failure; doubles with each further one.
const INITIAL_REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay before an address is dialled again.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(3);
/// Time for which the daemon with the higher address waits for the other one to dial, so that the
/// two do not dial each other at the same time.
const YIELD_DELAY: Duration = Duration::from_secs(1);

/// Known addresses of other daemons, linked or not.
#[derive(Debug)]
pub(super) struct AddressBook {
    own: SocketAddr,
    known: RefCell<HashMap<SocketAddr, DialState>>,
}

/// State of the attempts to dial an address.
#[derive(Debug)]
struct DialState {
    /// Earliest time of the next attempt.
    next_attempt: Instant,
    /// Number of consecutive failures.
    failures: u32,
    /// Whether a dial is in progress or the dialled link is open.
    in_progress: bool,
}

impl AddressBook {
    /// Creates an empty address book for the daemon with the address `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            known: RefCell::default(),
        }
    }

    /// Returns all known addresses.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.known.borrow().keys().copied().collect()
    }

    /// Adds addresses of daemons to dial. Known ones keep their state, and the own one is ignored.
    pub fn add(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut known = self.known.borrow_mut();
        for address in addresses {
            if address == self.own {
                continue;
            }
            let wait = if self.own < address {
                Duration::ZERO
            } else {
                YIELD_DELAY
            };
            known.entry(address).or_insert_with(|| DialState {
                next_attempt: Instant::now() + wait,
                failures: 0,
                in_progress: false,
            });
        }
    }

    /// Returns the number of known addresses of other daemons, linked or not.
    pub fn count(&self) -> usize {
        self.known.borrow().len()
    }

    /// Returns the addresses to dial now, without the linked ones, and marks them as in progress.
    fn take_due(&self, linked: &HashSet<SocketAddr>) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        let due = known.iter_mut().filter(|(address, dial)| {
            dial.next_attempt <= now && !dial.in_progress && !linked.contains(*address)
        });
        due.map(|(address, dial)| {
            dial.in_progress = true;
            *address
        })
        .collect()
    }

    /// Schedules the redial of a lost daemon. The end with the higher address waits longer, so that
    /// the two do not dial each other at the same time.
    pub fn record_link_lost(&self, address: SocketAddr) {
        let wait = if self.own < address {
            INITIAL_REDIAL_DELAY
        } else {
            YIELD_DELAY
        };
        if let Some(dial) = self.known.borrow_mut().get_mut(&address) {
            dial.next_attempt = dial.next_attempt.max(Instant::now() + wait);
        }
    }

    /// Schedules the next dial after a dialled link has ended or a dial has failed. `was_open`
    /// tells whether the address was reachable, which resets the delay.
    fn record_dial_end(&self, address: SocketAddr, was_open: bool) {
        if let Some(dial) = self.known.borrow_mut().get_mut(&address) {
            let earlier = if was_open { 0 } else { dial.failures };
            let delay = INITIAL_REDIAL_DELAY * 2_u32.saturating_pow(earlier.min(8));
            dial.failures = if was_open { 0 } else { earlier + 1 };
            dial.next_attempt = dial
                .next_attempt
                .max(Instant::now() + delay.min(MAX_REDIAL_DELAY));
            dial.in_progress = false;
        }
    }
}

/// Interval at which the known addresses are checked for due dials.
const DIAL_INTERVAL: Duration = Duration::from_millis(50); // daemons that start again wait for their links

/// Dials known daemons that are not linked; never returns.
pub(super) async fn dial_peers(relay: Rc<Relay>) {
    loop {
        time::sleep(DIAL_INTERVAL).await;
        let linked = relay.links.linked_addresses();
        for address in relay.links.addresses.take_due(&linked) {
            let relay = Rc::clone(&relay);
            tokio::task::spawn_local(async move {
                let result = link::open_link(&relay, address).await;
                let was_open = matches!(
                    result,
                    Err(link::Error::Closed
                        | link::Error::TimedOut
                        | link::Error::Socket(_)
                        | link::Error::Redundant)
                );
                relay.links.addresses.record_dial_end(address, was_open);
            });
        }
    }
}
