//! The state service, at an address of its own for each controller.

use std::time::Duration;

use async_io::Timer;
use oliveshift_core::{Method, Target};
use oliveshift_testkit::StateResponse;
use oliveshift_wire::{
    decode,
    state::{Txn, TxnAnswer},
};

use crate::{
    faults::Fault,
    http::{Asked, Told},
    site::{Shared, call, until},
};

/// How often a watch looks for news.
const LOOK_EVERY: Duration = Duration::from_millis(8);
/// When a transaction that gets no answer is carried out, in milliseconds.
const LATE_WRITE_MS: std::ops::Range<u64> = 2000..12_000;

/// Answers a controller; none: it gets no answer.
pub async fn answer(site: Shared, controller: usize, asked: Asked) -> Option<Told> {
    let is_write = asked.method == Method::Post && asked.path == "/multi";
    let held = site.borrow().lasting(|f| match f {
        Fault::HoldState { controller: held } if *held == controller => Some(()),
        _ => None,
    });
    if let Some((_, over)) = held {
        until(&site, over).await;
    }
    let late = is_write
        && site.borrow_mut().is_chosen(|f| match f {
            Fault::LateWrites { one_in } => Some(*one_in),
            _ => None,
        });
    if late {
        let lag = site.borrow_mut().rng.u64(LATE_WRITE_MS);
        Timer::after(Duration::from_millis(lag)).await;
    } else {
        lag(&site).await;
    }
    let told = execute(&site, controller, asked).await;
    let lost = site.borrow_mut().is_chosen(|f| match f {
        Fault::LoseAnswers { one_in } => Some(*one_in),
        _ => None,
    });
    if late || held.is_some() || lost {
        return None;
    }
    lag(&site).await;
    Some(told)
}

/// A slow state service takes half of its time before and half after it acts.
async fn lag(site: &Shared) {
    let slow = site.borrow().lasting(|f| match f {
        Fault::SlowState { most_ms } => Some(*most_ms),
        _ => None,
    });
    if let Some((most_ms, _)) = slow {
        let lag = site.borrow_mut().rng.u64(0..=most_ms / 2);
        Timer::after(Duration::from_millis(lag)).await;
    }
}

fn refuses(site: &Shared, controller: usize) -> bool {
    let site = site.borrow();
    let refused = site.lasting(|f| match f {
        Fault::RefuseState { controller: c } if *c == controller => Some(()),
        _ => None,
    });
    refused.is_some() || site.is_out()
}

async fn execute(site: &Shared, controller: usize, asked: Asked) -> Told {
    if refuses(site, controller) {
        return Told {
            status: 503,
            body: Vec::new(),
        };
    }
    let done = {
        let mut site = site.borrow_mut();
        site.pass();
        let now = site.now();
        let txn = decode::<Txn>(&asked.body);
        let done = site.state.execute(now, &call(Target::State, asked));
        if let (Ok(txn), StateResponse::Answer(200, body)) = (txn, &done)
            && let Ok(answer) = decode::<TxnAnswer>(body)
        {
            site.note_holders(txn, &answer);
        }
        done
    };
    match done {
        StateResponse::Answer(status, body) => Told { status, body },
        StateResponse::Wait { after, block } => {
            let (status, body) = watch(site, controller, after, block).await;
            Told { status, body }
        }
    }
}

/// Waits for news or until the time is up. While a controller is refused its watches
/// wait, whatever changes.
async fn watch(site: &Shared, controller: usize, after: u64, block: Duration) -> (u16, Vec<u8>) {
    let over = site.borrow().now() + block;
    loop {
        Timer::after(LOOK_EVERY).await;
        let refused = refuses(site, controller);
        let mut site = site.borrow_mut();
        site.pass();
        let is_news = site.state.revision() > after && !refused;
        if is_news || (site.now() >= over && !refused) {
            return site.state.changes(after);
        }
    }
}
