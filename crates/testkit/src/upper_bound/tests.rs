use super::*;

fn job(at: u64, due: u64, tasks: u32, cpus: f64) -> Arrival {
    Arrival {
        class: "a".into(),
        team: "t".into(),
        at: Duration::from_secs(at),
        due: Duration::from_secs(due),
        tasks,
        cpus,
        run_time: Duration::from_secs(10),
    }
}

#[test]
fn least_work_first_completes_the_most_jobs() {
    // 8 processors for 100 s give 800 processor seconds of the 1,240 asked for.
    let pools = [MachinePool {
        cpus_per_machine: 8.0,
        cpus: 8.0,
    }];
    let mut jobs = vec![job(0, 50, 80, 1.0)];
    jobs.extend((0..11).map(|i| job(i, 50, 4, 1.0)));
    let end = Duration::from_secs(100);
    let best = achievable_jobs(&jobs, &pools, &BTreeMap::new(), end)["a"];
    // In 50 s, 8 processors complete ten jobs of 40 processor seconds; by the end all
    // eleven are done, but not the large one.
    assert_eq!((best.submitted, best.done, best.in_time), (12, 11, 10));
}

#[test]
fn large_tasks_run_on_large_machines_only() {
    let pools = [
        MachinePool {
            cpus_per_machine: 4.0,
            cpus: 400.0,
        },
        MachinePool {
            cpus_per_machine: 16.0,
            cpus: 16.0,
        },
    ];
    let jobs: Vec<_> = (0..6).map(|_| job(0, 20, 2, 8.0)).collect();
    let end = Duration::from_secs(40);
    let all = achievable_jobs(&jobs, &pools, &BTreeMap::new(), end);
    assert_eq!((all["a"].done, all["a"].in_time), (4, 2));
    let limits = BTreeMap::from([("t".to_owned(), 8.0)]);
    let limited = achievable_jobs(&jobs, &pools, &limits, end);
    assert_eq!((limited["team t"].done, limited["team t"].in_time), (2, 1));
}
