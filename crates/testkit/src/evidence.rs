//! Record of what happened in a run. A test of two faults that coincide has to show that
//! they did.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{JobId, worker::EndCause};

/// The first answer to a user that shows a job as cancelled.
#[derive(Clone, Debug)]
pub struct Cancelled {
    /// Time of the answer.
    pub at: Duration,
    /// The cancelled job.
    pub job: JobId,
    /// Index of the controller that answered.
    pub by: usize,
    /// Number of its tasks that were on machines then.
    pub on: usize,
}

/// A transaction that got no answer and was executed late.
#[derive(Clone, Debug)]
pub struct LateWrite {
    /// Time of the execution.
    pub at: Duration,
    /// Whether its conditions still held.
    pub took_effect: bool,
    /// Number of transactions of the same controller executed since it was sent.
    pub overtaken_by: usize,
}

/// A machine that resumed after a hang.
#[derive(Clone, Debug)]
pub struct Hung {
    /// Time at which it resumed.
    pub at: Duration,
    /// Number of tasks on it at that time; none remain if its lease has expired.
    pub tasks: usize,
}

/// A direct order that arrived late.
#[derive(Clone, Copy, Debug)]
pub struct LateOrder {
    /// Time of arrival.
    pub at: Duration,
    /// Whether the process that sent it had ended by then.
    pub sender_ended: bool,
    /// Whether the worker had seen a higher fencing token, so that it rejects the order.
    pub fenced: bool,
}

/// A start in a copy of direct orders that had been executed and answered before.
#[derive(Clone, Copy, Debug)]
pub struct CopiedStart {
    /// Time of arrival.
    pub at: Duration,
    /// How the attempt had ended, if it had.
    pub ended: Option<EndCause>,
    /// Whether the worker no longer listed the attempt, because it was told to forget it.
    pub is_forgotten: bool,
    /// Whether the worker rejected the copy by its fencing token or session.
    pub rejected: bool,
    /// Whether the task was on another machine.
    pub is_elsewhere: bool,
    /// Whether the user had been told that the job is cancelled.
    pub is_cancelled: bool,
    /// Whether the process that sent the orders had ended and its successor was running.
    pub sender_restarted: bool,
    /// Whether no process that started after the sender had ended had reached the worker.
    pub successor_unheard: bool,
}

/// Counts and times gathered during a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Number of requests for changes that the state service no longer kept.
    pub too_old: usize,
    /// Number of pages of a list that were read after a block was leased and then a chunk written
    /// since the page was requested, see [`crate::Fault::ReadAcrossMoves`].
    pub pages_across_moves: usize,
    /// Times at which a controller became leader, and its index.
    pub leader_changes: Vec<(Duration, usize)>,
    /// Times at which a controller process started, and its index.
    pub controller_starts: Vec<(Duration, usize)>,
    /// Times at which a report arrived after a newer one of the same machine, and whether it
    /// belongs to an earlier session.
    pub old_reports: Vec<(Duration, bool)>,
    /// Arrival times at the current leader of reports sent before it became leader.
    pub reports_across_leaders: Vec<Duration>,
    /// Times at which a worker received an answer with status 200 to a report of its current
    /// session, and the index of the controller. Answers with a stale token are included.
    pub lease_renewals: Vec<(Duration, usize)>,
    /// Cancelled jobs, as first shown to users.
    pub cancelled: Vec<Cancelled>,
    /// Transactions executed late.
    pub late_writes: Vec<LateWrite>,
    /// Answers to reports lost by [`Fault::AnswersLost`](crate::Fault::AnswersLost).
    pub lost_report_answers: usize,
    /// Direct orders delivered while [`Fault::ReportsLost`](crate::Fault::ReportsLost) affected
    /// the machine.
    pub orders_during_report_loss: usize,
    /// Machines that resumed after a hang.
    pub hung: Vec<Hung>,
    /// Reports of workers that controllers forwarded to each other.
    pub forwarded_reports: usize,
    /// Direct orders that were held up and delivered late, after at least 2 s or at the end
    /// of a worker's hang.
    pub delayed_orders: usize,
    /// Requests at the end of a job: cancellations, queries, repeated submissions.
    pub requests_at_job_end: [usize; 3],
    /// Starts in delayed direct orders that arrived after the user had been told that the job is
    /// cancelled.
    pub late_starts_of_cancelled_jobs: usize,
    /// Rental and return requests executed late.
    pub late_cloud_calls: usize,
    /// Machines that were back at once after they had lost their tasks, and the number of these.
    pub machine_restarts: (usize, usize),
    /// Direct orders that arrived late.
    pub late_orders: Vec<LateOrder>,
    /// Starts in late copies of direct orders, see [`crate::Fault::CopiedOrders`].
    pub copied_starts: Vec<CopiedStart>,
    /// Transactions that were executed at once but whose answers were lost.
    pub lost_answers: usize,
    /// Copies of reports that were kept for a new leader and sent to it when it began to
    /// lead.
    pub reports_for_leader: usize,
    /// Start times of tasks on machines that had been running for less than 5 s.
    pub early_starts: Vec<Duration>,
    /// Answers to follow-up requests of users: to queries, repeated submissions and
    /// cancellations.
    pub follow_up_answers: [usize; 3],
    /// Those of them whose request was sent before another answer about the job arrived, and
    /// that arrived after it.
    pub overtaken_follow_ups: usize,
    /// Unusual requests: repeated submissions of open jobs and cancellations of jobs that
    /// are done, counted when sent; jobs that cannot run (status 422) and jobs that lack a
    /// field (status 400), counted when rejected with the expected status.
    pub unusual_requests: [usize; 4],
    /// Requests of users that took long to arrive: those that arrived in time, and those that
    /// were given up.
    pub slow_requests: (usize, usize),
    /// Answers of the state service delayed by a second or more.
    pub slow_answers: usize,
    /// Longest time between two answers about the same accepted job, counted from the end of
    /// the last fault.
    pub longest_unanswered: Duration,
    /// Number of executed transactions of each controller.
    pub(crate) writes: BTreeMap<usize, usize>,
}

impl Evidence {
    /// Number of leader changes within a time span.
    pub fn leaders_in(&self, span: std::ops::Range<Duration>) -> usize {
        let within = |(at, _): &&(Duration, usize)| span.contains(at);
        self.leader_changes.iter().filter(within).count()
    }
}
