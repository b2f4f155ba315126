//! Faults that a simulated run injects, scripted or drawn from a seed.

use std::{ops::Range, time::Duration};

/// Direction of a message between a controller and a worker's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Reports, and answers to direct orders.
    FromMachine,
    /// Answers to reports, and direct orders.
    ToMachine,
}

/// One injected fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A controller process is killed and restarts after [`RESTART_DELAY`].
    Crash {
        /// Index of the controller.
        node: usize,
        /// Time of the event.
        at: Duration,
    },
    /// A controller process is killed and restarts after a given delay.
    Restart {
        /// Index of the controller.
        node: usize,
        /// Time of the event.
        at: Duration,
        /// Delay until the restart.
        restart_after: Duration,
    },
    /// A late copy of one in `one_in` messages is delivered: writes of controllers to the state
    /// service and the cloud, messages between controllers, reports of workers, and submissions
    /// and cancellations by users. A copied direct order is executed at once too, but its
    /// answer is lost; its sender may have ended when the copy arrives.
    DuplicateMessages {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// No messages pass between a controller and the state service.
    CutState {
        /// Index of the controller.
        node: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// The state service rejects the requests of one controller.
    StateRefusesNode {
        /// Index of the controller.
        node: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// The state service rejects all requests.
    StateOutage {
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// The cloud rejects all requests.
    CloudOutage {
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// No messages pass between one or all controllers and some machines; what is sent
    /// meanwhile arrives when the fault ends.
    CutWorkers {
        /// Index of the controller; `None`: all controllers.
        node: Option<usize>,
        /// Affected machines: those whose number modulo 3 equals this; `None`: all.
        machine_group: Option<usize>,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Messages between a controller and some machines are held up in one direction and
    /// arrive when the fault ends.
    OneWay {
        /// Index of the controller.
        node: usize,
        /// Affected machines: those whose number modulo 3 equals this.
        machine_group: usize,
        /// The blocked direction.
        direction: Direction,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Connections between controllers are refused.
    PeersUnreachable {
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Controllers start at the first format level and are upgraded to the supported level
    /// one by one: each is killed and restarts with the new program. One that dies before
    /// its turn restarts with the old program.
    RollingUpgrade {
        /// Index of the first controller; the others follow in order.
        first: usize,
        /// Time at which the first is killed.
        at: Duration,
        /// Interval between two upgrades.
        interval: Duration,
    },
    /// A controller process is killed and never restarts.
    PermanentLoss {
        /// Index of the controller.
        node: usize,
        /// Time of the event.
        at: Duration,
    },
    /// An operator tells a controller that another one will not return.
    WriteOff {
        /// Index of the controller that will not return.
        node: usize,
        /// Time of the event.
        at: Duration,
    },
    /// The state service lowers its limits to the values announced in the settings.
    LowerStateLimits {
        /// Time of the event.
        at: Duration,
    },
    /// The answers to one in `one_in` transactions are lost; the transactions themselves
    /// are executed at once.
    LostAnswers {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A controller process is paused while its clocks run on. Messages and connections
    /// to it wait.
    ProcessPause {
        /// Index of the controller.
        node: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A controller processes its input, and sends its output, with a delay on each.
    ControllerLag {
        /// Index of the controller.
        node: usize,
        /// Added delay.
        lag: Duration,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A controller has little processor time: each request that it answers takes `each`.
    SlowController {
        /// Index of the controller.
        node: usize,
        /// Time per request.
        time_per_request: Duration,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A controller's answers to reports of workers are delayed, so its direct orders
    /// overtake them.
    LateAnswers {
        /// Index of the controller.
        node: usize,
        /// Added delay.
        lag: Duration,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Connections are opened to all controllers and never carry any data, as from machines
    /// whose network holds back what they send.
    SilentConnections {
        /// Connections per second at each controller.
        rate: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// One in `one_in` transactions gets no answer and is executed 2 s to 12 s later, after
    /// newer ones of the same controller.
    LateWrites {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A copy of one in `one_in` reports arrives at some controller 2 s to 20 s later, which
    /// is well over a lease.
    LateReports {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Copies of one in `one_in` reports are kept until the leader changes and are then
    /// delivered to every controller.
    ReportsForNextLeader {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Machines rented during the fault are running within two seconds.
    FastBoots {
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Whenever a user learns that a job is accepted, done or cancelled, the same user
    /// queries the job or repeats the submission at all controllers, several times within
    /// milliseconds. Some users cancel at once.
    FollowUpRequests {
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Reports of some machines arrive, but the answers and direct orders to them are lost.
    AnswersLost {
        /// Affected machines: those whose number modulo 3 equals this.
        machine_group: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Reports of some machines reach no controller; direct orders still reach the machines.
    ReportsLost {
        /// Affected machines: those whose number modulo 3 equals this.
        machine_group: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Some machines hang: their tasks make no progress, they send nothing, and messages to
    /// them wait. Their leases keep running.
    WorkerHang {
        /// Affected machines: those whose number modulo 3 equals this.
        machine_group: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// No messages pass between one controller and its peers.
    CutPeers {
        /// Index of the controller.
        node: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A zone is partitioned from everything else: its controllers and machines reach only
    /// each other.
    ZoneCut {
        /// Index of the zone.
        zone: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Some machines lose all their tasks and are back at once under their names, with
    /// workers that have forgotten the highest token.
    MachineRestart {
        /// Whether the workers still know their session, and go on with the next one. Otherwise
        /// they begin with the first session.
        remembers_session: bool,
        /// Affected machines: those whose number modulo 3 equals this.
        machine_group: usize,
        /// Time of the event.
        at: Duration,
    },
    /// Some machines fail and lose all their tasks.
    MachineCrash {
        /// Affected machines: those whose number modulo 3 equals this.
        machine_group: usize,
        /// Time of the event.
        at: Duration,
    },
    /// One controller can neither renew its membership lease nor get another, and reads all
    /// records while its blocks are leased to others. Its reads are delayed until shortly before
    /// the lease expires, and the second and later pages until a block was leased and then a chunk
    /// written since the page was requested; each read for at most [`MAX_READ_DELAY`].
    ReadAcrossMoves {
        /// Index of the controller.
        node: usize,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// All answers of the state service are delayed.
    SlowState {
        /// Added delay.
        lag: Duration,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// One in `one_in` direct orders is delayed by 2 s to 16 s without an answer, and then
    /// executed if token and session still match, even if another controller sends orders
    /// by then.
    DelayedOrders {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// One in `one_in` rental and return requests gets no answer and is executed 1 s to
    /// [`MAX_CLOUD_DELAY`] later.
    LateCloudCalls {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// A copy of one in `one_in` direct orders that were executed and answered arrives 1 s to
    /// 16 s later. It must have no effect, so it does not count as a disturbance when the end
    /// of the faults is determined.
    CopiedOrders {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Users cancel several running jobs at the same time.
    CancelBurst {
        /// Number of jobs.
        count: usize,
        /// Time of the event.
        at: Duration,
    },
    /// One in `one_in` jobs is cancelled, queried or submitted again at the moment it ends.
    RequestsAtJobEnd {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// One in `one_in` requests of users takes up to 7 s to arrive completely. A controller gives
    /// up those that take longer than their senders leave for that.
    SlowRequests {
        /// One in this many is affected.
        one_in: u32,
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// Users repeat submissions, cancel jobs that are done, and submit jobs that fit no
    /// machine or lack a field, each once a second.
    UnusualRequests {
        /// Start of the fault.
        from: Duration,
        /// End of the fault.
        until: Duration,
    },
    /// The cloud reclaims spot machines without notice.
    SpotReclaim {
        /// Time of the event.
        at: Duration,
    },
    /// Every task on one machine fails.
    FaultyMachine {
        /// Index of the machine among all workers, ordered by name.
        machine: usize,
        /// Start of the fault, which has no end.
        at: Duration,
    },
}

impl Fault {
    /// Time span of a fault with a duration; `None` for a fault at one point in time and for
    /// one without an end.
    pub fn span(&self) -> Option<Range<Duration>> {
        match *self {
            Self::CutState { from, until, .. }
            | Self::StateRefusesNode { from, until, .. }
            | Self::StateOutage { from, until }
            | Self::CloudOutage { from, until }
            | Self::CutWorkers { from, until, .. }
            | Self::OneWay { from, until, .. }
            | Self::ProcessPause { from, until, .. }
            | Self::ControllerLag { from, until, .. }
            | Self::SlowController { from, until, .. }
            | Self::LateAnswers { from, until, .. }
            | Self::SilentConnections { from, until, .. }
            | Self::LostAnswers { from, until, .. }
            | Self::ReportsForNextLeader { from, until, .. }
            | Self::FastBoots { from, until }
            | Self::FollowUpRequests { from, until }
            | Self::DuplicateMessages { from, until, .. }
            | Self::LateWrites { from, until, .. }
            | Self::LateReports { from, until, .. }
            | Self::AnswersLost { from, until, .. }
            | Self::ReportsLost { from, until, .. }
            | Self::WorkerHang { from, until, .. }
            | Self::CutPeers { from, until, .. }
            | Self::ZoneCut { from, until, .. }
            | Self::ReadAcrossMoves { from, until, .. }
            | Self::SlowState { from, until, .. }
            | Self::DelayedOrders { from, until, .. }
            | Self::CopiedOrders { from, until, .. }
            | Self::LateCloudCalls { from, until, .. }
            | Self::RequestsAtJobEnd { from, until, .. }
            | Self::UnusualRequests { from, until, .. }
            | Self::SlowRequests { from, until, .. }
            | Self::PeersUnreachable { from, until } => Some(from..until),
            Self::Crash { .. }
            | Self::Restart { .. }
            | Self::SpotReclaim { .. }
            | Self::FaultyMachine { .. }
            | Self::CancelBurst { .. }
            | Self::MachineCrash { .. }
            | Self::MachineRestart { .. }
            | Self::RollingUpgrade { .. }
            | Self::PermanentLoss { .. }
            | Self::WriteOff { .. }
            | Self::LowerStateLimits { .. } => None,
        }
    }
}

/// Time at which the last of `faults` has ended, including the restart of killed
/// controllers and the delivery of delayed messages. Other faults without a
/// span do not count.
pub fn last_fault_end(faults: &[Fault]) -> Duration {
    let ends = faults.iter().map(|fault| match *fault {
        Fault::Crash { at, .. } => at + RESTART_DELAY,
        Fault::Restart {
            at, restart_after, ..
        } => at + restart_after,
        Fault::CancelBurst { at, .. }
        | Fault::SpotReclaim { at }
        | Fault::MachineRestart { at, .. }
        | Fault::MachineCrash { at, .. } => at,
        Fault::LateCloudCalls { until, .. } => until + MAX_CLOUD_DELAY,
        Fault::LateWrites { until, .. } => until + MAX_WRITE_DELAY,
        Fault::LateReports { until, .. } => until + MAX_REPORT_DELAY,
        Fault::DelayedOrders { until, .. } => until + MAX_ORDER_DELAY,
        Fault::CopiedOrders { .. } => Duration::ZERO,
        _ => fault.span().map_or(Duration::ZERO, |span| span.end),
    });
    ends.max().unwrap_or_default()
}

/// Maximum delay of a write under [`Fault::LateWrites`].
pub const MAX_WRITE_DELAY: Duration = Duration::from_secs(12);
/// Maximum delay of a copied report under [`Fault::LateReports`].
pub const MAX_REPORT_DELAY: Duration = Duration::from_secs(20);
/// Maximum delay of a direct order under [`Fault::DelayedOrders`], and of a copy under
/// [`Fault::CopiedOrders`].
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(16);
/// Maximum delay of a request under [`Fault::LateCloudCalls`].
pub const MAX_CLOUD_DELAY: Duration = Duration::from_secs(120);

/// Maximum delay of a read under [`Fault::ReadAcrossMoves`]; a controller waits 1.5 s for it.
pub const MAX_READ_DELAY: Duration = Duration::from_millis(1200);

/// Time until a killed controller restarts, unless the fault sets another.
pub const RESTART_DELAY: Duration = Duration::from_secs(5);

/// Time at which all controllers run the new program; zero without a rolling upgrade.
pub fn upgrade_complete_at(faults: &[Fault], nodes: usize) -> Duration {
    let rolls = faults.iter().filter_map(|f| match f {
        Fault::RollingUpgrade { at, interval, .. } => {
            Some(*at + *interval * (nodes as u32 - 1) + RESTART_DELAY)
        }
        _ => None,
    });
    rolls.max().unwrap_or_default()
}
