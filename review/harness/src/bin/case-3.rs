//! Case 3: one guest's large array, submitted with a mistake, stops all controllers.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use oliveshift_wire::{
    encode,
    job::{JobSpec, Priority, Shape},
};
use review_harness::{
    Record, note,
    site::{Setup, Site},
    trouble,
};

/// "a job about which no question is answered for 75 s counts as forgotten, however others fare"
const FORGOTTEN: Duration = Duration::from_secs(75);

fn job(id: &str, class: &str, team: &str) -> JobSpec {
    JobSpec {
        id: id.parse().expect("an id"),
        class: class.to_owned(),
        team: team.to_owned(),
        shape: Shape::Array,
        priority: Priority::Low,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: format!("img-{class}"),
        image_gb: 0.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}

fn main() -> ExitCode {
    let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, record, folder] = args.as_slice() else {
        return ExitCode::from(2);
    };
    let record = Record::create(record);
    let setup = Setup {
        teams: vec![("portal", 32.0, 96.0), ("souss-seedbank", 0.0, 96.0)],
        ..Setup::default()
    };
    let site = Site::start(record.clone(), folder, setup);
    let mut controllers = site.controllers(program);
    if !site.wait_until_up() {
        note!(record, "the controllers do not come up");
        return ExitCode::from(2);
    }
    let submit = |spec: &JobSpec| {
        for _ in 0..10 {
            let body = encode(spec);
            if let Ok((200 | 201, _)) = site.ask(0, "POST", "/work", &body, Duration::from_secs(5))
            {
                return true;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    };
    let portal = JobSpec {
        shape: Shape::Service,
        priority: Priority::Production,
        cpus: 2.0,
        memory_gb: 4.5,
        ..job("j-000001", "specimen-portal", "portal")
    };
    if !submit(&portal) {
        return ExitCode::from(2);
    }
    std::thread::sleep(Duration::from_secs(5));
    // Submitted with a mistake: its amounts were left at 0. As many tasks as a job may have.
    let sweep = JobSpec {
        tasks: 100_000,
        cpus: 0.0,
        memory_gb: 0.0,
        estimate_s: 60.0,
        ..job("j-000002", "germination-sweep", "souss-seedbank")
    };
    if trouble() && !submit(&sweep) {
        return ExitCode::from(2);
    }
    let ends = Duration::from_secs(108);
    let mut answered_at = record.now();
    let mut longest = Duration::ZERO;
    let mut next = 0;
    while record.now() < ends {
        let node = next % site.public.len();
        next += 1;
        let answer = site.ask(node, "GET", "/work/j-000001", &[], Duration::from_secs(2));
        if matches!(answer, Ok((200, _))) {
            longest = longest.max(record.now() - answered_at);
            answered_at = record.now();
        }
        for (node, process) in controllers.iter_mut().enumerate() {
            if let Some(code) = process.exit_code() {
                note!(record, "n-{node} has ended by itself with {code}");
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    longest = longest.max(record.now() - answered_at);
    note!(
        record,
        "longest time without an answer about j-000001: {:.1} s",
        longest.as_secs_f64()
    );
    for violation in site.violations() {
        note!(record, "broken rule of the protocol page: {violation}");
    }
    match longest >= FORGOTTEN {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
