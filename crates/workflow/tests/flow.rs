//! Evaluation of one run without a service: nested workflows, scatters over lists
//! that steps produce, conditions, files that expressions read, and failures.

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

/// The end of a simulated run and the jobs that it requested.
struct Outcome {
    end: Result<Value, Failure>,
    /// Number of tasks by job, as `step#group`.
    jobs: BTreeMap<String, u32>,
    /// Steps whose jobs were requested before the jobs that they await were done.
    early: Vec<String>,
}

/// Simulates a run whose jobs are done one after the other. The tasks of the step
/// `failing_step` exit with code 1.
fn simulate(text: &str, inputs: Value, failing_step: &str) -> Outcome {
    let bundle = bundle(text, inputs);
    let process = load::load(&bundle, "w.cwl").unwrap_or_else(|e| panic!("{e}\n{text}"));
    let mut run = Run::new(&process, &bundle.inputs, Engine::default()).expect("valid inputs");
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
        let Some(job) = queue.pop_front() else { break };
        let step = job.key.step.clone();
        jobs.insert(format!("{step}#{}", job.key.group), job.tasks);
        if !job.awaits.is_empty() {
            early.push(step.clone());
        }
        let result = |i: u32| TaskResult {
            exit_code: if step == failing_step { 1 } else { 0 },
            files: vec![("said.txt".into(), false, 2, format!("store://{step}/{i}"))],
            texts: BTreeMap::new(),
        };
        let results: Vec<_> = (0..job.tasks).map(result).collect();
        run.job_done(&job.key, &results);
    }
    let end = match (run.failure(), run.outputs()) {
        (Some(failure), _) => Err(failure.clone()),
        (None, Some(outputs)) => Ok(outputs.clone()),
        (None, None) => panic!(
            "the run has neither ended nor any job to do; waiting steps: {:?}",
            run.waiting_steps().collect::<Vec<_>>()
        ),
    };
    Outcome { end, jobs, early }
}

/// Replaces each file in a value, at any depth of lists, by its location.
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
    let outcome = simulate(text, json!({"n": 3}), "");
    let outputs = outcome.end.expect("a complete run");
    // The condition is false for the second member.
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
    assert_eq!(outcome.jobs, expected);
    let empty = simulate(text, json!({"n": 0}), "");
    let outputs = empty.end.expect("a complete run");
    assert_eq!((&outputs["all"], empty.jobs.len()), (&json!([]), 0));
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
    let outcome = simulate(text, json!({"a": ["x", "y"], "b": [1, 2, 1]}), "");
    let outputs = outcome.end.expect("a complete run");
    // Members with the same requirements are one job: in each row of the grid two
    // members with 1 CPU and one with 2.
    let grid = json!([
        ["store://grid/0", "store://grid/0", "store://grid/1"],
        ["store://grid/2", "store://grid/1", "store://grid/3"]
    ]);
    assert_eq!(locations(&outputs["grid"]), grid);
    let jobs = [("grid#0", 4), ("grid#1", 2), ("row#0", 2)];
    assert_eq!(outcome.jobs, jobs.map(|(j, n)| (j.to_owned(), n)).into());
    // One member for each row of the grid; the count is known before the grid is done.
    assert_eq!(outcome.early, ["row"]);
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
        simulate(text, file("store://x"), "").end,
        Ok(json!({"n": 7, "m": 7}))
    );
    let failure = simulate(text, file("elsewhere://x"), "")
        .end
        .expect_err("the file does not exist");
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
    assert!(simulate(&good, inputs.clone(), "").end.is_ok());
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
        let failing_step = if reason.starts_with("exit") { step } else { "" };
        let failure = simulate(&text, inputs.clone(), failing_step)
            .end
            .expect_err(reason);
        assert_eq!(failure.step, step, "{failure:?}");
        assert!(failure.reason.contains(reason), "{failure:?}");
    }
}
