//! A simulated state service for the calls of an instance.

use std::time::Duration;

use oliveshift_core::{Call, Method, Target};
use oliveshift_testkit::{StateResponse, StateService};
use oliveshift_workflow::{
    api::{self, Reply},
    service::StoreCall,
};

/// Answers a store call from the simulated state service. A call that it would
/// hold open is reported as lost.
pub fn answer_store_call(state: &mut StateService, now: Duration, store_call: &StoreCall) -> Reply {
    let request = api::store_request(store_call);
    let call = Call {
        id: 0,
        to: Target::State,
        method: match request.method {
            "GET" => Method::Get,
            _ => Method::Post,
        },
        path: request.path,
        body: request.body,
        timeout: Duration::from_secs(1),
    };
    match state.execute(now, &call) {
        StateResponse::Answer(status, body) => Reply::Answer(status, body, None),
        StateResponse::Wait { .. } => Reply::Lost,
    }
}
