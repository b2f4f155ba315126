//! Faults and their times, drawn from a seed.

use std::{ops::Range, time::Duration};

use serde::Serialize;

/// Range of the time from one fault to the next, in milliseconds.
const FAULT_GAP_MS: Range<u64> = 400..5000;

/// Time before the first fault, in milliseconds.
const FIRST_FAULT_MS: u64 = 8000;

/// Minimum time for which `draw_handovers` has the state service refuse a controller, in
/// milliseconds, so that other controllers take over its blocks.
const MIN_REFUSED_MS: u64 = 8000;

/// A fault to inject.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// Controllers are killed, and restarted later.
    Kill {
        /// Indices of the controllers.
        controllers: Vec<usize>,
        /// Time until the restart, in milliseconds.
        #[serde(rename = "back_ms")]
        restart_after_ms: u64,
    },
    /// A controller process is stopped, with its sockets open.
    Pause {
        /// Index of the controller.
        controller: usize,
    },
    /// Requests of a controller to the state service are held until the fault ends, then
    /// executed without an answer.
    HoldState {
        /// Index of the controller.
        controller: usize,
    },
    /// The state service refuses the requests of one controller.
    RefuseState {
        /// Index of the controller.
        controller: usize,
    },
    /// The state service refuses all requests.
    Outage,
    /// The state service delays each request by a random time.
    SlowState {
        /// Maximum delay, in milliseconds.
        #[serde(rename = "most_ms")]
        max_delay_ms: u64,
    },
    /// Some answers of the state service are lost.
    #[serde(rename = "lose_answers")]
    StateAnswersLost {
        /// One in this many is affected, at random.
        one_in: u32,
    },
    /// Some transactions are executed seconds later, without an answer.
    LateWrites {
        /// One in this many is affected, at random.
        one_in: u32,
    },
    /// Reports of some machines arrive, but answers and orders to them are lost.
    #[serde(rename = "deaf")]
    AnswersLost {
        /// The machines: those whose number modulo 4 is this value.
        #[serde(rename = "rest")]
        group: u32,
    },
    /// Reports of some machines reach no controller, but orders reach the machines.
    #[serde(rename = "mute")]
    ReportsLost {
        /// The machines: those whose number modulo 4 is this value.
        #[serde(rename = "rest")]
        group: u32,
    },
    /// Some machines hang: messages to them wait, they send no reports, and their leases
    /// keep running.
    Hang {
        /// The machines: those whose number modulo 4 is this value.
        #[serde(rename = "rest")]
        group: u32,
    },
    /// Some direct orders are executed seconds later, without an answer.
    LateOrders {
        /// One in this many is affected, at random.
        one_in: u32,
    },
    /// Copies of some direct orders that were executed and answered arrive seconds later.
    CopiedOrders {
        /// One in this many is affected, at random.
        one_in: u32,
    },
    /// Copies of some reports arrive seconds later, at a random controller.
    LateReports {
        /// One in this many is affected, at random.
        one_in: u32,
    },
    /// Messages between a controller and some machines are lost in both directions.
    #[serde(rename = "cut_pair")]
    Partition {
        /// Index of the controller.
        controller: usize,
        /// The machines: those whose number modulo 4 is this value.
        #[serde(rename = "rest")]
        group: u32,
    },
    /// Users cancel several jobs at the same time.
    Cancel {
        /// Maximum number of jobs.
        count: usize,
    },
}

/// A fault and the time during which it is active.
#[derive(Clone, Debug, Serialize)]
pub struct ScheduledFault {
    /// Start of the fault, in milliseconds since the start of the seed.
    pub from_ms: u64,
    /// End of the fault (exclusive), in milliseconds since the start of the seed.
    pub until_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

impl ScheduledFault {
    /// Start of the fault, since the start of the seed.
    pub fn start(&self) -> Duration {
        Duration::from_millis(self.from_ms)
    }

    /// End of the fault (exclusive), since the start of the seed.
    pub fn end(&self) -> Duration {
        Duration::from_millis(self.until_ms)
    }

    /// Whether the fault is active at the time `now`.
    pub fn is_active(&self, now: Duration) -> bool {
        (self.start()..self.end()).contains(&now)
    }
}

/// Draws faults until `end`. Partitions are drawn by `draw_handovers`.
pub fn draw_faults(
    rng: &mut fastrand::Rng,
    controllers: usize,
    end: Duration,
) -> Vec<ScheduledFault> {
    let end_ms = end.as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT_MS + rng.u64(FAULT_GAP_MS);
    while at < end_ms {
        let fault = draw_fault(rng, controllers);
        let duration_ms = match &fault {
            Fault::Kill { .. } | Fault::Cancel { .. } => 0,
            Fault::Outage => rng.u64(500..9000),
            _ => rng.u64(300..20_000),
        };
        faults.push(ScheduledFault {
            from_ms: at,
            until_ms: (at + duration_ms).min(end_ms),
            fault,
        });
        at += rng.u64(FAULT_GAP_MS);
    }
    faults
}

/// Draws periods in which the state service refuses a controller. Within 1.5 s of their
/// start, that controller is partitioned from one group of machines and all others from
/// another group: blocks change holders between controllers that reach different machines.
pub fn draw_handovers(
    rng: &mut fastrand::Rng,
    controllers: usize,
    end: Duration,
) -> Vec<ScheduledFault> {
    let end_ms = end.as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = 10_000 + rng.u64(FAULT_GAP_MS);
    while at + MIN_REFUSED_MS < end_ms {
        let refused = rng.usize(0..controllers);
        let duration_ms = rng.u64(MIN_REFUSED_MS..28_000);
        let until_ms = (at + duration_ms).min(end_ms);
        faults.push(ScheduledFault {
            from_ms: at,
            until_ms,
            fault: Fault::RefuseState {
                controller: refused,
            },
        });
        let group = rng.u32(0..4);
        for controller in 0..controllers {
            let group_offset = u32::from(controller != refused);
            faults.push(ScheduledFault {
                from_ms: at + rng.u64(0..1500),
                until_ms,
                fault: Fault::Partition {
                    controller,
                    group: (group + group_offset) % 4,
                },
            });
        }
        at += duration_ms + rng.u64(FAULT_GAP_MS);
    }
    faults
}

/// Copies of direct orders from the first fault on until `end`.
pub fn copied_orders(end: Duration) -> ScheduledFault {
    ScheduledFault {
        from_ms: FIRST_FAULT_MS,
        until_ms: end.as_millis() as u64,
        fault: Fault::CopiedOrders { one_in: 2 },
    }
}

fn draw_fault(rng: &mut fastrand::Rng, controllers: usize) -> Fault {
    let controller = rng.usize(0..controllers);
    let one_in = rng.u32(2..8);
    let group = rng.u32(0..4);
    match rng.u32(0..16) {
        0..=2 => Fault::Kill {
            controllers: vec![controller],
            restart_after_ms: rng.u64(30..4000),
        },
        3 => Fault::Kill {
            controllers: (0..controllers).collect(),
            restart_after_ms: rng.u64(30..1500),
        },
        4 | 5 => Fault::Pause { controller },
        6 => Fault::HoldState { controller },
        7 => Fault::RefuseState { controller },
        8 => Fault::Outage,
        9 => Fault::SlowState {
            max_delay_ms: rng.u64(100..1200),
        },
        10 => Fault::StateAnswersLost { one_in },
        11 => Fault::LateWrites { one_in },
        12 => Fault::AnswersLost { group },
        13 => match rng.bool() {
            true => Fault::ReportsLost { group },
            false => Fault::Hang { group },
        },
        14 => match rng.bool() {
            true => Fault::LateOrders { one_in },
            false => Fault::LateReports { one_in },
        },
        _ => Fault::Cancel {
            count: rng.usize(1..8),
        },
    }
}
