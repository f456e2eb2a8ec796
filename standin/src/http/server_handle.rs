//! Control over a running server's connections and background tasks.

use super::pause::Pause;
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinHandle},
};

/// Handle by which tests and fakes silence, pause, close or terminate a running server.
#[derive(Debug)]
pub struct ServerHandle {
    down: AtomicBool,
    /// Whether new connections are reset on accept.
    full: AtomicBool,
    /// Number of connections accepted so far.
    connections: AtomicUsize,
    terminated: watch::Sender<bool>,
    refusing: watch::Sender<bool>,
    pause: Arc<Pause>,
    accept_task: Mutex<Option<JoinHandle<()>>>,
    tasks: Mutex<Vec<Task>>,
}

#[derive(Debug)]
struct Task {
    silence_flag: Arc<AtomicBool>,
    handle: AbortHandle,
}

impl ServerHandle {
    pub(super) fn new() -> Self {
        Self {
            down: AtomicBool::new(false),
            full: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            terminated: watch::Sender::new(false),
            refusing: watch::Sender::new(false),
            pause: Arc::default(),
            accept_task: Mutex::new(None),
            tasks: Mutex::default(),
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    pub(super) fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether new connections are closed on accept.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Returns whether [`terminate`](Self::terminate) was called. It stays true from then on.
    pub fn is_terminated(&self) -> bool {
        *self.terminated.borrow()
    }

    /// If `down`, closes the open connections, aborts background tasks, and closes new connections
    /// on accept until this is called with false.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        if down {
            self.close_connections();
        }
    }

    /// If `full`, accepts new connections and resets them at once, as a server does that has as many as
    /// it can serve. Open ones are not affected.
    pub fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Relaxed);
    }

    pub(super) fn is_full(&self) -> bool {
        self.full.load(Ordering::Relaxed)
    }

    /// If `refusing`, closes the listening socket and all connections, so that new ones are refused
    /// as by a process that has crashed, until this is called with false.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.send_replace(refusing);
    }

    /// Returns whether new connections are refused, and its changes.
    pub fn refusing(&self) -> watch::Receiver<bool> {
        self.refusing.subscribe()
    }

    /// Makes the open connections stop reading and sending for good, without closing them. New
    /// connections work.
    pub fn silence(&self) {
        for task in self.tasks().iter() {
            task.silence_flag.store(true, Ordering::Relaxed);
        }
    }

    /// Makes all connections, and new ones, neither read nor send for `duration` and then go on, so
    /// that nothing is lost.
    pub fn pause_for(&self, duration: Duration) {
        self.pause.begin(duration);
    }

    pub(super) fn pause(&self) -> Arc<Pause> {
        Arc::clone(&self.pause)
    }

    /// Closes the open connections and aborts background tasks. New connections are accepted unless
    /// the server is down.
    pub fn close_connections(&self) {
        for task in self.tasks().drain(..) {
            task.handle.abort();
        }
    }

    /// Spawns a background task that isn't tied to a client's connection: it continues if that
    /// client disconnects, and is aborted by [`close_connections`](Self::close_connections). While
    /// the server is down it is aborted at once.
    pub fn spawn<F>(&self, work: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let task = tokio::spawn(work);
        self.register_task(Arc::default(), task.abort_handle());
        task
    }

    /// Stops accepting, closes all connections and aborts background tasks, as if the server's
    /// process had been killed. Doesn't wait until the port is free.
    pub fn terminate(&self) {
        if let Some(task) = self.accept_task().as_ref() {
            task.abort();
        }
        self.set_down(true);
        self.terminated.send_replace(true);
    }

    /// Terminates the server and waits until its port is free.
    pub async fn stop(&self) {
        self.terminate();
        let task = self.accept_task().take();
        if let Some(task) = task {
            // The result is always the cancellation by `terminate`.
            drop(task.await);
        }
    }

    /// Waits until the server has terminated.
    pub async fn terminated(&self) {
        let mut terminated = self.terminated.subscribe();
        // The wait fails only if the sender is dropped, and `self` owns it.
        drop(terminated.wait_for(|terminated| *terminated).await);
    }

    pub(super) fn set_accept_task(&self, task: JoinHandle<()>) {
        *self.accept_task() = Some(task);
    }

    pub(super) fn register_task(&self, silence_flag: Arc<AtomicBool>, handle: AbortHandle) {
        let mut tasks = self.tasks();
        tasks.retain(|task| !task.handle.is_finished());
        if self.is_down() {
            handle.abort();
            return;
        }
        tasks.push(Task {
            silence_flag,
            handle,
        });
    }

    fn accept_task(&self) -> std::sync::MutexGuard<'_, Option<JoinHandle<()>>> {
        self.accept_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn tasks(&self) -> std::sync::MutexGuard<'_, Vec<Task>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
