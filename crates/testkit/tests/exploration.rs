//! A small exhaustive search with whole controllers: every history of a few links that go down
//! and up while blocks are handed over.
//!
//! One task runs on one of two machines of a block; a replica on each machine keeps the machines
//! from being returned as idle. At each step one of the links between two controllers, the two
//! machines and the state service goes down or comes up again, or none changes; the controllers
//! determine everything else. Nothing is random, so a list of choices identifies a history.

use std::{sync::Mutex, time::Duration};

use oliveshift_core::Sabotage;
use oliveshift_testkit::{
    Fault, Outcome, RuleViolation, Size, Timing, World, run_seeds_in_parallel,
};
use oliveshift_wire::job::{JobSpec, Priority, Shape};

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
/// The two controllers of the machines' zone.
const CONTROLLERS: [usize; 2] = [0, 2];
/// The two machines, by their numbers modulo three.
const MACHINES: [usize; 2] = [0, 2];
/// A worker abandons a report after 4 s, so it finds another controller within its lease. The
/// lease expires well within the contact limit of 12.5 s.
const TIMING: Timing = Timing {
    report: Duration::from_millis(1000),
    lease: Duration::from_millis(8000),
    cancel: Duration::from_millis(22_000),
    clock_drift: false,
};
/// When the first choice is made. The block is handed over about 3.5 s after its holder loses
/// the state service.
const FIRST_CHOICE_AT: Duration = Duration::from_millis(12_000);
/// The time between choices.
const CHOICE_INTERVAL: Duration = Duration::from_millis(1200);
/// When all links are up again.
const RECOVERED_AT: Duration = Duration::from_millis(32_000);
/// When a history ends.
const END: Duration = Duration::from_secs(55);

/// A link that can go down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    State(usize),
    Machine { node: usize, machine_group: usize },
}

fn links() -> Vec<Link> {
    let mut links: Vec<_> = CONTROLLERS.map(Link::State).to_vec();
    for node in CONTROLLERS {
        links.extend(MACHINES.map(|machine_group| Link::Machine {
            node,
            machine_group,
        }));
    }
    links
}

impl Link {
    /// The fault that takes the link down from `from` to `until`.
    fn fault(self, from: Duration, until: Duration) -> Fault {
        match self {
            Self::State(node) => Fault::StateRefusesNode { node, from, until },
            Self::Machine {
                node,
                machine_group,
            } => Fault::CutWorkers {
                node: Some(node),
                machine_group: Some(machine_group),
                from,
                until,
            },
        }
    }
}

/// Converts a history into faults. `choices` holds the index of the link that changes at each
/// step; an index beyond the last link means that none changes.
fn faults(choices: &[usize]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (i, link) in links().into_iter().enumerate() {
        let mut down_since = None;
        for (step, choice) in choices.iter().enumerate() {
            let at = FIRST_CHOICE_AT + CHOICE_INTERVAL * step as u32;
            if *choice != i {
                continue;
            }
            match down_since.take() {
                None => down_since = Some(at),
                Some(from) => faults.push(link.fault(from, at)),
            }
        }
        faults.extend(down_since.map(|from| link.fault(from, RECOVERED_AT)));
    }
    faults
}

/// A job of one observed task, which fits on either machine.
fn observed_job() -> JobSpec {
    JobSpec {
        id: "j-000001".parse().expect("a valid job id"),
        class: "some".into(),
        team: "red".into(),
        shape: Shape::Array,
        priority: Priority::High,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img-0".into(),
        image_gb: 0.5,
        types: None,
        zone: Some("east".into()),
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 25.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}

/// A service with one replica for each machine.
fn replicas() -> JobSpec {
    JobSpec {
        id: "j-000002".parse().expect("a valid job id"),
        shape: Shape::Service,
        priority: Priority::Production,
        tasks: 2,
        cpus: 3.0,
        estimate_s: 0.0,
        ..observed_job()
    }
}

/// Whether the controllers reach each other. If they do, a controller forwards reports of
/// machines that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Peers {
    Reachable,
    Unreachable,
}

/// Runs the history of `choices`.
fn run_history(choices: &[usize], peers: Peers, sabotage: Option<Sabotage>) -> Outcome {
    let mut faults = faults(choices);
    if peers == Peers::Unreachable {
        faults.push(Fault::PeersUnreachable {
            from: FIRST_CHOICE_AT,
            until: RECOVERED_AT,
        });
    }
    let size = Size {
        machines: 4,
        jobs: 0,
        ..Size::SMALL
    };
    let mut world = World::timed(size, TIMING, 1, S, faults, sabotage);
    world.use_fixed_delays();
    world.add_job(MS * 2000, replicas());
    world.add_job(MS * 4000, observed_job());
    world.run(END)
}

/// The counts and rule violations of an exploration.
#[derive(Debug, Default)]
struct Explored {
    histories: usize,
    /// Histories in which all three controllers renewed leases, and so both of the machines' zone.
    with_handover: usize,
    /// Histories in which the observed task started again.
    with_restart: usize,
    /// Histories in which tasks were lost with a lease.
    with_lost_lease: usize,
    /// Histories in which reports were forwarded.
    with_forwarding: usize,
    violations: Vec<(Vec<usize>, RuleViolation)>,
}

/// Decodes the number of a history into its choices, with `options` possible values each.
fn choices_of(mut number: usize, options: usize, depth: u32) -> Vec<usize> {
    let mut choices = Vec::new();
    for _ in 0..depth {
        choices.push(number % options);
        number /= options;
    }
    choices
}

impl Explored {
    /// Adds the outcome of a history.
    fn record(&mut self, choices: Vec<usize>, outcome: &Outcome) {
        let mut controllers: Vec<_> = outcome
            .evidence
            .lease_renewals
            .iter()
            .map(|r| r.1)
            .collect();
        controllers.sort_unstable();
        controllers.dedup();
        let starts = outcome
            .starts
            .iter()
            .filter(|s| s.1.job == observed_job().id);
        self.histories += 1;
        self.with_handover += usize::from(controllers.len() > 2);
        self.with_restart += usize::from(starts.count() > 1);
        self.with_lost_lease += usize::from(outcome.lost > 0);
        self.with_forwarding += usize::from(outcome.evidence.forwarded_reports > 0);
        let violation = outcome
            .violations
            .first()
            .map(|violation| (choices, violation.1));
        self.violations.extend(violation);
    }
}

/// Runs all histories of `depth` choices.
fn explore(depth: u32, peers: Peers, sabotage: Option<Sabotage>) -> Explored {
    let options = links().len() + 1;
    let explored = Mutex::new(Explored::default());
    run_seeds_in_parallel(0..options.pow(depth) as u64, |number| {
        let choices = choices_of(number as usize, options, depth);
        let outcome = run_history(&choices, peers, sabotage);
        let mut explored = explored.lock().expect("no other thread panicked");
        explored.record(choices, &outcome);
    });
    explored.into_inner().expect("no thread panicked")
}

/// Runs all histories of `depth` choices and asserts that none violates a rule, and that enough
/// of them contain handovers, restarts, lost leases and forwarded reports. Leases are lost when
/// controllers do not reach each other; when they do, forwarded reports save most of them.
fn assert_all_histories_hold(depth: u32) {
    let explored = [Peers::Unreachable, Peers::Reachable].map(|peers| {
        let explored = explore(depth, peers, None);
        println!("{depth} choices, peers {peers:?}: {explored:?}");
        assert_eq!(explored.violations, []);
        assert_eq!(explored.histories, (links().len() + 1).pow(depth));
        assert!(explored.with_handover * 4 > explored.histories);
        explored
    });
    let [unreachable, reachable] = &explored;
    assert!(unreachable.with_restart * 10 > unreachable.histories);
    assert!(unreachable.with_lost_lease * 4 > unreachable.histories);
    assert!(reachable.with_forwarding * 4 > reachable.histories);
    assert!(reachable.with_lost_lease * 2 < unreachable.with_lost_lease);
}

#[test]
fn every_history_of_three_choices_holds() {
    assert_all_histories_hold(3);
}

#[test]
#[ignore = "takes minutes"]
fn every_history_of_five_choices_holds() {
    assert_all_histories_hold(5);
}

/// Two choices suffice: the state service refuses the holder, and the next holder does not reach
/// one of the machines. The other machine, with its task, moves to the next holder, and with this
/// sabotage the previous holder relies on its silence alone.
#[test]
fn relying_on_silence_is_caught_with_two_choices() {
    let explored = explore(2, Peers::Reachable, Some(Sabotage::StaleEvidence));
    let ran_twice = explored
        .violations
        .iter()
        .filter(|violation| violation.1 == RuleViolation::RanTwice);
    assert_eq!(ran_twice.count(), 2, "{explored:?}");
}
