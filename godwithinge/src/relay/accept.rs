//! Takes connections.

use std::{rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50); // descriptors free up as answers end

/// Serves each connection in a task of its own until the process ends.
pub(super) async fn serve_connections<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(TcpStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let serve = Rc::new(serve);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = Rc::clone(&serve);
                tokio::task::spawn_local(async move { serve(stream).await });
            }
            Err(fault) => {
                tracing::warn!(%fault, "connection could not be accepted");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
