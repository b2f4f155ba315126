//! Submissions that the service has to refuse, and requests that change nothing.

use oliveshift_core::Method;
use oliveshift_wire::{JobId, encode, job::JobSpec};
use rmpv::Value;

use super::{Ask, Asker, NODES, World};
use crate::{faults::Fault, rules::RuleViolation};

/// What a submission may not lack.
const FIELDS: [&str; 6] = ["shards", "vcpus", "bundle", "owner", "shape", "urgency"];

/// What is wrong with an odd submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Oddity {
    /// No machine has so much.
    TooLarge,
    /// A field is missing.
    Lacks,
}

impl World {
    /// What users ask that they should not have to.
    pub(super) fn odd_requests(&mut self) {
        if self.users.is_empty() || !self.is_on(|f| matches!(f, Fault::UnusualRequests { .. })) {
            return;
        }
        let pick = |world: &mut Self, fits: &dyn Fn(&Self, usize) -> bool| {
            let all: Vec<_> = (0..world.users.len()).filter(|i| fits(world, *i)).collect();
            world.rng.choice(all)
        };
        let open = pick(self, &|w, i| w.users[i].accepted && !w.users[i].ended);
        if let Some(i) = open {
            self.evidence.unusual_requests[0] += 1;
            self.user_asks(i, Ask::Submit);
        }
        let done = pick(self, &|w, i| {
            w.users[i].ended && w.rules.ended.contains_key(&w.users[i].spec.id)
        });
        if let Some(i) = done {
            self.evidence.unusual_requests[1] += 1;
            self.user_asks(i, Ask::Abort);
        }
        for oddity in [Oddity::TooLarge, Oddity::Lacks] {
            let conn = self.id();
            let like = self.rng.usize(0..self.users.len());
            let mut spec = self.users[like].spec.clone();
            spec.id = format!("j-98{conn}").parse().expect("a valid id");
            spec.awaits.clear();
            let job = spec.id.clone();
            let body = match oddity {
                Oddity::TooLarge => {
                    spec.cpus = 1000.0;
                    encode(&spec)
                }
                Oddity::Lacks => {
                    let lacks = FIELDS[self.rng.usize(0..FIELDS.len())];
                    without(&spec, lacks)
                }
            };
            let node = self.rng.usize(0..NODES);
            if self.nodes[node].controller.is_none() {
                continue;
            }
            let asker = Asker::Odd { job, oddity };
            self.asks(node, conn, asker, Method::Post, "/work".into(), body);
        }
    }

    /// What an odd submission was answered.
    pub(super) fn odd_answered(&mut self, job: &JobId, oddity: Oddity, status: u16) {
        let (at, wanted) = match oddity {
            Oddity::TooLarge => (2, 422),
            Oddity::Lacks => (3, 400),
        };
        if status == wanted {
            self.evidence.unusual_requests[at] += 1;
        } else if !matches!(status, 429 | 503 | 504) {
            let what = format!("{job}: {oddity:?} got {status}");
            self.rules.report(self.now, RuleViolation::Unfit, what);
        }
    }
}

/// A submission without one of its fields.
fn without(spec: &JobSpec, field: &str) -> Vec<u8> {
    let value = oliveshift_wire::decode::<Value>(&encode(spec)).expect("a map");
    let entries = value.as_map().cloned().unwrap_or_default();
    let left = entries
        .into_iter()
        .filter(|(name, _)| name.as_str() != Some(field));
    encode(&Value::Map(left.collect()))
}
