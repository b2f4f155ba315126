use std::{cell::RefCell, rc::Rc};

use async_io::block_on;

use super::*;

#[test]
fn urgent_tasks_run_first_without_starving_background_tasks() {
    let executor = PriorityExecutor::default();
    let order = Rc::new(RefCell::new(String::new()));
    for (name, urgent) in [('o', false), ('u', true)] {
        for _ in 0..100 {
            let order = order.clone();
            let step = async move { order.borrow_mut().push(name) };
            match urgent {
                true => executor.spawn_urgent(step).detach(),
                false => executor.spawn_background(step).detach(),
            }
        }
    }
    block_on(executor.run(async {
        while order.borrow().len() < 200 {
            yield_now().await;
        }
    }));
    let order = order.borrow();
    let last = order.rfind('u').unwrap_or_default();
    let before = order[..last].matches('o').count();
    assert!((5..=7).contains(&before), "{order}");
}
