use super::*;

#[test]
fn malformed_ids_are_refused() {
    assert_eq!("j-000412/3".parse::<TaskId>().unwrap().index, 3);
    for bad in ["", "j-", "j-1a", "x-1", "j-1 ", "j--1", "j-1/"] {
        assert_eq!(bad.parse::<JobId>(), Err(BadId), "{bad}");
    }
    for bad in ["j-1", "j-1/", "j-1/-1", "j-1/x", "j-1/2/3"] {
        assert_eq!(bad.parse::<TaskId>(), Err(BadId), "{bad}");
    }
}
