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
    let looks = |now, tenure| lease.status(S * now, true, &LIMITS, tenure);
    assert_eq!(looks(75, at(61)), LeaseStatus::Valid);
    assert_eq!(looks(76, at(61)), LeaseStatus::Unconfirmed(S * 75));
    assert_eq!(looks(100, at(74)), LeaseStatus::Unconfirmed(S * 75));
    assert_eq!(looks(76, at(75)), LeaseStatus::Expired(S * 75));
    let never = Tenure::proven_until(None);
    assert_eq!(looks(100, never), LeaseStatus::Unconfirmed(S * 75));
}

#[test]
fn a_worker_that_has_not_shown_our_term_may_be_served_by_earlier_holders() {
    let mut lease = WorkerLease::new(S * 10);
    let looks = |lease: &WorkerLease, now, proven| lease.status(S * now, proven, &LIMITS, at(now));
    assert_eq!(looks(&lease, 51, false), LeaseStatus::Valid);
    assert_eq!(looks(&lease, 52, false), LeaseStatus::Expired(S * 51));
    lease.renew(S * 40);
    assert_eq!(looks(&lease, 56, false), LeaseStatus::Valid);
    assert_eq!(looks(&lease, 57, false), LeaseStatus::Expired(S * 56));
    assert_eq!(looks(&lease, 57, true), LeaseStatus::Expired(S * 56));
    // A late word of an earlier renewal takes nothing back.
    lease.renew(S * 30);
    assert_eq!(lease.expires_at(true, &LIMITS), S * 56);
}
