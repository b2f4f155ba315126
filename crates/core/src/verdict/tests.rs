use super::*;

#[test]
fn a_read_that_began_before_the_request_proves_nothing() {
    let ms = Duration::from_millis;
    assert_eq!(FreshRead::of_read(ms(9), ms(10)), None);
    assert!(FreshRead::of_read(ms(10), ms(10)).is_some());
    assert_eq!(FreshRead::of_revision(6, 7), None);
    assert!(FreshRead::of_revision(7, 7).is_some());
}
