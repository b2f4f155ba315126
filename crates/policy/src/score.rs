//! The node score of the LRScheduler paper: cached image bytes, weighted by a load gate,
//! plus a base score for free capacity.

use oliveshift_wire::job::{JobSpec, Resources, Shape};

/// Tolerance for rounding errors in sums of decimal amounts.
const EPSILON: f64 = 1e-6;

/// Parameters of the score. The gate thresholds and the weight with an open gate default to
/// the paper's values.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the image score while the gate is open.
    pub gate_open: f64,
    /// Weight of the image score while the gate is closed.
    pub gate_closed: f64,
    /// Cached bytes above which the gate can open, in MB; the paper names no unit.
    pub gate_min_cached_mb: f64,
    /// Used share of processors below which the gate can open.
    pub gate_max_cpu: f64,
    /// Half the difference between processor and memory share below which the gate can
    /// open.
    pub gate_max_gap: f64,
    /// Bonus, not in the paper, of a spot machine for a task that may use it. It leaves
    /// on-demand machines to tasks that need them.
    pub spot_bonus: f64,
    /// Bonus, not in the paper, for the share of a machine's processors that a task uses.
    /// It leaves large machines to large tasks.
    pub cpu_fill_bonus: f64,
    /// Bonus, not in the paper, of a machine for a service, by the share that services use
    /// there. It packs services together, so that whole machines become free and can be
    /// returned.
    pub service_packing_bonus: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            gate_open: 2.0,
            gate_closed: 1.5,
            gate_min_cached_mb: 10.0,
            gate_max_cpu: 0.6,
            gate_max_gap: 0.16,
            spot_bonus: 80.0,
            cpu_fill_bonus: 60.0,
            service_packing_bonus: 150.0,
        }
    }
}

/// A machine that a task might be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Total capacity of the machine.
    pub total: Resources,
    /// Capacity that no task uses.
    pub free: Resources,
    /// Bytes of the task's image that the machine most likely has cached, in GB.
    pub cached_gb: f64,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Share of its processors that services use, which run until they are cancelled.
    pub service_share: f64,
}

/// Properties of a task that the score depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// Resources that it needs.
    pub need: Resources,
    /// The size of its image.
    pub image_gb: f64,
    /// Whether it may run on a spot machine.
    pub spot: bool,
    /// Whether it is a service, which runs until it is cancelled.
    pub service: bool,
}

impl From<&JobSpec> for Task {
    fn from(spec: &JobSpec) -> Self {
        Self {
            need: spec.resources(),
            image_gb: spec.image_gb,
            spot: spec.spot,
            service: spec.shape == Shape::Service,
        }
    }
}

/// Whether `need` fits into `free`.
pub fn fits(need: &Resources, free: &Resources) -> bool {
    need.cpus <= free.cpus + EPSILON
        && need.gpus <= free.gpus + EPSILON
        && need.memory_gb <= free.memory_gb + EPSILON
}

/// `from` minus `what`.
pub fn minus(from: &Resources, what: &Resources) -> Resources {
    Resources {
        cpus: from.cpus - what.cpus,
        gpus: from.gpus - what.gpus,
        memory_gb: from.memory_gb - what.memory_gb,
    }
}

/// `from` plus `what`.
pub fn plus(from: &Resources, what: &Resources) -> Resources {
    Resources {
        cpus: from.cpus + what.cpus,
        gpus: from.gpus + what.gpus,
        memory_gb: from.memory_gb + what.memory_gb,
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        (part / whole).clamp(0.0, 1.0)
    } else {
        0.0
    }
}

/// The paper's score of one machine plus the bonuses that are not in the paper; none if the
/// task does not fit.
pub fn score(task: &Task, on: &Candidate, weights: &Weights) -> Option<f64> {
    let Task { need, image_gb, .. } = task;
    if !fits(need, &on.free) {
        return None;
    }
    let free_cpu = share(on.free.cpus, on.total.cpus);
    let free_memory = share(on.free.memory_gb, on.total.memory_gb);
    let gap = (free_cpu - free_memory).abs() / 2.0;
    let open = on.cached_gb * 1000.0 > weights.gate_min_cached_mb
        && 1.0 - free_cpu < weights.gate_max_cpu
        && gap < weights.gate_max_gap;
    let layers = 100.0 * share(on.cached_gb, *image_gb);
    let base = 100.0 * (free_cpu + free_memory) / 2.0;
    let weight = if open {
        weights.gate_open
    } else {
        weights.gate_closed
    };
    let spot = if task.spot && on.spot {
        weights.spot_bonus
    } else {
        0.0
    };
    let place = if task.service {
        weights.service_packing_bonus * on.service_share
    } else {
        weights.cpu_fill_bonus * share(need.cpus, on.total.cpus)
    };
    Some(weight * layers + base + spot + place)
}

/// The candidate with the highest score; of equal ones, the first.
pub fn best<'a, K>(
    task: &Task,
    candidates: impl IntoIterator<Item = (K, &'a Candidate)>,
    weights: &Weights,
) -> Option<(K, f64)> {
    let mut best_candidate: Option<(K, f64)> = None;
    for (key, candidate) in candidates {
        if let Some(sum) = score(task, candidate, weights)
            && best_candidate.as_ref().is_none_or(|(_, most)| sum > *most)
        {
            best_candidate = Some((key, sum));
        }
    }
    best_candidate
}

#[cfg(test)]
mod tests;
