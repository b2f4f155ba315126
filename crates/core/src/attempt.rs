//! What may be done with an attempt of a task, and on what evidence.
//!
//! A task may be started again only once it is proven to be nowhere in its block. All
//! paths that start, forget or free a task ask here, so that none goes by less than the
//! others.

use std::{fmt, time::Duration};

use oliveshift_wire::worker::{TaskReport, TaskState, Why};

use crate::{
    assigned_tasks::{AssignedTask, AssignmentState, Bound},
    lease::Tenure,
    machine::Machine,
};

/// Evidence that a task is on no machine of its block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbsenceProof {
    /// It was handed to us under the term that we hold, and we have not started it.
    AssignedUnderOwnTerm,
    /// The start has surely never left, or was refused.
    NotStarted,
    /// Its worker says that the attempt has ended.
    Ended(Why),
    /// A message newer than its start, which can no longer arrive, does not list it.
    NotListed,
    /// Its worker has begun another session.
    SessionEnded,
    /// Its worker's lease was over at this instant, if nobody else had renewed it by
    /// then.
    LeaseExpired { at: Duration },
    /// The cloud has confirmed the return of its machine.
    MachineReturned,
    /// No machine of the block can have it, whoever started it: each has shown our
    /// term or was silent for longer than any lease. The latest such lease was over at
    /// this instant.
    BlockCleared { silent_until: Option<Duration> },
}

impl AbsenceProof {
    /// The instant until which nobody else may have held the block for this to be
    /// true. None: it rests on what a worker or the cloud has said, or on what only
    /// we can do, and stays true whoever holds the block by now.
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

    /// Whether it holds by what proves that the block is ours.
    pub fn is_valid_under(&self, tenure: Tenure) -> bool {
        self.silent_until().is_none_or(|at| tenure.covers(at))
    }
}

impl fmt::Display for AbsenceProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AssignedUnderOwnTerm => f.write_str("handed under our term"),
            Self::NotStarted => f.write_str("its start never left"),
            Self::Ended(why) => write!(f, "ended: {why:?}"),
            Self::NotListed => f.write_str("no longer listed"),
            Self::SessionEnded => f.write_str("the session is over"),
            Self::LeaseExpired { at } => write!(f, "the lease was over at {at:.1?}"),
            Self::MachineReturned => f.write_str("the machine is gone"),
            Self::BlockCleared { silent_until: None } => {
                f.write_str("all machines of the block are proven")
            }
            Self::BlockCleared {
                silent_until: Some(at),
            } => write!(
                f,
                "all machines of the block are proven or silent until {at:.1?}"
            ),
        }
    }
}

/// Why an attempt must not be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartRefusal {
    /// The records that we go by may be too old.
    NoContact,
    /// It is nowhere only if the block was ours until an instant for which that is not
    /// proven.
    NoTenure(AbsenceProof),
    /// Earlier holders may still act on the machine.
    NotProven,
    /// The machine's lease has run out.
    LeaseExpired,
    /// It was placed in an earlier session of the machine.
    OtherSession,
    /// It has to stop.
    MustStop,
}

/// Why an attempt that has ended must not be forgotten by its worker yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForgetRefusal {
    /// It has not ended.
    Alive,
    /// We have not taken its end in.
    StillBound,
    /// Its completion is not recorded.
    NotRecorded,
    /// A start of it may still arrive, and would run it once more.
    MayStartLate,
}

/// An attempt and all that decides about it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    pub machine: &'a Machine,
    /// The name of the machine.
    pub name: &'a str,
    /// The task, if it is handed to a block that we hold.
    pub assigned: Option<&'a AssignedTask>,
}

impl Attempt<'_> {
    /// Whether an attempt that was placed on the machine may be started. `tenure`: until
    /// when the block was surely ours, if the records may be gone by at all.
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

    /// Whether the worker may forget an attempt that it lists.
    pub fn may_forget(&self, entry: &TaskReport) -> Result<(), ForgetRefusal> {
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
        if entry.why == Some(Why::Done) && done {
            return Err(ForgetRefusal::NotRecorded);
        }
        if self.machine.may_start_late(&entry.task, entry.attempt) {
            return Err(ForgetRefusal::MayStartLate);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
