//! `oliveshift cwl` on the shipped examples: results of `check` and `plan`, and exit codes.

mod support;

use support::cwl;

#[test]
fn examples_can_be_checked_and_planned() {
    for name in ["sheet-to-portal", "waveform-to-catalog"] {
        let (document, inputs) = (format!("{name}.cwl"), format!("{name}.inputs.yaml"));
        let (code, out, err) = cwl(&["check", &document, &inputs]);
        assert_eq!((code, err.as_str()), (Some(0), ""));
        assert!(
            out.contains("a workflow of 4 steps, is valid, and so are the inputs"),
            "{out}"
        );
    }
    let (code, out, _) = cwl(&["plan", "sheet-to-portal.cwl", "sheet-to-portal.inputs.yaml"]);
    assert_eq!(code, Some(0));
    let plan = "main
├── split: 2 tasks of 1 CPUs and 3.1 GB, imaging/tiles, low, team transcription
│   └── check: 4 tasks of 2 CPUs and 6.2 GB, imaging/color, low, team transcription; awaits split
│       └── match: 1 task of 2 CPUs and 6.2 GB, imaging/taxa, normal, team transcription; awaits check
└── publish: whether it runs: known after match
";
    assert_eq!(out, plan);
    let dot = cwl(&[
        "plan",
        "--dot",
        "sheet-to-portal.cwl",
        "sheet-to-portal.inputs.yaml",
    ]);
    assert!(dot.1.starts_with("digraph \"main\" {\n"), "{}", dot.1);
    assert!(dot.1.contains("\n  \"split\" -> \"check\";\n"), "{}", dot.1);
    assert!(
        dot.1.contains("known after match\", style=dashed];\n}"),
        "{}",
        dot.1
    );
    let json = cwl(&[
        "plan",
        "--json",
        "waveform-to-catalog.cwl",
        "waveform-to-catalog.inputs.yaml",
    ]);
    let plan: serde_json::Value = serde_json::from_str(&json.1).expect("JSON");
    assert_eq!(
        plan["jobs"][2]["awaits"],
        serde_json::json!(["repair", "survey"])
    );
    assert_eq!(plan["later"], serde_json::json!([]));
}

#[test]
fn exit_codes_distinguish_kinds_of_errors() {
    let cases: [(&[&str], i32, &str); 6] = [
        (
            &["check", "no-such-file.cwl"],
            2,
            "no-such-file.cwl: No such file",
        ),
        (
            &["check", "sheet-to-portal.cwl#missing"],
            1,
            "there is no process `missing`",
        ),
        (
            &["check", "sheet-to-portal.inputs.yaml"],
            1,
            "sheet-to-portal.inputs.yaml:2: `cwlVersion` is missing",
        ),
        (
            &[
                "check",
                "sheet-to-portal.cwl",
                "waveform-to-catalog.inputs.yaml",
            ],
            1,
            "sheets: ",
        ),
        (
            &["check", "--root", "tools", "sheet-to-portal.cwl"],
            2,
            "is not below ",
        ),
        (&["plan", "sheet-to-portal.cwl"], 2, "Usage"),
    ];
    for (args, code, expected) in cases {
        let (got, out, err) = cwl(args);
        assert_eq!((got, out.as_str()), (Some(code), ""), "{err}");
        assert!(err.contains(expected), "{err}");
    }
    let (code, out, _) = cwl(&["check", "--root", ".", "tools/trace-repair.cwl"]);
    assert_eq!(code, Some(0));
    assert!(
        out.contains("inputs:  trace (File)\n  outputs: repaired (File)"),
        "{out}"
    );
}
