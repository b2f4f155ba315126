use super::*;

#[test]
fn a_start_in_an_answer_may_be_overtaken_by_direct_orders() {
    let bound = |sent, seen, stops: bool| Bound {
        machine: "vm-1".into(),
        attempt: 1,
        session: 1,
        sent,
        seen,
        running: false,
        stop: stops.then_some(Stop {
            grace: Duration::ZERO,
            sent: false,
        }),
    };
    let cases = [
        // Sent with the answer to report 7, and has to stop.
        (
            bound(Some(7), false, true),
            8,
            Origin::Orders,
            Unlisted::Unknown,
        ),
        (
            bound(Some(7), false, true),
            8,
            Origin::Report,
            Unlisted::Gone,
        ),
        (
            bound(Some(7), false, true),
            7,
            Origin::Report,
            Unlisted::Unknown,
        ),
        (
            bound(Some(7), false, false),
            8,
            Origin::Orders,
            Unlisted::Unknown,
        ),
        (
            bound(Some(7), false, false),
            8,
            Origin::Report,
            Unlisted::Again,
        ),
        // Listed once, so the answer did arrive.
        (
            bound(Some(7), true, false),
            9,
            Origin::Orders,
            Unlisted::Gone,
        ),
        // Sent directly: its own answer lists it.
        (
            bound(Some(0), false, true),
            8,
            Origin::Orders,
            Unlisted::Gone,
        ),
        (
            bound(None, false, true),
            8,
            Origin::Report,
            Unlisted::Unknown,
        ),
    ];
    for (bound, seq, origin, expected) in cases {
        assert_eq!(
            bound.unlisted(seq, origin),
            expected,
            "{bound:?} {origin:?}"
        );
    }
}
