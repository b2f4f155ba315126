//! Loading of documents: valid ones, and the faults of invalid ones with their locations.

use std::collections::BTreeMap;

use oliveshift_cwl::{
    document::Process,
    load::{self, Resolver},
};

/// A resolver with files in memory, by path.
struct Files(BTreeMap<&'static str, String>);

impl Resolver for Files {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or("no such file".to_owned())
    }
}

fn single_file(text: &str) -> Files {
    Files([("w.cwl", text.to_owned())].into())
}

/// A resolver for the examples in `deploy/examples/cwl`.
struct Examples;

impl Resolver for Examples {
    fn read(&self, path: &str) -> Result<String, String> {
        let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples/cwl/");
        std::fs::read_to_string(format!("{dir}{path}")).map_err(|e| e.to_string())
    }
}

#[test]
fn examples_load() {
    for (name, steps) in [("sheet-to-portal.cwl", 4), ("waveform-to-catalog.cwl", 4)] {
        let process = load::load(&Examples, name).unwrap_or_else(|e| panic!("{e}"));
        let Process::Workflow(workflow) = process else {
            panic!("{name} is not a workflow");
        };
        assert_eq!(workflow.steps.len(), steps);
    }
    let tool = load::load(&Examples, "sheet-to-portal.cwl#color-check").expect("a tool");
    assert!(matches!(tool, Process::Tool(_)));
}

const TOOL: &str = "cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
inputs: {a: string}
outputs: []
";

const FLOW: &str = "cwlVersion: v1.2
class: Workflow
requirements: {ScatterFeatureRequirement: {}}
inputs: {a: string, many: 'string[]', n: int}
outputs: []
steps:
  one:
    run: t.cwl
    in: {a: a}
    out: []
";

#[test]
fn faults_name_their_location() {
    let cases: [(String, &str); 30] = [
        (
            TOOL.replace("v1.2", "v1.0"),
            "w.cwl:1: cwlVersion: only v1.2 is supported, not v1.0",
        ),
        (
            TOOL.replace("cwlVersion: v1.2\n", ""),
            "w.cwl:1: `cwlVersion` is missing",
        ),
        (
            TOOL.replace("CommandLineTool", "Operation"),
            "w.cwl:2: class: an Operation has no implementation",
        ),
        (
            TOOL.replace("CommandLineTool", "Robot"),
            "w.cwl:2: class: the class `Robot`",
        ),
        (
            TOOL.replace("a: string", "a: strin"),
            "w.cwl:4: inputs.a.type: the type `strin`",
        ),
        (
            TOOL.replace("a: string", "a: {type: int, default: x}"),
            "inputs.a: default: int is expected, not \"x\"",
        ),
        (
            TOOL.replace("a: string", "a: stdout"),
            "inputs.a.type: only outputs",
        ),
        (
            TOOL.replace("a: string", "a: {type: string, inputBindin: {}}"),
            "w.cwl:4: inputs.a.inputBindin: this field is unknown",
        ),
        (TOOL.replace("baseCommand: echo\n", ""), "nothing to run"),
        (
            TOOL.replace("baseCommand", "baseComand"),
            "w.cwl:3: baseComand: this field",
        ),
        (
            TOOL.to_owned() + "stdin: $(inputs.a + 1)\n",
            "w.cwl:6: stdin: an expression needs InlineJavascriptRequirement",
        ),
        (
            TOOL.to_owned() + "stdout: $(inputs.a\n",
            "w.cwl:6: stdout: `$(` is not closed",
        ),
        (
            TOOL.to_owned() + "requirements: {InlineJavascriptRequirement: {}}\nstdin: $(1 +)\n",
            "w.cwl:7: stdin: no JavaScript",
        ),
        (
            TOOL.to_owned() + "requirements: {FlyingRequirement: {}}\n",
            "the requirement `FlyingRequirement` is not known",
        ),
        (
            TOOL.to_owned() + "requirements: {InplaceUpdateRequirement: {inplaceUpdate: true}}\n",
            "not supported",
        ),
        (
            TOOL.to_owned() + "requirements: {NetworkAccess: {networkAccess: false}}\n",
            "network access can't be disabled",
        ),
        (
            TOOL.to_owned() + "requirements: {DockerRequirement: {dockerFile: x}}\n",
            "requirements.DockerRequirement.dockerFile: not supported",
        ),
        (
            TOOL.to_owned() + "hints: {oliveshift:Placement: {urgency: production}}\n",
            "`low`, `normal` or `high`",
        ),
        (
            TOOL.to_owned() + "hints: {oliveshift:Placement: {temper: bad}}\n",
            "hints.oliveshift:Placement.temper: this field",
        ),
        (
            TOOL.to_owned() + "hints: {ResourceRequirement: {coresMin: 2, coreMax: 3}}\n",
            "coreMax: this field",
        ),
        (
            TOOL.replace(
                "outputs: []",
                "outputs: {o: {type: File, secondaryFiles: [$(self)]}}",
            ),
            "only patterns",
        ),
        (
            FLOW.replace("a: a", "a: b"),
            "w.cwl:9: steps.one.in.a: `b` is neither a workflow input nor a step output",
        ),
        (
            FLOW.replace("{a: a}", "{a: n}"),
            "w.cwl:9: steps.one.in.a: string is expected, but the value has the type int",
        ),
        (
            FLOW.replace("{a: a}", "{}"),
            "steps.one: the input `a` of the step's process is missing",
        ),
        (
            FLOW.replace("out: []", "out: [x]"),
            "steps.one.out.0: the step's process has no output `x`",
        ),
        (
            FLOW.replace("{a: a}\n", "{a: a}\n    scatter: a\n"),
            "steps.one.in.a: scatter: an array is expected, but the value has the type string",
        ),
        (
            FLOW.replace("{a: a}\n", "{a: a}\n    scatter: b\n"),
            "the step has no input `b`",
        ),
        (
            FLOW.replace("{a: a}\n", "{a: a}\n    when: yes\n"),
            "when: an expression is expected",
        ),
        (
            FLOW.replace("t.cwl", "w.cwl"),
            "the process contains itself as a step",
        ),
        (
            FLOW.replace("t.cwl", "../t.cwl"),
            "is outside the documents' directory",
        ),
    ];
    for (text, expected) in cases {
        let mut files = single_file(&text);
        files.0.insert("t.cwl", TOOL.to_owned());
        match load::load(&files, "w.cwl") {
            Ok(_) => panic!("no fault, but expected: {expected}\n{text}"),
            Err(fault) => assert!(
                fault.to_string().contains(expected),
                "{fault}\n  expected: {expected}"
            ),
        }
    }
}

#[test]
fn dependency_cycles_are_refused() {
    let text = "cwlVersion: v1.2
class: Workflow
inputs: []
outputs: []
steps:
  - {id: x, run: e.cwl, in: {a: y/b}, out: [b]}
  - {id: y, run: e.cwl, in: {a: x/b}, out: [b]}
";
    let tool = "cwlVersion: v1.2
class: CommandLineTool
baseCommand: cat
inputs: {a: File}
outputs: {b: stdout}
";
    let mut files = single_file(text);
    files.0.insert("e.cwl", tool.to_owned());
    let fault = load::load(&files, "w.cwl").expect_err("a cycle");
    assert!(
        fault
            .to_string()
            .contains("steps form a dependency cycle or depend on one: x, y"),
        "{fault}"
    );
}

#[test]
fn imports_and_includes_are_resolved() {
    let tool = "cwlVersion: v1.2
class: CommandLineTool
baseCommand: {$import: sub/words.json}
requirements:
  SchemaDefRequirement:
    types:
      - {name: levels, type: enum, symbols: [low, high]}
  InlineJavascriptRequirement: {expressionLib: [{$include: lib.js}]}
inputs:
  level: levels
outputs: []
";
    let mut files = single_file(tool);
    files.0.insert(
        "sub/words.json",
        r#"["echo", {"$import": "word.yml"}]"#.into(),
    );
    files.0.insert("sub/word.yml", "hello".into());
    files.0.insert("lib.js", "function f() {}".into());
    let Ok(Process::Tool(tool)) = load::load(&files, "./w.cwl") else {
        panic!("a tool");
    };
    assert_eq!(tool.command, ["echo", "hello"]);
    assert_eq!(tool.common.inputs[0].kind.to_string(), "one of low, high");
    assert_eq!(
        tool.common.requirements.library(),
        Some(&["function f() {}".to_owned()][..])
    );

    files
        .0
        .insert("sub/word.yml", "{$import: words.json}".into());
    let fault = load::load(&files, "w.cwl").expect_err("a cycle");
    assert!(
        fault.to_string().contains("sub/words.json imports itself"),
        "{fault}"
    );
    files.0.remove("sub/word.yml");
    let fault = load::load(&files, "w.cwl").expect_err("missing");
    assert!(
        fault
            .to_string()
            .contains("sub/words.json:1: 1.$import: sub/word.yml: no such file"),
        "{fault}"
    );
}

/// Guards against panics and endless loops on malformed documents. Parts of valid documents
/// are deleted, duplicated or overwritten and syntax fragments inserted at random; each result
/// must load or be refused with a located fault.
#[test]
fn malformed_documents_load_or_are_refused() {
    let mut rng = fastrand::Rng::with_seed(15);
    let names = [
        "sheet-to-portal.cwl",
        "waveform-to-catalog.cwl",
        "tools/catalog-merge.cwl",
    ];
    let valid: Vec<String> = names
        .iter()
        .map(|n| Examples.read(n).expect("readable example"))
        .collect();
    let fragments = [
        "&a ",
        "*a",
        "[",
        "{",
        "]",
        "}",
        ": ",
        "- ",
        "\n",
        "$(",
        "${",
        "'",
        "\"",
        "|",
        "!!str ",
        "\t",
        "\0",
        "é",
        "$import: ",
        "null",
        "1e999",
        "-",
        "#",
    ];
    let (mut loaded, mut refused) = (0, 0);
    for _ in 0..4000 {
        let mut text = valid[rng.usize(0..valid.len())].clone();
        for _ in 0..rng.usize(1..4) {
            let random_boundary = |rng: &mut fastrand::Rng, text: &str| {
                let mut at = rng.usize(0..=text.len());
                while !text.is_char_boundary(at) {
                    at -= 1;
                }
                at
            };
            let (a, b) = (
                random_boundary(&mut rng, &text),
                random_boundary(&mut rng, &text),
            );
            let (a, b) = (a.min(b), a.max(b).min(a.min(b) + 40));
            let b = (a..=b)
                .rev()
                .find(|b| text.is_char_boundary(*b))
                .unwrap_or(a);
            match rng.u32(0..4) {
                0 => text.replace_range(a..b, ""),
                1 => text = format!("{}{}{}", &text[..b], &text[a..b], &text[b..]),
                2 => text.insert_str(a, fragments[rng.usize(0..fragments.len())]),
                _ => text.replace_range(a..b, fragments[rng.usize(0..fragments.len())]),
            }
        }
        let files = single_file(&text);
        match load::load(&files, "w.cwl") {
            Ok(_) => loaded += 1,
            Err(fault) => {
                assert!(fault.line >= 1 && !fault.message.is_empty(), "{fault:?}");
                refused += 1;
            }
        }
    }
    assert!(
        loaded > 100 && refused > 1000,
        "{loaded} loaded, {refused} refused"
    );
}

/// Small documents that expand to many values, files or bytes must be refused by a limit
/// before they take much time or memory.
#[test]
fn expanding_documents_are_refused() {
    let big = "x".repeat(3 << 20);
    let list = |item: &str, n: usize| vec![item; n].join(", ");
    let cases = [
        (
            TOOL.replace("a: string", &format!("a: 'int{}'", "[]".repeat(100_000))),
            "a type of more than 128 bytes",
        ),
        (
            TOOL.replace("echo", &format!("[{}]", list("{$include: big}", 8))),
            "more than 16777216 bytes in all",
        ),
        (
            TOOL.replace("echo", &format!("[{}]", list("{$include: small}", 300))),
            "more than 256 files",
        ),
        (
            TOOL.replace(
                "{a: string}",
                &format!("[{}]", list("{id: a, type: int}", 5001)),
            ),
            "more than 5000 entries",
        ),
    ];
    for (text, expected) in cases {
        let mut files = single_file(&text);
        files.0.insert("big", big.clone());
        files.0.insert("small", "x".into());
        let fault = load::load(&files, "w.cwl").expect_err(expected);
        assert!(
            fault.to_string().contains(expected),
            "{:.200}",
            fault.to_string()
        );
    }
}
