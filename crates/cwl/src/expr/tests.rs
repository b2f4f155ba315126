use serde_json::json;

use super::*;
use crate::yaml;

fn eval(text: &str) -> Result<Value, String> {
    let quoted = serde_json::to_string(text).expect("text");
    let cursor = Cursor::top(yaml::parse("f", &quoted).expect("text"));
    let template = Template::parse(&cursor, true).map_err(|f| f.message)?;
    let inputs = json!({"n": 3, "list": [1, {"a b": "x"}], "file": {"class": "File", "size": 7}});
    let inputs = inputs.as_object().cloned().unwrap_or_default();
    let scope = Scope {
        inputs: inputs.into_iter().map(|(n, v)| (n, Arc::new(v))).collect(),
        self_value: json!("me"),
        runtime: json!({"cores": 2}),
        library: Some(&[]),
    };
    template
        .eval(&scope, &Engine::default())
        .map_err(|f| f.message)
}

#[test]
fn templates_evaluate_to_their_values() {
    let cases = [
        ("plain", json!("plain")),
        ("$(inputs.n)", json!(3)),
        ("  $(inputs.n)\n", json!(3)),
        ("n=$(inputs.n)", json!("n=3")),
        ("$(inputs.list[1]['a b'])-$(self)", json!("x-me")),
        ("$(inputs.list.length)", json!(2)),
        ("$(inputs.list)!", json!("[1,{\"a b\":\"x\"}]!")),
        ("$(runtime.cores)", json!(2)),
        ("\\$(inputs.n) \\\\ $", json!("$(inputs.n) \\ $")),
        ("$(null)", json!(null)),
        ("$(inputs.n + 1)", json!(4)),
        ("$(\")\" + '}')", json!(")}")),
        ("$(inputs.n // three\n)", json!(3)),
        (
            "${ var s = 0; for (var i = 0; i < 4; i++) { s += i; } return s; }",
            json!(6),
        ),
        ("$(inputs['file'].size)", json!(7)),
    ];
    for (text, value) in cases {
        assert_eq!(eval(text), Ok(value), "{text}");
    }
    let cases = [
        ("$(inputs.m)", "there is no `inputs.m`"),
        ("$(inputs.list[2])", "there is no `inputs.list[2]`"),
        ("$(inputs.n.x)", "there is no `inputs.n.x`"),
        ("$(inputs.n", "not closed"),
        ("${ return (1; }", "not closed"),
        ("$(1 +)", "no JavaScript"),
        ("${ throw 'why' }", "why"),
    ];
    for (text, why) in cases {
        let error = eval(text).expect_err(text);
        assert!(error.contains(why), "{text}: {error}");
    }
}
