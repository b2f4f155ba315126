use super::*;

const S: Duration = Duration::from_secs(1);
const LIMITS: LeaseLimits = LeaseLimits {
    renewed: Duration::from_secs(16),
    takeover: Duration::from_secs(41),
};

fn tenure_until(seconds: u32) -> Tenure {
    Tenure::proven_until(Some(S * seconds))
}

/// A holder that the state service refused from second 61 on counted a worker as dead at
/// second 76, although the next holder of its block got all its reports.
#[test]
fn silence_proves_nothing_beyond_our_tenure() {
    let mut lease = WorkerLease::new(S * 24);
    lease.renew(S * 59);
    let status = |now, tenure| lease.status(S * now, true, &LIMITS, tenure);
    assert_eq!(status(75, tenure_until(61)), LeaseStatus::Valid);
    assert_eq!(
        status(76, tenure_until(61)),
        LeaseStatus::Unconfirmed(S * 75)
    );
    assert_eq!(
        status(100, tenure_until(74)),
        LeaseStatus::Unconfirmed(S * 75)
    );
    assert_eq!(status(76, tenure_until(75)), LeaseStatus::Expired(S * 75));
    let never = Tenure::proven_until(None);
    assert_eq!(status(100, never), LeaseStatus::Unconfirmed(S * 75));
}

#[test]
fn a_worker_that_has_not_shown_our_term_may_be_served_by_earlier_holders() {
    let mut lease = WorkerLease::new(S * 10);
    let status = |lease: &WorkerLease, now, term_acknowledged| {
        lease.status(S * now, term_acknowledged, &LIMITS, tenure_until(now))
    };
    assert_eq!(status(&lease, 51, false), LeaseStatus::Valid);
    assert_eq!(status(&lease, 52, false), LeaseStatus::Expired(S * 51));
    lease.renew(S * 40);
    assert_eq!(status(&lease, 56, false), LeaseStatus::Valid);
    assert_eq!(status(&lease, 57, false), LeaseStatus::Expired(S * 56));
    assert_eq!(status(&lease, 57, true), LeaseStatus::Expired(S * 56));
    // Learning of an earlier renewal later does not shorten the lease.
    lease.renew(S * 30);
    assert_eq!(lease.expires_at(true, &LIMITS), S * 56);
}
