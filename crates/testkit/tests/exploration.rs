//! A small exhaustive search: every history of a few links that go up and down while
//! blocks change hands, with whole controllers.
//!
//! One task runs on one of two machines of a block, beside a replica on each that keeps the
//! machines from being returned as idle. At each of a few moments one of the
//! links between two controllers, the two machines and the state service goes down or
//! comes up again, or none does; all that follows is the controllers' own. Nothing is
//! drawn, so a history is its list of choices.

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
/// The two machines, by the rests of their numbers by three.
const MACHINES: [usize; 2] = [0, 2];
/// A worker gives a report up after 4 s and so finds another controller within its lease,
/// which is over well within the contact limit of 12.5 s.
const TIMING: Timing = Timing {
    report: Duration::from_millis(1000),
    lease: Duration::from_millis(8000),
    cancel: Duration::from_millis(22_000),
    clock_drift: false,
};
/// When the first choice is made and how far apart they are: the block changes hands
/// some 3.5 s after its holder has lost the state service.
const FIRST: Duration = Duration::from_millis(12_000);
const APART: Duration = Duration::from_millis(1200);
/// When all links are up again, and when a history is over.
const HEALED: Duration = Duration::from_millis(32_000);
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
    fn down(self, from: Duration, until: Duration) -> Fault {
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

/// The links that go down and come up at the given moments, as faults. `choices`: which
/// link changes at each moment; beyond the last: none.
fn faults(choices: &[usize]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (i, link) in links().into_iter().enumerate() {
        let mut down_since = None;
        for (step, choice) in choices.iter().enumerate() {
            let at = FIRST + APART * step as u32;
            if *choice != i {
                continue;
            }
            match down_since.take() {
                None => down_since = Some(at),
                Some(from) => faults.push(link.down(from, at)),
            }
        }
        faults.extend(down_since.map(|from| link.down(from, HEALED)));
    }
    faults
}

/// The task that is watched: there is room for it on either machine.
fn job() -> JobSpec {
    JobSpec {
        id: "j-000001".parse().expect("an id"),
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

/// A replica for each machine.
fn replicas() -> JobSpec {
    JobSpec {
        id: "j-000002".parse().expect("an id"),
        shape: Shape::Service,
        priority: Priority::Production,
        tasks: 2,
        cpus: 3.0,
        estimate_s: 0.0,
        ..job()
    }
}

/// Whether the controllers reach each other: if they do, reports that come to one that
/// does not hold their machine are forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Peers {
    Reached,
    Refused,
}

fn play(choices: &[usize], peers: Peers, sabotage: Option<Sabotage>) -> Outcome {
    let mut faults = faults(choices);
    if peers == Peers::Refused {
        faults.push(Fault::PeersUnreachable {
            from: FIRST,
            until: HEALED,
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
    world.add_job(MS * 4000, job());
    world.run(END)
}

/// What an exploration has found.
#[derive(Debug, Default)]
struct Explored {
    histories: usize,
    /// Those on which workers were served by more than one of the controllers, on
    /// which the task started again, and on which it was lost with a lease.
    changed_hands: usize,
    started_again: usize,
    leases_lost: usize,
    /// Those on which reports were forwarded.
    forwarded: usize,
    broken: Vec<(Vec<usize>, RuleViolation)>,
}

/// The choices of a history, of so many ways each.
fn choices_of(mut number: usize, ways: usize, depth: u32) -> Vec<usize> {
    let mut choices = Vec::new();
    for _ in 0..depth {
        choices.push(number % ways);
        number /= ways;
    }
    choices
}

impl Explored {
    fn take(&mut self, choices: Vec<usize>, outcome: &Outcome) {
        let mut served: Vec<_> = outcome
            .evidence
            .lease_renewals
            .iter()
            .map(|r| r.1)
            .collect();
        served.sort_unstable();
        served.dedup();
        let watched = outcome.starts.iter().filter(|s| s.1.job == job().id);
        self.histories += 1;
        self.changed_hands += usize::from(served.len() > 2);
        self.started_again += usize::from(watched.count() > 1);
        self.leases_lost += usize::from(outcome.lost > 0);
        self.forwarded += usize::from(outcome.evidence.forwarded_reports > 0);
        let broken = outcome.violations.first().map(|b| (choices, b.1));
        self.broken.extend(broken);
    }
}

/// Plays all histories of so many choices.
fn explore(depth: u32, peers: Peers, sabotage: Option<Sabotage>) -> Explored {
    let ways = links().len() + 1;
    let explored = Mutex::new(Explored::default());
    run_seeds_in_parallel(0..ways.pow(depth) as u64, |number| {
        let choices = choices_of(number as usize, ways, depth);
        let outcome = play(&choices, peers, sabotage);
        let mut explored = explored.lock().expect("no panic before");
        explored.take(choices, &outcome);
    });
    explored.into_inner().expect("no panic")
}

/// Plays all histories of so many choices; none may break a rule, and they have to
/// show what the search is about. Leases are lost where controllers don't reach each
/// other; where they do, forwarded reports save most of them.
fn holds(depth: u32) {
    let explored = [Peers::Refused, Peers::Reached].map(|peers| {
        let explored = explore(depth, peers, None);
        println!("{depth} choices, peers {peers:?}: {explored:?}");
        assert_eq!(explored.broken, []);
        assert_eq!(explored.histories, (links().len() + 1).pow(depth));
        assert!(explored.changed_hands * 4 > explored.histories);
        explored
    });
    let [refused, reached] = &explored;
    assert!(refused.started_again * 10 > refused.histories);
    assert!(refused.leases_lost * 4 > refused.histories);
    assert!(reached.forwarded * 4 > reached.histories);
    assert!(reached.leases_lost * 2 < refused.leases_lost);
}

#[test]
fn every_history_of_three_choices_holds() {
    holds(3);
}

#[test]
#[ignore = "takes minutes"]
fn every_history_of_five_choices_holds() {
    holds(5);
}

/// Two choices are enough: the state service refuses the holder, and the next one does
/// not reach one of the machines. The other machine goes over to the next holder with its
/// task, and its silence then was all that the old holder went by.
#[test]
fn trusting_silence_is_found_in_two_choices() {
    let explored = explore(2, Peers::Reached, Some(Sabotage::StaleEvidence));
    let ran_twice = explored
        .broken
        .iter()
        .filter(|b| b.1 == RuleViolation::RanTwice);
    assert_eq!(ran_twice.count(), 2, "{explored:?}");
}
