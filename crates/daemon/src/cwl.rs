//! `oliveshift cwl`: checks, plans, submits and follows CWL workflows.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddrV4,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::{Args, Subcommand};
use oliveshift_cwl::{
    Fault,
    document::Process,
    load::{self, Resolver},
};
use oliveshift_wire::{IdempotencyKey, wes::State};
use oliveshift_workflow::plan::{Plan, PlannedJob, plan};
use termtree::Tree;
use thiserror::Error;

use crate::wes::{self, WesClient};

/// Commands for CWL documents and runs.
#[derive(Debug, Subcommand)]
pub enum Cwl {
    /// Checks a document, and its inputs if they are given.
    Check {
        #[command(flatten)]
        document: Document,
        /// The input values (YAML or JSON).
        inputs: Option<PathBuf>,
    },
    /// Shows the jobs that would be submitted for a document with these inputs.
    Plan {
        #[command(flatten)]
        document: Document,
        /// The input values (YAML or JSON).
        inputs: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
        /// Prints a graph in the DOT language of Graphviz.
        #[arg(long, conflicts_with = "json")]
        dot: bool,
    },
    /// Submits a document and follows the run until it ends.
    Run {
        #[command(flatten)]
        document: Document,
        /// The input values (YAML or JSON).
        inputs: PathBuf,
        /// Address of the workflow service.
        #[arg(long, value_name = "HOST:PORT")]
        at: SocketAddrV4,
        /// Only prints the run id and does not wait.
        #[arg(long)]
        detach: bool,
        /// A key of 1 to 64 letters, digits, - or _ by which the service recognizes the
        /// submission: however often it is submitted, one run is started [default: random].
        #[arg(long, value_name = "KEY")]
        idempotency_key: Option<IdempotencyKey>,
    },
    /// Lists all runs.
    Runs {
        /// Address of the workflow service.
        #[arg(long, value_name = "HOST:PORT")]
        at: SocketAddrV4,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Cancels a run.
    Cancel {
        /// The run id.
        run: String,
        /// Address of the workflow service.
        #[arg(long, value_name = "HOST:PORT")]
        at: SocketAddrV4,
    },
}

/// A CWL document, or one of its processes.
#[derive(Debug, Args)]
pub struct Document {
    /// The document (CWL v1.2), or one process of it: `FILE#NAME`.
    file: String,
    /// The directory that contains the document and all files that it refers to [default: the
    /// directory of the document].
    #[arg(long, value_name = "DIR")]
    root: Option<PathBuf>,
}

/// Interval at which the state of a run is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Why a command failed. The kind determines the exit code.
#[derive(Debug, Error)]
enum CwlError {
    /// The run did not complete: 3.
    #[error("{0} is {1}{2}")]
    Ended(String, String, String),
    /// The request to the workflow service failed: 4 or 5.
    #[error("{0}")]
    Wes(#[from] wes::WesError),
    /// The document or its inputs are invalid: 1.
    #[error("{0}")]
    Fault(#[from] Fault),
    /// The inputs do not match the document: 1.
    #[error("{0}")]
    Plan(String),
    /// A file cannot be read: 2.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The document is outside the root directory: 2.
    #[error("{0} is not below {1}: pass the directory that contains all documents with --root")]
    Outside(String, String),
}

impl CwlError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Fault(_) | Self::Plan(_) => ExitCode::from(1),
            Self::Read(..) | Self::Outside(..) => ExitCode::from(2),
            Self::Ended(..) => ExitCode::from(3),
            Self::Wes(e) => ExitCode::from(e.exit_code()),
        }
    }
}

/// Reads documents below a directory and records the files that were read.
struct RecordingResolver {
    root: PathBuf,
    read_files: RefCell<BTreeMap<String, String>>,
}

impl Resolver for RecordingResolver {
    fn read(&self, path: &str) -> Result<String, String> {
        let text = std::fs::read_to_string(self.root.join(path)).map_err(|e| e.to_string())?;
        self.read_files
            .borrow_mut()
            .insert(path.to_owned(), text.clone());
        Ok(text)
    }
}

/// Runs a command.
pub fn run(command: &Cwl) -> ExitCode {
    let result = match command {
        Cwl::Check { document, inputs } => check(document, inputs.as_deref()),
        Cwl::Plan {
            document,
            inputs,
            json,
            dot,
        } => show_plan(document, inputs, *json, *dot),
        Cwl::Run {
            document,
            inputs,
            at,
            detach,
            idempotency_key,
        } => submit(document, inputs, *at, *detach, idempotency_key.clone()),
        Cwl::Runs { at, json } => list_runs(*at, *json),
        Cwl::Cancel { run, at } => WesClient(*at)
            .cancel(run)
            .map(|()| format!("{run} is being cancelled"))
            .map_err(CwlError::from),
    };
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("oliveshift: {error}");
            error.exit_code()
        }
    }
}

/// A loaded document and all files that it consists of.
struct LoadedDocument {
    process: Process,
    /// The path of the document below the root, with `#NAME` if a process was named.
    main: String,
    files: BTreeMap<String, String>,
}

fn load_document(document: &Document) -> Result<LoadedDocument, CwlError> {
    let (file, name) = match document.file.split_once('#') {
        Some((file, name)) => (file, Some(name)),
        None => (document.file.as_str(), None),
    };
    let file = Path::new(file);
    // A missing file is reported here, with the operating system's reason, not by the resolver.
    let read_error = |e| CwlError::Read(file.display().to_string(), e);
    let absolute = file.canonicalize().map_err(read_error)?;
    let root = match &document.root {
        Some(root) => {
            let read_error = |e| CwlError::Read(root.display().to_string(), e);
            root.canonicalize().map_err(read_error)?
        }
        None => absolute.parent().map(Path::to_owned).unwrap_or_default(),
    };
    let Ok(path) = absolute.strip_prefix(&root) else {
        let names = (file.display().to_string(), root.display().to_string());
        return Err(CwlError::Outside(names.0, names.1));
    };
    let mut path = path.to_string_lossy().into_owned();
    if let Some(name) = name {
        path = format!("{path}#{name}");
    }
    let resolver = RecordingResolver {
        root,
        read_files: RefCell::default(),
    };
    let process = load::load(&resolver, &path)?;
    Ok(LoadedDocument {
        process,
        main: path,
        files: resolver.read_files.into_inner(),
    })
}

/// Submits a document and, unless detached, reports the progress of the run on standard error
/// until it ends.
fn submit(
    document: &Document,
    inputs: &Path,
    at: SocketAddrV4,
    detach: bool,
    idempotency_key: Option<IdempotencyKey>,
) -> Result<String, CwlError> {
    let loaded = load_document(document)?;
    let inputs = read_inputs(inputs)?;
    // Invalid inputs are reported here rather than by a rejection from the service.
    plan(&loaded.process, &inputs).map_err(CwlError::Plan)?;
    let wes = WesClient(at);
    let random_key = || IdempotencyKey::from(uuid::Uuid::new_v4().as_u128());
    let key = idempotency_key.unwrap_or_else(random_key);
    // Printed before the first attempt, so that the command can be repeated if it is killed.
    eprintln!("submitting with --idempotency-key {key}");
    let run = wes.submit(&key, &loaded.main, &loaded.files, &inputs)?;
    if detach {
        return Ok(run);
    }
    eprintln!("{run}: submitted");
    let mut reported_tasks = 0;
    loop {
        std::thread::sleep(POLL_INTERVAL);
        // The service may be unavailable for some time; the run continues.
        let log = match wes.log(&run) {
            Ok(log) => log,
            Err(e) if e.is_transient() => {
                eprintln!("{run}: {e}");
                continue;
            }
            Err(e) => return Err(e.into()),
        };
        for task in log.task_logs.iter().skip(reported_tasks) {
            eprintln!("{run}: {}: {}", task.name, task.system_logs.join(", "));
        }
        reported_tasks = reported_tasks.max(log.task_logs.len());
        match log.state {
            State::Running | State::Canceling => {}
            State::Complete => {
                let text = serde_json::to_string_pretty(&log.outputs);
                return text.map_err(|e| CwlError::Plan(e.to_string()));
            }
            state => {
                let reason = log.run_log.system_logs.join("; ");
                let reason = if reason.is_empty() {
                    reason
                } else {
                    format!(": {reason}")
                };
                return Err(CwlError::Ended(run, wes::state_name(state), reason));
            }
        }
    }
}

fn list_runs(at: SocketAddrV4, json: bool) -> Result<String, CwlError> {
    let runs = WesClient(at).list()?;
    if json {
        let text = serde_json::to_string_pretty(&runs);
        return text.map_err(|e| CwlError::Plan(e.to_string()));
    }
    let lines = runs.iter().map(|run| {
        let ended = run.end_time.as_deref().unwrap_or("");
        let state = wes::state_name(run.state);
        format!("{}  {state:<14}  {}  {ended}", run.run_id, run.start_time)
    });
    let lines: Vec<_> = lines.map(|l| l.trim_end().to_owned()).collect();
    Ok(match lines.is_empty() {
        true => "no runs".to_owned(),
        false => lines.join("\n"),
    })
}

fn read_inputs(file: &Path) -> Result<serde_json::Value, CwlError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| CwlError::Read(name.clone(), e))?;
    Ok(load::values(&name, &text)?.to_value())
}

fn check(document: &Document, inputs: Option<&Path>) -> Result<String, CwlError> {
    let process = load_document(document)?.process;
    let description = match &process {
        Process::Tool(_) => "a command line tool".to_owned(),
        Process::Expression(_) => "an expression".to_owned(),
        Process::Workflow(workflow) => format!("a workflow of {} steps", workflow.steps.len()),
    };
    let common = process.common();
    let inputs = match inputs {
        Some(inputs) => {
            plan(&process, &read_inputs(inputs)?).map_err(CwlError::Plan)?;
            ", and so are the inputs"
        }
        None => "",
    };
    let input_list = common
        .inputs
        .iter()
        .map(|i| format!("{} ({})", i.name, i.kind));
    let output_list = common
        .outputs
        .iter()
        .map(|o| format!("{} ({})", o.name, o.kind));
    let list = |names: Vec<String>| match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    };
    Ok(format!(
        "{}: {description}, is valid{inputs}\n  inputs:  {}\n  outputs: {}",
        common.id,
        list(input_list.collect()),
        list(output_list.collect())
    ))
}

fn show_plan(
    document: &Document,
    inputs: &Path,
    json: bool,
    dot: bool,
) -> Result<String, CwlError> {
    let plan =
        plan(&load_document(document)?.process, &read_inputs(inputs)?).map_err(CwlError::Plan)?;
    if json {
        let text = serde_json::to_string_pretty(&plan);
        return text.map_err(|e| CwlError::Plan(e.to_string()));
    }
    Ok(match dot {
        true => plan_graph(&plan),
        false => plan_tree(&plan).to_string().trim_end().to_owned(),
    })
}

/// The plan as a DOT graph. Steps whose jobs are not known yet have a dashed frame.
fn plan_graph(plan: &Plan) -> String {
    let quoted = |text: &str| format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
    let mut lines = vec![
        format!("digraph {} {{", quoted(&plan.name)),
        "  node [shape=box];".into(),
    ];
    for job in &plan.jobs {
        let (step, line) = (quoted(&job.step), quoted(&describe_job(job)));
        lines.push(format!("  {step} [label={line}];"));
        let awaits = job.awaits.iter();
        lines.extend(awaits.map(|awaited| format!("  {} -> {step};", quoted(awaited))));
    }
    for later in &plan.deferred_steps {
        let label = quoted(&format!("{}: {}", later.step, later.reason));
        lines.push(format!(
            "  {} [label={label}, style=dashed];",
            quoted(&later.step)
        ));
    }
    lines.push("}".into());
    lines.join("\n")
}

/// The plan as a tree. Each job is below the last of the jobs that it awaits.
fn plan_tree(plan: &Plan) -> Tree<String> {
    let mut tree = Tree::new(plan.name.clone());
    for (i, job) in plan.jobs.iter().enumerate() {
        if job.awaits.is_empty() {
            tree.push(job_tree(plan, i));
        }
    }
    for later in &plan.deferred_steps {
        tree.push(Tree::new(format!("{}: {}", later.step, later.reason)));
    }
    tree
}

fn job_tree(plan: &Plan, job: usize) -> Tree<String> {
    let mut tree = Tree::new(describe_job(&plan.jobs[job]));
    for (i, other) in plan.jobs.iter().enumerate() {
        let position = |step: &String| plan.jobs.iter().position(|j| j.step == *step);
        let last = other.awaits.iter().filter_map(position).max();
        // Only jobs later in the list, so that the recursion terminates.
        if last == Some(job) && i > job {
            tree.push(job_tree(plan, i));
        }
    }
    tree
}

fn describe_job(job: &PlannedJob) -> String {
    let tasks = match job.tasks {
        1 => "1 task".to_owned(),
        n => format!("{n} tasks"),
    };
    let team = job.team.as_ref().map(|t| format!(", team {t}"));
    let awaits = match job.awaits.is_empty() {
        true => String::new(),
        false => format!("; awaits {}", job.awaits.join(", ")),
    };
    format!(
        "{}: {tasks} of {} CPUs and {:.1} GB, {}, {}{}{awaits}",
        job.step,
        job.cpus,
        job.memory_gb,
        job.image,
        job.urgency,
        team.unwrap_or_default()
    )
}
