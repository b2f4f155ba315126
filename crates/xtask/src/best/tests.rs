use super::*;

#[test]
fn jobs_and_machines_are_read_from_a_log() {
    let mut summary = LogSummary::default();
    for line in [
        "    5.0410 grove-3 DEBUG fleet: core ordinary: 2 machines, 128 processors, 8 in use, 16 by services; 1 idle, 0 not usable",
        "    6.0000 grove-1 DEBUG j-000001: submitted: rush of red, 12 tasks of 4 processors for 40.5 s, due in 0 s, image i-1, awaits []",
        "    7.0000 grove-2 DEBUG j-000001: submitted: rush of red, 12 tasks of 4 processors for 40.5 s, due in 0 s, image i-1, awaits []",
        "    8.0000 grove-2 DEBUG j-000002: submitted: web of red, 2 tasks of 4 processors for 0 s, due in 0 s, image i-1, awaits []",
        "   30.0000 grove-2 INFO something else",
    ] {
        let _ = summary.parse_line(line);
    }
    assert_eq!(summary.jobs.len(), 1);
    let (job, due) = &summary.jobs[0];
    assert_eq!((job.tasks, job.cpus, *due), (12, 4.0, 0.0));
    assert_eq!(job.run_time, Duration::from_millis(40_500));
    let pool = MachinePool {
        cpus_per_machine: 64.0,
        cpus: 112.0,
    };
    assert_eq!(summary.pools(), [pool]);
    assert_eq!(summary.last_event_s, 30.0);
}
