//! Job dependencies: which jobs may start, which are cancelled together with a job that
//! they await, and what an awaited job inherits from its dependents.
//!
//! Everything follows from the jobs' own records, so all controllers get the same result in
//! whatever order they read them. Only open jobs are in the graph. The cost of a change
//! grows with the edges that it touches.

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    hash::Hash,
    time::Duration,
};

use oliveshift_wire::job::Priority;

/// What a job asks for by itself, without its dependents. Times count from 1970.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobDemand {
    /// Its own priority.
    pub priority: Priority,
    /// Duration from its start, by its owner's estimate.
    pub length: Duration,
    /// When it should be complete.
    pub due: Option<Duration>,
    /// When it was accepted.
    pub arrived: Duration,
}

/// State of an awaited job when a dependent is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedState {
    /// Not over, or not known yet.
    Open,
    /// Done at that time.
    Done(Duration),
    /// Cancelled.
    Cancelled,
}

/// State of an open job that follows from the jobs it awaits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Some of them are not done.
    Waiting,
    /// All of them are done: the job may start since that time.
    Ready(Duration),
    /// One of them is cancelled, and the job with it.
    Cancelled,
}

/// Priority and latest start of a job, for itself and for the jobs that depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectivePriority {
    /// The highest priority of the job and all its dependents. Production is passed on as
    /// high: it is meant for work that users wait for.
    pub priority: Priority,
    /// When the job has to start so that its own deadline and those of its dependents can
    /// be kept, by the estimates of the jobs in between.
    pub latest_start: Option<Duration>,
}

/// Priorities and latest starts of a job's dependents, counted so that each can be removed
/// again.
#[derive(Debug, Default)]
struct DependentPriorities {
    priorities: [u32; 4],
    latest: BTreeMap<Duration, u32>,
}

impl DependentPriorities {
    fn add(&mut self, effective: &EffectivePriority) {
        self.priorities[effective.priority as usize] += 1;
        if let Some(at) = effective.latest_start {
            *self.latest.entry(at).or_default() += 1;
        }
    }

    fn remove(&mut self, effective: &EffectivePriority) {
        let count = &mut self.priorities[effective.priority as usize];
        *count = count.saturating_sub(1);
        if let Some(at) = effective.latest_start
            && let Some(count) = self.latest.get_mut(&at)
        {
            *count -= 1;
            if *count == 0 {
                self.latest.remove(&at);
            }
        }
    }

    fn priority(&self) -> Option<Priority> {
        const INHERITED: [Priority; 4] = [
            Priority::High,
            Priority::High,
            Priority::Normal,
            Priority::Low,
        ];
        let highest = self.priorities.iter().position(|n| *n > 0)?;
        Some(INHERITED[highest])
    }

    fn latest_start(&self) -> Option<Duration> {
        self.latest.keys().next().copied()
    }
}

#[derive(Debug)]
struct Node<K> {
    /// None while the job is known only as awaited by others.
    own: Option<JobDemand>,
    /// Jobs that it awaits and that were open when it was added.
    awaits: Vec<K>,
    /// Number of them that are not done.
    unfinished: usize,
    /// When the last of its awaited jobs was done, or the job itself arrived.
    ready_since: Duration,
    cancelled: bool,
    dependents: BTreeSet<K>,
    dependent_priorities: DependentPriorities,
    /// What the jobs that it awaits have counted for it.
    propagated: Option<EffectivePriority>,
    /// Larger than the depth of every known job that it awaits, so that changes propagate
    /// in order.
    depth: u32,
}

impl<K> Default for Node<K> {
    fn default() -> Self {
        Self {
            own: None,
            awaits: Vec::new(),
            unfinished: 0,
            ready_since: Duration::ZERO,
            cancelled: false,
            dependents: BTreeSet::new(),
            dependent_priorities: DependentPriorities::default(),
            propagated: None,
            depth: 0,
        }
    }
}

impl<K> Node<K> {
    fn effective_priority(&self) -> Option<EffectivePriority> {
        let own = self.own.filter(|_| !self.cancelled)?;
        let priority = self.dependent_priorities.priority();
        let due = [own.due, self.dependent_priorities.latest_start()];
        let due = due.into_iter().flatten().min();
        Some(EffectivePriority {
            priority: priority.map_or(own.priority, |p| p.min(own.priority)),
            latest_start: due.map(|at| at.saturating_sub(own.length)),
        })
    }

    fn readiness(&self) -> Readiness {
        if self.cancelled {
            Readiness::Cancelled
        } else if self.unfinished > 0 {
            Readiness::Waiting
        } else {
            Readiness::Ready(self.ready_since)
        }
    }
}

/// All open jobs and their dependencies.
#[derive(Debug)]
pub struct DependencyGraph<K> {
    nodes: HashMap<K, Node<K>>,
    changed: Vec<K>,
}

impl<K> Default for DependencyGraph<K> {
    fn default() -> Self {
        Self {
            nodes: HashMap::new(),
            changed: Vec::new(),
        }
    }
}

impl<K: Clone + Eq + Hash + Ord> DependencyGraph<K> {
    /// Adds an open job with the recorded states of the jobs that it awaits.
    pub fn open(
        &mut self,
        id: K,
        own: JobDemand,
        awaits: impl IntoIterator<Item = (K, AwaitedState)>,
    ) {
        if self.nodes.get(&id).is_some_and(|n| n.own.is_some()) {
            return;
        }
        let mut open = Vec::new();
        let mut cancelled = false;
        let mut since = own.arrived;
        let mut depth = 0;
        for (awaited, named) in awaits {
            match named {
                AwaitedState::Done(at) => since = since.max(at),
                AwaitedState::Cancelled => cancelled = true,
                AwaitedState::Open => {
                    if let Some(node) = self.nodes.get(&awaited) {
                        cancelled |= node.cancelled;
                        depth = depth.max(node.depth + 1);
                    }
                    open.push(awaited);
                }
            }
        }
        if cancelled {
            // A cancelled job awaits no others.
            open.clear();
        }
        for awaited in &open {
            let node = self.nodes.entry(awaited.clone()).or_default();
            node.dependents.insert(id.clone());
        }
        let node = self.nodes.entry(id.clone()).or_default();
        node.own = Some(own);
        node.unfinished = open.len();
        node.awaits = open;
        node.ready_since = since;
        node.depth = node.depth.max(depth);
        if cancelled {
            self.cancel(vec![id]);
        } else {
            self.propagate(vec![id]);
        }
    }

    /// Handles a record that shows a job as done at that time.
    pub fn done(&mut self, id: &K, at: Duration) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        for dependent in node.dependents {
            let Some(node) = self.nodes.get_mut(&dependent) else {
                continue;
            };
            node.unfinished = node.unfinished.saturating_sub(1);
            node.ready_since = node.ready_since.max(at);
            if node.unfinished == 0 && !node.cancelled {
                self.changed.push(dependent);
            }
        }
    }

    /// Handles a record that shows a job as cancelled.
    pub fn cancelled(&mut self, id: &K) {
        if self.nodes.contains_key(id) {
            self.cancel(vec![id.clone()]);
        }
        self.nodes.remove(id);
    }

    /// Cancels jobs with all their dependents.
    fn cancel(&mut self, mut pending: Vec<K>) {
        let mut affected = Vec::new();
        while let Some(id) = pending.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if std::mem::replace(&mut node.cancelled, true) {
                continue;
            }
            self.changed.push(id.clone());
            pending.extend(node.dependents.iter().cloned());
            let propagated = node.propagated.take();
            for awaited in std::mem::take(&mut node.awaits) {
                let Some(node) = self.nodes.get_mut(&awaited) else {
                    continue;
                };
                node.dependents.remove(&id);
                if let Some(propagated) = &propagated {
                    node.dependent_priorities.remove(propagated);
                    affected.push(awaited);
                }
            }
        }
        self.propagate(affected);
    }

    /// Propagates changed priorities and latest starts of these jobs to the jobs that they
    /// await. The deepest jobs go first, so that each is visited once.
    fn propagate(&mut self, ids: Vec<K>) {
        let depth_of = |nodes: &HashMap<K, Node<K>>, id: &K| nodes.get(id).map_or(0, |n| n.depth);
        let mut pending: BinaryHeap<(u32, K)> = ids
            .into_iter()
            .map(|id| (depth_of(&self.nodes, &id), id))
            .collect();
        while let Some((_, id)) = pending.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let effective = node.effective_priority();
            if effective == node.propagated {
                continue;
            }
            let before = std::mem::replace(&mut node.propagated, effective);
            let awaits = std::mem::take(&mut node.awaits);
            for awaited in &awaits {
                let Some(node) = self.nodes.get_mut(awaited) else {
                    continue;
                };
                if let Some(before) = &before {
                    node.dependent_priorities.remove(before);
                }
                if let Some(effective) = &effective {
                    node.dependent_priorities.add(effective);
                }
                pending.push((node.depth, awaited.clone()));
            }
            if let Some(node) = self.nodes.get_mut(&id) {
                node.awaits = awaits;
            }
        }
    }

    /// Open jobs whose readiness has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<K> {
        std::mem::take(&mut self.changed)
    }

    /// Readiness of an open job.
    pub fn readiness(&self, id: &K) -> Option<Readiness> {
        let node = self.nodes.get(id).filter(|n| n.own.is_some())?;
        Some(node.readiness())
    }

    /// Effective priority of an open job; none if it is cancelled.
    pub fn effective_priority(&self, id: &K) -> Option<EffectivePriority> {
        self.nodes.get(id)?.propagated
    }

    /// The open jobs that await this one.
    pub fn dependents(&self, id: &K) -> impl Iterator<Item = &K> {
        self.nodes.get(id).into_iter().flat_map(|n| &n.dependents)
    }
}
