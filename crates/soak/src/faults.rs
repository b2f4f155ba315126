//! What goes wrong when, drawn from a seed.

use std::{ops::Range, time::Duration};

use serde::Serialize;

/// The least and the most time from one fault to the next, in milliseconds.
const GAP_MS: Range<u64> = 400..5000;

/// The least time for which a controller is refused while others take its blocks.
const LEAST_REFUSED_MS: u64 = 8000;

/// A fault.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// Controllers are killed, and are back after a while.
    Kill {
        /// Which.
        controllers: Vec<usize>,
        /// After how many milliseconds.
        back_ms: u64,
    },
    /// A controller stands still, its sockets open.
    Pause {
        /// Which.
        controller: usize,
    },
    /// What a controller asks of the state service is held back, and carried out
    /// afterwards.
    HoldState {
        /// Which.
        controller: usize,
    },
    /// The state service refuses a controller.
    RefuseState {
        /// Which.
        controller: usize,
    },
    /// The state service refuses all.
    Outage,
    /// Answers of the state service come late, each by up to so many milliseconds.
    SlowState {
        /// How many.
        most_ms: u64,
    },
    /// One in so many answers of the state service is lost.
    LoseAnswers {
        /// One of so many.
        one_in: u32,
    },
    /// One in so many transactions is carried out seconds later, unanswered.
    LateWrites {
        /// One of so many.
        one_in: u32,
    },
    /// Reports of some machines arrive; answers and orders to them are lost.
    Deaf {
        /// Which: those whose number leaves this rest by four.
        rest: u32,
    },
    /// Some machines reach no controller; orders reach them.
    Mute {
        /// Which: those whose number leaves this rest by four.
        rest: u32,
    },
    /// Some machines hang: what is sent to them waits, and their lease runs on.
    Hang {
        /// Which: those whose number leaves this rest by four.
        rest: u32,
    },
    /// One in so many direct orders is carried out seconds later, unanswered.
    LateOrders {
        /// One of so many.
        one_in: u32,
    },
    /// A copy of one in so many reports arrives seconds later, at any controller.
    LateReports {
        /// One of so many.
        one_in: u32,
    },
    /// A controller and some machines do not hear each other.
    CutPair {
        /// Which controller.
        controller: usize,
        /// Which machines: those whose number leaves this rest by four.
        rest: u32,
    },
    /// Users call off some jobs at the same moment.
    Cancel {
        /// How many.
        count: usize,
    },
}

/// A fault and when it happens.
#[derive(Clone, Debug, Serialize)]
pub struct Timed {
    /// When it begins, in milliseconds since the beginning.
    pub from_ms: u64,
    /// When it is over.
    pub until_ms: u64,
    /// What it is.
    #[serde(flatten)]
    pub fault: Fault,
}

impl Timed {
    /// When it begins.
    pub fn from(&self) -> Duration {
        Duration::from_millis(self.from_ms)
    }

    /// When it is over.
    pub fn until(&self) -> Duration {
        Duration::from_millis(self.until_ms)
    }

    /// Whether it lasts at some moment.
    pub fn lasts(&self, now: Duration) -> bool {
        (self.from()..self.until()).contains(&now)
    }
}

/// Draws faults until `end`.
pub fn draw(rng: &mut fastrand::Rng, controllers: usize, end: Duration) -> Vec<Timed> {
    let end_ms = end.as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = 8000 + rng.u64(GAP_MS);
    while at < end_ms {
        let fault = draw_fault(rng, controllers);
        let lasts = match &fault {
            Fault::Kill { .. } | Fault::Cancel { .. } => 0,
            Fault::Outage => rng.u64(500..9000),
            _ => rng.u64(300..20_000),
        };
        faults.push(Timed {
            from_ms: at,
            until_ms: (at + lasts).min(end_ms),
            fault,
        });
        at += rng.u64(GAP_MS);
    }
    faults
}

/// Draws times in which the state service refuses a controller, and from about then on
/// it and each of the others are cut from some machines: blocks change hands between
/// controllers that reach different ones.
pub fn draw_handovers(rng: &mut fastrand::Rng, controllers: usize, end: Duration) -> Vec<Timed> {
    let end_ms = end.as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = 10_000 + rng.u64(GAP_MS);
    while at + LEAST_REFUSED_MS < end_ms {
        let refused = rng.usize(0..controllers);
        let lasts = rng.u64(LEAST_REFUSED_MS..28_000);
        let until_ms = (at + lasts).min(end_ms);
        faults.push(Timed {
            from_ms: at,
            until_ms,
            fault: Fault::RefuseState {
                controller: refused,
            },
        });
        let rest = rng.u32(0..4);
        for controller in 0..controllers {
            let own = u32::from(controller != refused);
            faults.push(Timed {
                from_ms: at + rng.u64(0..1500),
                until_ms,
                fault: Fault::CutPair {
                    controller,
                    rest: (rest + own) % 4,
                },
            });
        }
        at += lasts + rng.u64(GAP_MS);
    }
    faults
}

fn draw_fault(rng: &mut fastrand::Rng, controllers: usize) -> Fault {
    let controller = rng.usize(0..controllers);
    let one_in = rng.u32(2..8);
    let rest = rng.u32(0..4);
    match rng.u32(0..16) {
        0..=2 => Fault::Kill {
            controllers: vec![controller],
            back_ms: rng.u64(30..4000),
        },
        3 => Fault::Kill {
            controllers: (0..controllers).collect(),
            back_ms: rng.u64(30..1500),
        },
        4 | 5 => Fault::Pause { controller },
        6 => Fault::HoldState { controller },
        7 => Fault::RefuseState { controller },
        8 => Fault::Outage,
        9 => Fault::SlowState {
            most_ms: rng.u64(100..1200),
        },
        10 => Fault::LoseAnswers { one_in },
        11 => Fault::LateWrites { one_in },
        12 => Fault::Deaf { rest },
        13 => match rng.bool() {
            true => Fault::Mute { rest },
            false => Fault::Hang { rest },
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
