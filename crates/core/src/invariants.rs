//! What must never be seen at run time, whatever fails outside.
//!
//! A violation means that this program is at fault, or that the state service has
//! lost data. It is logged as an error, counted, and answered on the safe side:
//! nothing is started on the strength of it.

use std::{collections::BTreeMap, fmt};

use oliveshift_wire::TaskId;

use crate::{
    assigned_tasks::Bound,
    attempt::AbsenceProof,
    records::{BlockId, Term},
};

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The state service has answered with a revision from before the one asked for.
    RevisionWentBack {
        /// What was known already.
        known: u64,
        /// What it says now.
        seen: u64,
    },
    /// A block has come back under a term that this process has held and lost: its
    /// token no longer tells our earlier orders from new ones.
    TermRegained {
        /// The block.
        block: BlockId,
        /// The term.
        term: Term,
    },
    /// The records no longer hand us a task that we started, and that was neither
    /// recorded as done nor given back.
    StartedTaskDropped {
        /// The task.
        task: TaskId,
        /// The machine that it was started on.
        machine: String,
        /// The attempt.
        attempt: u64,
    },
    /// A task that silence alone proves to be nowhere was about to be started, though
    /// the block may have been somebody else's by then.
    StartWithoutTenure {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u64,
        /// What it was to be started on.
        evidence: AbsenceProof,
    },
    /// A task was handed to us again under the term under which we started it, with
    /// no proof in between that it has ended.
    AssignedAgain {
        /// The task.
        task: TaskId,
        /// The machine that it was started on.
        machine: String,
        /// The attempt.
        attempt: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RevisionWentBack { known, seen } => {
                write!(f, "revision {seen} after revision {known}")
            }
            Self::TermRegained { block, term } => {
                write!(f, "block {block} is ours again under term {term}")
            }
            Self::StartedTaskDropped {
                task,
                machine,
                attempt,
            } => write!(
                f,
                "{task} is no longer ours, though attempt {attempt} may be on {machine}"
            ),
            Self::StartWithoutTenure {
                task,
                attempt,
                evidence,
            } => write!(
                f,
                "attempt {attempt} of {task} was about to start, as {evidence}, for which the block is not proven to be ours"
            ),
            Self::AssignedAgain {
                task,
                machine,
                attempt,
            } => write!(
                f,
                "{task} is handed to us again, though attempt {attempt} may be on {machine}"
            ),
        }
    }
}

/// What is remembered to notice violations.
#[derive(Debug, Default)]
pub(crate) struct Invariants {
    violations: u64,
    /// The last term of each block that we held and lost.
    lost_terms: BTreeMap<BlockId, Term>,
    /// Tasks that were started by us and dropped without proof that they have ended.
    dropped: BTreeMap<TaskId, (BlockId, Bound)>,
}

impl Invariants {
    /// Notes a violation.
    pub fn report(&mut self, violation: &Violation) {
        self.violations += 1;
        log::error!("invariant violated: {violation}");
    }

    /// How many violations there were since the process began.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// A block is no longer held under a term.
    pub fn term_lost(&mut self, block: BlockId, term: Term) {
        let last = self.lost_terms.entry(block).or_default();
        *last = term.max(*last);
        // The next term is another token, under which machines are proven anew.
        self.dropped.retain(|_, (of, _)| *of != block);
    }

    /// Whether a block may be held under a term: each is held once.
    pub fn may_hold(&mut self, block: BlockId, term: Term) -> bool {
        let is_new = self.lost_terms.get(&block).is_none_or(|lost| term > *lost);
        if !is_new {
            self.report(&Violation::TermRegained { block, term });
        }
        is_new
    }

    /// A task that we started is no longer among ours, and nothing proves its end.
    pub fn started_task_dropped(&mut self, task: &TaskId, block: BlockId, bound: Bound) {
        self.report(&Violation::StartedTaskDropped {
            task: task.clone(),
            machine: bound.machine.clone(),
            attempt: bound.attempt,
        });
        self.dropped.insert(task.clone(), (block, bound));
    }

    /// Where a task that is handed to us may be already, if we started it before.
    pub fn take_dropped(&mut self, task: &TaskId) -> Option<Bound> {
        let (_, bound) = self.dropped.remove(task)?;
        self.report(&Violation::AssignedAgain {
            task: task.clone(),
            machine: bound.machine.clone(),
            attempt: bound.attempt,
        });
        Some(bound)
    }
}

#[cfg(test)]
mod tests;
