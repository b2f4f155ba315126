//! Invariants checked at run time, which hold whatever fails outside this program.
//!
//! A violation means that this program has a fault or that the state service has lost
//! data. It is logged as an error, counted and handled on the safe side: no task is
//! started because of it.

use std::{collections::BTreeMap, fmt};

use oliveshift_wire::TaskId;

use crate::{
    assigned_tasks::Bound,
    attempt::AbsenceProof,
    records::{BlockId, Term},
};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The state service answered with a revision older than the one after which changes
    /// were requested.
    RevisionWentBack {
        /// The revision that was known.
        known: u64,
        /// The revision in the answer.
        seen: u64,
    },
    /// A block was leased to this process under a term that it has held and lost. As
    /// fencing token, the term can't tell earlier orders from new ones.
    TermRegained {
        /// The block.
        block: BlockId,
        /// The term.
        term: Term,
    },
    /// A task that was started here is no longer assigned here in the records, although it
    /// was neither recorded as done nor returned.
    StartedTaskDropped {
        /// The task.
        task: TaskId,
        /// The machine that it was started on.
        machine: String,
        /// The attempt.
        attempt: u64,
    },
    /// A task was about to be started on a proof of absence that rests on a worker's
    /// silence, although the block may have been held by another controller by then.
    StartWithoutTenure {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u64,
        /// The proof of absence.
        evidence: AbsenceProof,
    },
    /// A worker runs an attempt that this controller started under its present term and that
    /// was proven to be over.
    AttemptReappeared {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: String,
        /// The attempt.
        attempt: u64,
    },
    /// A task was assigned here again under the term under which it was started here,
    /// without proof that the earlier attempt has ended.
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
                write!(
                    f,
                    "the state service answered with revision {seen}, older than the known {known}"
                )
            }
            Self::TermRegained { block, term } => {
                write!(
                    f,
                    "block {block} is leased to this controller again under its lost term {term}"
                )
            }
            Self::StartedTaskDropped {
                task,
                machine,
                attempt,
            } => write!(
                f,
                "{task} is no longer assigned to this controller, though attempt {attempt} may be on {machine}"
            ),
            Self::StartWithoutTenure {
                task,
                attempt,
                evidence,
            } => write!(
                f,
                "attempt {attempt} of {task} was about to start on the proof \"{evidence}\", but the block is not proven to have been held long enough"
            ),
            Self::AttemptReappeared {
                task,
                machine,
                attempt,
            } => write!(
                f,
                "attempt {attempt} of {task} is on {machine} again, though it was proven to be over"
            ),
            Self::AssignedAgain {
                task,
                machine,
                attempt,
            } => write!(
                f,
                "{task} is assigned to this controller again, though attempt {attempt} may be on {machine}"
            ),
        }
    }
}

/// The state needed to detect violations.
#[derive(Debug, Default)]
pub(crate) struct Invariants {
    violations: u64,
    /// The last term of each block that was held and lost.
    lost_terms: BTreeMap<BlockId, Term>,
    /// Tasks that were started here and dropped without proof that they have ended, with
    /// their blocks.
    dropped: BTreeMap<TaskId, (BlockId, Bound)>,
}

impl Invariants {
    /// Logs and counts a violation.
    pub fn report(&mut self, violation: &Violation) {
        self.violations += 1;
        log::error!("invariant violated: {violation}");
    }

    /// The number of violations since the process started.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Records that a block is no longer held under a term.
    pub fn term_lost(&mut self, block: BlockId, term: Term) {
        let last = self.lost_terms.entry(block).or_default();
        *last = term.max(*last);
        // The next term is another fencing token, which machines acknowledge anew.
        self.dropped.retain(|_, (of, _)| *of != block);
    }

    /// Whether a block may be held under a term: each term is held at most once. Reports a
    /// violation if not.
    pub fn may_hold(&mut self, block: BlockId, term: Term) -> bool {
        let is_new = self.lost_terms.get(&block).is_none_or(|lost| term > *lost);
        if !is_new {
            self.report(&Violation::TermRegained { block, term });
        }
        is_new
    }

    /// Reports and remembers a task that was started here and is no longer assigned here,
    /// without proof that it has ended.
    pub fn started_task_dropped(&mut self, task: &TaskId, block: BlockId, bound: Bound) {
        self.report(&Violation::StartedTaskDropped {
            task: task.clone(),
            machine: bound.machine.clone(),
            attempt: bound.attempt,
        });
        self.dropped.insert(task.clone(), (block, bound));
    }

    /// The earlier attempt of a task that is assigned here again, if it was dropped
    /// without proof that it has ended. Reports a violation if so.
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
