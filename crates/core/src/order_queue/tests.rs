use super::*;

#[test]
fn each_machine_is_due_at_its_time() {
    let ms = Duration::from_millis;
    let mut due = OrderQueue::default();
    due.insert("a".into());
    due.insert_at(ms(20), "b".into());
    due.insert_at(ms(10), "c".into());
    due.insert_at(ms(10), "a".into());
    assert_eq!(due.take_due(ms(5)), BTreeSet::from(["a".to_owned()]));
    assert!(due.take_due(ms(9)).is_empty());
    let expected = BTreeSet::from(["a".to_owned(), "c".to_owned()]);
    assert_eq!(due.take_due(ms(10)), expected);
    assert_eq!(due.take_due(ms(30)), BTreeSet::from(["b".to_owned()]));
    assert!(due.take_due(ms(90)).is_empty());
}
