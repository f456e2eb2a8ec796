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
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);
/// Time after which a leaving daemon takes no new request; the users' rules excuse a cut stream only
/// if it was sent within 3 s of the signal.
const CLOSE_DELAY: Duration = Duration::from_millis(2_800);
/// Period in which a leaving daemon looks whether it may end.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a listener's address is tried.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Tries of a listener's address; an earlier process may not have let it go.
const MAX_BIND_RETRIES: u32 = 50;
/// Period in which targets are looked over that did not come back after an outage.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
        host = %settings.host, domain = %settings.domain, front = %settings.front_address,
        cpu = settings.cpu_cores, incarnation = relay.incarnation, version = env!("CARGO_PKG_VERSION"),
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
    spawn_local(link::dial(Rc::clone(relay)));
    for table in [Table::Plan, Table::Targets, Table::Daemons] {
        spawn_local(watch::follow(Rc::clone(relay), table));
    }
    spawn_local(watch::announce(Rc::clone(relay)));
    spawn_local(conduct::tick(Rc::clone(relay)));
    let relay = Rc::clone(relay);
    spawn_local(async move {
        loop {
            time::sleep(EXPIRY_CHECK_INTERVAL).await;
            relay.expire_targets();
        }
    });
    Ok(())
}

/// Takes callers on for a while, then ends once they have their answers.
async fn leave(relay: &Rc<Relay>) {
    let started = Instant::now();
    let grace_period = relay.settings().grace_period;
    tracing::info!(
        in_flight = relay.in_flight(),
        grace_ms = grace_period.as_millis() as u64,
        "leaving"
    );
    relay.leave();
    let host = relay.settings().host.clone();
    let removal = relay.store.put_daemon(relay, &host, None);
    let removal = time::timeout(CLOSE_DELAY, removal).await;
    if !matches!(removal, Ok(Ok(()))) {
        tracing::warn!("own address could not be removed");
    }
    time::sleep_until((started + CLOSE_DELAY.min(grace_period / 2)).into()).await;
    relay.close();
    while relay.in_flight() > 0 && started.elapsed() + SHUTDOWN_MARGIN < grace_period {
        time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    // The last answers are on their way out of the sockets.
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
                tracing::warn!(%address, fault = %error, "address is not free yet");
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
