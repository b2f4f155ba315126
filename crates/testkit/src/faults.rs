//! What can go wrong, scripted or drawn from a seed.

use std::{ops::Range, time::Duration};

/// The way of a message between a controller and a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Reports, and answers to direct orders.
    FromMachine,
    /// Answers to reports, and direct orders.
    ToMachine,
}

/// One trouble.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A controller is killed; it comes back some seconds later.
    Crash {
        /// Which.
        node: usize,
        /// When.
        at: Duration,
    },
    /// A controller is killed and is back after a while of any length.
    Restart {
        /// Which.
        node: usize,
        /// When.
        at: Duration,
        /// After how long.
        back: Duration,
    },
    /// What controllers ask of the state service, the cloud and each other,
    /// what workers report and what users submit and cancel comes once more,
    /// late: one of so many messages. An order to a worker does so that got no
    /// answer; its sender may have ended meanwhile.
    DuplicateMessages {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller and the state service do not hear each other.
    CutState {
        /// Which.
        node: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The state service refuses one controller.
    StateRefusesNode {
        /// Which.
        node: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The state service refuses everybody.
    StateOutage {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The cloud refuses everybody.
    CloudOutage {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller and the machines of a zone do not hear each other; what is
    /// sent meanwhile arrives afterwards.
    CutWorkers {
        /// Which controller; none: all of them.
        node: Option<usize>,
        /// Which machines: those whose number leaves this rest by three.
        rest: Option<usize>,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// What a controller and some machines send each other is held up one way, and
    /// arrives afterwards.
    OneWay {
        /// Which controller.
        node: usize,
        /// Which machines: those whose number leaves this rest by three.
        rest: usize,
        /// Which way.
        direction: Direction,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Connections between controllers are refused.
    PeersUnreachable {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Controllers of the first level are replaced by the present one, one
    /// after the other: each is killed and comes back new. One that dies before
    /// its turn comes back old.
    RollingUpgrade {
        /// Who is first; the others follow in order.
        first: usize,
        /// When the first is killed.
        at: Duration,
        /// How long after it the next one is.
        every: Duration,
    },
    /// A controller dies and never comes back.
    PermanentLoss {
        /// Which.
        node: usize,
        /// When.
        at: Duration,
    },
    /// An operator tells a controller that another never comes back.
    WriteOff {
        /// Which one never does.
        node: usize,
        /// When.
        at: Duration,
    },
    /// The state service lowers its limits to those that the settings announce.
    LowerStateLimits {
        /// When.
        at: Duration,
    },
    /// The answers to one in so many transactions are lost, though they are executed
    /// at once.
    LostAnswers {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller stands still while its clocks run on: what is sent to it
    /// waits, connections included.
    ProcessPause {
        /// Which.
        node: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller is behind: what reaches it is taken in, and what it sends
    /// leaves, so much later each.
    ControllerLag {
        /// Which.
        node: usize,
        /// By how much.
        lag: Duration,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller has little processor time: each request that it answers
    /// takes so long.
    SlowController {
        /// Which.
        node: usize,
        /// How long.
        each: Duration,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller's answers to workers take so much longer, and what it sends
    /// them directly overtakes them.
    LateAnswers {
        /// Which.
        node: usize,
        /// By how much.
        lag: Duration,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Connections come in at all controllers of which nothing is heard ever
    /// again, as of machines whose network holds what they send.
    SilentConnections {
        /// How many a second at each.
        rate: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Of transactions one in so many gets no answer and is carried out 2 s to
    /// 12 s later, after newer ones of the same controller.
    LateWrites {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A copy of one in so many reports arrives again, 2 s to 20 s later, which is
    /// well over a lease, at some controller.
    LateReports {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A copy of one in so many reports is kept until somebody else leads, and then
    /// brought to every controller.
    ReportsForNextLeader {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Machines rented meanwhile are up within two seconds.
    FastBoots {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Whenever a user is told that a job is accepted, done or cancelled, the same
    /// user asks at all controllers, again and again within milliseconds, and
    /// repeats the submission; some cancel at once.
    FollowUpRequests {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Reports of some machines arrive; the answers, and direct orders, are lost.
    AnswersLost {
        /// Which machines: those whose number leaves this rest by three.
        rest: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Some machines reach no controller; direct orders reach them.
    ReportsLost {
        /// Which machines: those whose number leaves this rest by three.
        rest: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Some machines hang: their tasks don't go on, nothing leaves, and what is sent
    /// to them waits. Their lease runs on.
    WorkerHang {
        /// Which machines: those whose number leaves this rest by three.
        rest: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller and all others do not hear each other.
    CutPeers {
        /// Which.
        node: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A zone is cut off from everything else: its controllers and machines hear
    /// only each other.
    ZoneCut {
        /// Its number.
        zone: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Some machines stop with all that is on them.
    MachineCrash {
        /// Which machines: those whose number leaves this rest by three.
        rest: usize,
        /// When.
        at: Duration,
    },
    /// The state service answers everybody so much later.
    SlowState {
        /// By how much.
        lag: Duration,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// One in so many direct orders is held up for 2 s to 16 s, unanswered, and then
    /// carried out if token and session still match, whoever sends orders by then.
    DelayedOrders {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Users call off so many jobs that run, at the same moment.
    CancelBurst {
        /// How many.
        count: usize,
        /// When.
        at: Duration,
    },
    /// One in so many jobs that end is called off, asked for or submitted once
    /// more at the moment of its end.
    RequestsAtJobEnd {
        /// One of so many.
        one_in: u32,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Users repeat submissions, call off what is done, and submit jobs that fit no
    /// machine or lack a field, each once a second.
    UnusualRequests {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The cloud takes spot machines, without notice.
    SpotReclaim {
        /// When.
        at: Duration,
    },
    /// A machine fails all its tasks.
    FaultyMachine {
        /// Its number.
        machine: usize,
        /// From when.
        at: Duration,
    },
}

impl Fault {
    /// From when until when it lasts; none if it comes and is over at once.
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
            | Self::SlowState { from, until, .. }
            | Self::DelayedOrders { from, until, .. }
            | Self::RequestsAtJobEnd { from, until, .. }
            | Self::UnusualRequests { from, until, .. }
            | Self::PeersUnreachable { from, until } => Some(from..until),
            Self::Crash { .. }
            | Self::Restart { .. }
            | Self::SpotReclaim { .. }
            | Self::FaultyMachine { .. }
            | Self::CancelBurst { .. }
            | Self::MachineCrash { .. }
            | Self::RollingUpgrade { .. }
            | Self::PermanentLoss { .. }
            | Self::WriteOff { .. }
            | Self::LowerStateLimits { .. } => None,
        }
    }
}

/// When the last of a day's troubles is over; a controller that ended is given
/// the time to come back. What never ends is not counted.
pub fn last_fault_end(faults: &[Fault]) -> Duration {
    let ends = faults.iter().map(|fault| match *fault {
        Fault::Crash { at, .. } => at + RESTART_DELAY,
        Fault::Restart { at, back, .. } => at + back,
        Fault::CancelBurst { at, .. }
        | Fault::SpotReclaim { at }
        | Fault::MachineCrash { at, .. } => at,
        Fault::LateWrites { until, .. } => until + MAX_WRITE_DELAY,
        Fault::LateReports { until, .. } => until + MAX_REPORT_DELAY,
        Fault::DelayedOrders { until, .. } => until + MAX_ORDER_DELAY,
        _ => fault.span().map_or(Duration::ZERO, |span| span.end),
    });
    ends.max().unwrap_or_default()
}

/// How late a write, and a copy of a report, may come.
pub const MAX_WRITE_DELAY: Duration = Duration::from_secs(12);
pub const MAX_REPORT_DELAY: Duration = Duration::from_secs(20);
/// How late a held order may come.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(16);

/// How long a controller takes to come back.
pub const RESTART_DELAY: Duration = Duration::from_secs(5);

/// When all controllers have the present program.
pub fn upgrade_complete_at(faults: &[Fault], nodes: usize) -> Duration {
    let rolls = faults.iter().filter_map(|f| match f {
        Fault::RollingUpgrade { at, every, .. } => {
            Some(*at + *every * (nodes as u32 - 1) + RESTART_DELAY)
        }
        _ => None,
    });
    rolls.max().unwrap_or_default()
}
