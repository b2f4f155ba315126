//! Jobs that await others: who may start, who is cancelled with whom, and what
//! an awaited job inherits from those that need it.
//!
//! Everything here follows from the jobs' own records, so every controller
//! comes to the same result whatever order it reads them in. Only open jobs
//! have a place in the graph. Work per change goes with the edges touched.

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    hash::Hash,
    time::Duration,
};

use oliveshift_wire::job::Priority;

/// What a job asks for by itself. Times of day count from 1970.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobDemand {
    /// Its own priority.
    pub priority: Priority,
    /// How long it takes once it has started, by its owner's estimate.
    pub length: Duration,
    /// When it should be complete.
    pub due: Option<Duration>,
    /// When it was accepted.
    pub arrived: Duration,
}

/// How an awaited job stands when it is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedState {
    /// Not over, or not known yet.
    Open,
    /// Done at that time.
    Done(Duration),
    /// Cancelled.
    Cancelled,
}

/// What follows for an open job from those that it awaits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Some of them are not done.
    Waiting,
    /// All are done: since then it may start.
    Ready(Duration),
    /// One of them is cancelled, and it with that one.
    Cancelled,
}

/// What a job may claim, for itself and for those that need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectivePriority {
    /// The highest priority of itself and of all that need it. Production is
    /// not passed on: it is for what people look at.
    pub priority: Priority,
    /// When it has to start for all deadlines behind it to be kept, by the
    /// estimates of what lies between.
    pub latest_start: Option<Duration>,
}

/// What the jobs that need one claim, counted, so that each can be taken out
/// again.
#[derive(Debug, Default)]
struct DependentPriorities {
    priorities: [u32; 4],
    latest: BTreeMap<Duration, u32>,
}

impl DependentPriorities {
    fn add(&mut self, claim: &EffectivePriority) {
        self.priorities[claim.priority as usize] += 1;
        if let Some(at) = claim.latest_start {
            *self.latest.entry(at).or_default() += 1;
        }
    }

    fn remove(&mut self, claim: &EffectivePriority) {
        let count = &mut self.priorities[claim.priority as usize];
        *count = count.saturating_sub(1);
        if let Some(at) = claim.latest_start
            && let Some(count) = self.latest.get_mut(&at)
        {
            *count -= 1;
            if *count == 0 {
                self.latest.remove(&at);
            }
        }
    }

    fn priority(&self) -> Option<Priority> {
        const PASSED_ON: [Priority; 4] = [
            Priority::High,
            Priority::High,
            Priority::Normal,
            Priority::Low,
        ];
        let most = self.priorities.iter().position(|n| *n > 0)?;
        Some(PASSED_ON[most])
    }

    fn latest_start(&self) -> Option<Duration> {
        self.latest.keys().next().copied()
    }
}

#[derive(Debug)]
struct Node<K> {
    /// None while only others have named it.
    own: Option<JobDemand>,
    /// Those that it awaits and that were open when it came.
    awaits: Vec<K>,
    /// How many of them are not done.
    missing: usize,
    /// When the last of the others was done.
    ready_since: Duration,
    cancelled: bool,
    dependents: BTreeSet<K>,
    dependent_priorities: DependentPriorities,
    /// What those that it awaits have counted for it.
    propagated: Option<EffectivePriority>,
    /// More than that of all it awaits, so that changes are passed on in
    /// order.
    depth: u32,
}

impl<K> Default for Node<K> {
    fn default() -> Self {
        Self {
            own: None,
            awaits: Vec::new(),
            missing: 0,
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
        } else if self.missing > 0 {
            Readiness::Waiting
        } else {
            Readiness::Ready(self.ready_since)
        }
    }
}

/// All open jobs and what lies between them.
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
    /// Takes an open job in, with how those that it awaits stand by their
    /// records.
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
            // It needs nobody any more.
            open.clear();
        }
        for awaited in &open {
            let node = self.nodes.entry(awaited.clone()).or_default();
            node.dependents.insert(id.clone());
        }
        let node = self.nodes.entry(id.clone()).or_default();
        node.own = Some(own);
        node.missing = open.len();
        node.awaits = open;
        node.ready_since = since;
        node.depth = node.depth.max(depth);
        if cancelled {
            self.cancel(vec![id]);
        } else {
            self.propagate(vec![id]);
        }
    }

    /// A job's record says that it is done, since then.
    pub fn done(&mut self, id: &K, at: Duration) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        for dependent in node.dependents {
            let Some(node) = self.nodes.get_mut(&dependent) else {
                continue;
            };
            node.missing = node.missing.saturating_sub(1);
            node.ready_since = node.ready_since.max(at);
            if node.missing == 0 && !node.cancelled {
                self.changed.push(dependent);
            }
        }
    }

    /// A job's record says that it is cancelled.
    pub fn cancelled(&mut self, id: &K) {
        if self.nodes.contains_key(id) {
            self.cancel(vec![id.clone()]);
        }
        self.nodes.remove(id);
    }

    /// Cancels jobs with all that need them.
    fn cancel(&mut self, mut next: Vec<K>) {
        let mut affected = Vec::new();
        while let Some(id) = next.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if std::mem::replace(&mut node.cancelled, true) {
                continue;
            }
            self.changed.push(id.clone());
            next.extend(node.dependents.iter().cloned());
            let given = node.propagated.take();
            for awaited in std::mem::take(&mut node.awaits) {
                let Some(node) = self.nodes.get_mut(&awaited) else {
                    continue;
                };
                node.dependents.remove(&id);
                if let Some(given) = &given {
                    node.dependent_priorities.remove(given);
                    affected.push(awaited);
                }
            }
        }
        self.propagate(affected);
    }

    /// What these jobs claim may have changed: those that they await inherit
    /// it. The deepest go first, so that each is looked at once.
    fn propagate(&mut self, ids: Vec<K>) {
        let depth_of = |nodes: &HashMap<K, Node<K>>, id: &K| nodes.get(id).map_or(0, |n| n.depth);
        let mut next: BinaryHeap<(u32, K)> = ids
            .into_iter()
            .map(|id| (depth_of(&self.nodes, &id), id))
            .collect();
        while let Some((_, id)) = next.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let claim = node.effective_priority();
            if claim == node.propagated {
                continue;
            }
            let before = std::mem::replace(&mut node.propagated, claim);
            let awaits = std::mem::take(&mut node.awaits);
            for awaited in &awaits {
                let Some(node) = self.nodes.get_mut(awaited) else {
                    continue;
                };
                if let Some(before) = &before {
                    node.dependent_priorities.remove(before);
                }
                if let Some(claim) = &claim {
                    node.dependent_priorities.add(claim);
                }
                next.push((node.depth, awaited.clone()));
            }
            if let Some(node) = self.nodes.get_mut(&id) {
                node.awaits = awaits;
            }
        }
    }

    /// Open jobs whose standing has changed since this was asked last.
    pub fn take_changed(&mut self) -> Vec<K> {
        std::mem::take(&mut self.changed)
    }

    /// How an open job stands.
    pub fn readiness(&self, id: &K) -> Option<Readiness> {
        let node = self.nodes.get(id).filter(|n| n.own.is_some())?;
        Some(node.readiness())
    }

    /// What an open job may claim; none if it is cancelled.
    pub fn effective_priority(&self, id: &K) -> Option<EffectivePriority> {
        self.nodes.get(id)?.propagated
    }

    /// The open jobs that await this one.
    pub fn dependents(&self, id: &K) -> impl Iterator<Item = &K> {
        self.nodes.get(id).into_iter().flat_map(|n| &n.dependents)
    }
}
