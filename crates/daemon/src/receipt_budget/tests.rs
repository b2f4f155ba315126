use super::*;

const BODY_BYTES: usize = 64 * 1024;

#[test]
fn the_oldest_bodies_of_the_same_kind_of_client_are_given_up() {
    let budget = ReceiptBudget::default();
    let most = CLIENT_BUDGET_BYTES / BODY_BYTES;
    let begin = |client, id| budget.begin(client, SocketId(id), BODY_BYTES);
    let mut arriving = Vec::new();
    for id in 0..most as u64 {
        let (body, given_up) = begin(ClientKind::UserWrite, id);
        assert_eq!(given_up, []);
        arriving.push(body);
    }
    // One that has arrived makes room.
    drop(arriving.remove(1));
    let (_next, given_up) = begin(ClientKind::UserWrite, 1000);
    assert_eq!(given_up, []);
    let (_worker, given_up) = begin(ClientKind::Worker, 1001);
    assert_eq!(given_up, []);
    let (_over, given_up) = begin(ClientKind::Poll, 1002);
    assert_eq!(given_up, [SocketId(0)]);
    let (_over, given_up) = begin(ClientKind::UserWrite, 1003);
    assert_eq!(given_up, [SocketId(2)]);
}
