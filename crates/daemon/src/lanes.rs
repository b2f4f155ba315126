//! Two executors in one thread: what is urgent goes first, and what is not
//! still gets on.
//!
//! Users and probes were answered in their turn among hundreds of workers that
//! came again and again: a request passes the queue of what is ready five times
//! until it is answered, so that a probe took longer than the second it has.

use std::future::Future;

use async_executor::{LocalExecutor, Task};
use futures_lite::{FutureExt, future::yield_now};

/// So many urgent steps at most for each of the others.
const URGENT: usize = 16;
/// After so many of the others, new events are looked for.
const ROUND: usize = 64;

/// The two executors.
#[derive(Debug, Default)]
pub struct Lanes {
    urgent: LocalExecutor<'static>,
    others: LocalExecutor<'static>,
}

impl Lanes {
    /// Starts something urgent.
    pub fn urgent<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.urgent.spawn(future)
    }

    /// Starts something that can wait for what is urgent.
    pub fn other<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.others.spawn(future)
    }

    /// Runs all of them until `main` is done.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let lanes = async {
            loop {
                for _ in 0..ROUND {
                    let mut idle = true;
                    for _ in 0..URGENT {
                        if !self.urgent.try_tick() {
                            break;
                        }
                        idle = false;
                    }
                    if !self.others.try_tick() && idle {
                        self.urgent.tick().or(self.others.tick()).await;
                    }
                }
                yield_now().await;
            }
        };
        main.or(lanes).await
    }
}

#[cfg(test)]
mod tests {
    use std::{cell::RefCell, rc::Rc};

    use async_io::block_on;

    use super::*;

    #[test]
    fn what_is_urgent_goes_first_and_the_rest_gets_on() {
        let lanes = Lanes::default();
        let order = Rc::new(RefCell::new(String::new()));
        for (name, urgent) in [('o', false), ('u', true)] {
            for _ in 0..100 {
                let order = order.clone();
                let step = async move { order.borrow_mut().push(name) };
                match urgent {
                    true => lanes.urgent(step).detach(),
                    false => lanes.other(step).detach(),
                }
            }
        }
        block_on(lanes.run(async {
            while order.borrow().len() < 200 {
                yield_now().await;
            }
        }));
        let order = order.borrow();
        let last = order.rfind('u').unwrap_or_default();
        let before = order[..last].matches('o').count();
        assert!((5..=7).contains(&before), "{order}");
    }
}
