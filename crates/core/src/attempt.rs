//! Decides whether an attempt of a task may be started or forgotten, and on what proof.
//!
//! A task may be started again only once it is proven to run nowhere in its block. All
//! paths that start, forget or release a task use these rules, so that none of them
//! accepts weaker proof than the others.

use std::{fmt, time::Duration};

use oliveshift_wire::worker::{EndCause, TaskReport, TaskState};

use crate::{
    assigned_tasks::{AssignedTask, AssignmentState, Bound},
    lease::Tenure,
    machine::Machine,
};

/// Proof that a task is on no machine of its block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbsenceProof {
    /// It was assigned under the current term, and this controller has not started it.
    AssignedUnderOwnTerm,
    /// Its start was certainly not sent, or was refused.
    NotStarted,
    /// Its worker reported the end of the attempt.
    Ended(EndCause),
    /// A message newer than its start does not list it, and the start can no longer
    /// arrive.
    NotListed,
    /// Its worker has begun a new session.
    SessionEnded,
    /// Its worker's lease expired at this time, if no other controller renewed it before.
    LeaseExpired { at: Duration },
    /// The machine's record was removed, which follows its confirmed return to the cloud.
    MachineReturned,
    /// No machine of the block can run it, whichever holder started it: each worker has
    /// acknowledged the current term or was silent for longer than any lease. The latest
    /// of these leases expired at `silent_until`.
    BlockCleared { silent_until: Option<Duration> },
}

impl AbsenceProof {
    /// The time until which this controller must have held the block for the proof to be
    /// valid. None if the proof rests on a statement of a worker or the cloud, or on what
    /// only this controller can do: it stays valid whichever controller holds the block.
    pub fn silent_until(&self) -> Option<Duration> {
        match *self {
            Self::LeaseExpired { at } => Some(at),
            Self::BlockCleared { silent_until } => silent_until,
            Self::AssignedUnderOwnTerm
            | Self::NotStarted
            | Self::Ended(_)
            | Self::NotListed
            | Self::SessionEnded
            | Self::MachineReturned => None,
        }
    }

    /// Whether the proof is valid given the tenure that is proven.
    pub fn is_valid_under(&self, tenure: Tenure) -> bool {
        self.silent_until().is_none_or(|at| tenure.covers(at))
    }
}

impl fmt::Display for AbsenceProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AssignedUnderOwnTerm => f.write_str("assigned under the current term"),
            Self::NotStarted => f.write_str("start was not sent"),
            Self::Ended(why) => write!(f, "ended: {why:?}"),
            Self::NotListed => f.write_str("no longer listed"),
            Self::SessionEnded => f.write_str("worker began a new session"),
            Self::LeaseExpired { at } => write!(f, "lease expired at {at:.1?}"),
            Self::MachineReturned => f.write_str("machine was returned"),
            Self::BlockCleared { silent_until: None } => {
                f.write_str("all machines of the block are cleared")
            }
            Self::BlockCleared {
                silent_until: Some(at),
            } => write!(
                f,
                "all machines of the block are cleared, the last lease expired at {at:.1?}"
            ),
        }
    }
}

/// Why an attempt must not be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartRefusal {
    /// The records in use may be too old.
    NoContact,
    /// The proof of its absence requires that the block was held until a time for which
    /// that is not proven.
    NoTenure(AbsenceProof),
    /// The worker has not acknowledged the current term, so orders of earlier holders may
    /// still take effect.
    NotProven,
    /// The worker's lease has expired.
    LeaseExpired,
    /// It was placed in another session of the machine.
    OtherSession,
    /// It must stop.
    MustStop,
}

/// Why a worker must not forget an attempt yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForgetRefusal {
    /// The attempt has not ended.
    Alive,
    /// The task is still bound to it: its end is not processed yet.
    StillBound,
    /// The task's completion is not recorded.
    NotRecorded,
    /// A direct start that is not fenced may still arrive, or a copy of one that was
    /// executed, and would run the attempt again.
    MayStartLate,
}

/// An attempt and the state that decides about it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    pub machine: &'a Machine,
    /// The name of the machine.
    pub name: &'a str,
    /// The task, if it is assigned to a held block.
    pub assigned: Option<&'a AssignedTask>,
}

impl Attempt<'_> {
    /// Whether an attempt that was placed on the machine may be started. `tenure` is none
    /// if the records are too old to act on.
    pub fn may_start(&self, bound: &Bound, tenure: Option<Tenure>) -> Result<(), StartRefusal> {
        let Some(tenure) = tenure else {
            return Err(StartRefusal::NoContact);
        };
        if let Some(evidence) = bound.evidence
            && !evidence.is_valid_under(tenure)
        {
            return Err(StartRefusal::NoTenure(evidence));
        }
        if !self.machine.term_acknowledged {
            return Err(StartRefusal::NotProven);
        }
        if self.machine.lease.is_expired() {
            return Err(StartRefusal::LeaseExpired);
        }
        if bound.session != self.machine.session {
            return Err(StartRefusal::OtherSession);
        }
        if bound.stop.is_some() {
            return Err(StartRefusal::MustStop);
        }
        Ok(())
    }

    /// Whether the worker may forget an attempt that it lists, by an order under the fencing
    /// token `token`.
    ///
    /// The worker has seen that token when it executes the order, so it rejects direct starts
    /// under lower ones from then on: those of earlier holders, as each term is higher than
    /// the one before, and those of this controller before it raised the token. Starts in
    /// answers to reports are not executed late.
    pub fn may_forget(&self, entry: &TaskReport, token: u64) -> Result<(), ForgetRefusal> {
        if entry.state != TaskState::Exited {
            return Err(ForgetRefusal::Alive);
        }
        let bound = self.assigned.and_then(AssignedTask::bound);
        if bound.is_some_and(|b| b.machine == self.name && b.attempt == entry.attempt) {
            return Err(ForgetRefusal::StillBound);
        }
        let done = self
            .assigned
            .is_some_and(|s| matches!(s.state, AssignmentState::Done));
        if entry.cause == Some(EndCause::Done) && done {
            return Err(ForgetRefusal::NotRecorded);
        }
        if self.machine.direct_starts.may_pass(entry, token) {
            return Err(ForgetRefusal::MayStartLate);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
