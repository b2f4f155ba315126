//! Documents that are good, and faults with their places.

use std::collections::BTreeMap;

use oliveshift_cwl::{
    document::Process,
    load::{self, Resolver},
};

/// Files by name.
struct Files(BTreeMap<&'static str, String>);

impl Resolver for Files {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or("no such file".to_owned())
    }
}

fn one(text: &str) -> Files {
    Files([("w.cwl", text.to_owned())].into())
}

/// The examples that are shipped.
struct Shipped;

impl Resolver for Shipped {
    fn read(&self, path: &str) -> Result<String, String> {
        let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples/cwl/");
        std::fs::read_to_string(format!("{dir}{path}")).map_err(|e| e.to_string())
    }
}

#[test]
fn the_examples_are_good() {
    for (name, steps) in [("sheet-to-portal.cwl", 4), ("waveform-to-catalog.cwl", 4)] {
        let process = load::load(&Shipped, name).unwrap_or_else(|e| panic!("{e}"));
        let Process::Workflow(workflow) = process else {
            panic!("{name} is a workflow");
        };
        assert_eq!(workflow.steps.len(), steps);
    }
    let tool = load::load(&Shipped, "sheet-to-portal.cwl#color-check").expect("a tool");
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
fn faults_have_their_places() {
    let cases: [(String, &str); 30] = [
        (
            TOOL.replace("v1.2", "v1.0"),
            "w.cwl:1: cwlVersion: v1.2 is understood, not v1.0",
        ),
        (
            TOOL.replace("cwlVersion: v1.2\n", ""),
            "w.cwl:1: `cwlVersion` is missing",
        ),
        (
            TOOL.replace("CommandLineTool", "Operation"),
            "w.cwl:2: class: an Operation only",
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
            "w.cwl:9: steps.one.in.a: `b` is no input and no step's output",
        ),
        (
            FLOW.replace("{a: a}", "{a: n}"),
            "w.cwl:9: steps.one.in.a: string is expected, but int comes",
        ),
        (
            FLOW.replace("{a: a}", "{}"),
            "steps.one: the input `a` of what it runs is missing",
        ),
        (
            FLOW.replace("out: []", "out: [x]"),
            "steps.one.out.0: what it runs has no output `x`",
        ),
        (
            FLOW.replace("{a: a}\n", "{a: a}\n    scatter: a\n"),
            "steps.one.in.a: scatter: an array is expected, but string comes",
        ),
        (
            FLOW.replace("{a: a}\n", "{a: a}\n    scatter: b\n"),
            "there is no input `b`",
        ),
        (
            FLOW.replace("{a: a}\n", "{a: a}\n    when: yes\n"),
            "when: an expression is expected",
        ),
        (FLOW.replace("t.cwl", "w.cwl"), "it is a step of itself"),
        (
            FLOW.replace("t.cwl", "../t.cwl"),
            "leads out of the documents' directory",
        ),
    ];
    for (text, why) in cases {
        let mut files = one(&text);
        files.0.insert("t.cwl", TOOL.to_owned());
        match load::load(&files, "w.cwl") {
            Ok(_) => panic!("no fault: {why}\n{text}"),
            Err(fault) => assert!(fault.to_string().contains(why), "{fault}\n  not: {why}"),
        }
    }
}

#[test]
fn steps_that_wait_for_each_other() {
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
    let mut files = one(text);
    files.0.insert("e.cwl", tool.to_owned());
    let fault = load::load(&files, "w.cwl").expect_err("a circle");
    assert!(
        fault.to_string().contains("wait for each other: x, y"),
        "{fault}"
    );
}

#[test]
fn files_are_brought_together() {
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
    let mut files = one(tool);
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
    let fault = load::load(&files, "w.cwl").expect_err("a circle");
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

/// Whatever comes, a document is read or refused: no panic, no long wait. Parts
/// of good documents are cut, doubled, swapped and overwritten.
#[test]
fn whatever_comes_is_read_or_refused() {
    let mut rng = fastrand::Rng::with_seed(15);
    let names = [
        "sheet-to-portal.cwl",
        "waveform-to-catalog.cwl",
        "tools/catalog-merge.cwl",
    ];
    let good: Vec<String> = names
        .iter()
        .map(|n| Shipped.read(n).expect("shipped"))
        .collect();
    let bits = [
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
    let (mut read, mut refused) = (0, 0);
    for _ in 0..4000 {
        let mut text = good[rng.usize(0..good.len())].clone();
        for _ in 0..rng.usize(1..4) {
            let at = |rng: &mut fastrand::Rng, text: &str| {
                let mut at = rng.usize(0..=text.len());
                while !text.is_char_boundary(at) {
                    at -= 1;
                }
                at
            };
            let (a, b) = (at(&mut rng, &text), at(&mut rng, &text));
            let (a, b) = (a.min(b), a.max(b).min(a.min(b) + 40));
            let b = (a..=b)
                .rev()
                .find(|b| text.is_char_boundary(*b))
                .unwrap_or(a);
            match rng.u32(0..4) {
                0 => text.replace_range(a..b, ""),
                1 => text = format!("{}{}{}", &text[..b], &text[a..b], &text[b..]),
                2 => text.insert_str(a, bits[rng.usize(0..bits.len())]),
                _ => text.replace_range(a..b, bits[rng.usize(0..bits.len())]),
            }
        }
        let files = one(&text);
        match load::load(&files, "w.cwl") {
            Ok(_) => read += 1,
            Err(fault) => {
                assert!(fault.line >= 1 && !fault.message.is_empty(), "{fault:?}");
                refused += 1;
            }
        }
    }
    assert!(read > 100 && refused > 1000, "{read} {refused}");
}

/// What is small and means much: each is refused, and soon.
#[test]
fn documents_that_blow_up_are_refused() {
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
    for (text, why) in cases {
        let mut files = one(&text);
        files.0.insert("big", big.clone());
        files.0.insert("small", "x".into());
        let fault = load::load(&files, "w.cwl").expect_err(why);
        assert!(
            fault.to_string().contains(why),
            "{:.200}",
            fault.to_string()
        );
    }
}
