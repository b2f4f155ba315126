//! What really came about on a day: a test of two troubles that meet has to show
//! that they met.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::JobId;

/// A cancellation that a user was told of for the first time.
#[derive(Clone, Debug)]
pub struct Cancelled {
    /// When.
    pub at: Duration,
    /// Which job.
    pub job: JobId,
    /// The controller that said so.
    pub by: usize,
    /// How many of its tasks were on machines then.
    pub on: usize,
}

/// A transaction that got no answer and was carried out late.
#[derive(Clone, Debug)]
pub struct LateWrite {
    /// When.
    pub at: Duration,
    /// Whether its conditions still held.
    pub took_effect: bool,
    /// How many of the same controller were carried out since it was sent.
    pub overtaken_by: usize,
}

/// A machine that hung and went on.
#[derive(Clone, Debug)]
pub struct Hung {
    /// When it went on.
    pub at: Duration,
    /// Tasks on it when it did: its lease had not ended.
    pub tasks: usize,
}

/// A direct order that was held up and then carried out.
#[derive(Clone, Copy, Debug)]
pub struct LateOrder {
    /// When it arrived.
    pub at: Duration,
    /// The process that sent it had ended by then.
    pub sender_ended: bool,
    /// The worker had heard of a later holder, so it did nothing.
    pub fenced: bool,
}

/// Counts and times, gathered as a day goes on.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Times that a controller was told that the changes it asks for are no longer
    /// kept.
    pub too_old: usize,
    /// When somebody began to lead, and who.
    pub leader_changes: Vec<(Duration, usize)>,
    /// When a controller began anew.
    pub controller_starts: Vec<(Duration, usize)>,
    /// When a report arrived after a newer one of its machine, and whether it was
    /// of an earlier session.
    pub old_reports: Vec<(Duration, bool)>,
    /// Reports sent before the lead changed that arrived after it at whoever leads.
    pub reports_across_leaders: Vec<Duration>,
    /// When a worker accepted an answer, and whose.
    pub lease_renewals: Vec<(Duration, usize)>,
    /// Cancellations, as users were told of them.
    pub cancelled: Vec<Cancelled>,
    /// Writes carried out late.
    pub late_writes: Vec<LateWrite>,
    /// Answers to reports that were lost on their way to a deaf machine.
    pub lost_report_answers: usize,
    /// Direct orders that a machine carried out while it reached no controller.
    pub orders_during_report_loss: usize,
    /// Machines that hung and went on.
    pub hung: Vec<Hung>,
    /// Reports of workers that controllers have forwarded to each other.
    pub forwarded_reports: usize,
    /// Direct orders carried out 2 s or more after they were sent.
    pub delayed_orders: usize,
    /// Requests at the moment of a job's end: cancellations, questions, repeated
    /// submissions.
    pub requests_at_job_end: [usize; 3],
    /// The same, one by one.
    pub late_orders: Vec<LateOrder>,
    /// Transactions that were executed at once and whose answers were lost.
    pub lost_answers: usize,
    /// Copies of reports that were kept for a new leader and sent to it as it began to
    /// lead.
    pub reports_for_leader: usize,
    /// When tasks started on machines which had been up for less than 5 s.
    pub early_starts: Vec<Duration>,
    /// Answers to users who looked closely: to questions, repeated submissions and
    /// cancellations.
    pub follow_up_answers: [usize; 3],
    /// Those of them that were asked before another answer arrived, and arrived
    /// after it.
    pub overtaken_follow_ups: usize,
    /// Odd requests: repeats of submissions that are open and cancellations of what
    /// is done, as they were sent; jobs that can't run and jobs that lack a field,
    /// as they were refused with the status that each calls for.
    pub unusual_requests: [usize; 4],
    /// Answers of the state service that were late by a second or more.
    pub slow_answers: usize,
    /// The longest between two answers to questions about one accepted job, once
    /// troubles were over.
    pub longest_unanswered: Duration,
    /// Writes by each controller so far, as they were carried out.
    pub(crate) writes: BTreeMap<usize, usize>,
}

impl Evidence {
    /// How often the lead changed within a span.
    pub fn leaders_in(&self, span: std::ops::Range<Duration>) -> usize {
        let within = |(at, _): &&(Duration, usize)| span.contains(at);
        self.leader_changes.iter().filter(within).count()
    }
}
