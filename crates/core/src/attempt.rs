//! What may be done with an attempt of a task, and on what evidence.
//!
//! A task may be started again only once it is proven to be nowhere in its block. All
//! paths that start, forget or free a task ask here, so that none goes by less than the
//! others.

use std::{fmt, time::Duration};

use oliveshift_wire::worker::{TaskReport, TaskState, Why};

use crate::{
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
    /// Its worker's lease has run out.
    LeaseOver,
    /// The cloud has confirmed the return of its machine.
    MachineGone,
    /// No machine of the block can have it, whoever started it.
    BlockProven,
}

impl fmt::Display for Nowhere {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HandedUnderOurTerm => f.write_str("handed under our term"),
            Self::NotStarted => f.write_str("its start never left"),
            Self::Ended(why) => write!(f, "ended: {why:?}"),
            Self::NotListed => f.write_str("no longer listed"),
            Self::SessionOver => f.write_str("the session is over"),
            Self::LeaseOver => f.write_str("the lease is over"),
            Self::MachineGone => f.write_str("the machine is gone"),
            Self::BlockProven => f.write_str("all machines of the block are proven"),
        }
    }
}

/// Why an attempt must not be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoStart {
    /// The records that we go by may be too old.
    NoContact,
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
    /// Whether an attempt that was placed on the machine may be started. `contact`: how
    /// old the records are that we go by, if they may be gone by at all.
    pub fn may_start(&self, bound: &Bound, contact: Option<Duration>) -> Result<(), NoStart> {
        if contact.is_none() {
            return Err(NoStart::NoContact);
        }
        if !self.machine.proven {
            return Err(NoStart::NotProven);
        }
        if self.machine.expired {
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
