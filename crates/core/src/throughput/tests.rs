use super::*;

/// Tasks estimated at 10 s that take 20 s give a speed of one half. Jobs that ended
/// between two updates count.
#[test]
fn execution_speed_follows_measurements() {
    let mut throughput = Throughput::default();
    assert!((throughput.execution_speed() - 1.0).abs() < 1e-9);
    for round in 0..200u32 {
        let id: JobId = format!("j-{round:06}").parse().expect("an id");
        let flow = Flow {
            team: "a".into(),
            class: "b".into(),
        };
        let progress = JobProgress {
            flow,
            task_work_s: 0.1,
            done: 0,
            assigned_count: 50,
            estimate_s: 10.0,
        };
        let now = Duration::from_secs(20 * u64::from(round));
        let open = BTreeMap::from([(id, progress)]);
        throughput.update(now, open, |_| Some(50));
    }
    let flow = throughput.done.keys().next().cloned().expect("a flow");
    // 50 tasks of 0.1 s of the fleet each in 20 s.
    assert!(
        (throughput.drain_rate(&flow) - 0.25).abs() < 0.1,
        "{}",
        throughput.drain_rate(&flow)
    );
    assert!(
        (throughput.execution_speed() - 0.5).abs() < 0.15,
        "{}",
        throughput.execution_speed()
    );
}
