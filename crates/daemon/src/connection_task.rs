//! The task that serves a connection, and that closes the connection at once when dropped.
//!
//! A cancelled task keeps its future, and with it the socket, until the executor comes to the task
//! again. With many connections to accept that took long enough for the process to have several
//! times as many sockets open as the limit allows.

use std::{cell::Cell, future::Future, pin::Pin, rc::Rc, task::Context, task::Poll};

use async_executor::Task;
use futures_lite::future::poll_fn;

#[cfg(test)]
mod tests;

type ConnectionFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A future that can be dropped by another owner than the task that polls it.
#[derive(Default)]
struct SharedFuture {
    /// `None` while it is polled, and once it has ended or was cancelled.
    future: Cell<Option<ConnectionFuture>>,
    /// Whether the future is to be dropped at the end of a poll in progress.
    cancelled: Cell<bool>,
}

impl SharedFuture {
    fn poll(&self, context: &mut Context<'_>) -> Poll<()> {
        let Some(mut future) = self.future.take() else {
            return Poll::Ready(());
        };
        let poll = future.as_mut().poll(context);
        // A connection can be closed by a request of its own.
        if poll.is_ready() || self.cancelled.get() {
            return Poll::Ready(());
        }
        self.future.set(Some(future));
        Poll::Pending
    }

    /// Drops the future, or has it dropped at the end of the poll in progress.
    fn cancel(&self) {
        self.cancelled.set(true);
        drop(self.future.take());
    }
}

/// The task that serves a connection; dropping it closes the connection at once.
#[must_use]
pub struct ConnectionTask {
    future: Rc<SharedFuture>,
    /// `None` if detached.
    task: Option<Task<()>>,
}

impl ConnectionTask {
    /// Passes the future of a task that runs `serve` to `spawn`, which spawns it on an executor.
    pub fn new(
        serve: impl Future<Output = ()> + 'static,
        spawn: impl FnOnce(ConnectionFuture) -> Task<()>,
    ) -> Self {
        let future = Rc::new(SharedFuture::default());
        future.future.set(Some(Box::pin(serve)));
        let polled = future.clone();
        let task = spawn(Box::pin(poll_fn(move |context| polled.poll(context))));
        Self {
            future,
            task: Some(task),
        }
    }

    /// Lets the task run to its end.
    pub fn detach(mut self) {
        if let Some(task) = self.task.take() {
            task.detach();
        }
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        if self.task.is_some() {
            self.future.cancel();
        }
    }
}
