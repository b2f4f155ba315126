//! One run without its surroundings: workflows in workflows, scatters over what
//! steps make, conditions, files that expressions read, and failures.

use std::collections::{BTreeMap, VecDeque};

use oliveshift_cwl::{Engine, load};
use oliveshift_workflow::{
    flow::{Failure, JobRequest, Run},
    job::{Defaults, TaskResult},
    records::Bundle,
};
use serde_json::{Value, json};

const TOOL: &str = "
  - id: say
    class: CommandLineTool
    baseCommand: echo
    inputs: {word: {type: Any, inputBinding: {}}}
    outputs: {said: {type: File, outputBinding: {glob: said.txt}}}
";

fn bundle(text: &str, inputs: Value) -> Bundle {
    Bundle {
        main: "w.cwl".into(),
        files: [(
            "w.cwl".to_owned(),
            format!("cwlVersion: v1.2\n$graph:{TOOL}{text}"),
        )]
        .into(),
        inputs,
        defaults: Defaults {
            team: "t".into(),
            class: "c".into(),
        },
    }
}

/// What came of a run, and the jobs that it had, with how many tasks each.
struct Played {
    end: Result<Value, Failure>,
    jobs: BTreeMap<String, u32>,
    /// Submitted before the jobs that they await were done.
    early: Vec<String>,
}

/// Plays a run: jobs are done one after the other; the task `fails` leaves
/// nothing behind.
fn play(text: &str, inputs: Value, fails: &str) -> Played {
    let bundle = bundle(text, inputs);
    let process = load::load(&bundle, "w.cwl").unwrap_or_else(|e| panic!("{e}\n{text}"));
    let mut run = Run::new(&process, &bundle.inputs, Engine::default()).expect("inputs");
    let mut queue: VecDeque<JobRequest> = VecDeque::new();
    let (mut jobs, mut early) = (BTreeMap::new(), Vec::new());
    loop {
        queue.extend(run.advance());
        let files_to_read: Vec<String> = run.files_to_read().cloned().collect();
        for location in files_to_read {
            let text = location.starts_with("store://").then(|| "7\n".to_owned());
            run.file_read(&location, text);
            queue.extend(run.advance());
        }
        let Some(work) = queue.pop_front() else { break };
        let step = work.key.step.clone();
        jobs.insert(format!("{step}#{}", work.key.group), work.tasks);
        if !work.awaits.is_empty() {
            early.push(step.clone());
        }
        let result = |i: u32| TaskResult {
            exit_code: if step == fails { 1 } else { 0 },
            files: vec![("said.txt".into(), false, 2, format!("store://{step}/{i}"))],
            texts: BTreeMap::new(),
        };
        let results: Vec<_> = (0..work.tasks).map(result).collect();
        run.job_done(&work.key, &results);
    }
    let end = match (run.failure(), run.outputs()) {
        (Some(failure), _) => Err(failure.clone()),
        (None, Some(outputs)) => Ok(outputs.clone()),
        (None, None) => panic!(
            "it neither ended nor has work: {:?}",
            run.waiting_steps().collect::<Vec<_>>()
        ),
    };
    Played { end, jobs, early }
}

/// The locations of files, however nested.
fn locations(value: &Value) -> Value {
    match value {
        Value::Array(list) => list.iter().map(locations).collect(),
        value => value.get("location").cloned().unwrap_or(Value::Null),
    }
}

#[test]
fn workflows_in_workflows_over_lists_that_steps_make() {
    let text = "
  - id: count
    class: ExpressionTool
    requirements: {InlineJavascriptRequirement: {}}
    inputs: {n: int}
    outputs: {list: 'int[]'}
    expression: '${ var l = []; for (var i = 1; i <= inputs.n; i++) l.push(i); return {list: l}; }'
  - id: inner
    class: Workflow
    requirements: {InlineJavascriptRequirement: {}, StepInputExpressionRequirement: {}}
    inputs: {n: int}
    outputs: {said: {type: 'File?', outputSource: again/said}}
    steps:
      once: {run: '#say', in: {word: n}, out: [said]}
      again:
        run: '#say'
        when: $(inputs.n != 2)
        in: {word: once/said, n: n}
        out: [said]
  - id: main
    class: Workflow
    requirements: {ScatterFeatureRequirement: {}, SubworkflowFeatureRequirement: {}}
    inputs: {n: int}
    outputs:
      all: {type: Any, outputSource: each/said}
      last: {type: Any, outputSource: flat/said}
    steps:
      list: {run: '#count', in: {n: n}, out: [list]}
      each: {run: '#inner', scatter: n, in: {n: list/list}, out: [said]}
      flat: {run: '#say', scatter: word, in: {word: list/list}, out: [said]}
";
    let played = play(text, json!({"n": 3}), "");
    let outputs = played.end.expect("it is complete");
    // The second member's condition does not hold.
    let all = json!(["store://each.0.again/0", null, "store://each.2.again/0"]);
    assert_eq!(locations(&outputs["all"]), all);
    assert_eq!(
        locations(&outputs["last"]),
        json!(["store://flat/0", "store://flat/1", "store://flat/2"])
    );
    let jobs = [
        "each.0.again#0",
        "each.0.once#0",
        "each.1.once#0",
        "each.2.again#0",
        "each.2.once#0",
    ];
    let mut expected: BTreeMap<String, u32> = jobs.map(|j| (j.to_owned(), 1)).into();
    expected.insert("flat#0".into(), 3);
    assert_eq!(played.jobs, expected);
    let none = play(text, json!({"n": 0}), "");
    let outputs = none.end.expect("it is complete");
    assert_eq!((&outputs["all"], none.jobs.len()), (&json!([]), 0));
}

#[test]
fn crossproducts_keep_their_shape_through_steps() {
    let text = "
  - id: both
    class: CommandLineTool
    baseCommand: join
    requirements: {ResourceRequirement: {coresMin: $(inputs.b)}}
    inputs: {a: Any, b: int}
    outputs: {said: {type: File, outputBinding: {glob: said.txt}}}
  - id: main
    class: Workflow
    requirements: {ScatterFeatureRequirement: {}}
    inputs: {a: 'string[]', b: 'int[]'}
    outputs:
      grid: {type: Any, outputSource: grid/said}
      row: {type: Any, outputSource: row/said}
    steps:
      grid:
        run: '#both'
        scatter: [a, b]
        scatterMethod: nested_crossproduct
        in: {a: a, b: b}
        out: [said]
      row: {run: '#say', scatter: word, in: {word: grid/said}, out: [said]}
";
    let played = play(text, json!({"a": ["x", "y"], "b": [1, 2, 1]}), "");
    let outputs = played.end.expect("it is complete");
    // Members that need the same are one array: two of 1 CPU, one of 2 a row.
    let grid = json!([
        ["store://grid/0", "store://grid/0", "store://grid/1"],
        ["store://grid/2", "store://grid/1", "store://grid/3"]
    ]);
    assert_eq!(locations(&outputs["grid"]), grid);
    let jobs = [("grid#0", 4), ("grid#1", 2), ("row#0", 2)];
    assert_eq!(played.jobs, jobs.map(|(j, n)| (j.to_owned(), n)).into());
    // One member for each row of the grid, known before the grid is done.
    assert_eq!(played.early, ["row"]);
    assert_eq!(
        locations(&outputs["row"]),
        json!(["store://row/0", "store://row/1"])
    );
}

#[test]
fn expressions_read_files() {
    let text = "
  - id: read
    class: ExpressionTool
    requirements: {InlineJavascriptRequirement: {}}
    inputs: {file: {type: File, loadContents: true}}
    outputs: {n: int}
    expression: '${ return {n: parseInt(inputs.file.contents)}; }'
  - id: main
    class: Workflow
    inputs: {file: File}
    outputs: {n: {type: int, outputSource: second/n}, m: {type: int, outputSource: first/n}}
    steps:
      first: {run: '#read', in: {file: file}, out: [n]}
      made: {run: '#say', in: {word: first/n}, out: [said]}
      second: {run: '#read', in: {file: made/said}, out: [n]}
";
    let file = |location: &str| json!({"file": {"class": "File", "location": location}});
    assert_eq!(
        play(text, file("store://x"), "").end,
        Ok(json!({"n": 7, "m": 7}))
    );
    let failure = play(text, file("elsewhere://x"), "")
        .end
        .expect_err("no such file");
    assert_eq!(failure.reason, "elsewhere://x can't be read");
}

#[test]
fn a_middle_step_that_fails_ends_the_run() {
    let text = "
  - id: main
    class: Workflow
    requirements: {InlineJavascriptRequirement: {}, StepInputExpressionRequirement: {}}
    inputs: {word: string}
    outputs: {said: {type: File, outputSource: third/said}}
    steps:
      first: {run: '#say', in: {word: word}, out: [said]}
      second: {run: '#say', in: {word: {source: first/said, valueFrom: $(MIDDLE)}}, out: [said]}
      third: {run: '#say', in: {word: second/said}, out: [said]}
";
    let good = text.replace("MIDDLE", "self.location");
    let inputs = json!({"word": "hi"});
    assert!(play(&good, inputs.clone(), "").end.is_ok());
    for (text, step, reason) in [
        (good, "second", "exit code 1"),
        (
            text.replace("MIDDLE", "self.nothing.at.all"),
            "second",
            "there is no `self.nothing`",
        ),
        (
            text.replace("MIDDLE", "nothing + 1"),
            "second",
            "nothing is not defined",
        ),
    ] {
        let fails = if reason.starts_with("exit") { step } else { "" };
        let failure = play(&text, inputs.clone(), fails).end.expect_err(reason);
        assert_eq!(failure.step, step, "{failure:?}");
        assert!(failure.reason.contains(reason), "{failure:?}");
    }
}
