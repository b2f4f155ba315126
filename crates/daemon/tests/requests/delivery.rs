//! Requests that arrive whole, in pieces, late, or never completely.

use std::{net::SocketAddr, thread, time::Duration};

use oliveshift_wire::{
    JobId, encode,
    job::{JobSpec, Priority, Shape},
    worker::Report,
};

use crate::{
    deployment::{Deployment, TEAM, ZONE},
    http::{self, Step},
};

/// How long the test waits for an answer after the last part of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay of a late part of a request: within the 5 s that its user waits for the answer.
const LATE: Duration = Duration::from_millis(4400);
/// Delay between the parts of a request that arrives in pieces.
const SHORT: Duration = Duration::from_millis(150);

/// How a request arrives.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Whole,
    HeadInPieces,
    BodyInPieces,
    InChunks,
    LateHead,
    HeadCutOff,
    LateBody,
    LateSecondHalf,
    SecondHalfNeverSent,
    HalfClosedWithinBody,
    ClosedWithinBody,
    LateChunk,
    ChunksCutOff,
    ChunksHalfClosed,
}

impl Delivery {
    const ALL: [Self; 14] = [
        Self::Whole,
        Self::HeadInPieces,
        Self::BodyInPieces,
        Self::InChunks,
        Self::LateHead,
        Self::HeadCutOff,
        Self::LateBody,
        Self::LateSecondHalf,
        Self::SecondHalfNeverSent,
        Self::HalfClosedWithinBody,
        Self::ClosedWithinBody,
        Self::LateChunk,
        Self::ChunksCutOff,
        Self::ChunksHalfClosed,
    ];

    /// How much of the request arrives.
    fn arrival(self) -> Arrival {
        match self {
            Self::Whole | Self::HeadInPieces | Self::BodyInPieces | Self::InChunks => {
                Arrival::InTime
            }
            Self::LateHead | Self::LateBody | Self::LateSecondHalf | Self::LateChunk => {
                Arrival::Late
            }
            _ => Arrival::Partial,
        }
    }

    fn steps(self, request: &Request) -> Vec<Step> {
        let Request { method, path, body } = request;
        let half = body.len() / 2;
        let (first, second) = body.split_at(half);
        let head = http::head(method, path, body.len());
        let chunked = http::chunked_head(method, path);
        let (head_start, head_rest) = head.split_at(head.len() / 2);
        let send = |parts: &[&[u8]]| Step::Send(parts.concat());
        match self {
            Self::Whole => vec![send(&[&head, body])],
            Self::HeadInPieces => {
                vec![
                    send(&[head_start]),
                    Step::Wait(SHORT),
                    send(&[head_rest, body]),
                ]
            }
            Self::BodyInPieces => vec![send(&[&head, first]), Step::Wait(SHORT), send(&[second])],
            Self::InChunks => vec![
                send(&[&chunked, &http::chunk(first)]),
                Step::Wait(SHORT),
                send(&[&http::chunk(second), &http::chunk(b"")]),
            ],
            Self::LateHead => {
                vec![
                    send(&[head_start]),
                    Step::Wait(LATE),
                    send(&[head_rest, body]),
                ]
            }
            Self::HeadCutOff => vec![send(&[head_start]), Step::EndWriting],
            Self::LateBody => vec![send(&[&head]), Step::Wait(LATE), send(&[body])],
            Self::LateSecondHalf => {
                vec![send(&[&head, first]), Step::Wait(LATE), send(&[second])]
            }
            Self::SecondHalfNeverSent => vec![send(&[&head, first])],
            Self::HalfClosedWithinBody => vec![send(&[&head, first]), Step::EndWriting],
            Self::ClosedWithinBody => vec![send(&[&head, first]), Step::Close],
            Self::LateChunk => vec![
                send(&[&chunked, &http::chunk(first)]),
                Step::Wait(LATE),
                send(&[&http::chunk(second), &http::chunk(b"")]),
            ],
            Self::ChunksCutOff => vec![
                send(&[&chunked, &http::chunk(first), b"40\r\nhalf a chunk"]),
                Step::EndWriting,
            ],
            Self::ChunksHalfClosed => {
                vec![send(&[&chunked, &http::chunk(first)]), Step::EndWriting]
            }
        }
    }
}

/// How much of a request arrives.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    InTime,
    Late,
    Partial,
}

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    FirstSubmission,
    RepeatedSubmission,
    Cancellation,
    Poll,
    Report,
}

impl Operation {
    const ALL: [Self; 5] = [
        Self::FirstSubmission,
        Self::RepeatedSubmission,
        Self::Cancellation,
        Self::Poll,
        Self::Report,
    ];

    fn request(self, job: &JobId, machine: usize) -> Request {
        // The body of a cancellation or of a poll has no meaning, but has to arrive as well.
        let unused = || b"a body that is ignored".to_vec();
        let (method, path, body) = match self {
            Self::FirstSubmission | Self::RepeatedSubmission => {
                ("POST", "/work".to_owned(), encode(&spec(job)))
            }
            Self::Cancellation => ("POST", format!("/work/{job}/abort"), unused()),
            Self::Poll => ("GET", format!("/work/{job}"), unused()),
            Self::Report => ("POST", "/checkin".to_owned(), encode(&report(machine, 1))),
        };
        Request { method, path, body }
    }

    /// Whether a complete request may be answered with this status.
    fn accepts(self, status: Option<u16>) -> bool {
        match self {
            Self::FirstSubmission => status == Some(201),
            Self::RepeatedSubmission | Self::Cancellation | Self::Poll => status == Some(200),
            // Nobody has rented the machine.
            Self::Report => matches!(status, Some(200 | 421 | 503)),
        }
    }
}

struct Request {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

/// The specification of a job that needs more memory than all machines have that the cloud rents
/// out soon, so that it stays open.
pub fn spec(job: &JobId) -> JobSpec {
    JobSpec {
        id: job.clone(),
        class: "batch".into(),
        team: TEAM.into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 4,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img-1".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}

pub fn report(machine: usize, seq: u64) -> Report {
    Report {
        machine: format!("vm-{:06}", 900_000 + machine),
        addr: "127.0.0.1:9".into(),
        kind: "small".into(),
        zone: ZONE.into(),
        spot: false,
        session: 1,
        seq,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
    }
}

pub fn job_id(number: usize) -> JobId {
    format!("j-{number:06}").parse().expect("a job id")
}

/// Submits a job, again as long as the controller cannot decide yet.
pub fn submit(addr: SocketAddr, job: &JobId) {
    let request = http::request("POST", "/work", &encode(&spec(job)));
    let mut status = None;
    for _ in 0..100 {
        status = http::exchange(addr, &request, ANSWER_TIMEOUT);
        if matches!(status, Some(200 | 201)) {
            return;
        }
        assert_eq!(status, Some(503), "{job}");
        thread::sleep(SHORT);
    }
    panic!("{job}: {status:?}");
}

/// One request on its way, and what is wrong with its answer.
fn check(addr: SocketAddr, operation: Operation, delivery: Delivery, job: usize) -> Option<String> {
    // Each worker has one connection.
    let machine = job * 1000 + usize::from(addr.port()) % 1000;
    let steps = delivery.steps(&operation.request(&job_id(job), machine));
    let status = http::exchange_in_steps(addr, &steps, ANSWER_TIMEOUT);
    let is_undecided = matches!(status, None | Some(408 | 503));
    let is_right = match delivery.arrival() {
        Arrival::InTime => operation.accepts(status),
        Arrival::Late => operation.accepts(status) || is_undecided,
        Arrival::Partial => is_undecided,
    };
    (!is_right).then(|| format!("{operation:?}, {delivery:?}: {status:?}"))
}

#[test]
fn a_request_that_did_not_arrive_completely_gets_no_final_answer() {
    let mut deployment = Deployment::start("delivery", 3, 2000);
    let rows = Operation::ALL.iter().flat_map(|operation| {
        Delivery::ALL
            .iter()
            .map(move |delivery| (*operation, *delivery))
    });
    // The machine types are known to the controllers once they accept jobs.
    for (number, addr) in deployment.public.iter().enumerate() {
        submit(*addr, &job_id(900_000 + number));
    }
    let mut requests = Vec::new();
    for (number, (operation, delivery)) in rows.enumerate() {
        let job = job_id(number);
        if !matches!(operation, Operation::FirstSubmission | Operation::Report) {
            submit(deployment.public[0], &job);
        }
        for addr in deployment.public.clone() {
            // Only the first controller can accept a job for the first time.
            if operation == Operation::FirstSubmission && addr != deployment.public[number % 3] {
                continue;
            }
            let request = move || check(addr, operation, delivery, number);
            requests.push(thread::spawn(request));
        }
    }
    let failures = requests
        .into_iter()
        .filter_map(|r| r.join().expect("a request was sent"));
    let failures: Vec<_> = failures.collect();
    assert!(failures.is_empty(), "{failures:#?}");
    let log = deployment.log(0);
    let mut refusals = log.lines().filter(|line| line.contains("refused with 408"));
    assert!(refusals.next().is_some(), "{log}");
    assert!(deployment.is_running());
}
