//! Sizes and settings of simulated deployments, and the users drawn for them.

use std::time::Duration;

use oliveshift_wire::{
    job::{JobSpec, Priority, Shape},
    settings::Settings,
};

use super::{CONTROLLER_COUNT, S, User, ZONES};
use crate::state::Limits;

/// Jobs of one class that are added to the drawn ones.
#[derive(Clone, Debug)]
pub struct ExtraJobs {
    /// Job class: `rush` (high priority, due within 60 s) or `bulk` (normal priority,
    /// due within 120 s).
    pub class: &'static str,
    /// The team that submits them.
    pub team: &'static str,
    /// Number of jobs.
    pub jobs: usize,
    /// Maximum number of tasks of a job.
    pub tasks: u32,
    /// Processors of each task.
    pub cpus: f64,
    /// Start of the period in which they are submitted.
    pub from: Duration,
    /// End of that period.
    pub until: Duration,
    /// One in this many jobs is cancelled, 0.5 s to 15 s after its submission; 0: none.
    pub cancel_one_in: u32,
}

/// Timing of workers in the settings, and whether clocks drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Interval between reports of a worker.
    pub report: Duration,
    /// Duration of a worker's lease.
    pub lease: Duration,
    /// Time within which the tasks of a cancelled job have to be gone.
    pub cancel: Duration,
    /// Whether the rates of the controllers' monotonic clocks differ by as much as the
    /// protocol allows.
    pub clock_drift: bool,
}

impl Timing {
    /// Timing of runs that don't draw it. The contact limit is longer than the lease,
    /// so a lease can expire while its holder may still act without new contact.
    pub const DEFAULT: Self = Self {
        report: Duration::from_secs(2),
        lease: Duration::from_secs(12),
        cancel: Duration::from_secs(30),
        clock_drift: false,
    };
}

/// Size of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Machines that run at the start.
    pub machines: usize,
    /// Number of drawn jobs.
    pub jobs: usize,
    /// Factor on the tasks of jobs, the limits of teams and the capacity of the cloud.
    pub scale: u32,
    /// Requests and changes per second that the state service accepts.
    pub state_rates: (u32, u32),
    /// Number of drawn pipelines of dependent jobs.
    pub pipelines: usize,
    /// Maximum number of sockets of a controller.
    pub max_sockets: usize,
}

impl Size {
    /// A few machines.
    pub const SMALL: Self = Self {
        machines: 6,
        jobs: 24,
        scale: 1,
        state_rates: (120, 40),
        pipelines: 0,
        max_sockets: 200,
    };
    /// Few machines and few drawn jobs, for runs with extra jobs.
    pub const FEW_JOBS: Self = Self {
        jobs: 6,
        ..Self::SMALL
    };
    /// Few machines, with pipelines and a state service that announces lower limits.
    pub const PIPELINES: Self = Self {
        pipelines: 6,
        ..Self::SMALL
    };
    /// Hundreds of machines, with a state service that has low rate limits.
    pub const LARGE: Self = Self {
        machines: 280,
        jobs: 70,
        scale: 20,
        state_rates: (100, 25),
        pipelines: 0,
        max_sockets: 1000,
    };

    /// As many machines as the largest deployments have.
    pub const FLEET: Self = Self {
        machines: 1300,
        jobs: 120,
        scale: 60,
        state_rates: (250, 60),
        pipelines: 0,
        max_sockets: 2500,
    };

    /// Limits of the state service at first, and after it has lowered them.
    pub(super) fn limits(&self) -> [Limits; 2] {
        let first = Limits {
            txn_ops: 20,
            value_bytes: 16 * 1024,
            write_rps: f64::from(self.state_rates.1),
        };
        let then = Limits {
            txn_ops: 6,
            value_bytes: 2 * 1024,
            write_rps: f64::from(self.state_rates.1) * 0.7,
        };
        [first, then]
    }
}

pub(super) fn settings(node: usize, size: Size, timing: &Timing) -> Settings {
    let peer = |i: usize| {
        format!(
            r#"{{"member":"n-{i}","site":"{}","endpoint":"10.0.0.{}:81"}}"#,
            ZONES[i % 2],
            i + 1
        )
    };
    let peers: Vec<_> = (0..CONTROLLER_COUNT)
        .filter(|i| *i != node)
        .map(peer)
        .collect();
    let next = match size.limits() {
        [_, then] if size.pipelines > 0 => format!(
            r#","next":{{"write_rps":{},"value_kb":2.0,"txn_ops":{}}}"#,
            then.write_rps, then.txn_ops
        ),
        _ => String::new(),
    };
    let text = format!(
        r#"{{"member":"n-{node}","site":"{}","bind":"10.0.0.{}:80","internal_addr":"10.0.0.{}:81",
        "members":[{}],"outside":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
        "deployment":{{"zones":["east","west"],"teams":[
          {{"name":"red","cpus":{},"cpus_max":{}}},{{"name":"blue","cpus":{},"cpus_max":{}}}],
        "objectives":[{{"kind":"wait","class":"rush","within_s":20,"share":0.9}},
          {{"kind":"finished","class":"rush","within_s":60,"share":0.9}},
          {{"kind":"finished","class":"bulk","within_s":120,"share":0.9}}],
        "workers":{{"report_s":{},"lease_s":{},"cancel_s":{}}},
        "state":{{"rps":{},"write_rps":{},"value_kb":16,"txn_ops":20{next}}},
        "cloud":{{"rps":6,"list_lag_s":3}},"limits":{{"max_sockets":{}}}}}}}"#,
        ZONES[node % 2],
        node + 1,
        node + 1,
        peers.join(","),
        12 * size.scale,
        40 * size.scale,
        8 * size.scale,
        24 * size.scale,
        timing.report.as_secs_f64(),
        timing.lease.as_secs_f64(),
        timing.cancel.as_secs_f64(),
        size.state_rates.0,
        size.state_rates.1,
        size.max_sockets,
    );
    Settings::parse(&text).expect("valid settings")
}

pub(super) fn draw_user(
    rng: &mut fastrand::Rng,
    number: usize,
    busy: Duration,
    factor: u32,
) -> User {
    let service = rng.f64() < 0.25;
    let cpus = [1.0, 2.0, 4.0, 8.0][rng.usize(0..4)];
    let tasks = if service {
        rng.u32(1..3) * factor.div_ceil(4)
    } else {
        rng.u32(1..9) * factor
    };
    let team = if rng.bool() { "red" } else { "blue" };
    let saves = rng.bool();
    let spec = JobSpec {
        id: format!("j-{number:06}").parse().expect("a valid job id"),
        class: "some".into(),
        team: team.into(),
        shape: if service {
            Shape::Service
        } else {
            Shape::Array
        },
        priority: match (service, rng.u32(0..3)) {
            (true, _) => Priority::Production,
            (_, 0) => Priority::High,
            (_, 1) => Priority::Normal,
            _ => Priority::Low,
        },
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 2.0,
        image: format!("img-{}", rng.u32(0..4)),
        image_gb: 1.0,
        types: (rng.f64() < 0.2).then(|| vec!["large".into()]),
        zone: (rng.f64() < 0.1).then(|| ZONES[0].into()),
        one_zone: !service && rng.f64() < 0.2,
        spread: rng.f64() < 0.4,
        spot: !service && rng.bool(),
        estimate_s: if service { 0.0 } else { rng.f64() * 20.0 + 1.0 },
        checkpoint_s: if saves { 5.0 } else { 0.0 },
        save_s: if saves { 1.0 } else { 0.0 },
        deadline_s: None,
        awaits: Vec::new(),
    };
    let arrives = busy.mul_f64(rng.f64());
    let aborts = service || rng.f64() < 0.2;
    let after = Duration::from_secs(rng.u64(5..60));
    User {
        spec: JobSpec {
            spread: spec.spread && !spec.one_zone && spec.zone.is_none(),
            ..spec
        },
        waits_for: Vec::new(),
        waits_for_end: false,
        next_request_at: arrives,
        submit_at: arrives,
        cancel_at: aborts.then_some(arrives + after),
        accepted: false,
        ended: false,
        answer_due: None,
    }
}

/// Draws pipelines of four stages: one job, up to three jobs, one job, and a last one
/// with the deadline. Some await an earlier job, in some the last stage is submitted
/// only after the stage before it has ended, and some jobs are cancelled. They have a
/// random generator of their own, so that runs without pipelines stay the same.
pub(super) fn draw_pipelines(
    users: &mut Vec<User>,
    seed: u64,
    count: usize,
    from: Duration,
    busy: Duration,
) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x7069_7065);
    for _ in 0..count {
        // A job description that exceeds the lowered limits of the state service,
        // submitted before or after the upgrade.
        let mut long_spec_user = draw_user(&mut rng, users.len(), busy, 1);
        let names =
            (0..40).map(|i| format!("a machine type that is not rented here any more, {i}"));
        long_spec_user.spec.types = Some(names.chain(["large".to_owned()]).collect());
        users.push(long_spec_user);
        let begins = from + busy.saturating_sub(from).mul_f64(rng.f64());
        let arrays = users.iter().enumerate();
        let arrays = arrays.filter(|(_, u)| u.spec.shape == Shape::Array);
        let earlier: Vec<_> = arrays.map(|(i, _)| i).collect();
        let mut before = Vec::new();
        if rng.f64() < 0.4
            && let Some(earlier) = rng.choice(earlier)
        {
            before.push(earlier);
        }
        let team = if rng.bool() { "red" } else { "blue" };
        for stage in 0..4 {
            let jobs = if stage == 1 { rng.usize(1..=3) } else { 1 };
            let mut now = Vec::new();
            for _ in 0..jobs {
                let mut user = draw_user(&mut rng, users.len(), busy, 1);
                let cancels = rng.f64() < 0.06;
                let after = S * rng.u32(1..60);
                user.cancel_at = cancels.then_some(begins + after);
                user.next_request_at = begins;
                user.waits_for_end = stage == 3 && rng.f64() < 0.3;
                user.spec.shape = Shape::Array;
                user.spec.team = team.into();
                user.spec.estimate_s = rng.f64() * 8.0 + 1.0;
                user.spec.priority = match stage {
                    3 => Priority::High,
                    _ => Priority::Low,
                };
                user.spec.deadline_s = (stage == 3).then_some(60.0);
                user.spec.awaits = before.iter().map(|i| users[*i].spec.id.clone()).collect();
                user.waits_for = before.clone();
                now.push(users.len());
                users.push(user);
            }
            before = now;
        }
    }
}
