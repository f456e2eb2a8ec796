//! Switch of a server's connections.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinHandle},
};

/// Switch of a server's connections and of the work that it does in the background.
#[derive(Debug)]
pub struct ServerHandle {
    down: AtomicBool,
    terminated: watch::Sender<bool>,
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
            terminated: watch::Sender::new(false),
            accept_task: Mutex::new(None),
            tasks: Mutex::default(),
        }
    }

    /// Returns whether new connections are closed at once.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Returns whether the server has terminated.
    pub fn is_terminated(&self) -> bool {
        *self.terminated.borrow()
    }

    /// Closes all connections, and new ones too for as long as `down` holds.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        if down {
            self.close_connections();
        }
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        for task in self.tasks().iter() {
            task.silence_flag.store(true, Ordering::Relaxed);
        }
    }

    /// Closes the open connections and ends the work in the background.
    pub fn close_connections(&self) {
        for task in self.tasks().drain(..) {
            task.handle.abort();
        }
    }

    /// Runs work that goes on when its connection closes, until the server ends.
    pub fn spawn<F>(&self, work: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let task = tokio::spawn(work);
        self.register_task(Arc::default(), task.abort_handle());
        task
    }

    /// Ends the server as if its process had died.
    pub fn terminate(&self) {
        if let Some(task) = self.accept_task().as_ref() {
            task.abort();
        }
        self.set_down(true);
        self.terminated.send_replace(true);
    }

    /// Ends the server and waits until its port is free.
    pub async fn stop(&self) {
        self.terminate();
        let task = self.accept_task().take();
        if let Some(task) = task {
            // The task was aborted, so its error says nothing.
            drop(task.await);
        }
    }

    /// Waits until the server has terminated.
    pub async fn terminated(&self) {
        let mut terminated = self.terminated.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
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
