use super::*;

#[test]
fn failed_placement_is_retried_after_a_capacity_gain_or_a_delay() {
    let ms = Duration::from_millis;
    let job: JobId = "j-000001".parse().expect("an id");
    let other: JobId = "j-000002".parse().expect("an id");
    let (here, there) = (1, 2);
    let mut failures = FailedPlacements::default();
    assert!(!failures.has_failed_recently(ms(0), here, &job));
    failures.record(ms(0), here, &job);
    assert!(failures.has_failed_recently(ms(100), here, &job));
    assert!(!failures.has_failed_recently(ms(100), there, &job));
    assert!(!failures.has_failed_recently(ms(100), here, &other));
    assert!(
        !failures.has_failed_recently(ms(250), here, &job),
        "time passes"
    );
    failures.capacity_gained(there);
    assert!(failures.has_failed_recently(ms(100), here, &job) && !failures.take_changed());
    failures.capacity_gained(here);
    assert!(!failures.has_failed_recently(ms(100), here, &job));
    assert!(failures.take_changed() && !failures.take_changed());
}
