use std::cell::RefCell;

use async_executor::LocalExecutor;
use futures_lite::future::{pending, yield_now};

use super::*;

/// Sets a flag when dropped, as a socket is closed then.
struct Socket(Rc<Cell<bool>>);

impl Drop for Socket {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// A connection that is open until its task is dropped, and whether it has been closed.
fn open_connection(executor: &LocalExecutor<'static>) -> (ConnectionTask, Rc<Cell<bool>>) {
    let closed = Rc::new(Cell::new(false));
    let socket = Socket(closed.clone());
    let serve = async move {
        pending::<()>().await;
        drop(socket);
    };
    let task = ConnectionTask::new(serve, |future| executor.spawn(future));
    (task, closed)
}

#[test]
fn dropping_the_task_closes_the_connection_at_once() {
    let executor = LocalExecutor::new();
    let (unpolled, closed) = open_connection(&executor);
    drop(unpolled);
    assert!(closed.get());
    let (polled, closed) = open_connection(&executor);
    while executor.try_tick() {}
    assert!(!closed.get());
    drop(polled);
    assert!(closed.get());
    // What is left of the cancelled tasks ends with them.
    while executor.try_tick() {}
    assert!(executor.is_empty());
}

#[test]
fn a_connection_that_closes_itself_is_closed_when_its_step_ends() {
    let executor = LocalExecutor::new();
    let closed = Rc::new(Cell::new(false));
    let own_task = Rc::new(RefCell::new(None));
    let (socket, seen) = (Socket(closed.clone()), closed.clone());
    let own = own_task.clone();
    let serve = async move {
        let _socket = socket;
        drop(own.take());
        assert!(!seen.get(), "closed while in use");
        pending::<()>().await;
    };
    let task = ConnectionTask::new(serve, |future| executor.spawn(future));
    own_task.replace(Some(task));
    while executor.try_tick() {}
    assert!(closed.get());
    assert!(executor.is_empty());
}

#[test]
fn a_detached_task_runs_to_its_end() {
    let executor = LocalExecutor::new();
    let closed = Rc::new(Cell::new(false));
    let socket = Socket(closed.clone());
    let serve = async move {
        let _socket = socket;
        yield_now().await;
    };
    ConnectionTask::new(serve, |future| executor.spawn(future)).detach();
    assert!(executor.try_tick());
    assert!(!closed.get());
    while executor.try_tick() {}
    assert!(closed.get());
    assert!(executor.is_empty());
}
