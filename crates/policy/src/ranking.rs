//! Ranks machines by score for many identical tasks.

use std::{cmp::Ordering, collections::BinaryHeap};

use crate::score::{Candidate, Task, Weights, score};

/// The machines that a task fits on, the highest score first; of equal ones, the lowest
/// index first. All tasks of a job score alike, so after each choice only the chosen
/// machine has to be scored again.
#[derive(Debug)]
pub struct Ranking {
    task: Task,
    heap: BinaryHeap<Scored>,
}

#[derive(Debug)]
struct Scored {
    score: f64,
    at: usize,
}

impl Ranking {
    /// Scores the machines, which are given with their indices.
    pub fn new(
        task: Task,
        machines: impl Iterator<Item = (usize, Candidate)>,
        weights: &Weights,
    ) -> Self {
        let scored = machines.filter_map(|(at, candidate)| {
            let score = score(&task, &candidate, weights)?;
            Some(Scored { score, at })
        });
        let heap = scored.collect();
        Self { task, heap }
    }

    /// Whether no machine is left.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Removes the machine with the highest score and returns its index.
    pub fn pop(&mut self) -> Option<usize> {
        self.heap.pop().map(|scored| scored.at)
    }

    /// Adds a machine again, scored with its present capacity; leaves it out if the task
    /// does not fit any more.
    pub fn put(&mut self, at: usize, candidate: &Candidate, weights: &Weights) {
        if let Some(score) = score(&self.task, candidate, weights) {
            self.heap.push(Scored { score, at });
        }
    }
}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then_with(|| other.at.cmp(&self.at))
    }
}

impl PartialOrd for Scored {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scored {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scored {}
