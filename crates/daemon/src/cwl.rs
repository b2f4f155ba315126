//! `oliveshift cwl`: looks at CWL documents before they are handed in.

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
use oliveshift_wire::wes::State;
use oliveshift_workflow::plan::{Plan, Planned, plan};
use termtree::Tree;
use thiserror::Error;

use crate::wes::{self, Wes};

/// What can be done with a document.
#[derive(Debug, Subcommand)]
pub enum Cwl {
    /// Checks a document, and its inputs if they are given.
    Check {
        #[command(flatten)]
        document: Document,
        /// The inputs (YAML or JSON).
        inputs: Option<PathBuf>,
    },
    /// Shows what would be submitted for a document with these inputs.
    Plan {
        #[command(flatten)]
        document: Document,
        /// The inputs (YAML or JSON).
        inputs: PathBuf,
        /// For programs.
        #[arg(long)]
        json: bool,
        /// As a graph, in the language of Graphviz.
        #[arg(long, conflicts_with = "json")]
        dot: bool,
    },
    /// Hands a document in and follows the run to its end.
    Run {
        #[command(flatten)]
        document: Document,
        /// The inputs (YAML or JSON).
        inputs: PathBuf,
        /// Where workflows are served.
        #[arg(long, value_name = "HOST:PORT")]
        at: SocketAddrV4,
        /// Only prints the run's name.
        #[arg(long)]
        detach: bool,
    },
    /// Lists all runs.
    Runs {
        /// Where workflows are served.
        #[arg(long, value_name = "HOST:PORT")]
        at: SocketAddrV4,
        /// For programs.
        #[arg(long)]
        json: bool,
    },
    /// Cancels a run.
    Cancel {
        /// Its name.
        run: String,
        /// Where workflows are served.
        #[arg(long, value_name = "HOST:PORT")]
        at: SocketAddrV4,
    },
}

/// A document.
#[derive(Debug, Args)]
pub struct Document {
    /// The document (CWL v1.2), or one process of it: `FILE#NAME`.
    file: String,
    /// The directory that the document and all that it names are in; without
    /// it, that of the document.
    #[arg(long, value_name = "DIR")]
    root: Option<PathBuf>,
}

/// How often a run is asked after.
const FOLLOW_EVERY: Duration = Duration::from_secs(2);

/// Why there is nothing to show. The exit code says which kind it is.
#[derive(Debug, Error)]
enum Trouble {
    /// The run did not end well: 3.
    #[error("{0} is {1}{2}")]
    Ended(String, String, String),
    /// Workflows are not served there, or can't be asked now: 4 or 5.
    #[error("{0}")]
    Wes(#[from] wes::WesError),
    /// The document or its inputs are wrong: 1.
    #[error("{0}")]
    Fault(#[from] Fault),
    /// The inputs don't fit the document: 1.
    #[error("{0}")]
    Plan(String),
    /// A file can't be read: 2.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is not where it has to be: 2.
    #[error("{0} is not below {1}: name the directory of all documents by --root")]
    Outside(String, String),
}

impl Trouble {
    fn code(&self) -> ExitCode {
        match self {
            Self::Fault(_) | Self::Plan(_) => ExitCode::from(1),
            Self::Read(..) | Self::Outside(..) => ExitCode::from(2),
            Self::Ended(..) => ExitCode::from(3),
            Self::Wes(e) => ExitCode::from(e.code()),
        }
    }
}

/// Documents below a directory, and which of them were read.
struct Directory {
    root: PathBuf,
    read: RefCell<BTreeMap<String, String>>,
}

impl Resolver for Directory {
    fn read(&self, path: &str) -> Result<String, String> {
        let text = std::fs::read_to_string(self.root.join(path)).map_err(|e| e.to_string())?;
        self.read.borrow_mut().insert(path.to_owned(), text.clone());
        Ok(text)
    }
}

/// Carries a command out.
pub fn run(command: &Cwl) -> ExitCode {
    let done = match command {
        Cwl::Check { document, inputs } => check(document, inputs.as_deref()),
        Cwl::Plan {
            document,
            inputs,
            json,
            dot,
        } => show(document, inputs, *json, *dot),
        Cwl::Run {
            document,
            inputs,
            at,
            detach,
        } => hand_in(document, inputs, *at, *detach),
        Cwl::Runs { at, json } => list(*at, *json),
        Cwl::Cancel { run, at } => Wes(*at)
            .cancel(run)
            .map(|()| format!("{run} is being cancelled"))
            .map_err(Trouble::from),
    };
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(trouble) => {
            eprintln!("oliveshift: {trouble}");
            trouble.code()
        }
    }
}

/// A document, with all files that it consists of.
struct Found {
    process: Process,
    /// Which file it is, or which process of it.
    main: String,
    files: BTreeMap<String, String>,
}

fn read(document: &Document) -> Result<Found, Trouble> {
    let (file, name) = match document.file.split_once('#') {
        Some((file, name)) => (file, Some(name)),
        None => (document.file.as_str(), None),
    };
    let file = Path::new(file);
    // Said here, with the system's reason, rather than by the resolver.
    let unread = |e| Trouble::Read(file.display().to_string(), e);
    let whole = file.canonicalize().map_err(unread)?;
    let root = match &document.root {
        Some(root) => {
            let unread = |e| Trouble::Read(root.display().to_string(), e);
            root.canonicalize().map_err(unread)?
        }
        None => whole.parent().map(Path::to_owned).unwrap_or_default(),
    };
    let Ok(path) = whole.strip_prefix(&root) else {
        let names = (file.display().to_string(), root.display().to_string());
        return Err(Trouble::Outside(names.0, names.1));
    };
    let mut path = path.to_string_lossy().into_owned();
    if let Some(name) = name {
        path = format!("{path}#{name}");
    }
    let directory = Directory {
        root,
        read: RefCell::default(),
    };
    let process = load::load(&directory, &path)?;
    Ok(Found {
        process,
        main: path,
        files: directory.read.into_inner(),
    })
}

/// Hands a document in and tells how it goes on, on standard error, until it
/// ends.
fn hand_in(
    document: &Document,
    inputs: &Path,
    at: SocketAddrV4,
    detach: bool,
) -> Result<String, Trouble> {
    let found = read(document)?;
    let inputs = read_inputs(inputs)?;
    // What is wrong is better told here than by a refusal.
    plan(&found.process, &inputs).map_err(Trouble::Plan)?;
    let wes = Wes(at);
    let run = wes.submit(&found.main, &found.files, &inputs)?;
    if detach {
        return Ok(run);
    }
    eprintln!("{run}: handed in");
    let mut steps = 0;
    loop {
        std::thread::sleep(FOLLOW_EVERY);
        // The service may be away for some time; the run goes on.
        let log = match wes.log(&run) {
            Ok(log) => log,
            Err(e) if e.is_passing() => {
                eprintln!("{run}: {e}");
                continue;
            }
            Err(e) => return Err(e.into()),
        };
        for task in log.task_logs.iter().skip(steps) {
            eprintln!("{run}: {}: {}", task.name, task.system_logs.join(", "));
        }
        steps = steps.max(log.task_logs.len());
        match log.state {
            State::Running | State::Canceling => {}
            State::Complete => {
                let text = serde_json::to_string_pretty(&log.outputs);
                return text.map_err(|e| Trouble::Plan(e.to_string()));
            }
            state => {
                let why = log.run_log.system_logs.join("; ");
                let why = if why.is_empty() {
                    why
                } else {
                    format!(": {why}")
                };
                return Err(Trouble::Ended(run, wes::word(state), why));
            }
        }
    }
}

fn list(at: SocketAddrV4, json: bool) -> Result<String, Trouble> {
    let runs = Wes(at).list()?;
    if json {
        let text = serde_json::to_string_pretty(&runs);
        return text.map_err(|e| Trouble::Plan(e.to_string()));
    }
    let lines = runs.iter().map(|run| {
        let ended = run.end_time.as_deref().unwrap_or("");
        let state = wes::word(run.state);
        format!("{}  {state:<14}  {}  {ended}", run.run_id, run.start_time)
    });
    let lines: Vec<_> = lines.map(|l| l.trim_end().to_owned()).collect();
    Ok(match lines.is_empty() {
        true => "no runs".to_owned(),
        false => lines.join("\n"),
    })
}

fn read_inputs(file: &Path) -> Result<serde_json::Value, Trouble> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Trouble::Read(name.clone(), e))?;
    Ok(load::values(&name, &text)?.to_value())
}

fn check(document: &Document, inputs: Option<&Path>) -> Result<String, Trouble> {
    let process = read(document)?.process;
    let what = match &process {
        Process::Tool(_) => "a command line tool".to_owned(),
        Process::Expression(_) => "an expression".to_owned(),
        Process::Workflow(workflow) => format!("a workflow of {} steps", workflow.steps.len()),
    };
    let common = process.common();
    let inputs = match inputs {
        Some(inputs) => {
            plan(&process, &read_inputs(inputs)?).map_err(Trouble::Plan)?;
            ", and so are the inputs"
        }
        None => "",
    };
    let takes = common
        .inputs
        .iter()
        .map(|i| format!("{} ({})", i.name, i.kind));
    let gives = common
        .outputs
        .iter()
        .map(|o| format!("{} ({})", o.name, o.kind));
    let list = |names: Vec<String>| match names.is_empty() {
        true => "nothing".to_owned(),
        false => names.join(", "),
    };
    Ok(format!(
        "{}: {what}, is good{inputs}\n  takes {}\n  gives {}",
        common.id,
        list(takes.collect()),
        list(gives.collect())
    ))
}

fn show(document: &Document, inputs: &Path, json: bool, dot: bool) -> Result<String, Trouble> {
    let plan = plan(&read(document)?.process, &read_inputs(inputs)?).map_err(Trouble::Plan)?;
    if json {
        let text = serde_json::to_string_pretty(&plan);
        return text.map_err(|e| Trouble::Plan(e.to_string()));
    }
    Ok(match dot {
        true => graph(&plan),
        false => tree(&plan).to_string().trim_end().to_owned(),
    })
}

/// The plan as a graph: what is known later has a dashed frame.
fn graph(plan: &Plan) -> String {
    let quoted = |text: &str| format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
    let mut lines = vec![
        format!("digraph {} {{", quoted(&plan.name)),
        "  node [shape=box];".into(),
    ];
    for job in &plan.jobs {
        let (step, line) = (quoted(&job.step), quoted(&line(job)));
        lines.push(format!("  {step} [label={line}];"));
        let awaits = job.awaits.iter();
        lines.extend(awaits.map(|before| format!("  {} -> {step};", quoted(before))));
    }
    for later in &plan.later {
        let label = quoted(&format!("{}: {}", later.step, later.why));
        lines.push(format!(
            "  {} [label={label}, style=dashed];",
            quoted(&later.step)
        ));
    }
    lines.push("}".into());
    lines.join("\n")
}

/// The plan as a tree: jobs below the last of those that they await.
fn tree(plan: &Plan) -> Tree<String> {
    let mut tree = Tree::new(plan.name.clone());
    for (i, job) in plan.jobs.iter().enumerate() {
        if job.awaits.is_empty() {
            tree.push(branch(plan, i));
        }
    }
    for later in &plan.later {
        tree.push(Tree::new(format!("{}: {}", later.step, later.why)));
    }
    tree
}

fn branch(plan: &Plan, job: usize) -> Tree<String> {
    let mut tree = Tree::new(line(&plan.jobs[job]));
    for (i, other) in plan.jobs.iter().enumerate() {
        let place = |step: &String| plan.jobs.iter().position(|j| j.step == *step);
        let last = other.awaits.iter().filter_map(place).max();
        // Those behind it in the list only, so that this comes to an end.
        if last == Some(job) && i > job {
            tree.push(branch(plan, i));
        }
    }
    tree
}

fn line(job: &Planned) -> String {
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
