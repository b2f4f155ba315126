use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn peers_that_are_no_members_are_told_once_a_second() {
    let mut absent_peers = NonMemberPeers::default();
    let mut told = |at, absent: &[&str]| {
        let absent: Vec<_> = absent.iter().map(|p| (*p).to_owned()).collect();
        absent_peers.due(ms(at), absent.into_iter()).len()
    };
    assert_eq!(told(1000, &["n-1", "n-2"]), 2);
    assert_eq!(told(1900, &["n-1", "n-2"]), 0);
    assert_eq!(told(1950, &["n-1"]), 0);
    assert_eq!(told(2000, &["n-1", "n-2"]), 2, "one is gone again");
}
