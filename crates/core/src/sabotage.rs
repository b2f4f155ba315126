//! Faults that can be injected into the code, so that tests can show that they detect them.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Workers are served regardless of the age of the last contact with the state
    /// service.
    NoContactLimit,
    /// Tasks count as running nowhere before all machines of the block are cleared.
    NoProof,
    /// Reports acknowledge the current term whatever token they carry, and results are
    /// written without a condition on the block's term.
    NoTermCheck,
    /// Jobs start without waiting for their dependencies.
    NoDependencies,
    /// A job is not cancelled when one of its dependencies is.
    NoCancelCascade,
    /// Records are written in the newest supported format before the switch to it.
    EarlyFormatSwitch,
    /// The announced lower limits of the state service are ignored.
    NoLoweredLimits,
    /// All inbound connections share one limit, beyond which they are closed.
    NoShares,
    /// Requests are answered in order of arrival, without priorities.
    NoPriorities,
    /// Late work has no minimum share.
    NoMinimumShares,
    /// Admission shares that may have been spent are granted again in the next record.
    SharesReissued,
    /// A restarted controller keeps its incarnation and spends its admission shares
    /// again.
    ReusedIncarnation,
    /// Every job is admitted under the share of one flow.
    NoFlows,
    /// A restarted process takes over blocks held by the previous incarnation of its
    /// node without leasing them.
    OldLife,
    /// User queries are answered from memory, without reading later changes.
    FromMemory,
    /// Submissions are refused for good on the knowledge of the controller alone, without a read.
    StaleVerdicts,
    /// Users are told that a job is cancelled before the state service has confirmed
    /// the write.
    UnconfirmedCancels,
    /// A new holder considers only the first report that it gets of a task.
    FirstReportOnly,
    /// Tracking of reachability is disabled, and so are relaying and forwarding between
    /// controllers.
    NoReachability,
    /// A snapshot is used once its last page has been read, although its pages may be
    /// of different revisions.
    PartialView,
    /// A second answer that changes are truncated restarts the snapshot read while a
    /// page of the first read is still in flight.
    MixedReads,
    /// Scarce machines are reserved for jobs that their team's limit blocks.
    ReservedForBlockedWork,
    /// Tasks of cancelled jobs are not stopped.
    NoStops,
    /// Requests about some of the jobs are not answered.
    UnansweredRequests,
    /// Some of the jobs are never assigned.
    SkippedJobs,
    /// Every submission that can be decoded is accepted.
    NoAdmissionChecks,
    /// Jobs that their team's limit blocks get no turn, however long they wait.
    NoStarvationGuard,
    /// Turns go to the oldest starved job, even if it has just had a task.
    TurnsByAge,
    /// Turns of starved jobs end although their team's limit left no room during them.
    ShortTurns,
    /// A machine whose reports don't reach its holder is returned early although it
    /// reports to other controllers. Reports are not forwarded either, since the holder
    /// would get them that way.
    SilentToHolder,
    /// A machine counts as idle although a task assigned to its block may be on it, if
    /// the leader planned that task for another machine.
    IdleAsPlanned,
    /// A machine counts as idle although only it and its holder know of task results
    /// that are not recorded yet.
    IdleWithUnrecordedEnds,
    /// Reports are not forwarded to other controllers.
    NoForwarding,
    /// A report gets the answer to an earlier forwarded report of its worker.
    StaleForwards,
    /// Direct orders that got no answer count as not executed.
    NoLateStarts,
    /// Workers forget ended attempts although a copy of their direct start may still take
    /// effect.
    EarlyForget,
    /// Assignments whose write got no answer count as not made.
    LostAnswerAsFailure,
    /// A worker's silence counts as the end of its lease, although another holder may
    /// have renewed it.
    SilenceAsExpiry,
    /// Like `SilenceAsExpiry`, and tasks may be started on that evidence.
    StaleEvidence,
}

impl Sabotage {
    /// Looks up one of the faults that can be injected into a controller process.
    pub fn from_name(name: &str) -> Option<Self> {
        let faults = [
            Self::NoStops,
            Self::NoProof,
            Self::NoContactLimit,
            Self::FromMemory,
            Self::StaleVerdicts,
            Self::OldLife,
            Self::NoLateStarts,
            Self::EarlyForget,
            Self::MixedReads,
            Self::PartialView,
            Self::StaleEvidence,
        ];
        faults
            .into_iter()
            .find(|fault| format!("{fault:?}") == name)
    }

    /// Whether a worker's silence ends its lease without proof that this controller
    /// still holds the block.
    pub(crate) fn trusts_worker_silence(self) -> bool {
        matches!(self, Self::SilenceAsExpiry | Self::StaleEvidence)
    }

    /// Whether reports are not forwarded.
    pub(crate) fn disables_forwarding(self) -> bool {
        matches!(
            self,
            Self::NoReachability | Self::NoForwarding | Self::SilentToHolder
        )
    }

    /// Whether a job is in the subset that faults limited to some jobs affect.
    pub(crate) fn affects_job(id: &oliveshift_wire::JobId) -> bool {
        id.digits().ends_with(['1', '5', '8'])
    }
}
