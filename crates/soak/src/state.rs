//! The simulated state service, which has a separate address for each controller.

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
    http::{HttpRequest, HttpResponse},
    site::{SharedSite, to_call, wait_until},
};

/// Interval at which a watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// Delay of a transaction that `Fault::LateWrites` affects, in milliseconds.
const LATE_WRITE_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

/// Handles a request of a controller. `None` closes the connection without an answer.
pub async fn handle_request(
    site: SharedSite,
    controller: usize,
    request: HttpRequest,
) -> Option<HttpResponse> {
    let is_write = request.method == Method::Post && request.path == "/multi";
    let held = site.borrow().active_fault(|f| match f {
        Fault::HoldState { controller: held } if *held == controller => Some(()),
        _ => None,
    });
    if let Some((_, ends_at)) = held {
        wait_until(&site, ends_at).await;
    }
    let late = is_write
        && site.borrow_mut().is_affected(|f| match f {
            Fault::LateWrites { one_in } => Some(*one_in),
            _ => None,
        });
    if late {
        let delay_ms = site.borrow_mut().rng.u64(LATE_WRITE_DELAY_MS);
        Timer::after(Duration::from_millis(delay_ms)).await;
    } else {
        delay_if_slow(&site).await;
    }
    let response = execute(&site, controller, request).await;
    let lost = site.borrow_mut().is_affected(|f| match f {
        Fault::StateAnswersLost { one_in } => Some(*one_in),
        _ => None,
    });
    if late || held.is_some() || lost {
        return None;
    }
    delay_if_slow(&site).await;
    Some(response)
}

/// If `Fault::SlowState` is active, sleeps for a random time of up to half its maximum delay.
/// Called before and after a request is executed.
async fn delay_if_slow(site: &SharedSite) {
    let slow = site.borrow().active_fault(|f| match f {
        Fault::SlowState { max_delay_ms } => Some(*max_delay_ms),
        _ => None,
    });
    if let Some((max_delay_ms, _)) = slow {
        let delay_ms = site.borrow_mut().rng.u64(0..=max_delay_ms / 2);
        Timer::after(Duration::from_millis(delay_ms)).await;
    }
}

fn is_refused(site: &SharedSite, controller: usize) -> bool {
    let site = site.borrow();
    let refused = site.active_fault(|f| match f {
        Fault::RefuseState { controller: c } if *c == controller => Some(()),
        _ => None,
    });
    refused.is_some() || site.is_state_out()
}

async fn execute(site: &SharedSite, controller: usize, request: HttpRequest) -> HttpResponse {
    if is_refused(site, controller) {
        return HttpResponse {
            status: 503,
            body: Vec::new(),
        };
    }
    let done = {
        let mut site = site.borrow_mut();
        site.advance();
        let now = site.now();
        let txn = decode::<Txn>(&request.body);
        let done = site.state.execute(now, &to_call(Target::State, request));
        if let (Ok(txn), StateResponse::Answer(200, body)) = (txn, &done)
            && let Ok(answer) = decode::<TxnAnswer>(body)
        {
            site.record_blocks(txn, &answer);
        }
        done
    };
    match done {
        StateResponse::Answer(status, body) => HttpResponse { status, body },
        StateResponse::Wait { after, block } => {
            let (status, body) = watch(site, controller, after, block).await;
            HttpResponse { status, body }
        }
    }
}

/// Waits for changes after a revision, for at most `block`. While the controller is refused,
/// its watches keep waiting even if there are changes or the time is up.
async fn watch(
    site: &SharedSite,
    controller: usize,
    after: u64,
    block: Duration,
) -> (u16, Vec<u8>) {
    let ends_at = site.borrow().now() + block;
    loop {
        Timer::after(WATCH_POLL_INTERVAL).await;
        let refused = is_refused(site, controller);
        let mut site = site.borrow_mut();
        site.advance();
        let has_changes = site.state.revision() > after && !refused;
        if has_changes || (site.now() >= ends_at && !refused) {
            return site.state.changes(after);
        }
    }
}
