use super::*;

const S: Duration = Duration::from_secs(1);
const LIMITS: LeaseLimits = LeaseLimits {
    renewed: Duration::from_secs(16),
    takeover: Duration::from_secs(41),
};

fn at(seconds: u32) -> Tenure {
    Tenure::proven_until(Some(S * seconds))
}

/// Refused by the state service from second 61 on, a holder took a worker for dead at
/// second 76 that the next holder of its block had heard all along.
#[test]
fn silence_proves_nothing_beyond_our_tenure() {
    let mut lease = WorkerLease::new(S * 24);
    lease.renew(S * 59);
    let looks = |now, tenure| lease.look(S * now, true, &LIMITS, tenure);
    assert_eq!(looks(75, at(61)), Silence::Nothing);
    assert_eq!(looks(76, at(61)), Silence::Unproven(S * 75));
    assert_eq!(looks(100, at(74)), Silence::Unproven(S * 75));
    assert_eq!(looks(76, at(75)), Silence::LeaseOver(S * 75));
    let never = Tenure::proven_until(None);
    assert_eq!(looks(100, never), Silence::Unproven(S * 75));
}

#[test]
fn a_worker_that_has_not_shown_our_term_may_be_served_by_earlier_holders() {
    let mut lease = WorkerLease::new(S * 10);
    let looks = |lease: &WorkerLease, now, proven| lease.look(S * now, proven, &LIMITS, at(now));
    assert_eq!(looks(&lease, 51, false), Silence::Nothing);
    assert_eq!(looks(&lease, 52, false), Silence::LeaseOver(S * 51));
    lease.renew(S * 40);
    assert_eq!(looks(&lease, 56, false), Silence::Nothing);
    assert_eq!(looks(&lease, 57, false), Silence::LeaseOver(S * 56));
    assert_eq!(looks(&lease, 57, true), Silence::LeaseOver(S * 56));
    // A late word of an earlier renewal takes nothing back.
    lease.renew(S * 30);
    assert_eq!(lease.ends(true, &LIMITS), S * 56);
}
