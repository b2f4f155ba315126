//! Clients that send slowly, and those who are served beside them.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use oliveshift_wire::encode;

use crate::{
    delivery::{job_id, report, submit},
    deployment::Deployment,
    http,
};

/// Number of requests that are sent by half.
const HALF_SENT: usize = 600;
/// The sockets of a controller at the size of the largest deployments.
const MAX_SOCKETS: usize = 2514;
/// The memory of such a controller, in KiB.
const MAX_MEMORY_KIB: u64 = 128 * 1024;
/// Number of measured requests of each kind.
const MEASURED: u64 = 60;
/// The largest body that a request may have.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Connections on which a part of a request was sent: heads, and bodies of users and workers.
fn send_halves(addr: SocketAddr) -> Vec<TcpStream> {
    let half_body = vec![0x81; MAX_BODY_BYTES - 1];
    let with_body =
        |path: &str| [http::head("POST", path, MAX_BODY_BYTES), half_body.clone()].concat();
    let halves = [
        b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-le".to_vec(),
        with_body("/work"),
        with_body("/checkin"),
    ];
    let connections = (0..HALF_SENT).map(|number| {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        // The program may have closed it.
        let _ = stream.write_all(&halves[number % halves.len()]);
        stream
    });
    connections.collect()
}

/// The longest time of some requests, each of which has to be answered with one of `statuses`
/// within `timeout`.
fn longest(
    addr: SocketAddr,
    timeout: Duration,
    statuses: &[u16],
    request: impl Fn(u64) -> Vec<u8>,
) -> Duration {
    let mut longest = Duration::ZERO;
    for number in 0..MEASURED {
        let request = request(number);
        let started = Instant::now();
        let status = http::exchange(addr, &request, timeout);
        longest = longest.max(started.elapsed());
        let is_right = status.is_some_and(|status| statuses.contains(&status));
        assert!(
            is_right,
            "{}: {status:?}",
            String::from_utf8_lossy(&request)
        );
        thread::sleep(Duration::from_millis(10));
    }
    assert!(longest < timeout, "{longest:?}");
    longest
}

#[test]
fn others_are_served_beside_requests_that_are_sent_by_half() {
    let mut deployment = Deployment::start("slow-clients", 1, MAX_SOCKETS);
    let addr = deployment.public[0];
    let job = job_id(1);
    submit(addr, &job);
    let probe = |_| http::request("GET", "/healthz", b"");
    let path = format!("/work/{job}");
    let poll = move |_| http::request("GET", &path, b"");
    let report = |number| http::request("POST", "/checkin", &encode(&report(7, number)));
    for halves in [false, true] {
        let connections = if halves {
            send_halves(addr)
        } else {
            Vec::new()
        };
        let seconds = Duration::from_secs;
        let times = thread::scope(|scope| {
            let probes = scope.spawn(|| longest(addr, seconds(1), &[200], probe));
            let polls = scope.spawn(|| longest(addr, seconds(2), &[200], &poll));
            let reports = scope.spawn(|| longest(addr, seconds(4), &[200, 421, 503], report));
            [probes, polls, reports].map(|times| times.join().expect("all were answered"))
        });
        println!(
            "{} half-sent requests: longest probe, poll and report {times:.1?}, peak memory {} KiB",
            connections.len(),
            deployment.peak_memory_kib(0)
        );
    }
    assert!(deployment.peak_memory_kib(0) < MAX_MEMORY_KIB);
    assert!(deployment.is_running());
}
