//! Submissions that the service has to refuse, and redundant requests.

use oliveshift_core::Method;
use oliveshift_wire::{JobId, encode, job::JobSpec};
use rmpv::Value;

use super::{CONTROLLER_COUNT, RequestKind, Requester, World};
use crate::{faults::Fault, rules::RuleViolation};

/// Required fields of a submission.
const REQUIRED_FIELDS: [&str; 6] = ["shards", "vcpus", "bundle", "owner", "shape", "urgency"];

/// Defect of an invalid submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum InvalidSubmission {
    /// A task needs more processors than any machine has.
    TooLarge,
    /// A required field is missing.
    MissingField,
}

impl World {
    /// Sends a repeated submission, a cancellation of a completed job and one invalid
    /// submission of each kind, if a fault of that kind is active.
    pub(super) fn send_unusual_requests(&mut self) {
        if self.users.is_empty()
            || !self.is_fault_active(|f| matches!(f, Fault::UnusualRequests { .. }))
        {
            return;
        }
        let pick = |world: &mut Self, fits: &dyn Fn(&Self, usize) -> bool| {
            let all: Vec<_> = (0..world.users.len()).filter(|i| fits(world, *i)).collect();
            world.rng.choice(all)
        };
        let open = pick(self, &|w, i| w.users[i].accepted && !w.users[i].ended);
        if let Some(i) = open {
            self.evidence.unusual_requests[0] += 1;
            self.send_user_request(i, RequestKind::Submit);
        }
        let done = pick(self, &|w, i| {
            w.users[i].ended && w.rules.ended.contains_key(&w.users[i].spec.id)
        });
        if let Some(i) = done {
            self.evidence.unusual_requests[1] += 1;
            self.send_user_request(i, RequestKind::Cancel);
        }
        for defect in [InvalidSubmission::TooLarge, InvalidSubmission::MissingField] {
            let conn = self.new_id();
            let template = self.rng.usize(0..self.users.len());
            let mut spec = self.users[template].spec.clone();
            spec.id = format!("j-98{conn}").parse().expect("a valid job id");
            spec.awaits.clear();
            let job = spec.id.clone();
            let body = match defect {
                InvalidSubmission::TooLarge => {
                    spec.cpus = 1000.0;
                    encode(&spec)
                }
                InvalidSubmission::MissingField => {
                    let field = REQUIRED_FIELDS[self.rng.usize(0..REQUIRED_FIELDS.len())];
                    encode_without(&spec, field)
                }
            };
            let node = self.rng.usize(0..CONTROLLER_COUNT);
            if self.nodes[node].controller.is_none() {
                continue;
            }
            let requester = Requester::InvalidSubmission { job, defect };
            self.send_request(node, conn, requester, Method::Post, "/work".into(), body);
        }
    }

    /// Checks the status of the answer to an invalid submission.
    pub(super) fn check_rejection(&mut self, job: &JobId, defect: InvalidSubmission, status: u16) {
        let (at, expected) = match defect {
            InvalidSubmission::TooLarge => (2, 422),
            InvalidSubmission::MissingField => (3, 400),
        };
        if status == expected {
            self.evidence.unusual_requests[at] += 1;
        } else if !matches!(status, 429 | 503 | 504) {
            let what =
                format!("{job}: {defect:?} submission: expected status {expected}, got {status}");
            self.rules.report(self.now, RuleViolation::Unfit, what);
        }
    }
}

/// Encodes a submission without one of its fields.
fn encode_without(spec: &JobSpec, field: &str) -> Vec<u8> {
    let value = oliveshift_wire::decode::<Value>(&encode(spec)).expect("a submission is a map");
    let entries = value.as_map().cloned().unwrap_or_default();
    let left = entries
        .into_iter()
        .filter(|(name, _)| name.as_str() != Some(field));
    encode(&Value::Map(left.collect()))
}
