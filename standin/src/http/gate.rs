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
pub struct Gate {
    down: AtomicBool,
    ended: watch::Sender<bool>,
    accept: Mutex<Option<JoinHandle<()>>>,
    tasks: Mutex<Vec<Task>>,
}

#[derive(Debug)]
struct Task {
    silent: Arc<AtomicBool>,
    handle: AbortHandle,
}

impl Gate {
    pub(super) fn new() -> Self {
        Self {
            down: AtomicBool::new(false),
            ended: watch::Sender::new(false),
            accept: Mutex::new(None),
            tasks: Mutex::default(),
        }
    }

    /// Returns whether new connections are closed at once.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Returns whether the server has ended.
    pub fn is_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Closes all connections, and new ones too for as long as `down` holds.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        if down {
            self.close();
        }
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        for task in self.tasks().iter() {
            task.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Closes the open connections and ends the work in the background.
    pub fn close(&self) {
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
        self.add(Arc::default(), task.abort_handle());
        task
    }

    /// Ends the server as if its process had died.
    pub fn end(&self) {
        if let Some(accept) = self.accept().as_ref() {
            accept.abort();
        }
        self.set_down(true);
        self.ended.send_replace(true);
    }

    /// Ends the server and waits until its port is free.
    pub async fn stop(&self) {
        self.end();
        let accept = self.accept().take();
        if let Some(accept) = accept {
            // The task was aborted, so its error says nothing.
            drop(accept.await);
        }
    }

    /// Waits until the server has ended.
    pub async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        drop(ended.wait_for(|ended| *ended).await);
    }

    pub(super) fn set_accept(&self, task: JoinHandle<()>) {
        *self.accept() = Some(task);
    }

    pub(super) fn add(&self, silent: Arc<AtomicBool>, handle: AbortHandle) {
        let mut tasks = self.tasks();
        tasks.retain(|task| !task.handle.is_finished());
        if self.is_down() {
            handle.abort();
            return;
        }
        tasks.push(Task { silent, handle });
    }

    fn accept(&self) -> std::sync::MutexGuard<'_, Option<JoinHandle<()>>> {
        self.accept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tasks(&self) -> std::sync::MutexGuard<'_, Vec<Task>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
