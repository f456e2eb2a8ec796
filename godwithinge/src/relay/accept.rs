//! Accept loop for listeners.

use std::{rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

/// Delay before the next attempt after accepting a connection has failed. File descriptors are
/// freed as responses complete.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves each of them in its own local task; never returns.
pub(super) async fn serve_connections<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(TcpStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    serve_bounded_connections(listener, serve, || false).await;
}

/// Does the same. While `is_crowded`, connections that are closed in favor of new ones give their descriptors back
/// before the next one is accepted.
pub(super) async fn serve_bounded_connections<S, F>(
    listener: TcpListener,
    serve: S,
    is_crowded: impl Fn() -> bool,
) where
    S: Fn(TcpStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let serve = Rc::new(serve);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = Rc::clone(&serve);
                task::spawn_local(async move { serve(stream).await });
                if is_crowded() {
                    task::yield_now().await;
                }
            }
            Err(fault) => {
                tracing::warn!(%fault, "failed to accept a connection");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
