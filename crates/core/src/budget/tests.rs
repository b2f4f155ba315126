use super::*;

#[test]
fn request_larger_than_the_bucket_passes_when_it_is_full() {
    let s = Duration::from_secs;
    let mut budget = Budget::new(2.9, 1.0);
    assert!(budget.take(s(0), 3.0, 0.05));
    assert!(!budget.take(s(0), 1.0, 0.05), "the debt is paid first");
    assert!(!budget.can_take(s(1), 3.0, 0.05));
    assert!(budget.take(s(3), 3.0, 0.4));
}

#[test]
fn less_urgent_requests_wait_for_a_blocked_one() {
    let ms = Duration::from_millis;
    let mut budget = Budget::new(6.0, 1.0);
    budget.charge(ms(0), 6.0);
    let mut small = 0;
    let got = (1..100).find(|i| {
        let now = ms(50 * i);
        small += u32::from(budget.take(now, 1.0, 0.15));
        let got = budget.take(now, 5.0, 0.05);
        if !got {
            budget.record_blocked(now, 5.0, 0.05);
        }
        got
    });
    assert!(got.is_some_and(|i| i < 25) && small <= 1, "{got:?} {small}");
    assert!(
        budget.take(ms(4000), 1.0, 0.15),
        "the blocked request has passed"
    );
}

#[test]
fn reserve_is_left_for_urgent_requests() {
    let now = Duration::ZERO;
    let mut budget = Budget::new(10.0, 1.0);
    assert!(budget.take(now, 5.0, 0.5));
    assert!(!budget.take(now, 1.0, 0.5));
    assert!(budget.take(now, 5.0, 0.0));
    assert!(!budget.take(now, 1.0, 0.0));
    assert!(budget.take(now, 10.0, -1.0), "on credit");
    assert!(!budget.can_take(now, 1.0, -1.0));
}
