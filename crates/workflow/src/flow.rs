//! One run: which steps can begin, what comes of them, how it ends.
//!
//! Nothing here is stored: the same document, inputs and results of tasks give
//! the same run again, which is how a run is taken up after a crash.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use oliveshift_cwl::{
    Engine, Fault, command,
    cursor::Cursor,
    document::{Process, ScatterMethod, Source, Step, Workflow},
    expr::Object,
    values::{self, Member},
};
use serde_json::{Map, Value};

use crate::job::{TaskRequirements, TaskResult, can_submit_early, task_requirements};

/// The most workflows in one run, those of scattered steps counted each.
const MAX_FLOWS: usize = 10_000;

/// Names a job of a run: the step, and which group of its members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    /// The step, `split` or `survey.3.filter`.
    pub step: String,
    /// The group.
    pub group: u32,
}

/// Work to be submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Its name in the run.
    pub key: JobKey,
    /// What its tasks need.
    pub requirements: TaskRequirements,
    /// How many.
    pub tasks: u32,
    /// Work that has to be done before.
    pub awaits: Vec<JobKey>,
}

/// Why a run failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The step; empty: the run as a whole.
    pub step: String,
    /// The reason, for people.
    pub reason: String,
}

#[derive(Debug)]
enum Part {
    /// `when` said no.
    Skipped,
    /// A task.
    Task { key: JobKey, index: u32 },
    /// A workflow in the workflow.
    Flow,
    /// It is over.
    Over(Object),
}

#[derive(Debug)]
enum State {
    Waiting,
    Begun {
        shape: Vec<usize>,
        /// None: it began before its inputs were there.
        members: Option<Vec<Member>>,
        parts: Vec<Part>,
    },
    Done(BTreeMap<String, Arc<Value>>),
}

#[derive(Debug)]
struct Flow {
    path: String,
    workflow: Arc<Workflow>,
    inputs: Object,
    states: Vec<State>,
    /// The flow, step and member that it is.
    parent: Option<(usize, usize, usize)>,
    over: bool,
}

/// One run.
#[derive(Debug)]
pub struct Run {
    engine: Engine,
    flows: Vec<Flow>,
    texts: BTreeMap<String, String>,
    files_to_read: BTreeSet<String>,
    failure: Option<Failure>,
    outputs: Option<Value>,
}

impl Run {
    /// Begins a run.
    ///
    /// # Errors
    /// The inputs don't fit.
    pub fn new(process: &Process, given: &Value, engine: Engine) -> Result<Self, Fault> {
        let workflow = match process {
            Process::Workflow(workflow) => workflow.clone(),
            other => alone(other),
        };
        let map = given.as_object().cloned().unwrap_or_default();
        let given: Object = map.into_iter().map(|(n, v)| (n, Arc::new(v))).collect();
        let common = &workflow.common;
        let inputs = values::process_inputs(common, &given, &|_| None, &common.cursor)?;
        let mut run = Self {
            engine,
            flows: Vec::new(),
            texts: BTreeMap::new(),
            files_to_read: BTreeSet::new(),
            failure: None,
            outputs: None,
        };
        run.open(String::new(), workflow, inputs, None);
        Ok(run)
    }

    fn open(
        &mut self,
        path: String,
        workflow: Arc<Workflow>,
        inputs: Object,
        parent: Option<(usize, usize, usize)>,
    ) {
        let states = workflow.steps.iter().map(|_| State::Waiting).collect();
        self.flows.push(Flow {
            path,
            workflow,
            inputs,
            states,
            parent,
            over: false,
        });
    }

    /// Why it failed, if it did.
    pub fn failure(&self) -> Option<&Failure> {
        self.failure.as_ref()
    }

    /// What came out, once it is complete.
    pub fn outputs(&self) -> Option<&Value> {
        self.outputs.as_ref()
    }

    /// Files whose beginnings are needed to go on.
    pub fn files_to_read(&self) -> impl Iterator<Item = &String> {
        self.files_to_read.iter()
    }

    /// The beginning of a file; none: there is no such file.
    pub fn file_read(&mut self, location: &str, text: Option<String>) {
        self.files_to_read.remove(location);
        match text {
            Some(text) => {
                self.texts.insert(location.to_owned(), text);
            }
            None => self.fails("", format!("{location} can't be read")),
        }
    }

    fn fails(&mut self, step: &str, reason: String) {
        // The first reason stands.
        let step = step.to_owned();
        self.failure.get_or_insert(Failure { step, reason });
    }

    /// Steps that have not begun, and what they wait for.
    pub fn waiting_steps(&self) -> impl Iterator<Item = (String, String)> {
        self.flows.iter().enumerate().flat_map(move |(f, flow)| {
            let waits = flow.workflow.steps.iter().zip(&flow.states);
            let waits = waits.filter(|(_, state)| matches!(state, State::Waiting));
            waits.map(move |(step, _)| (self.path(f, step), self.waits_for(f, step)))
        })
    }

    fn waits_for(&self, f: usize, step: &Step) -> String {
        let flow = &self.flows[f];
        let before = step.inputs.iter().flat_map(|i| &i.link.sources);
        let before = before.filter_map(|source| match source {
            Source::Step(name, _) => Some(name),
            Source::Input(_) => None,
        });
        let open = |name: &&String| {
            let s = flow.workflow.steps.iter().position(|s| s.name == **name);
            s.is_some_and(|s| !matches!(flow.states[s], State::Done(_)))
        };
        let before: BTreeSet<&str> = before.filter(open).map(String::as_str).collect();
        let before: Vec<_> = before.into_iter().collect();
        let why = match &step.run {
            _ if step.when.is_some() => "whether it runs",
            Process::Tool(_) => "how many tasks, and what they need",
            Process::Expression(_) => "what it computes",
            Process::Workflow(_) => "its steps",
        };
        match before.as_slice() {
            [] => format!("{why}: known once files have been read"),
            before => format!("{why}: known after {}", before.join(", ")),
        }
    }

    /// A job will never be done.
    pub fn job_failed(&mut self, key: &JobKey, reason: String) {
        self.fails(&key.step, reason);
    }

    /// Goes on as far as it can and returns what is to be submitted.
    pub fn advance(&mut self) -> Vec<JobRequest> {
        let mut work = Vec::new();
        let mut moved = true;
        while moved && self.failure.is_none() && self.outputs.is_none() {
            moved = false;
            for f in 0..self.flows.len() {
                if self.flows[f].over {
                    continue;
                }
                for s in 0..self.flows[f].states.len() {
                    moved |= self.step(f, s, &mut work);
                    if self.failure.is_some() {
                        return Vec::new();
                    }
                }
                moved |= self.close(f);
            }
        }
        work
    }

    /// Moves a step on; true if it moved.
    fn step(&mut self, f: usize, s: usize, work: &mut Vec<JobRequest>) -> bool {
        let workflow = self.flows[f].workflow.clone();
        let step = &workflow.steps[s];
        match &self.flows[f].states[s] {
            State::Waiting => {
                if self.wants_texts(f, step) {
                    return false;
                }
                match self.members(f, step) {
                    Ok(Some(members)) => self.begin(f, s, step, members, work),
                    Ok(None) => self.begin_early(f, s, step, work),
                    Err(fault) => {
                        let path = self.path(f, step);
                        self.fails(&path, fault.to_string());
                        false
                    }
                }
            }
            State::Begun { shape, parts, .. } => {
                if !parts
                    .iter()
                    .all(|p| matches!(p, Part::Over(_) | Part::Skipped))
                {
                    return false;
                }
                let outputs = gather(step, shape, parts);
                self.flows[f].states[s] = State::Done(outputs);
                true
            }
            State::Done(_) => false,
        }
    }

    fn path(&self, f: usize, step: &Step) -> String {
        match self.flows[f].path.as_str() {
            "" => step.name.clone(),
            path => format!("{path}.{}", step.name),
        }
    }

    fn value(&self, f: usize, source: &Source) -> Option<Arc<Value>> {
        let flow = &self.flows[f];
        match source {
            Source::Input(name) => Some(flow.inputs.get(name).cloned().unwrap_or_default()),
            Source::Step(name, output) => {
                let s = flow.workflow.steps.iter().position(|s| s.name == *name)?;
                match &flow.states[s] {
                    State::Done(outputs) => Some(outputs.get(output).cloned().unwrap_or_default()),
                    _ => None,
                }
            }
        }
    }

    fn wants_texts(&mut self, f: usize, step: &Step) -> bool {
        let files_to_read = values::files_to_load(step, &|source| self.value(f, source));
        let missing: Vec<_> = files_to_read
            .into_iter()
            .filter(|w| !self.texts.contains_key(w))
            .collect();
        let any = !missing.is_empty();
        self.files_to_read.extend(missing);
        any
    }

    fn members(&self, f: usize, step: &Step) -> Result<Option<values::Members>, Fault> {
        let contents = |location: &str| self.texts.get(location).cloned();
        let of = |source: &Source| self.value(f, source);
        values::members(step, &of, &contents, &self.engine)
    }

    fn begin(
        &mut self,
        f: usize,
        s: usize,
        step: &Step,
        members: values::Members,
        work: &mut Vec<JobRequest>,
    ) -> bool {
        let path = self.path(f, step);
        let scattered = !members.shape.is_empty();
        let mut parts = Vec::with_capacity(members.members.len());
        let mut groups: Vec<(TaskRequirements, u32)> = Vec::new();
        for (m, member) in members.members.iter().enumerate() {
            if !member.should_run {
                parts.push(Part::Skipped);
                continue;
            }
            let part = match &step.run {
                Process::Tool(tool) => {
                    let requirements = task_requirements(tool, Some(&member.inputs), &self.engine);
                    requirements.map(|requirements| {
                        let requirements = requirements.expect("told with inputs");
                        // Members in a row mostly need the same.
                        let group = match groups.iter().rposition(|g| g.0 == requirements) {
                            Some(group) => group,
                            None => {
                                groups.push((requirements, 0));
                                groups.len() - 1
                            }
                        };
                        groups[group].1 += 1;
                        Part::Task {
                            key: JobKey {
                                step: path.clone(),
                                group: group as u32,
                            },
                            index: groups[group].1 - 1,
                        }
                    })
                }
                Process::Expression(tool) => {
                    let common = &tool.common;
                    let made = values::run_expression(
                        common,
                        &tool.expression,
                        &member.inputs,
                        &self.engine,
                    );
                    made.map(Part::Over)
                }
                Process::Workflow(inner) => {
                    if self.flows.len() >= MAX_FLOWS {
                        self.fails(&path, format!("more than {MAX_FLOWS} workflows in one run"));
                        return false;
                    }
                    let inner_path = match scattered {
                        true => format!("{path}.{m}"),
                        false => path.clone(),
                    };
                    let inputs = member.inputs.clone();
                    self.open(inner_path, inner.clone(), inputs, Some((f, s, m)));
                    Ok(Part::Flow)
                }
            };
            match part {
                Ok(part) => parts.push(part),
                Err(fault) => {
                    self.fails(&path, fault.to_string());
                    return false;
                }
            }
        }
        for (group, (requirements, tasks)) in groups.into_iter().enumerate() {
            work.push(JobRequest {
                key: JobKey {
                    step: path.clone(),
                    group: group as u32,
                },
                requirements,
                tasks,
                awaits: Vec::new(),
            });
        }
        self.flows[f].states[s] = State::Begun {
            shape: members.shape,
            members: Some(members.members),
            parts,
        };
        true
    }

    /// Begins a step whose inputs are made by work that is under way, if what
    /// it needs and how many members it has is known.
    fn begin_early(&mut self, f: usize, s: usize, step: &Step, work: &mut Vec<JobRequest>) -> bool {
        let Process::Tool(tool) = &step.run else {
            return false;
        };
        let requirements = match task_requirements(tool, None, &self.engine) {
            Ok(Some(requirements)) if can_submit_early(step) => requirements,
            _ => return false,
        };
        let Some(shape) = self.early_shape(f, step) else {
            return false;
        };
        let Some(awaits) = self.awaited(f, step) else {
            return false;
        };
        let key = JobKey {
            step: self.path(f, step),
            group: 0,
        };
        let count: usize = shape.iter().product();
        if count == 0 || count > values::MAX_SCATTER_MEMBERS {
            return false;
        }
        let parts = (0..count as u32).map(|index| Part::Task {
            key: key.clone(),
            index,
        });
        let parts = parts.collect();
        work.push(JobRequest {
            key,
            requirements,
            tasks: count as u32,
            awaits,
        });
        self.flows[f].states[s] = State::Begun {
            shape,
            members: None,
            parts,
        };
        true
    }

    /// How many members a step will have, as far as that is certain.
    fn early_shape(&self, f: usize, step: &Step) -> Option<Vec<usize>> {
        if step.scatter.is_empty() {
            return Some(Vec::new());
        }
        let mut lengths = Vec::new();
        for name in &step.scatter {
            let input = step.inputs.iter().find(|i| i.name == *name)?;
            let link = &input.link;
            let [source] = link.sources.as_slice() else {
                return None;
            };
            if link.effective_merge().is_some() || link.pick.is_some() || input.default.is_some() {
                return None;
            }
            lengths.push(match self.value(f, source) {
                Some(value) => value.as_array()?.len(),
                None => self.length_of(f, source)?,
            });
        }
        match step.scatter_method {
            ScatterMethod::DotProduct => {
                let first = *lengths.first()?;
                let same = lengths.iter().all(|n| *n == first);
                same.then(|| vec![first])
            }
            ScatterMethod::NestedCrossProduct => Some(lengths),
            ScatterMethod::FlatCrossProduct => {
                let count = lengths.iter().try_fold(1usize, |a, b| a.checked_mul(*b));
                Some(vec![count?])
            }
        }
    }

    /// How long the list will be that a step under way makes.
    fn length_of(&self, f: usize, source: &Source) -> Option<usize> {
        let Source::Step(name, _) = source else {
            return None;
        };
        let flow = &self.flows[f];
        let s = flow.workflow.steps.iter().position(|s| s.name == *name)?;
        match &flow.states[s] {
            State::Begun { shape, .. } => shape.first().copied(),
            _ => None,
        }
    }

    /// The work that makes the inputs of a step; none: some of it is not known.
    fn awaited(&self, f: usize, step: &Step) -> Option<Vec<JobKey>> {
        let flow = &self.flows[f];
        let mut keys = BTreeSet::new();
        for source in step.inputs.iter().flat_map(|i| &i.link.sources) {
            let Source::Step(name, _) = source else {
                continue;
            };
            let s = flow.workflow.steps.iter().position(|s| s.name == *name)?;
            match &flow.states[s] {
                State::Done(_) => {}
                State::Begun { parts, .. } => {
                    for part in parts {
                        match part {
                            Part::Task { key, .. } => {
                                keys.insert(key.clone());
                            }
                            Part::Flow => return None,
                            Part::Over(_) | Part::Skipped => {}
                        }
                    }
                }
                State::Waiting => return None,
            }
        }
        Some(keys.into_iter().collect())
    }

    /// A workflow whose steps are all done is over.
    fn close(&mut self, f: usize) -> bool {
        let flow = &self.flows[f];
        if !flow.states.iter().all(|s| matches!(s, State::Done(_))) {
            return false;
        }
        let common = &flow.workflow.common;
        let mut outputs = Map::new();
        for output in &common.outputs {
            let Some(link) = &output.link else { continue };
            let value = values::link_value(link, &|source| self.value(f, source));
            match value {
                Ok(value) => {
                    let value = value.map(|v| (*v).clone()).unwrap_or_default();
                    outputs.insert(output.name.clone(), value);
                }
                Err(e) => {
                    let fault = output.cursor.fault(e).to_string();
                    let path = flow.path.clone();
                    self.fails(&path, fault);
                    return false;
                }
            }
        }
        let outputs = Value::Object(outputs);
        let object = match values::check_outputs(common, outputs.clone()) {
            Ok(object) => object,
            Err(fault) => {
                let path = flow.path.clone();
                self.fails(&path, fault.to_string());
                return false;
            }
        };
        let parent = flow.parent;
        self.flows[f].over = true;
        match parent {
            None => self.outputs = Some(outputs),
            Some((f, s, m)) => {
                if let State::Begun { parts, .. } = &mut self.flows[f].states[s] {
                    parts[m] = Part::Over(object);
                }
            }
        }
        true
    }

    /// A job is done: what its tasks left behind, in order.
    pub fn job_done(&mut self, key: &JobKey, results: &[TaskResult]) {
        for f in 0..self.flows.len() {
            for s in 0..self.flows[f].states.len() {
                let workflow = self.flows[f].workflow.clone();
                let step = &workflow.steps[s];
                if self.path(f, step) == key.step && matches!(step.run, Process::Tool(_)) {
                    return self.step_ended(f, s, step, key, results);
                }
            }
        }
    }

    fn step_ended(
        &mut self,
        f: usize,
        s: usize,
        step: &Step,
        key: &JobKey,
        results: &[TaskResult],
    ) {
        let Process::Tool(tool) = &step.run else {
            return;
        };
        if let State::Begun { members: None, .. } = &self.flows[f].states[s] {
            // What it awaited is done, so its inputs are there now.
            match self.members(f, step) {
                Ok(Some(known)) => {
                    if let State::Begun { members, parts, .. } = &mut self.flows[f].states[s] {
                        if known.members.len() != parts.len() {
                            let reason = "its inputs are not as many as was foreseen".to_owned();
                            return self.fails(&key.step, reason);
                        }
                        *members = Some(known.members);
                    }
                }
                Ok(None) => {
                    let reason = "it was done before what it awaits".to_owned();
                    return self.fails(&key.step, reason);
                }
                Err(fault) => return self.fails(&key.step, fault.to_string()),
            }
        }
        let State::Begun {
            members: Some(members),
            parts,
            ..
        } = &mut self.flows[f].states[s]
        else {
            return;
        };
        for (m, part) in parts.iter_mut().enumerate() {
            let Part::Task { key: of, index } = &*part else {
                continue;
            };
            if of != key {
                continue;
            }
            let place = match members.len() {
                1 => String::new(),
                _ => format!("member {m}: "),
            };
            let made = match results.get(*index as usize) {
                Some(result) => {
                    let inputs = &members[m].inputs;
                    let made = command::collect_outputs(
                        tool,
                        inputs,
                        result.exit_code,
                        result,
                        &self.engine,
                    );
                    made.map_err(|e| e.to_string())
                }
                None => Err("it left no result behind".to_owned()),
            };
            match made {
                Ok(outputs) => *part = Part::Over(outputs),
                Err(reason) => return self.fails(&key.step, format!("{place}{reason}")),
            }
        }
    }
}

/// What comes out of all members of a step.
fn gather(step: &Step, shape: &[usize], parts: &[Part]) -> BTreeMap<String, Arc<Value>> {
    let outputs = step.outputs.iter().map(|name| {
        let each = parts.iter().map(|part| match part {
            Part::Over(object) => object.get(name).map(|v| (**v).clone()).unwrap_or_default(),
            _ => Value::Null,
        });
        let value = values::gather_outputs(shape, step.scatter_method, each.collect());
        (name.clone(), Arc::new(value))
    });
    outputs.collect()
}

/// A process that is no workflow, as the only step of one.
fn alone(process: &Process) -> Arc<Workflow> {
    use oliveshift_cwl::document::{Common, Link, Output, StepInput};
    let common = process.common();
    let link = |source| Link {
        sources: vec![source],
        merge: None,
        pick: None,
    };
    let cursor: Cursor = common.cursor.clone();
    let inputs = common.inputs.iter().map(|p| StepInput {
        name: p.name.clone(),
        link: link(Source::Input(p.name.clone())),
        default: None,
        value_from: None,
        load_contents: false,
        cursor: cursor.clone(),
    });
    let name = "run".to_owned();
    let outputs = common.outputs.iter().map(|o| Output {
        output_binding: None,
        link: Some(link(Source::Step(name.clone(), o.name.clone()))),
        ..o.clone()
    });
    let step = Step {
        inputs: inputs.collect(),
        outputs: common.outputs.iter().map(|o| o.name.clone()).collect(),
        run: process.clone(),
        when: None,
        scatter: Vec::new(),
        scatter_method: ScatterMethod::DotProduct,
        requirements: common.requirements.clone(),
        cursor: cursor.clone(),
        name: name.clone(),
    };
    Arc::new(Workflow {
        common: Common {
            id: common.id.clone(),
            cursor,
            inputs: common.inputs.clone(),
            outputs: outputs.collect(),
            requirements: common.requirements.clone(),
        },
        steps: vec![step],
    })
}
