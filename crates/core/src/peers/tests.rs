use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn non_members_get_one_status_message_a_second() {
    let mut absent_peers = NonMemberPeers::default();
    let mut count_due = |at, absent: &[&str]| {
        let absent: Vec<_> = absent.iter().map(|p| (*p).to_owned()).collect();
        absent_peers.due(ms(at), absent.into_iter()).len()
    };
    assert_eq!(count_due(1000, &["n-1", "n-2"]), 2);
    assert_eq!(count_due(1900, &["n-1", "n-2"]), 0);
    assert_eq!(count_due(1950, &["n-1"]), 0);
    assert_eq!(
        count_due(2000, &["n-1", "n-2"]),
        2,
        "n-2 was no longer absent in between"
    );
}
