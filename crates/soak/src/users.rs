//! Users: they submit jobs, ask how they stand and call some off.

use std::{cell::RefCell, rc::Rc, time::Duration};

use async_executor::LocalExecutor;
use oliveshift_core::Method;
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobSpec, JobStatus, Priority, Shape},
};

use crate::{
    controllers::Addresses,
    http::{Asked, Told, ask},
    site::{Shared, ZONES, request},
};

/// For how long a user waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long a user waits before the next question, after an answer and without one.
const NEXT: Duration = Duration::from_secs(3);
const AGAIN: Duration = Duration::from_secs(1);
/// One question in so many is about a job that nobody submitted.
const UNKNOWN_ONE_IN: u32 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Question {
    Submit,
    Poll,
    Abort,
    /// About a job that nobody submitted.
    Unknown,
}

/// A user and its job.
#[derive(Debug)]
struct User {
    spec: JobSpec,
    next: Duration,
    abort_at: Option<Duration>,
    accepted: bool,
    ended: bool,
    refused: bool,
    waits: bool,
}

/// All users.
#[derive(Debug, Default)]
pub struct Users {
    all: RefCell<Vec<User>>,
}

impl Users {
    /// Users who submit a job each until `end`.
    pub fn draw(rng: &mut fastrand::Rng, jobs: usize, end: Duration) -> Self {
        let users = (0..jobs).map(|number| draw_user(rng, number, end));
        Self {
            all: RefCell::new(users.collect()),
        }
    }

    /// So many users call their jobs off, now.
    pub fn cancel(&self, count: usize, now: Duration) {
        let mut all = self.all.borrow_mut();
        let open = all.iter_mut().filter(|u| u.accepted && !u.ended);
        for user in open.take(count) {
            user.abort_at = Some(now);
            user.next = now;
        }
    }

    /// Jobs that were accepted, and those of them whose end nobody has told yet.
    pub fn counts(&self) -> (usize, usize) {
        let all = self.all.borrow();
        let accepted = all.iter().filter(|u| u.accepted);
        let open = accepted.clone().filter(|u| !u.ended);
        (accepted.count(), open.count())
    }

    /// Asks what is due.
    pub fn act(
        self: &Rc<Self>,
        executor: &Rc<LocalExecutor<'static>>,
        site: &Shared,
        addresses: &Rc<Addresses>,
    ) {
        let now = site.borrow().now();
        let mut all = self.all.borrow_mut();
        for (index, user) in all.iter_mut().enumerate() {
            if user.waits || user.refused || now < user.next {
                continue;
            }
            user.waits = true;
            let question = next_question(user, now, &mut site.borrow_mut().rng);
            let asks = self
                .clone()
                .asks(site.clone(), index, question, addresses.clone());
            executor.spawn(asks).detach();
        }
    }

    async fn asks(
        self: Rc<Self>,
        site: Shared,
        index: usize,
        question: Question,
        addresses: Rc<Addresses>,
    ) {
        let spec = self.all.borrow()[index].spec.clone();
        let (job, asked) = prepare(&site, spec, question);
        let sent = site.borrow().now();
        let to = site.borrow_mut().rng.usize(0..addresses.public.len());
        let told = ask(addresses.public[to], asked, PATIENCE).await;
        site.borrow_mut().pass();
        self.answered(&site, index, question, &job, sent, told);
    }

    fn answered(
        &self,
        site: &Shared,
        index: usize,
        question: Question,
        job: &JobId,
        sent: Duration,
        told: Option<Told>,
    ) {
        let mut site = site.borrow_mut();
        let now = site.now();
        let user = &mut self.all.borrow_mut()[index];
        user.waits = false;
        user.next = now + AGAIN;
        let Some(Told { status, body }) = told else {
            return;
        };
        match (status, decode::<JobStatus>(&body)) {
            (200 | 201, Ok(status)) => {
                site.rules.phase_reported(now, sent, job, status.phase);
                if question == Question::Unknown {
                    return;
                }
                user.next = now + NEXT;
                user.accepted = true;
                user.ended |= matches!(status.phase, JobPhase::Done | JobPhase::Cancelled);
            }
            (404, _) if question == Question::Unknown => {}
            (400 | 404 | 422, _) => {
                site.rules.job_denied(now, sent, job);
                user.refused |= question == Question::Submit && !user.accepted;
            }
            _ => {}
        }
    }
}

fn next_question(user: &User, now: Duration, rng: &mut fastrand::Rng) -> Question {
    if rng.u32(0..UNKNOWN_ONE_IN) == 0 {
        Question::Unknown
    } else if !user.accepted || rng.u32(0..UNKNOWN_ONE_IN) == 0 {
        Question::Submit
    } else if !user.ended && user.abort_at.is_some_and(|at| now >= at) {
        Question::Abort
    } else {
        Question::Poll
    }
}

/// The request, and the job that it is about. What a user wants is noted before it is
/// sent.
fn prepare(site: &Shared, spec: JobSpec, question: Question) -> (JobId, Asked) {
    let mut site = site.borrow_mut();
    let job = spec.id.clone();
    match question {
        Question::Submit => {
            let body = encode(&spec);
            site.rules.jobs.insert(job.clone(), spec);
            (job, request(Method::Post, "/work", body))
        }
        Question::Poll => {
            let path = format!("/work/{job}");
            (job, request(Method::Get, &path, Vec::new()))
        }
        Question::Abort => {
            site.rules.cancel_requested(&job);
            let path = format!("/work/{job}/abort");
            (job, request(Method::Post, &path, Vec::new()))
        }
        Question::Unknown => {
            let job = unknown_job(site.rng.u32(..));
            let path = format!("/work/{job}");
            (job, request(Method::Get, &path, Vec::new()))
        }
    }
}

/// A job that nobody submits.
fn unknown_job(number: u32) -> JobId {
    job_id(&format!("j-99{number}"))
}

fn job_id(text: &str) -> JobId {
    text.parse().expect("letters and digits")
}

fn draw_user(rng: &mut fastrand::Rng, number: usize, end: Duration) -> User {
    let is_service = rng.u32(0..5) == 0;
    let cpus = [1.0, 2.0, 4.0][rng.usize(0..3)];
    let saves = rng.bool();
    let at = end.mul_f64(rng.f64());
    let calls_off = is_service || rng.u32(0..5) == 0;
    let spec = JobSpec {
        id: job_id(&format!("j-{number:06}")),
        class: "some".into(),
        team: if rng.bool() { "red" } else { "blue" }.into(),
        shape: if is_service {
            Shape::Service
        } else {
            Shape::Array
        },
        priority: match (is_service, rng.u32(0..3)) {
            (true, _) => Priority::Production,
            (_, 0) => Priority::High,
            (_, 1) => Priority::Normal,
            _ => Priority::Low,
        },
        tasks: rng.u32(1..12),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 2.0,
        image: format!("img-{}", rng.u32(0..4)),
        image_gb: 0.5,
        types: None,
        zone: (rng.u32(0..10) == 0).then(|| ZONES[0].to_owned()),
        one_zone: false,
        spread: rng.u32(0..3) == 0,
        spot: !is_service && rng.bool(),
        estimate_s: if is_service {
            0.0
        } else {
            1.0 + rng.f64() * 14.0
        },
        checkpoint_s: if saves { 5.0 } else { 0.0 },
        save_s: if saves { 1.0 } else { 0.0 },
        deadline_s: None,
        awaits: Vec::new(),
    };
    let spec = JobSpec {
        spread: spec.spread && spec.zone.is_none(),
        ..spec
    };
    User {
        spec,
        next: at,
        abort_at: calls_off.then(|| at + Duration::from_secs(rng.u64(5..60))),
        accepted: false,
        ended: false,
        refused: false,
        waits: false,
    }
}
