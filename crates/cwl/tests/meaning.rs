//! Command lines, staged files, outputs, scatter, links and type checks. Random
//! command lines and scatters are compared with simple reference models.

use std::{collections::BTreeMap, sync::Arc};

use oliveshift_cwl::{
    Engine,
    command::{self, Failure, OutputDir, OutputEntry, StagedSource},
    cursor::Cursor,
    document::{Process, ScatterMethod, Source, Tool},
    expr::Object,
    load::{self, Resolver},
    values::{self, Members},
    yaml,
};
use serde_json::{Value, json};

struct SingleDocument(String);

impl Resolver for SingleDocument {
    fn read(&self, path: &str) -> Result<String, String> {
        match path {
            "w.cwl" => Ok(self.0.clone()),
            _ => Err("no such file".into()),
        }
    }
}

fn process(text: &str) -> Process {
    let one = SingleDocument(format!("cwlVersion: v1.2\n{text}"));
    load::load(&one, "w.cwl").unwrap_or_else(|e| panic!("{e}\n{text}"))
}

fn tool(text: &str) -> Arc<Tool> {
    match process(&format!("class: CommandLineTool\n{text}")) {
        Process::Tool(tool) => tool,
        _ => panic!("a tool"),
    }
}

fn object(value: Value) -> Object {
    let map = value.as_object().cloned().unwrap_or_default();
    map.into_iter().map(|(n, v)| (n, Arc::new(v))).collect()
}

fn process_inputs(tool: &Tool, given: Value) -> Result<Object, String> {
    let inputs =
        values::process_inputs(&tool.common, &object(given), &|_| None, &tool.common.cursor);
    inputs.map_err(|f| f.message)
}

fn argv(text: &str, given: Value) -> Vec<String> {
    let tool = tool(text);
    let inputs = process_inputs(&tool, given).expect("inputs");
    let command_line = command::build_command_line(&tool, &inputs, &Engine::default());
    command_line.unwrap_or_else(|e| panic!("{e}\n{text}")).argv
}

#[test]
fn command_lines() {
    let file = json!({"class": "File", "location": "store://a/b.txt"});
    let cases: Vec<(&str, Value, &str)> = vec![
        (
            "inputs: {a: {type: int, inputBinding: {prefix: -n}}}",
            json!({"a": 3}),
            "x -n 3",
        ),
        (
            "inputs: {a: {type: int, inputBinding: {prefix: -n, separate: false}}}",
            json!({"a": 3}),
            "x -n3",
        ),
        (
            "inputs: {a: {type: 'int?', inputBinding: {prefix: -n}}}",
            json!({}),
            "x",
        ),
        (
            "inputs: {a: {type: boolean, inputBinding: {prefix: -v}}}",
            json!({"a": true}),
            "x -v",
        ),
        (
            "inputs: {a: {type: boolean, inputBinding: {prefix: -v}}}",
            json!({"a": false}),
            "x",
        ),
        (
            "inputs: {a: {type: File, inputBinding: {}}}",
            json!({"a": file}),
            "x in/0/b.txt",
        ),
        (
            "inputs: {a: {type: 'string[]', inputBinding: {prefix: -a}}}",
            json!({"a": ["p", "q"]}),
            "x -a p q",
        ),
        (
            "inputs: {a: {type: 'string[]?', inputBinding: {prefix: -a}}}",
            json!({"a": ["p", "q"]}),
            "x -a p q",
        ),
        (
            "inputs: {a: {type: 'string[]', inputBinding: {prefix: -a}}}",
            json!({"a": []}),
            "x",
        ),
        (
            "inputs: {a: {type: 'string[]', inputBinding: {prefix: -a, itemSeparator: ','}}}",
            json!({"a": ["p", "q"]}),
            "x -a p,q",
        ),
        (
            "inputs: {a: {type: {type: array, items: string, inputBinding: {prefix: -b}}}}",
            json!({"a": ["p", "q"]}),
            "x -b p -b q",
        ),
        (
            "inputs: {a: {type: {type: array, items: string, inputBinding: {prefix: -b=, separate: false}}, inputBinding: {prefix: -a}}}",
            json!({"a": ["p", "q"]}),
            "x -a -b=p -b=q",
        ),
        (
            "inputs: {r: {type: {type: record, fields: {p: {type: int, inputBinding: {position: 2, prefix: -p}}, q: {type: 'string?', inputBinding: {position: 1, prefix: -q}}}}}}",
            json!({"r": {"p": 1, "q": "z"}}),
            "x -q z -p 1",
        ),
        (
            "inputs: {b: {type: int, inputBinding: {position: 1}}, a: {type: int, inputBinding: {position: 1}}, c: {type: int, inputBinding: {}}}",
            json!({"a": 1, "b": 2, "c": 3}),
            "x 3 1 2",
        ),
        (
            "arguments: [-z, {valueFrom: $(runtime.cores), prefix: -j, position: 9}]\ninputs: {a: {type: int, inputBinding: {}}, b: {type: int, inputBinding: {position: -1}}}",
            json!({"a": 1, "b": 2}),
            "x 2 -z 1 -j 1",
        ),
        (
            "inputs: {a: {type: string, inputBinding: {valueFrom: '$(self)$(self)'}}}",
            json!({"a": "ha"}),
            "x haha",
        ),
        ("inputs: {a: {type: int}}", json!({"a": 1}), "x"),
        (
            "inputs: {a: {type: double, inputBinding: {}}}",
            json!({"a": 1e10}),
            "x 10000000000",
        ),
        (
            "inputs: {a: {type: int, default: 4, inputBinding: {}}}",
            json!({}),
            "x 4",
        ),
        (
            "requirements: {ShellCommandRequirement: {}}\narguments: [{shellQuote: false, valueFrom: '| sort'}]\ninputs: {a: {type: string, inputBinding: {position: -1}}}",
            json!({"a": "it's"}),
            "/bin/sh -c 'x' 'it'\\''s' | sort",
        ),
        (
            "requirements: {InlineJavascriptRequirement: {}}\ninputs: {a: {type: 'int[]', inputBinding: {position: $(self.length * 2)}}, b: {type: int, inputBinding: {position: 3}}}",
            json!({"a": [1, 2], "b": 5}),
            "x 5 1 2",
        ),
    ];
    for (text, given, line) in cases {
        let text = format!("baseCommand: x\noutputs: []\n{text}");
        assert_eq!(argv(&text, given).join(" "), line, "{text}");
    }
}

/// A random input: its declaration, value and position, and the words that it adds
/// by the CWL standard, written out for each kind of input.
struct DrawnInput {
    name: String,
    text: String,
    value: Value,
    position: i64,
    words: Vec<String>,
}

fn draw(rng: &mut fastrand::Rng, name: &str) -> DrawnInput {
    let position = rng.i64(-2..3);
    let prefix = rng.bool().then(|| format!("-{name}"));
    let separate = rng.bool();
    let one = |word: String| match (&prefix, separate) {
        (None, _) => vec![word],
        (Some(p), true) => vec![p.clone(), word],
        (Some(p), false) => vec![format!("{p}{word}")],
    };
    let list: Vec<i64> = (0..rng.usize(0..4)).map(|_| rng.i64(0..99)).collect();
    let strings: Vec<String> = list.iter().map(i64::to_string).collect();
    let number = rng.i64(-99..99);
    let (kind, more, value, words) = match rng.u32(0..6) {
        0 => ("int", "", json!(number), one(number.to_string())),
        1 => ("'int?'", "", json!(null), vec![]),
        2 => {
            let on = rng.bool();
            let words = prefix.iter().filter(|_| on).cloned().collect();
            ("boolean", "", json!(on), words)
        }
        3 => {
            let prefix = prefix.iter().filter(|_| !list.is_empty()).cloned();
            ("'int[]'", "", json!(list), prefix.chain(strings).collect())
        }
        4 => {
            let words = match list.is_empty() {
                true => vec![],
                false => one(strings.join(":")),
            };
            ("'int[]'", ", itemSeparator: ':'", json!(list), words)
        }
        _ => {
            let texts: Vec<String> = strings.iter().map(|s| format!("s{s}")).collect();
            let words = texts.iter().flat_map(|s| ["-i".to_owned(), s.clone()]);
            let prefix = prefix.iter().filter(|_| !list.is_empty()).cloned();
            let kind = "{type: array, items: string, inputBinding: {prefix: -i}}";
            (kind, "", json!(texts), prefix.chain(words).collect())
        }
    };
    let before = prefix.as_ref().map(|p| format!(", prefix: {p}"));
    let text = format!(
        "  {name}: {{type: {kind}, inputBinding: {{position: {position}, separate: {separate}{}{more}}}}}\n",
        before.unwrap_or_default()
    );
    DrawnInput {
        name: name.to_owned(),
        text,
        value,
        position,
        words,
    }
}

#[test]
fn random_command_lines_match_the_model() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut words = 0;
    for _ in 0..400 {
        let mut names: Vec<String> = ('a'..='h').map(String::from).collect();
        rng.shuffle(&mut names);
        names.truncate(rng.usize(1..7));
        let mut drawn: Vec<_> = names.iter().map(|n| draw(&mut rng, n)).collect();
        let text: String = drawn.iter().map(|d| d.text.as_str()).collect();
        let given = drawn.iter().map(|d| (d.name.clone(), d.value.clone()));
        let given = Value::Object(given.collect());
        let arguments: Vec<(i64, String)> = (0..rng.usize(0..3))
            .map(|i| (rng.i64(-2..3), format!("arg{i}")))
            .collect();
        let listed: Vec<_> = arguments
            .iter()
            .map(|(p, w)| format!("{{position: {p}, valueFrom: {w}}}"))
            .collect();
        let text = format!(
            "baseCommand: x\narguments: [{}]\ninputs:\n{text}outputs: []\n",
            listed.join(", ")
        );
        // For each position: arguments in their order, then inputs by name.
        drawn.sort_by(|a, b| a.name.cmp(&b.name));
        let mut expected = vec!["x".to_owned()];
        for position in -2..3 {
            let arguments = arguments.iter().filter(|a| a.0 == position);
            expected.extend(arguments.map(|a| a.1.clone()));
            let inputs = drawn.iter().filter(|d| d.position == position);
            expected.extend(inputs.flat_map(|d| d.words.clone()));
        }
        words += expected.len();
        assert_eq!(argv(&text, given), expected, "{text}");
    }
    assert!(words > 2000, "{words}");
}

#[test]
fn inputs_and_requirements_become_a_command_line() {
    let text = "baseCommand: x
outputs: []
requirements:
  InlineJavascriptRequirement: {}
  EnvVarRequirement: {envDef: {LEVEL: $(inputs.n + 1)}}
  ResourceRequirement: {coresMin: $(inputs.n), ramMax: 512}
  ToolTimeLimit: {timelimit: $(inputs.n * 10)}
  InitialWorkDirRequirement:
    listing:
      - {entryname: run.ini, entry: 'n=$(inputs.n)', writable: true}
      - $(inputs.f)
inputs: {n: int, f: {type: File, secondaryFiles: [.idx, {pattern: ^.md5, required: false}]}}
stdin: $(inputs.f.path)
";
    let tool = tool(text);
    let mut file = json!({"class": "File", "location": "store://d/a.dat"});
    let missing = process_inputs(&tool, json!({"n": 3, "f": file})).expect_err("no index");
    assert_eq!(missing, "f: the secondary file `a.dat.idx` is missing");
    file["secondaryFiles"] = json!([{"class": "File", "location": "store://d/a.dat.idx"}]);
    let inputs = process_inputs(&tool, json!({"n": 3, "f": file})).expect("good");
    let command_line =
        command::build_command_line(&tool, &inputs, &Engine::default()).expect("a command");
    let staged: BTreeMap<_, _> = command_line
        .staged
        .iter()
        .map(|s| (s.path.as_str(), s))
        .collect();
    let staged_source = |path: &str| &staged[path].source;
    assert_eq!(
        staged_source("in/0/a.dat"),
        &StagedSource::Location("store://d/a.dat".into())
    );
    assert_eq!(
        staged_source("in/0/a.dat.idx"),
        &StagedSource::Location("store://d/a.dat.idx".into())
    );
    assert_eq!(staged_source("run.ini"), &StagedSource::Text("n=3".into()));
    assert_eq!(
        staged_source("a.dat"),
        &StagedSource::Location("store://d/a.dat".into())
    );
    assert!(staged["run.ini"].writable && !staged["a.dat"].writable);
    assert_eq!(command_line.stdin.as_deref(), Some("in/0/a.dat"));
    assert_eq!(
        command_line.environment,
        [("LEVEL".to_owned(), "4".to_owned())]
    );
    assert_eq!(
        (
            command_line.cores,
            command_line.ram_mib,
            command_line.time_limit_s
        ),
        (3.0, 512.0, Some(30.0))
    );
    for bad in ["../x", "/etc/x", "a/../../x", ""] {
        let text = format!(
            "baseCommand: x\ninputs: []\noutputs: []\nrequirements: {{InitialWorkDirRequirement: {{listing: [{{entryname: '{bad}', entry: y}}]}}}}\n"
        );
        let tool = self::tool(&text);
        let command_line =
            command::build_command_line(&tool, &Object::default(), &Engine::default());
        let fault = command_line.expect_err(bad).to_string();
        assert!(
            fault.contains("a relative file name is expected"),
            "{fault}"
        );
    }
}

/// Guards against entries (`Dirent`) from expressions that are not checked: a text was staged
/// outside the working directory, and fields of the wrong type were ignored.
#[test]
fn entries_from_expressions_are_checked_like_literal_ones() {
    let cases = [
        (r#"{entryname: "../x", entry: "y"}"#, "a relative file name"),
        (r#"{entryname: "/etc/x", entry: 5}"#, "a relative file name"),
        (r#"{entryname: "", entry: "y"}"#, "a relative file name"),
        (
            r#"{entryname: 5, entry: "y"}"#,
            "`entryname` has to be a string",
        ),
        (
            r#"{entryname: "x", entry: "y", writable: "no"}"#,
            "`writable` has to be a boolean",
        ),
    ];
    let command_line = |entry: &str| {
        let text = format!(
            "baseCommand: x\ninputs: []\noutputs: []\nrequirements:\n  InlineJavascriptRequirement: {{}}\n  InitialWorkDirRequirement: {{listing: '${{return [{entry}];}}'}}\n"
        );
        command::build_command_line(&tool(&text), &Object::default(), &Engine::default())
    };
    for (entry, expected) in cases {
        let fault = command_line(entry).expect_err(entry).to_string();
        assert!(fault.contains(expected), "{entry}: {fault}");
    }
    let valid = command_line(r#"{entryname: "a/x", entry: "y", writable: null}"#);
    let staged = valid.expect("a command").staged;
    assert_eq!(
        (staged[0].path.as_str(), staged[0].writable),
        ("a/x", false)
    );
}

/// An output directory in memory.
struct MemoryDir(BTreeMap<&'static str, &'static str>);

impl OutputDir for MemoryDir {
    fn list(&self) -> Vec<OutputEntry> {
        let files = self.0.iter();
        let left = files.map(|(path, text)| OutputEntry {
            path: (*path).to_owned(),
            is_dir: false,
            size: text.len() as u64,
            location: format!("store://run/{path}"),
        });
        left.collect()
    }

    fn read_text(&self, path: &str) -> Result<String, String> {
        self.0
            .get(path)
            .map(|t| (*t).to_owned())
            .ok_or("missing".into())
    }
}

#[test]
fn outputs_are_collected() {
    let text = "baseCommand: x
requirements: {InlineJavascriptRequirement: {}}
inputs: []
successCodes: [0, 3]
temporaryFailCodes: [75]
outputs:
  one: {type: File, outputBinding: {glob: '*.txt'}, secondaryFiles: [.idx]}
  many: {type: 'File[]', outputBinding: {glob: ['d/*.c', '*.b']}}
  none: {type: 'File?', outputBinding: {glob: '*.no'}}
  count: {type: int, outputBinding: {glob: n, loadContents: true, outputEval: '$(parseInt(self[0].contents) + runtime.exitCode)'}}
  said: stdout
";
    let tool = tool(text);
    let collect = |dir: &MemoryDir, code| {
        command::collect_outputs(&tool, &Object::default(), code, dir, &Engine::default())
    };
    let mut dir = MemoryDir(
        [
            ("a.txt", "hi"),
            ("a.txt.idx", ""),
            ("d/x.c", ""),
            ("d/e/y.c", ""),
            ("z.b", ""),
            ("n", "41\n"),
            ("cwl.stdout", ""),
        ]
        .into(),
    );
    let got = collect(&dir, 3).expect("outputs");
    assert_eq!(got["one"]["location"], "store://run/a.txt");
    assert_eq!(got["one"]["size"], 2);
    assert_eq!(got["one"]["secondaryFiles"][0]["basename"], "a.txt.idx");
    let names: Vec<_> = got["many"]
        .as_array()
        .expect("files")
        .iter()
        .map(|f| &f["basename"])
        .collect();
    assert_eq!(names, ["x.c", "z.b"]);
    assert_eq!((&*got["none"], &*got["count"]), (&Value::Null, &json!(44)));
    assert_eq!(got["said"]["basename"], "cwl.stdout");

    assert_eq!(collect(&dir, 75), Err(Failure::Temporary(75)));
    assert_eq!(collect(&dir, 1), Err(Failure::Permanent(1)));
    let fails = |dir: &MemoryDir, why: &str| {
        let error = collect(dir, 0).expect_err(why).to_string();
        assert!(error.contains(why), "{error}");
    };
    dir.0.insert("b.txt", "");
    fails(&dir, "2 files match *.txt, one is expected");
    dir.0.remove("a.txt");
    fails(
        &dir,
        "the secondary file `b.txt.idx` is not in the output directory",
    );
    dir.0.remove("b.txt");
    fails(&dir, "no file matches *.txt");
    dir.0.insert("cwl.output.json", r#"{"one": {"class": "File", "path": "z.b"}, "many": [], "count": 1, "said": {"class": "File", "path": "n"}}"#);
    let got = collect(&dir, 0).expect("outputs");
    assert_eq!(got["one"]["location"], "store://run/z.b");
    dir.0.insert(
        "cwl.output.json",
        r#"{"one": {"class": "File", "path": "../secret"}}"#,
    );
    fails(&dir, "`../secret` is not in the output directory");
    dir.0.insert("cwl.output.json", r#"{"count": "many"}"#);
    fails(&dir, "File is expected, not nothing");
}

fn flow(step: &str) -> Arc<oliveshift_cwl::document::Workflow> {
    let text = format!(
        "class: Workflow
requirements: {{InlineJavascriptRequirement: {{}}, ScatterFeatureRequirement: {{}}, MultipleInputFeatureRequirement: {{}}, StepInputExpressionRequirement: {{}}}}
inputs: {{a: 'int[]', b: 'int[]', c: 'int[]', n: 'int?'}}
outputs: []
steps:
  s:
    run:
      class: ExpressionTool
      inputs: {{a: Any?, b: Any?, c: Any?}}
      outputs: {{o: Any}}
      expression: '${{ return {{o: inputs}}; }}'
    out: [o]
{step}"
    );
    match process(&text) {
        Process::Workflow(flow) => flow,
        _ => panic!("a workflow"),
    }
}

fn run(step: &str, given: &Value) -> Result<Members, String> {
    let flow = flow(step);
    let source_value = |source: &Source| match source {
        Source::Input(name) => Some(Arc::new(given[name].clone())),
        Source::Step(..) => None,
    };
    let members = values::members(&flow.steps[0], &source_value, &|_| None, &Engine::default());
    members
        .map(|m| m.expect("all is known"))
        .map_err(|f| f.message)
}

/// Compares each scatter method with nested loops.
#[test]
fn random_scatters_match_nested_loops() {
    let mut rng = fastrand::Rng::with_seed(23);
    for _ in 0..60 {
        let mut list = |n: usize| -> Vec<i64> { (0..n).map(|_| rng.i64(0..9)).collect() };
        let (a, b, c) = (list(3), list(2), list(4));
        let (a, b, c) = (
            a[..rng.usize(0..=3)].to_vec(),
            b,
            c[..rng.usize(1..=4)].to_vec(),
        );
        let given = json!({"a": a, "b": b, "c": c, "n": null});
        let step = |method: &str| {
            format!(
                "    in: {{a: a, b: b, c: c}}\n    scatter: [a, b, c]\n    scatterMethod: {method}\n"
            )
        };
        let mut flat = Vec::new();
        let mut nested = Vec::new();
        for x in &a {
            let mut rows = Vec::new();
            for y in &b {
                let mut row = Vec::new();
                for z in &c {
                    let one = json!({"a": x, "b": y, "c": z});
                    flat.push(one.clone());
                    row.push(one);
                }
                rows.push(Value::from(row));
            }
            nested.push(Value::from(rows));
        }
        for (method, kind, expected) in [
            (
                "nested_crossproduct",
                ScatterMethod::NestedCrossProduct,
                Value::from(nested),
            ),
            (
                "flat_crossproduct",
                ScatterMethod::FlatCrossProduct,
                Value::from(flat),
            ),
        ] {
            let got = run(&step(method), &given).expect("good");
            let each = got.members.iter().map(|m| {
                let object = m.inputs.iter();
                object.map(|(n, v)| (n.clone(), (**v).clone())).collect()
            });
            let gathered = values::gather_outputs(&got.shape, kind, each.collect());
            assert_eq!(gathered, expected, "{method} {given}");
        }
        let dot = run(&step("dotproduct"), &given);
        match a.len() == b.len() && b.len() == c.len() {
            true => assert_eq!(dot.expect("good").members.len(), a.len()),
            false => assert!(dot.expect_err("lengths").contains("different lengths")),
        }
    }
}

#[test]
fn links_and_expressions_of_steps() {
    let given = json!({"a": [1, 2, 3], "b": [10, 20, 30], "c": [], "n": null});
    let first = |step: &str| {
        let got = run(step, &given)?;
        Ok::<_, String>(
            got.members[0]
                .inputs
                .get("a")
                .map(|v| (**v).clone())
                .unwrap_or_default(),
        )
    };
    let cases = [
        (
            "    in: {a: {source: [a, b]}}\n",
            json!([[1, 2, 3], [10, 20, 30]]),
        ),
        (
            "    in: {a: {source: [a, b], linkMerge: merge_flattened}}\n",
            json!([1, 2, 3, 10, 20, 30]),
        ),
        (
            "    in: {a: {source: [a], linkMerge: merge_nested}}\n",
            json!([[1, 2, 3]]),
        ),
        (
            "    in: {a: {source: [n, a], pickValue: first_non_null}}\n",
            json!([1, 2, 3]),
        ),
        (
            "    in: {a: {source: [n, a, n], pickValue: the_only_non_null}}\n",
            json!([1, 2, 3]),
        ),
        (
            "    in: {a: {source: [n, a, n], pickValue: all_non_null}}\n",
            json!([[1, 2, 3]]),
        ),
        ("    in: {a: {source: n, default: 7}}\n", json!(7)),
        ("    in: {a: {default: 7}}\n", json!(7)),
        (
            "    in: {a: {source: a, valueFrom: $(self.length)}}\n",
            json!(3),
        ),
        (
            "    in: {a: {source: a, valueFrom: '$(inputs.b.length + self[0])'}, b: {source: b, valueFrom: zzz}}\n",
            json!(4),
        ),
        (
            "    in: {a: {source: a, valueFrom: $(self * 2)}}\n    scatter: a\n",
            json!(2),
        ),
    ];
    for (step, value) in cases {
        assert_eq!(first(step), Ok(value), "{step}");
    }
    let cases = [
        (
            "    in: {a: {source: [n], pickValue: first_non_null}}\n",
            "all values are null",
        ),
        (
            "    in: {a: {source: [a, b], pickValue: the_only_non_null}}\n",
            "more than one value is not null",
        ),
        (
            "    in: {a: a}\n    when: $(inputs.a)\n",
            "true or false is expected",
        ),
        (
            "    in: {a: {source: a, valueFrom: $(nothing)}}\n",
            "nothing is not defined",
        ),
    ];
    for (step, why) in cases {
        let error = first(step).expect_err(why);
        assert!(error.contains(why), "{error}");
    }
    let got = run(
        "    in: {a: a}\n    scatter: a\n    when: $(inputs.a != 2)\n",
        &given,
    )
    .expect("good");
    let runs: Vec<_> = got.members.iter().map(|m| m.should_run).collect();
    assert_eq!((got.shape, runs), (vec![3], vec![true, false, true]));
}

#[test]
fn evaluations_are_bounded() {
    let list: Vec<usize> = (0..4000).collect();
    let given = json!({"a": list, "b": [], "c": [], "n": null});
    // With `valueFrom`, `when` and the expression tool itself, each of the 4000 members
    // takes three evaluations.
    let step = "    in: {a: {source: a, valueFrom: $(self + 1)}}\n    scatter: a\n    when: $(inputs.a < 0)\n";
    let error = run(step, &given).expect_err("too many");
    assert_eq!(error, "scatter: more than 10000 evaluations of JavaScript");
    let plain = "    in: {a: a}\n    scatter: a\n";
    assert_eq!(run(plain, &given).expect("one each").members.len(), 4000);
}

#[test]
fn expression_tools() {
    let text = "class: ExpressionTool
requirements: {InlineJavascriptRequirement: {expressionLib: ['function twice(x) { return 2 * x; }']}}
inputs: {n: int}
outputs: {m: int}
expression: '${ return {m: twice(inputs.n)}; }'
";
    let Process::Expression(tool) = process(text) else {
        panic!("an expression");
    };
    let run = |given| {
        let inputs = object(given);
        values::run_expression(&tool.common, &tool.expression, &inputs, &Engine::default())
    };
    assert_eq!(
        run(json!({"n": 4})).map(|o| (*o["m"]).clone()).ok(),
        Some(json!(8))
    );
    let fault = run(json!({"n": 1.25})).expect_err("no int").to_string();
    assert!(
        fault.contains("outputs.m: int is expected, not 2.5"),
        "{fault}"
    );
}

#[test]
fn values_are_checked_against_types() {
    let cursor = |text: &str| Cursor::top(yaml::parse("t", text).expect("a type"));
    let cases = [
        ("int", json!(1), ""),
        ("int", json!(3_000_000_000_i64), "int is expected"),
        ("long", json!(3_000_000_000_i64), ""),
        ("int", json!(1.5), "int is expected, not 1.5"),
        ("double", json!(1), ""),
        ("string?", json!(null), ""),
        ("string?", json!(1), "string is expected"),
        (
            "string[]",
            json!(["a", 1]),
            "[1]: string is expected, not 1",
        ),
        ("Any", json!(null), "Any is expected"),
        (
            "File",
            json!({"class": "Directory"}),
            "File is expected, not a Directory",
        ),
        ("[int, string]", json!("x"), ""),
        (
            "[int, string]",
            json!([]),
            "int or string is expected, not an array of 0",
        ),
        (
            "{type: enum, symbols: [a, b]}",
            json!("c"),
            "one of a, b is expected",
        ),
        (
            "{type: record, fields: {x: int, y: 'int?'}}",
            json!({"x": 1}),
            "",
        ),
        (
            "{type: record, fields: {x: int}}",
            json!({"x": "1"}),
            "x: int is expected",
        ),
        (
            "{type: record, fields: {x: int}}",
            json!({"x": 1, "z": 1}),
            "z: not a field",
        ),
    ];
    for (text, value, why) in cases {
        let kind = oliveshift_cwl::types::Type::parse(&cursor(text), &Default::default());
        let checked = kind.expect("a type").check(&value);
        match why {
            "" => assert_eq!(checked, Ok(()), "{text} {value}"),
            why => assert!(checked.expect_err(why).contains(why), "{text} {value}"),
        }
    }
}
