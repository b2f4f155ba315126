//! Late copies of direct orders that were executed and answered before.

use oliveshift_core::{Call, Target};
use oliveshift_wire::{
    TaskId, decode,
    worker::{DirectOrders, Order},
};

use super::{Event, MS, World};
use crate::{
    evidence::CopiedStart,
    faults::{Fault, MAX_ORDER_DELAY},
};

/// Minimum delay of a copy, in milliseconds.
const MIN_COPY_DELAY_MS: u32 = 1000;

impl World {
    /// Draws whether a copy of executed orders arrives later.
    pub(super) fn draw_copied_order(&mut self, node: usize, incarnation: u64, call: &Call) {
        let now = self.now;
        let one_in = self.active_rate(|f| match f {
            Fault::CopiedOrders { one_in, .. } => Some(*one_in),
            _ => None,
        });
        if one_in.is_none_or(|one_in| self.copies_rng.u32(0..one_in) != 0) {
            return;
        }
        let max_delay_ms = MAX_ORDER_DELAY.as_millis() as u32;
        let delay = MS * self.copies_rng.u32(MIN_COPY_DELAY_MS..max_delay_ms);
        let copy = Event::CopiedOrder(node, incarnation, call.clone());
        self.schedule(now + delay, copy);
    }

    /// Delivers a copy of direct orders. Nobody waits for the answer.
    pub(super) fn execute_copied_order(&mut self, node: usize, incarnation: u64, call: Call) {
        let Target::Worker(name) = &call.to else {
            return;
        };
        if let Some(until) = self.hangs_until(name) {
            let copy = Event::CopiedOrder(node, incarnation, call);
            return self.schedule(until + MS, copy);
        }
        let Ok(orders) = decode::<DirectOrders>(&call.body) else {
            return;
        };
        let name = name.clone();
        let starts = orders.orders.iter().filter_map(|order| match order {
            Order::Start { task, attempt } => Some((task, *attempt)),
            Order::Stop { .. } | Order::Forget { .. } => None,
        });
        let mut copied: Vec<_> = starts
            .filter_map(|(task, attempt)| {
                self.copied_start(node, incarnation, &name, task, attempt)
            })
            .collect();
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        let status = worker.handle_direct_orders(self.now, orders, &mut self.rules);
        for start in &mut copied {
            start.rejected = status != 200;
        }
        self.evidence.copied_starts.extend(copied);
    }

    /// What is known of a copied start before it is executed.
    fn copied_start(
        &self,
        node: usize,
        incarnation: u64,
        machine: &str,
        task: &TaskId,
        attempt: u64,
    ) -> Option<CopiedStart> {
        let worker = self.workers.get(machine)?;
        let sender = &self.nodes[node];
        let revision_at_end = self.revisions_at_end.get(&(node, incarnation));
        Some(CopiedStart {
            at: self.now,
            ended: worker.end_of(task, attempt),
            is_forgotten: worker.has_forgotten(task, attempt),
            rejected: false,
            is_elsewhere: self.rules.is_elsewhere(task, machine),
            is_cancelled: self.rules.is_reported_cancelled(&task.job),
            sender_restarted: sender.incarnation != incarnation && sender.controller.is_some(),
            successor_unheard: revision_at_end.is_some_and(|end| worker.token() <= *end),
        })
    }
}
