use super::*;

fn js(body: &str) -> Result<Value, String> {
    Engine::default().evaluate(&[], body, &Scope::default())
}

#[test]
fn expressions_are_bounded() {
    assert_eq!(
        js("return [1, 'a', null, {b: 2.5}];"),
        Ok(serde_json::json!([1, "a", null, {"b": 2.5}]))
    );
    assert_eq!(js("return undefined;"), Ok(Value::Null));
    let cases = [
        ("for (;;) {}", "exceeds the limit of work or time"),
        ("function f() { return f() + 1; } return f();", "call stack"),
        (
            "var a = []; for (;;) a.push(new Array(1000).join('x') + a.length);",
            "memory",
        ),
        ("throw new Error('no label');", "no label"),
        ("return function() {};", "returns a function"),
        ("var a = {}; a.a = a; return a;", "circular"),
        ("x = 1;", "x is not defined"),
        ("return (;", "unexpected token"),
        (
            "return /(a+)+$/.test(new Array(60).join('a') + 'b');",
            "exceeds the limit of work or time",
        ),
        ("return new Array(5 << 20).join('x');", "larger than"),
    ];
    for (body, why) in cases {
        let error = js(body).expect_err(body);
        assert!(error.contains(why), "{body}: {error}");
    }
}

#[test]
fn evaluations_share_no_state() {
    let engine = Engine::default();
    let library = ["var n = 0; function next() { n += 1; return n; }".to_owned()];
    for _ in 0..3 {
        let scope = Scope::default();
        assert_eq!(
            engine.evaluate(&library, "return next();", &scope),
            Ok(1.into())
        );
    }
    let poison = "Object.prototype.x = 1; return 1;";
    assert_eq!(js(poison), Ok(1.into()));
    assert_eq!(js("return ({}).x;"), Ok(Value::Null));
}

#[test]
fn syntax_is_checked_without_running_the_code() {
    assert_eq!(Engine::default().check_syntax("throw 1;"), Ok(()));
    assert!(Engine::default().check_syntax("return 1 +;").is_err());
}
