use super::*;
use crate::call::{CompleteBody, Method};

fn request(conn: u64, method: Method, path: &str) -> Request {
    Request {
        conn,
        socket: SocketId(conn),
        listener: Listener::Public,
        method,
        path: path.into(),
        body: CompleteBody::default(),
        receipt_time: Duration::ZERO,
    }
}

/// A slow reference model: one list that is searched for each class at each batch.
#[derive(Default)]
struct ReferenceModel(Vec<(u64, Duration, RequestClass, Method)>);

impl ReferenceModel {
    fn batch(&mut self, now: Duration) -> [Vec<u64>; 3] {
        let mut done = [vec![], vec![], vec![]];
        let limit = |class: RequestClass, method| match (class, method) {
            (RequestClass::Priority, _) => Duration::MAX,
            (RequestClass::Report, _) => Duration::from_secs(4),
            (_, Method::Get) => Duration::from_secs(2),
            _ => Duration::from_secs(5),
        };
        let late = |r: &(u64, Duration, RequestClass, Method)| now - r.1 >= limit(r.2, r.3);
        let of = |class| move |r: &&(u64, Duration, RequestClass, Method)| r.2 == class;
        done[0].extend(
            self.0
                .iter()
                .filter(of(RequestClass::Priority))
                .map(|r| r.0),
        );
        for user in self.0.iter().filter(of(RequestClass::User)) {
            if done[0].len() - self.0.iter().filter(of(RequestClass::Priority)).count()
                == MAX_PER_BATCH
            {
                break;
            }
            done[usize::from(late(user))].push(user.0);
        }
        type Of<'a> = Vec<&'a (u64, Duration, RequestClass, Method)>;
        let reports = self.0.iter().filter(of(RequestClass::Report));
        let (old, good): (Of, Of) = reports.partition(|r| late(r));
        done[2].extend(old.iter().map(|r| r.0));
        done[0].extend(good.iter().rev().take(MAX_PER_BATCH).map(|r| r.0));
        self.0.retain(|r| done.iter().all(|d| !d.contains(&r.0)));
        done
    }
}

#[test]
fn open_connections_go_before_new_ones() {
    let (mut queue, s) = (RequestQueue::default(), Duration::from_secs);
    for n in 0..20 {
        queue.push_connection(s(1), SocketId(n));
    }
    for n in 0..5 {
        queue.push(
            s(2),
            RequestClass::Report,
            request(n, Method::Post, "/checkin"),
        );
    }
    let ids = |ids: std::ops::Range<u64>| ids.rev().map(SocketId).collect::<Vec<_>>();
    let batch = queue.next_batch(s(2));
    assert_eq!((batch.requests.len(), batch.read_from), (5, ids(17..20)));
    queue.push_connection(s(3), SocketId(20));
    let batch = queue.next_batch(s(4));
    let mut newest = vec![SocketId(20)];
    newest.extend(ids(10..17));
    assert_eq!((batch.read_from, batch.expired_sockets), (newest, vec![]));
    let batch = queue.next_batch(s(5));
    assert_eq!((batch.read_from, batch.expired_sockets.len()), (vec![], 10));
    assert!(queue.is_empty());
}

#[test]
fn batches_match_the_reference_model() {
    let mut rng = fastrand::Rng::with_seed(14);
    let (mut late, mut many) = (0, 0);
    for _ in 0..50 {
        let (mut queue, mut model) = (RequestQueue::default(), ReferenceModel::default());
        let mut now = Duration::ZERO;
        let crowd = rng.usize(1..60);
        for _ in 0..60 {
            for _ in 0..rng.usize(0..=crowd) {
                let conn = rng.u64(..);
                let (path, method) = match rng.u32(0..10) {
                    0 => ("/healthz", Method::Get),
                    1 | 2 => ("/work", Method::Post),
                    3 => ("/work/j-000001", Method::Get),
                    _ => ("/checkin", Method::Post),
                };
                let request = request(conn, method, path);
                let class = RequestClass::of(&request);
                model.0.push((conn, now, class, method));
                queue.push(now, class, request);
                now += Duration::from_millis(rng.u64(0..30));
            }
            let batch = queue.next_batch(now);
            let ids = |r: &[Request]| r.iter().map(|r| r.conn).collect::<Vec<_>>();
            let got = [
                ids(&batch.requests),
                ids(&batch.expired_users),
                ids(&batch.expired_reports),
            ];
            assert_eq!(got, model.batch(now));
            assert_eq!(queue.is_empty(), model.0.is_empty());
            late += got[1].len().min(got[2].len());
            many += usize::from(got[0].len() > MAX_PER_BATCH);
        }
    }
    assert!(late > 10 && many > 100, "{late} {many}");
}
