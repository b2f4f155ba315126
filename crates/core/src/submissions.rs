//! Submissions of users: whether a job is accepted, and the write that accepts it.

use std::rc::Rc;

use oliveshift_policy::score::fits;
use oliveshift_wire::{
    job::{JobSpec, Resources, Shape},
    state::{Change, Cond, MAX_TXN_BYTES, Txn, json_len},
};

use crate::{
    admission_shares::AdmissionDecision,
    call::{CompleteBody, ConnId},
    controller::Controller,
    records::{FormatLevel, JobRecord, JobTooLarge, Key, Phase, max_chunk_tasks},
    user_api::{RequestKind, UserRequest},
    verdict::{FreshRead, Verdict},
};

/// What a submission says about its job.
#[derive(Clone, Debug)]
pub(crate) enum Submission {
    /// All that a job needs.
    Complete(Rc<JobSpec>),
    /// The name of the job, and for this reason no more.
    Malformed(Rc<str>),
}

/// State of the jobs that a submission awaits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AwaitedJobs {
    /// All are accepted.
    Accepted,
    /// At least one is not in the view.
    Unknown,
    /// One is a service, which can't be awaited.
    Service,
}

impl Controller {
    /// Handles a submission.
    pub(crate) fn submit(&mut self, conn: ConnId, body: &CompleteBody) {
        let (id, submission) = match JobSpec::parse(body) {
            Ok(mut spec) => {
                if self.supported_level < FormatLevel::PIPELINES {
                    spec.awaits.clear();
                }
                (spec.id.clone(), Submission::Complete(Rc::new(spec)))
            }
            Err(e) => match JobSpec::parse_id(body) {
                Some(id) => (id, Submission::Malformed(e.to_string().into())),
                None => return self.deny(conn, &Verdict::malformed(body, e.to_string())),
            },
        };
        self.user_request_log.job_submitted(conn, &id);
        if let Some(job) = self.view.jobs.get(&id) {
            if job.phase == Phase::Open {
                self.read_first(conn, id, RequestKind::Submit, None);
            } else {
                self.answer_status(conn, &id, 200);
            }
            return;
        }
        if !self.in_contact() {
            return self.relay_to_peer(conn, "the state service cannot be reached");
        }
        if self.machine_types.is_empty() {
            return self.refuse_with_retry(conn, "the machine types are not known yet");
        }
        match &submission {
            Submission::Complete(spec) if self.check_feasible(spec).is_ok() => {
                self.consider(conn, spec.clone(), None);
            }
            // Another controller may have accepted the job, and an accepted job is never refused.
            _ => self.read_first(conn, id, RequestKind::Submit, Some(submission)),
        }
    }

    /// Accepts a job that is not known, or refuses it. What is final needs a `read`.
    fn consider(&mut self, conn: ConnId, spec: Rc<JobSpec>, read: Option<FreshRead>) {
        if !spec.awaits.is_empty() && self.level() < FormatLevel::PIPELINES {
            // A controller of an older version would ignore the dependencies and start
            // the job at once.
            return self.refuse_with_retry(
                conn,
                "not all controllers support jobs that await others yet",
            );
        }
        match self.classify_awaited(&spec) {
            AwaitedJobs::Accepted => self.accept(conn, spec, read),
            AwaitedJobs::Service => {
                self.refuse_infeasible(conn, spec, read, "a service cannot be awaited");
            }
            AwaitedJobs::Unknown => {
                let reason = "it awaits a job that was never accepted";
                self.refuse_infeasible(conn, spec, read, reason);
            }
        }
    }

    /// Refuses a job that can never run, once a read shows that nobody has accepted it.
    fn refuse_infeasible(
        &mut self,
        conn: ConnId,
        spec: Rc<JobSpec>,
        read: Option<FreshRead>,
        reason: &str,
    ) {
        match read {
            Some(read) => self.deny(conn, &Verdict::infeasible(read, reason)),
            None => {
                let id = spec.id.clone();
                let submission = Some(Submission::Complete(spec));
                self.read_first(conn, id, RequestKind::Submit, submission);
            }
        }
    }

    /// Decides about a submission after a read that shows that its job is not known.
    pub(crate) fn decide_submission(&mut self, request: UserRequest, read: FreshRead) {
        match request.submission {
            Some(Submission::Complete(spec)) => match self.check_feasible(&spec) {
                Ok(()) => self.consider(request.conn, spec, Some(read)),
                Err(reason) => self.deny(request.conn, &Verdict::infeasible(read, reason)),
            },
            Some(Submission::Malformed(reason)) => {
                self.deny(request.conn, &Verdict::malformed_submission(read, &*reason));
            }
            None => self.refuse_with_retry(request.conn, "the state of the job is not known yet"),
        }
    }

    /// Looks up the jobs that a submission awaits. A job can't await itself, as it
    /// is not accepted yet.
    fn classify_awaited(&self, spec: &JobSpec) -> AwaitedJobs {
        let mut known = AwaitedJobs::Accepted;
        for awaited in &spec.awaits {
            match self.view.jobs.get(awaited) {
                Some(job) if job.service => return AwaitedJobs::Service,
                Some(_) => {}
                None => known = AwaitedJobs::Unknown,
            }
        }
        known
    }

    /// Writes the record of a job that passed all checks, if it is admitted.
    fn accept(&mut self, conn: ConnId, spec: Rc<JobSpec>, read: Option<FreshRead>) {
        let id = spec.id.clone();
        log::debug!(
            "{id}: submitted: {} of {}, {} tasks of {} processors for {} s, due in {} s, \
             image {}, awaits {:?}",
            spec.class,
            spec.team,
            spec.tasks,
            spec.cpus,
            spec.estimate_s,
            spec.deadline_s.unwrap_or(0.0),
            spec.image,
            spec.awaits
        );
        let limits = self.limits();
        let accepted_ms = self.wall_clock.as_millis() as u64;
        let record = JobRecord {
            phase: Phase::Open,
            tasks: spec.tasks,
            accepted_ms,
            chunk_size: max_chunk_tasks(self.level(), limits.value_kb),
            spec: Some((*spec).clone()),
            spec_overflow_count: 0,
            done_ms: None,
            service: false,
        };
        let records = match record.split(&id, self.level(), limits) {
            Ok(records) if records.len() > 1 && self.level() < FormatLevel::PIPELINES => {
                // A controller of an older version can't reassemble a split record.
                return self.refuse_with_retry(
                    conn,
                    "not all controllers support job records of this size yet",
                );
            }
            Ok(records) => records,
            Err(why) => return self.refuse_infeasible(conn, spec, read, &why.to_string()),
        };
        let mut txn = Txn {
            conds: vec![Cond {
                key: Key::Job(id.clone()).path(),
                version: 0,
            }],
            changes: records
                .into_iter()
                .map(|(key, value)| Change::Put {
                    key: key.path(),
                    value,
                    lease: None,
                })
                .collect(),
        };
        if json_len(&txn) > MAX_TXN_BYTES {
            let reason = JobTooLarge::Lists.to_string();
            return self.refuse_infeasible(conn, spec, read, &reason);
        }
        let present = self.view.admission.as_ref();
        let present = present.map(|r| (r.version, &r.record));
        #[cfg(feature = "sabotage")]
        {
            self.admission_shares.sabotage = self.sabotage;
        }
        let me = (self.settings.node.as_str(), self.incarnation);
        let version = match self.admission_shares.admit(self.now, me, present, &spec) {
            AdmissionDecision::Unrestricted => None,
            AdmissionDecision::IfVersion(version) => Some(version),
            AdmissionDecision::RetryAfter(after) => {
                log::debug!(
                    "{id}: submission refused: no admission share left, retry after {after:?}"
                );
                return self.refuse_with_retry_after(
                    conn,
                    "the open work already fills the admission horizon",
                    after,
                );
            }
        };
        // The share is valid only while the admission record has this version.
        txn.conds.extend(version.map(|version| Cond {
            key: Key::Admission.path(),
            version,
        }));
        let request = UserRequest {
            conn,
            job: id,
            kind: RequestKind::Submit,
            since: self.now,
            submission: Some(Submission::Complete(spec)),
            accepted_ms: Some(accepted_ms),
        };
        let spec = request.spec().cloned();
        if !self.write_for_user(request, txn) {
            self.refund_share(version, spec.as_deref());
        }
    }

    /// Returns the admission share of a job whose write was not sent.
    fn refund_share(&mut self, version: Option<u64>, spec: Option<&JobSpec>) {
        let record = self.view.admission.as_ref().map(|r| &r.record);
        if let (Some(version), Some(spec)) = (version, spec) {
            self.admission_shares.refund(version, record, spec);
        }
    }

    /// Returns an error if the job can never run.
    fn check_feasible(&self, spec: &JobSpec) -> Result<(), &'static str> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoAdmissionChecks) {
            return Ok(());
        }
        let Some(team) = self.team_quota(&spec.team) else {
            return Err("unknown team");
        };
        if spec
            .zone
            .as_ref()
            .is_some_and(|z| !self.settings.deployment.zones.contains(z))
        {
            return Err("unknown zone");
        }
        let need = spec.resources();
        let fits_some = self.machine_types.values().any(|t| {
            spec.allows_type(&t.name)
                && fits(&need, &t.resources())
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        if !fits_some {
            return Err("a task fits no allowed machine type");
        }
        let tasks = match spec.shape {
            Shape::Array => 1.0,
            Shape::Service | Shape::Gang => f64::from(spec.tasks),
        };
        let all = Resources {
            cpus: need.cpus * tasks,
            gpus: need.gpus * tasks,
            memory_gb: 0.0,
        };
        if !team.allows(&all) {
            return Err("the job needs more than the limit of its team");
        }
        Ok(())
    }
}
