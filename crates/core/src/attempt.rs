//! What may be done with an attempt of a task, and on what evidence.
//!
//! A task may be started again only once it is proven to be nowhere in its block. All
//! paths that start, forget or free a task ask here, so that none goes by less than the
//! others.

use std::{fmt, time::Duration};

use oliveshift_wire::worker::{TaskReport, TaskState, Why};

use crate::{
    lease::Tenure,
    machine::Machine,
    slots::{Bound, Slot, State},
};

/// Evidence that a task is on no machine of its block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Nowhere {
    /// It was handed to us under the term that we hold, and we have not started it.
    HandedUnderOurTerm,
    /// The start has surely never left, or was refused.
    NotStarted,
    /// Its worker says that the attempt has ended.
    Ended(Why),
    /// A message newer than its start, which can no longer arrive, does not list it.
    NotListed,
    /// Its worker has begun another session.
    SessionOver,
    /// Its worker's lease was over at this instant, if nobody else had renewed it by
    /// then.
    LeaseOver { at: Duration },
    /// The cloud has confirmed the return of its machine.
    MachineGone,
    /// No machine of the block can have it, whoever started it: each has shown our
    /// term or was silent for longer than any lease. The latest such lease was over at
    /// this instant.
    BlockProven { silent_until: Option<Duration> },
}

impl Nowhere {
    /// The instant until which nobody else may have held the block for this to be
    /// true. None: it rests on what a worker or the cloud has said, or on what only
    /// we can do, and stays true whoever holds the block by now.
    pub fn silent_until(&self) -> Option<Duration> {
        match *self {
            Self::LeaseOver { at } => Some(at),
            Self::BlockProven { silent_until } => silent_until,
            Self::HandedUnderOurTerm
            | Self::NotStarted
            | Self::Ended(_)
            | Self::NotListed
            | Self::SessionOver
            | Self::MachineGone => None,
        }
    }

    /// Whether it holds by what proves that the block is ours.
    pub fn holds(&self, tenure: Tenure) -> bool {
        self.silent_until().is_none_or(|at| tenure.covers(at))
    }
}

impl fmt::Display for Nowhere {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HandedUnderOurTerm => f.write_str("handed under our term"),
            Self::NotStarted => f.write_str("its start never left"),
            Self::Ended(why) => write!(f, "ended: {why:?}"),
            Self::NotListed => f.write_str("no longer listed"),
            Self::SessionOver => f.write_str("the session is over"),
            Self::LeaseOver { at } => write!(f, "the lease was over at {at:.1?}"),
            Self::MachineGone => f.write_str("the machine is gone"),
            Self::BlockProven { silent_until: None } => {
                f.write_str("all machines of the block are proven")
            }
            Self::BlockProven {
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
pub(crate) enum NoStart {
    /// The records that we go by may be too old.
    NoContact,
    /// It is nowhere only if the block was ours until an instant for which that is not
    /// proven.
    NoTenure(Nowhere),
    /// Earlier holders may still act on the machine.
    NotProven,
    /// The machine's lease has run out.
    LeaseOver,
    /// It was placed in an earlier session of the machine.
    OtherSession,
    /// It has to stop.
    Stops,
}

/// Why an attempt that has ended must not be forgotten by its worker yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kept {
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
    pub slot: Option<&'a Slot>,
}

impl Attempt<'_> {
    /// Whether an attempt that was placed on the machine may be started. `tenure`: until
    /// when the block was surely ours, if the records may be gone by at all.
    pub fn may_start(&self, bound: &Bound, tenure: Option<Tenure>) -> Result<(), NoStart> {
        let Some(tenure) = tenure else {
            return Err(NoStart::NoContact);
        };
        if let Some(evidence) = bound.evidence
            && !evidence.holds(tenure)
        {
            return Err(NoStart::NoTenure(evidence));
        }
        if !self.machine.proven {
            return Err(NoStart::NotProven);
        }
        if self.machine.lease.is_over() {
            return Err(NoStart::LeaseOver);
        }
        if bound.session != self.machine.session {
            return Err(NoStart::OtherSession);
        }
        if bound.stop.is_some() {
            return Err(NoStart::Stops);
        }
        Ok(())
    }

    /// Whether the worker may forget an attempt that it lists.
    pub fn may_forget(&self, entry: &TaskReport) -> Result<(), Kept> {
        if entry.state != TaskState::Exited {
            return Err(Kept::Alive);
        }
        let bound = self.slot.and_then(Slot::bound);
        if bound.is_some_and(|b| b.machine == self.name && b.attempt == entry.attempt) {
            return Err(Kept::StillBound);
        }
        let done = self.slot.is_some_and(|s| matches!(s.state, State::Done));
        if entry.why == Some(Why::Done) && done {
            return Err(Kept::NotRecorded);
        }
        if self.machine.may_start_late(&entry.task, entry.attempt) {
            return Err(Kept::MayStartLate);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
