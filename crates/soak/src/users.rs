//! Simulated users, who submit jobs, poll their status and cancel some of them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use async_executor::LocalExecutor;
use oliveshift_core::Method;
use oliveshift_wire::{
    JobId, decode,
    job::{JobPhase, JobSpec, JobStatus, Priority, Shape},
};

use oliveshift_testkit::SubmissionForm;

use crate::{
    controllers::Addresses,
    http::{HttpRequest, HttpResponse, send_with_timeout},
    site::{SharedSite, ZONES, controller_request},
};

/// Timeout of a user's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a request whose body arrives in two parts.
const SLOW_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// One in this many submissions and cancellations arrives in two parts, the second of which is
/// delayed by a multiple of this step.
const SLOW_REQUEST_ONE_IN: u32 = 4;
const SLOW_REQUEST_STEP: Duration = Duration::from_millis(300);
/// Time until a user's next request, after its job's status was received.
const POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Time until a user's next request, after a failed one or one without a status.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// One request in this many polls a job that was never submitted; as often, an accepted job
/// is submitted again.
const RARE_REQUEST_ONE_IN: u32 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Submit,
    Poll,
    Cancel,
    /// Polls a job that was never submitted.
    PollUnknown,
}

/// A user and their job.
#[derive(Debug)]
struct User {
    spec: JobSpec,
    next_request_at: Duration,
    cancel_at: Option<Duration>,
    accepted: bool,
    ended: bool,
    refused: bool,
    awaits_response: bool,
}

/// All simulated users.
#[derive(Debug, Default)]
pub struct Users {
    users: RefCell<Vec<User>>,
    /// Number of submissions and cancellations that were sent.
    writes_sent: Cell<u32>,
    /// Number of requests that were answered with 408.
    given_up: Cell<u32>,
}

impl Users {
    /// Draws users who each submit one job, at a random time before `end`.
    pub fn draw(rng: &mut fastrand::Rng, jobs: usize, end: Duration) -> Self {
        let users = (0..jobs).map(|number| draw_user(rng, number, end));
        Self {
            users: RefCell::new(users.collect()),
            writes_sent: Cell::new(0),
            given_up: Cell::new(0),
        }
    }

    /// Has up to `count` users with open jobs cancel them now.
    pub fn cancel(&self, count: usize, now: Duration) {
        let mut users = self.users.borrow_mut();
        let open = users.iter_mut().filter(|u| u.accepted && !u.ended);
        for user in open.take(count) {
            user.cancel_at = Some(now);
            user.next_request_at = now;
        }
    }

    /// The number of accepted jobs, and of those that were not reported as ended yet.
    pub fn counts(&self) -> (usize, usize) {
        let users = self.users.borrow();
        let accepted = users.iter().filter(|u| u.accepted);
        let open = accepted.clone().filter(|u| !u.ended);
        (accepted.count(), open.count())
    }

    /// Sends the requests that are due.
    pub fn send_due_requests(
        self: &Rc<Self>,
        executor: &Rc<LocalExecutor<'static>>,
        site: &SharedSite,
        addresses: &Rc<Addresses>,
    ) {
        let now = site.borrow().now();
        let mut users = self.users.borrow_mut();
        for (index, user) in users.iter_mut().enumerate() {
            if user.awaits_response || user.refused || now < user.next_request_at {
                continue;
            }
            user.awaits_response = true;
            let kind = next_request_kind(user, now, &mut site.borrow_mut().rng);
            let task = self
                .clone()
                .send_request(site.clone(), index, kind, addresses.clone());
            executor.spawn(task).detach();
        }
    }

    /// The form of the next submission; all are used in turn.
    fn next_form(&self) -> SubmissionForm {
        let forms = SubmissionForm::ALL;
        forms[self.writes_sent.get() as usize % forms.len()]
    }

    /// The number of submissions and cancellations whose body was sent in two parts, and of those
    /// that were answered as incomplete.
    pub fn slow_request_counts(&self) -> (u32, u32) {
        let sent = self.writes_sent.get().div_ceil(SLOW_REQUEST_ONE_IN);
        (sent, self.given_up.get())
    }

    /// Has the body of one in [`SLOW_REQUEST_ONE_IN`] submissions and cancellations arrive in two
    /// parts, with delays of up to more than the controllers wait.
    fn vary(&self, request: HttpRequest) -> HttpRequest {
        let sent = self.writes_sent.get();
        self.writes_sent.set(sent + 1);
        let delay = SLOW_REQUEST_STEP * (sent / SLOW_REQUEST_ONE_IN % 16);
        HttpRequest {
            delay: sent.is_multiple_of(SLOW_REQUEST_ONE_IN).then_some(delay),
            ..request
        }
    }

    async fn send_request(
        self: Rc<Self>,
        site: SharedSite,
        index: usize,
        kind: RequestKind,
        addresses: Rc<Addresses>,
    ) {
        let spec = self.users.borrow()[index].spec.clone();
        let (job, mut request) = prepare(&site, spec, kind, self.next_form());
        if matches!(kind, RequestKind::Submit | RequestKind::Cancel) {
            request = self.vary(request);
        }
        let timeout = match request.delay {
            Some(_) => SLOW_REQUEST_TIMEOUT,
            None => REQUEST_TIMEOUT,
        };
        let sent = site.borrow().now();
        let to = site.borrow_mut().rng.usize(0..addresses.public.len());
        let response = send_with_timeout(addresses.public[to], request, timeout).await;
        site.borrow_mut().advance();
        self.handle_response(&site, index, kind, &job, sent, response);
    }

    fn handle_response(
        &self,
        site: &SharedSite,
        index: usize,
        kind: RequestKind,
        job: &JobId,
        sent: Duration,
        response: Option<HttpResponse>,
    ) {
        let mut site = site.borrow_mut();
        let now = site.now();
        let user = &mut self.users.borrow_mut()[index];
        user.awaits_response = false;
        user.next_request_at = now + RETRY_DELAY;
        let Some(HttpResponse { status, body }) = response else {
            return;
        };
        match (status, decode::<JobStatus>(&body)) {
            (200 | 201, Ok(status)) => {
                site.rules.phase_reported(now, sent, job, status.phase);
                if kind == RequestKind::PollUnknown {
                    return;
                }
                user.next_request_at = now + POLL_INTERVAL;
                user.accepted = true;
                user.ended |= matches!(status.phase, JobPhase::Done | JobPhase::Cancelled);
            }
            (404, _) if kind == RequestKind::PollUnknown => {}
            (408, _) => self.given_up.set(self.given_up.get() + 1),
            (400 | 404 | 422, _) => {
                site.rules.job_denied(now, sent, job);
                user.refused |= kind == RequestKind::Submit && !user.accepted;
            }
            _ => {}
        }
    }
}

fn next_request_kind(user: &User, now: Duration, rng: &mut fastrand::Rng) -> RequestKind {
    if rng.u32(0..RARE_REQUEST_ONE_IN) == 0 {
        RequestKind::PollUnknown
    } else if !user.accepted || rng.u32(0..RARE_REQUEST_ONE_IN) == 0 {
        RequestKind::Submit
    } else if !user.ended && user.cancel_at.is_some_and(|at| now >= at) {
        RequestKind::Cancel
    } else {
        RequestKind::Poll
    }
}

/// Builds a request, and returns the job that it is about. Submissions and cancellations
/// are registered with the rules before they are sent.
fn prepare(
    site: &SharedSite,
    spec: JobSpec,
    kind: RequestKind,
    form: SubmissionForm,
) -> (JobId, HttpRequest) {
    let mut site = site.borrow_mut();
    let job = spec.id.clone();
    match kind {
        RequestKind::Submit => {
            let body = form.encode(&spec);
            site.rules.jobs.insert(job.clone(), spec);
            (job, controller_request(Method::Post, "/work", body))
        }
        RequestKind::Poll => {
            let path = format!("/work/{job}");
            (job, controller_request(Method::Get, &path, Vec::new()))
        }
        RequestKind::Cancel => {
            site.rules.cancel_requested(&job);
            let path = format!("/work/{job}/abort");
            (job, controller_request(Method::Post, &path, Vec::new()))
        }
        RequestKind::PollUnknown => {
            let job = unknown_job_id(site.rng.u32(..));
            let path = format!("/work/{job}");
            (job, controller_request(Method::Get, &path, Vec::new()))
        }
    }
}

/// Id of a job that is never submitted.
fn unknown_job_id(number: u32) -> JobId {
    job_id(&format!("j-99{number}"))
}

fn job_id(text: &str) -> JobId {
    text.parse().expect("a valid job id")
}

fn draw_user(rng: &mut fastrand::Rng, number: usize, end: Duration) -> User {
    let is_service = rng.u32(0..5) == 0;
    let cpus = [1.0, 2.0, 4.0][rng.usize(0..3)];
    let saves = rng.bool();
    let at = end.mul_f64(rng.f64());
    let cancels = is_service || rng.u32(0..5) == 0;
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
        next_request_at: at,
        cancel_at: cancels.then(|| at + Duration::from_secs(rng.u64(5..60))),
        accepted: false,
        ended: false,
        refused: false,
        awaits_response: false,
    }
}
