//! The program as a process: command line, settings, and answers without a state service.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_oliveshift");

fn settings(public: SocketAddr, internal: SocketAddr) -> String {
    settings_with_socket_limit(public, internal, 200)
}

fn settings_with_socket_limit(
    public: SocketAddr,
    internal: SocketAddr,
    max_sockets: usize,
) -> String {
    format!(
        r#"{{"member":"n-0","site":"a","bind":"{public}","internal_addr":"{internal}","members":[],
        "outside":{{"cloud":"127.0.0.1:9","state":"127.0.0.1:9"}},"later":"ignored",
        "deployment":{{"zones":["a"],"teams":[{{"name":"t","cpus":1.0,"cpus_max":2}}],
        "workers":{{"report_s":2.0,"lease_s":12.0,"cancel_s":30.0}},
        "state":{{"rps":100,"write_rps":30.0,"value_kb":16,"txn_ops":20}},
        "cloud":{{"rps":6,"list_lag_s":3}},"limits":{{"max_sockets":{max_sockets}}}}}}}"#
    )
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("oliveshift-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a temporary file");
    path
}

fn check(name: &str, text: &str) -> Output {
    let path = write_temp_file(name, text);
    let output = Command::new(PROGRAM).arg("check").arg(&path).output();
    let _ = std::fs::remove_file(path);
    output.expect("the program runs")
}

#[test]
fn help_and_version_are_printed_and_missing_arguments_are_rejected() {
    for (arg, word) in [("--help", "--config"), ("--version", "oliveshift")] {
        let output = Command::new(PROGRAM)
            .arg(arg)
            .output()
            .expect("the program runs");
        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).contains(word));
    }
    let output = Command::new(PROGRAM).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn invalid_settings_are_rejected_with_a_one_line_error() {
    let addr = free_addr();
    let valid = settings(addr, addr);
    let output = check("valid", &valid);
    assert!(output.status.success());
    let summary = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(summary.contains("47 for users"), "{summary}");
    let cases = [
        ("json", "{", "settings"),
        ("missing", &valid.replace("\"zones\"", "\"zonen\""), "zones"),
        (
            "type",
            &valid.replace("\"rps\":6", "\"rps\":\"6\""),
            "expected",
        ),
        (
            "address",
            &valid.replace("127.0.0.1:9", "somewhere"),
            "address",
        ),
        ("limit", &valid.replace("30.0}", "12.5}"), "cancel_s"),
        (
            "announced limits",
            &valid.replace("\"txn_ops\":20", "\"txn_ops\":20,\"next\":{\"txn_ops\":1}"),
            "state.next.txn_ops",
        ),
        (
            "announced rate of zero",
            &valid.replace(
                "\"txn_ops\":20",
                "\"txn_ops\":20,\"next\":{\"write_rps\":0}",
            ),
            "state.next.write_rps",
        ),
        (
            "negative",
            &valid.replace("_s\":2.0", "_s\":-2.0"),
            "report_s",
        ),
    ];
    for (name, text, word) in cases {
        let output = check(name, text);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {error}");
        assert_eq!(error.trim().lines().count(), 1, "{name}: {error}");
        assert!(error.contains(word), "{name}: {error}");
    }
}

/// A controller on loopback, stopped when dropped.
struct RunningController {
    child: Child,
    public: SocketAddr,
    internal: SocketAddr,
    path: PathBuf,
}

impl Drop for RunningController {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn start(max_sockets: usize) -> RunningController {
    let (public, internal) = (free_addr(), free_addr());
    let settings = settings_with_socket_limit(public, internal, max_sockets);
    let path = write_temp_file(&public.port().to_string(), &settings);
    let child = Command::new(PROGRAM)
        .arg("--config")
        .arg(&path)
        .env("LOG_LEVEL", "nonsense")
        .stderr(Stdio::null())
        .spawn()
        .expect("the program runs");
    let running = RunningController {
        child,
        public,
        internal,
        path,
    };
    for _ in 0..600 {
        // An address may become available late: the program retries binding while its port
        // is taken by another process.
        let addrs = [public, internal];
        if addrs.iter().all(|a| TcpStream::connect(a).is_ok()) {
            return running;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the program does not listen on {public} and {internal}");
}

/// Sends raw bytes and returns the status code of the answer.
fn status(addr: SocketAddr, request: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .expect("a timeout");
    // The program may stop reading before the end of the request.
    let _ = stream.write_all(request);
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    let text = String::from_utf8_lossy(&head);
    text[9..12].parse().expect("a status")
}

fn request(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

#[test]
fn valid_and_invalid_requests_get_the_expected_status() {
    let running = start(200);
    let addr = running.public;
    // Silent connections and incomplete requests must not delay other requests.
    let mut idle: Vec<_> = (0..60)
        .filter_map(|_| TcpStream::connect(addr).ok())
        .collect();
    for stream in idle.iter_mut().take(30) {
        let _ = stream.write_all(b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-le");
    }
    // Without the state service, no request about jobs can be processed.
    assert_eq!(status(addr, &request("GET", "/healthz", b"")), 503);
    assert_eq!(status(addr, &request("GET", "/work/j-000001", b"")), 503);
    assert_eq!(
        status(addr, &request("POST", "/work/j-000001/abort", b"")),
        503
    );
    assert_eq!(status(addr, &request("GET", "/work/nonsense", b"")), 404);
    assert_eq!(status(addr, &request("POST", "/work", b"not a map")), 400);
    assert_eq!(status(addr, &request("POST", "/work", &[0x80])), 400);
    assert_eq!(status(addr, &request("POST", "/checkin", &[0x80])), 400);
    assert_eq!(status(addr, &request("DELETE", "/work", b"")), 405);
    assert_eq!(status(addr, &request("GET", "/elsewhere", b"")), 404);
    // Requests of peers and operators are served only on the internal address.
    assert_eq!(status(addr, &request("POST", "/peer", b"")), 404);
    assert_eq!(status(addr, &request("GET", "/level", b"")), 404);
    assert_eq!(status(addr, &request("GET", "/admin/upgrade", b"")), 404);
    let internal = running.internal;
    assert_eq!(status(internal, &request("GET", "/level", b"")), 200);
    for body in [&b"{}"[..], b"[]", br#"{"without":"n-0","why":1}"#] {
        let post = request("POST", "/admin/upgrade", body);
        assert_eq!(status(internal, &post), 400);
    }
    let post = request("POST", "/admin/upgrade", br#"{"without":"n-0"}"#);
    assert_eq!(status(internal, &post), 503);
    assert_eq!(
        status(internal, &request("DELETE", "/admin/upgrade", b"")),
        405
    );
    let cases = [(internal, 1, "refuses"), (free_addr(), 4, "reached")];
    for (at, code, word) in cases {
        let at = at.to_string();
        let output = Command::new(PROGRAM)
            .args(["admin", "upgrade", "--at", &at])
            .output()
            .expect("the program runs");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{error}");
        assert!(error.contains(word), "{error}");
    }
    // Bodies above the size limit are rejected without being read, which decides nothing.
    let head = b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 100000000\r\n\r\nabc";
    assert_eq!(status(addr, head), 413);
    assert_eq!(
        status(addr, &request("POST", "/work", &vec![0x80; 70_000])),
        413
    );
    let mut chunked =
        b"POST /work HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..20 {
        chunked.extend(b"2000\r\n");
        chunked.extend([0x81; 0x2000]);
        chunked.extend(b"\r\n");
    }
    assert_eq!(status(addr, &chunked), 413);
    assert_eq!(status(addr, &request("GET", "/healthz", b"")), 503);
}

/// The number of sockets that a process has open. Other descriptors, such as those of the reactor,
/// timers and pipes, do not count.
fn open_sockets(process: u32) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    let links = descriptors.expect("the program runs").flatten();
    let targets = links.filter_map(|link| std::fs::read_link(link.path()).ok());
    let sockets = targets.filter(|to| to.to_string_lossy().starts_with("socket:"));
    sockets.count()
}

/// Guards against sockets that stay open after the program has decided to close them: in a burst
/// of connections the closed ones waited for their tasks to run again, and the program had more
/// sockets open than its limit.
#[test]
fn the_socket_limit_holds_at_every_moment_of_a_burst() {
    let running = start(120);
    let process = running.child.id();
    let addr = running.public;
    let burst = std::thread::spawn(move || {
        let mut connections = Vec::new();
        for _ in 0..2000 {
            let mut stream = TcpStream::connect(addr).expect("a connection");
            let _ = stream.write_all(b"POST /checkin HTTP/1.1\r\nhost: x\r\ncontent-le");
            connections.push(stream);
        }
        connections
    });
    let mut most = 0;
    while !burst.is_finished() {
        most = most.max(open_sockets(process));
    }
    let _connections = burst.join().expect("all connections were accepted");
    most = most.max(open_sockets(process));
    assert!((60..=120).contains(&most), "{most} open");
}

/// Guards against running out of sockets: abandoned connections of workers and silent
/// connections once occupied all of them, and users and probes were accepted and dropped until
/// those connections were closed.
#[test]
fn users_are_answered_when_more_connections_than_sockets_are_open() {
    let running = start(120);
    let addr = running.public;
    let report = [
        &b"\x8a\xa4host\xa4vm-1\xa8endpoint\xa3a:1\xa6flavor\xa1g\xa4site\xa1a\xabreclaimable\xc2"
            [..],
        b"\xa6tenure\x01\xa4tick\x01\xa5epoch\x00\xa9warning_s\xc0\xa6shards\x90",
    ]
    .concat();
    // Each report names a different worker.
    let host = report
        .windows(4)
        .position(|w| w == b"vm-1")
        .expect("the host name");
    let mut connections = Vec::new();
    for number in 0..400u32 {
        let Ok(mut stream) = TcpStream::connect(addr) else {
            continue;
        };
        let mut body = report.clone();
        body[host..host + 4].copy_from_slice(format!("{number:04}").as_bytes());
        let _ = match number % 4 {
            0 => Ok(()),
            1 => stream.write_all(b"POST /checkin HTTP/1.1\r\nhost: x\r\ncontent-le"),
            _ => stream.write_all(&request("POST", "/checkin", &body)),
        };
        connections.push(stream);
        if number % 8 == 7 {
            assert_eq!(status(addr, &request("GET", "/healthz", b"")), 503);
            assert_eq!(status(addr, &request("GET", "/work/j-000001", b"")), 503);
        }
    }
    assert_eq!(connections.len(), 400);
    // The program must still accept connections (at least 60 are open) and keep its limit of 120
    // sockets.
    let open = open_sockets(running.child.id());
    assert!((60..=120).contains(&open), "{open} open");
    let internal = running.internal;
    assert_eq!(status(internal, &request("GET", "/level", b"")), 200);
}
