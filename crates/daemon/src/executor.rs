//! A single-threaded executor with two priorities, urgent and background.
//!
//! A request passes the queue of ready tasks five times until it is answered. With one
//! queue, user requests and health probes waited behind hundreds of workers that reported
//! repeatedly, and probes missed their timeout of one second.

use std::future::Future;

use async_executor::{LocalExecutor, Task};
use futures_lite::{FutureExt, future::yield_now};

/// Maximum number of urgent steps before a background step runs, so that background tasks
/// are not starved.
const MAX_URGENT_STEPS_PER_ROUND: usize = 16;
/// Number of rounds, each with at most one background step, before the executor yields, so
/// that new I/O events are processed.
const ROUNDS_PER_YIELD: usize = 64;

/// An executor that runs urgent tasks before background tasks.
#[derive(Debug, Default)]
pub struct PriorityExecutor {
    urgent: LocalExecutor<'static>,
    background: LocalExecutor<'static>,
}

impl PriorityExecutor {
    /// Spawns an urgent task.
    pub fn spawn_urgent<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.urgent.spawn(future)
    }

    /// Spawns a task that may wait for urgent tasks.
    pub fn spawn_background<T: 'static>(
        &self,
        future: impl Future<Output = T> + 'static,
    ) -> Task<T> {
        self.background.spawn(future)
    }

    /// Runs the spawned tasks until `main` completes.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let run_tasks = async {
            loop {
                for _ in 0..ROUNDS_PER_YIELD {
                    let mut idle = true;
                    for _ in 0..MAX_URGENT_STEPS_PER_ROUND {
                        if !self.urgent.try_tick() {
                            break;
                        }
                        idle = false;
                    }
                    if !self.background.try_tick() && idle {
                        self.urgent.tick().or(self.background.tick()).await;
                    }
                }
                yield_now().await;
            }
        };
        main.or(run_tasks).await
    }
}

#[cfg(test)]
mod tests;
