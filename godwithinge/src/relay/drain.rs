//! Starts a daemon, and ends it without losing a request.

use super::{conduct, dialect::Table, front, link, settings::Settings, side, state::Relay, watch};
use std::{
    error, io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time,
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024; // all callers of a domain come at once after a loss
/// Time before the end of the grace at which the process ends whatever is in flight.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time after which a leaving daemon takes no new request; the users' rules excuse a cut stream only
/// if it was sent within 3 s of the signal.
const CLOSE_AFTER: Duration = Duration::from_millis(2_800);
/// Period in which a leaving daemon looks whether it may end.
const END_PERIOD: Duration = Duration::from_millis(50);
/// Time for which a listener's address is tried.
const BIND_PERIOD: Duration = Duration::from_millis(100);
/// Tries of a listener's address; an earlier process may not have let it go.
const BIND_TRIES: u32 = 50;
/// Period in which targets are looked over that did not come back after an outage.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Failure of a daemon.
pub type Error = Box<dyn error::Error + Send + Sync>;
/// Reads the settings anew.
pub type Reload = Box<dyn Fn() -> Result<Settings, Error>>;

/// Runs a daemon until a signal has ended it.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub fn run(relay: Relay, reload: Reload) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    Ok(local.block_on(&runtime, serve(Rc::new(relay), reload))?)
}

async fn serve(relay: Rc<Relay>, reload: Reload) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    start(&relay).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => relay.reload(&reload),
        }
    }
    leave(&relay).await;
    Ok(())
}

async fn start(relay: &Rc<Relay>) -> io::Result<()> {
    let settings = relay.settings().clone();
    tracing::info!(
        host = %settings.host, domain = %settings.domain, front = %settings.front,
        cpu = settings.cpu, incarnation = relay.incarnation, version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    spawn_local(front::listen(Rc::clone(relay), bind(settings.front).await?));
    spawn_local(side::listen(Rc::clone(relay), bind(settings.ready).await?));
    if let Some(directory) = settings.directory {
        spawn_local(side::listen(Rc::clone(relay), bind(directory).await?));
    }
    if let Some(metrics) = settings.metrics {
        spawn_local(side::listen(Rc::clone(relay), bind(metrics).await?));
    }
    spawn_local(link::listen(Rc::clone(relay), bind(settings.link).await?));
    spawn_local(link::dial_peers(Rc::clone(relay)));
    for table in [Table::Plan, Table::Targets, Table::Daemons] {
        spawn_local(watch::follow_table(Rc::clone(relay), table));
    }
    spawn_local(watch::register_daemon(Rc::clone(relay)));
    spawn_local(conduct::poll_scheduler(Rc::clone(relay)));
    let relay = Rc::clone(relay);
    spawn_local(async move {
        loop {
            time::sleep(EXPIRE_PERIOD).await;
            relay.expire_targets();
        }
    });
    Ok(())
}

/// Takes callers on for a while, then ends once they have their answers.
async fn leave(relay: &Rc<Relay>) {
    let begun = Instant::now();
    let grace = relay.settings().grace;
    tracing::info!(
        in_flight = relay.in_flight(),
        grace_ms = grace.as_millis() as u64,
        "leaving"
    );
    relay.set_leaving();
    let host = relay.settings().host.clone();
    let removed = relay.store.put_daemon(relay, &host, None);
    let removed = time::timeout(CLOSE_AFTER, removed).await;
    if !matches!(removed, Ok(Ok(()))) {
        tracing::warn!("own address could not be removed");
    }
    time::sleep_until((begun + CLOSE_AFTER.min(grace / 2)).into()).await;
    relay.set_closing();
    while relay.in_flight() > 0 && begun.elapsed() + END_MARGIN < grace {
        time::sleep(END_PERIOD).await;
    }
    // The last answers are on their way out of the sockets.
    time::sleep(END_PERIOD).await;
    tracing::info!(in_flight = relay.in_flight(), "stopped");
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        let listener = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
        match listener {
            Ok(listener) => return Ok(listener),
            Err(fault) if tries < BIND_TRIES => {
                tries += 1;
                tracing::warn!(%address, %fault, "address is not free yet");
                time::sleep(BIND_PERIOD).await;
            }
            Err(fault) => return Err(fault),
        }
    }
}

impl Relay {
    fn reload(&self, reload: &Reload) {
        match reload() {
            Ok(settings) => {
                tracing::info!(host = %settings.host, "settings read anew");
                self.set_settings(settings);
            }
            Err(fault) => tracing::warn!(%fault, "settings left as they are"),
        }
    }
}
