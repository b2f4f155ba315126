//! Bounds the memory for bodies that are still arriving.
//!
//! Clients of each kind have a budget of their own, so that those who send slowly don't keep other
//! kinds from being received. A body counts with the size that its request announces. When a
//! budget is exceeded, the bodies that have been arriving for longest are given up.

use std::{cell::RefCell, collections::VecDeque};

use oliveshift_core::{ClientKind, SocketId};

/// Budget of users and health probes, and of workers, in bytes.
const CLIENT_BUDGET_BYTES: usize = 8 << 20;
/// Budget of other controllers and operators, in bytes.
const CONTROLLER_BUDGET_BYTES: usize = 4 << 20;

/// The bodies of one kind of client that are arriving, the oldest first.
#[derive(Debug, Default)]
struct ArrivingBodies {
    bodies: VecDeque<(SocketId, usize)>,
    total_bytes: usize,
}

impl ArrivingBodies {
    fn add(&mut self, id: SocketId, bytes: usize, budget: usize) -> Vec<SocketId> {
        self.bodies.push_back((id, bytes));
        self.total_bytes += bytes;
        let mut given_up = Vec::new();
        while self.total_bytes > budget
            && self.bodies.len() > 1
            && let Some((oldest, bytes)) = self.bodies.pop_front()
        {
            self.total_bytes -= bytes;
            given_up.push(oldest);
        }
        given_up
    }

    fn remove(&mut self, id: SocketId) {
        // Most bodies arrive at once, so the newest is the most likely one.
        let Some(at) = self.bodies.iter().rposition(|(other, _)| *other == id) else {
            return;
        };
        if let Some((_, bytes)) = self.bodies.remove(at) {
            self.total_bytes -= bytes;
        }
    }
}

/// The bodies that are arriving, by kind of client.
#[derive(Debug, Default)]
pub struct ReceiptBudget {
    users: RefCell<ArrivingBodies>,
    workers: RefCell<ArrivingBodies>,
    controllers: RefCell<ArrivingBodies>,
}

/// A body that is arriving; it no longer counts once this is dropped.
#[derive(Debug)]
pub struct ArrivingBody<'a> {
    bodies: &'a RefCell<ArrivingBodies>,
    id: SocketId,
}

impl Drop for ArrivingBody<'_> {
    fn drop(&mut self) {
        self.bodies.borrow_mut().remove(self.id);
    }
}

impl ReceiptBudget {
    /// Counts a body of up to `bytes` from now on. Also returns the connections to close, whose
    /// bodies no longer count.
    pub fn begin(
        &self,
        client: ClientKind,
        id: SocketId,
        bytes: usize,
    ) -> (ArrivingBody<'_>, Vec<SocketId>) {
        let (bodies, budget) = match client {
            ClientKind::Worker => (&self.workers, CLIENT_BUDGET_BYTES),
            ClientKind::Controller | ClientKind::Operator => {
                (&self.controllers, CONTROLLER_BUDGET_BYTES)
            }
            ClientKind::HealthProbe | ClientKind::Poll | ClientKind::UserWrite => {
                (&self.users, CLIENT_BUDGET_BYTES)
            }
        };
        let given_up = bodies.borrow_mut().add(id, bytes, budget);
        (ArrivingBody { bodies, id }, given_up)
    }
}

#[cfg(test)]
mod tests;
