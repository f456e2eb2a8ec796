//! Startup of a daemon, and shutdown without losing requests.

use super::{
    address, builds, cold, conduct, dialect::Table, front, ledger, link, process, quarantine, rate,
    reach, settings::Settings, side, state::Relay, tunnel, watch,
};
use crate::task;
use policy::relay::shutdown::Timetable;
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

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024; // all callers of a domain reconnect at once after an outage
/// Interval at which a daemon that is shutting down checks whether it is still needed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between attempts to bind the address of a listener.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of retries to bind an address, which an earlier process may still hold.
const MAX_BIND_RETRIES: u32 = 50;
/// Interval at which targets that have not returned after an outage are checked for expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Error that ends the daemon, or prevents a reload of its settings.
pub type Error = Box<dyn error::Error + Send + Sync>;
/// Rereads the settings; called on SIGHUP.
pub type Reload = Box<dyn Fn() -> Result<Settings, Error>>;

/// Runs a daemon until it receives SIGTERM or SIGINT and has shut down.
///
/// # Errors
///
/// Returns an error if the runtime or a signal handler can't be set up, or if an address can't be
/// bound.
pub fn run(relay: Relay, reload: Reload) -> Result<(), Error> {
    task::report_panics(relay.metrics.panics.clone());
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
        host = %settings.host, domain = %settings.domain, front = %settings.front_address,
        cpu = settings.cpu_cores, incarnation = relay.incarnation,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    spawn_local(front::listen(
        Rc::clone(relay),
        bind(settings.front_address).await?,
    ));
    spawn_local(side::listen(
        Rc::clone(relay),
        bind(settings.readiness_address).await?,
    ));
    if let Some(directory) = settings.directory_address {
        spawn_local(side::listen(Rc::clone(relay), bind(directory).await?));
    }
    if let Some(metrics) = settings.metrics_address {
        spawn_local(side::listen(Rc::clone(relay), bind(metrics).await?));
    }
    spawn_local(link::listen(
        Rc::clone(relay),
        bind(settings.link_address).await?,
    ));
    if let Some(tunnel) = settings.tunnel_address {
        spawn_local(tunnel::listen(Rc::clone(relay), bind(tunnel).await?));
    }
    spawn_loop(relay, reach::probe_targets);
    spawn_loop(relay, process::review_endings);
    spawn_loop(relay, address::dial_peers);
    let tables = [
        Table::Plan,
        Table::Targets,
        Table::Daemons,
        Table::Builds,
        Table::Quarantine,
    ];
    for table in tables {
        spawn_loop(relay, move |relay| watch::follow_table(relay, table));
    }
    spawn_loop(relay, watch::register_daemon);
    spawn_loop(relay, builds::record_builds);
    spawn_loop(relay, ledger::keep_streams);
    spawn_loop(relay, ledger::sweep_streams);
    spawn_loop(relay, quarantine::record_quarantine);
    spawn_loop(relay, rate::expire_limits);
    spawn_loop(relay, cold::end_cold_times);
    spawn_loop(relay, conduct::poll_scheduler);
    spawn_loop(relay, expire_targets);
    Ok(())
}

/// Starts a task that does not end while the daemon runs, not even by a panic.
fn spawn_loop<T: 'static, F: Future<Output = T> + 'static>(
    relay: &Rc<Relay>,
    run: impl Fn(Rc<Relay>) -> F + 'static,
) {
    let relay = Rc::clone(relay);
    spawn_local(task::supervise(move || run(Rc::clone(&relay))));
}

/// Removes the targets that have not returned after an outage; never returns.
async fn expire_targets(relay: Rc<Relay>) {
    loop {
        time::sleep(EXPIRY_CHECK_INTERVAL).await;
        relay.expire_targets();
    }
}

/// Serves callers for a while, then waits until they have read their responses, also those of peers in
/// tunnels.
async fn leave(relay: &Rc<Relay>) {
    let started = Instant::now();
    let grace_period = relay.settings().grace_period;
    let times = Timetable::new(grace_period);
    tracing::info!(
        in_flight = relay.in_flight(),
        grace_ms = grace_period.as_millis() as u64,
        "leaving"
    );
    relay.set_leaving(started + times.last_call);
    relay.broadcast_heartbeat();
    relay.hand_over_origins();
    let host = relay.settings().host.clone();
    let removal = relay.store.put_row(relay, Table::Daemons, &host, None);
    let removal = time::timeout(times.close, removal).await;
    if !matches!(removal, Ok(Ok(_))) {
        tracing::warn!("failed to remove own address from the store");
    }
    time::sleep_until((started + times.close).into()).await;
    relay.set_closing();
    while relay.is_needed() && started.elapsed() < times.exit {
        time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    while relay.owes_response() && started.elapsed() < times.latest_exit {
        time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    // Allows the last responses to be written to their sockets.
    time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    tracing::info!(in_flight = relay.in_flight(), "stopped");
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut retries = 0;
    loop {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        let listener = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
        match listener {
            Ok(listener) => return Ok(listener),
            Err(error) if retries < MAX_BIND_RETRIES => {
                retries += 1;
                tracing::warn!(%address, fault = %error, "failed to bind address, retrying");
                time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error),
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
            Err(error) => tracing::warn!(fault = %error, "settings left as they are"),
        }
    }
}
