//! Requests with changed and missing bytes, to all endpoints.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use oliveshift_wire::encode;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, TestRunner},
};

use crate::{
    delivery::{job_id, report, spec, submit},
    deployment::Deployment,
    http,
};

/// Number of requests.
const REQUESTS: u32 = 600;
/// How long the client waits for an answer before it ends the request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a controller may keep a connection after its client has ended the request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);
/// The memory of a controller at the size of the largest deployments, in KiB.
const MAX_MEMORY_KIB: u64 = 128 * 1024;

/// A request to be changed, and whether it goes to the address for users and workers.
#[derive(Clone, Debug)]
struct Template {
    is_public: bool,
    request: Vec<u8>,
}

fn templates() -> Vec<Template> {
    let job = job_id(1);
    let submission = encode(&spec(&job_id(2)));
    let report = encode(&report(1, 1));
    let chunked = [
        http::chunked_head("POST", "/work"),
        http::chunk(&submission[..20]),
        http::chunk(&submission[20..]),
        http::chunk(b""),
    ]
    .concat();
    let public = [
        http::request("POST", "/work", &submission),
        http::request("GET", &format!("/work/{job}"), b""),
        http::request("POST", &format!("/work/{job}/abort"), b""),
        http::request("POST", "/checkin", &report),
        http::request("GET", "/healthz", b""),
        chunked,
    ];
    let internal = [
        http::request("POST", "/peer", &[7; 60]),
        http::request("POST", "/reach", &[7; 60]),
        http::request("POST", "/carry", &[7; 60]),
        http::request("POST", "/forward", &[7; 60]),
        http::request("GET", "/level", b""),
        http::request("POST", "/admin/upgrade", br#"{"without":"n-7"}"#),
    ];
    let template = |is_public| move |request| Template { is_public, request };
    let public = public.into_iter().map(template(true));
    public
        .chain(internal.into_iter().map(template(false)))
        .collect()
}

/// A request with some bytes replaced, and cut off somewhere.
fn mutated() -> impl Strategy<Value = Template> {
    let template = prop::sample::select(templates());
    let replaced = vec((any::<prop::sample::Index>(), any::<u8>()), 0..6);
    let cut = prop::option::of(any::<prop::sample::Index>());
    (template, replaced, cut).prop_map(|(mut template, replaced, cut)| {
        let length = template.request.len();
        for (at, byte) in replaced {
            template.request[at.index(length)] = byte;
        }
        if let Some(cut) = cut {
            template.request.truncate(cut.index(length));
        }
        template
    })
}

/// Sends a request, waits a little for the answer, and then until the controller has closed the
/// connection. Returns the status of the answer, if there was one.
fn send(addr: SocketAddr, request: &[u8]) -> std::io::Result<Option<u16>> {
    let mut stream = TcpStream::connect(addr)?;
    let mut status_line = [0; 12];
    // The controller may close the connection before it has read everything.
    let _ = stream.write_all(request);
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let answered = stream.read_exact(&mut status_line).is_ok();
    let _ = stream.shutdown(Shutdown::Write);
    stream.set_read_timeout(Some(CLOSE_TIMEOUT))?;
    let ended_at = Instant::now();
    let _ = stream.read_to_end(&mut Vec::new());
    if ended_at.elapsed() >= CLOSE_TIMEOUT {
        return Err(std::io::ErrorKind::TimedOut.into());
    }
    let status = String::from_utf8_lossy(&status_line[9..]).parse().ok();
    Ok(status.filter(|_| answered))
}

#[test]
fn mutated_requests_end_no_controller_and_leave_no_connection() {
    let mut deployment = Deployment::start("mutations", 1, 2000);
    let [public, internal] = [deployment.public[0], deployment.internal[0]];
    let job = job_id(1);
    submit(public, &job);
    let sockets = deployment.open_sockets(0);
    let config = Config {
        cases: REQUESTS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let answers = RefCell::new(BTreeMap::new());
    let result = runner.run(&mutated(), |template| {
        let addr = if template.is_public { public } else { internal };
        let status = send(addr, &template.request);
        let status = status.map_err(|e| TestCaseError::fail(e.to_string()))?;
        *answers.borrow_mut().entry(status).or_insert(0) += 1;
        Ok(())
    });
    let answers = answers.into_inner();
    println!("answers by status: {answers:?}");
    assert_eq!(result.map_err(|e| e.to_string()), Ok(()));
    // Complete, malformed and incomplete requests were among them.
    for status in [Some(200), Some(400), Some(404), None] {
        assert!(answers.contains_key(&status), "{answers:?}");
    }
    assert!(deployment.is_running(), "{}", deployment.log(0));
    assert!(
        !deployment.log(0).contains("panicked"),
        "{}",
        deployment.log(0)
    );
    let probe = http::request("GET", "/healthz", b"");
    assert_eq!(http::exchange(public, &probe, CLOSE_TIMEOUT), Some(200));
    let poll = http::request("GET", &format!("/work/{job}"), b"");
    assert_eq!(http::exchange(public, &poll, CLOSE_TIMEOUT), Some(200));
    assert!(deployment.peak_memory_kib(0) < MAX_MEMORY_KIB);
    // Connections to the state service and the cloud may be opened and closed meanwhile.
    let left = deployment.open_sockets(0);
    assert!(left <= sockets + 8, "{left} sockets, {sockets} before");
}
