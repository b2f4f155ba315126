//! Evaluates one run: which steps can start, their outputs, and the run's result.
//!
//! Nothing here is stored. The same document, inputs and task results always give
//! the same state, so a run is recovered after a crash by evaluating it again.

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

/// Maximum number of workflows in one run. Each member of a scattered step that
/// runs a workflow counts.
const MAX_WORKFLOWS: usize = 10_000;

/// Identifies a job within a run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    /// The path of the step, such as `split` or, in member 3 of the scattered
    /// subworkflow `survey`, `survey.3.filter`.
    pub step: String,
    /// Index of the group of members within the step. Members with the same
    /// requirements are in one group.
    pub group: u32,
}

/// A job to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Identifies the job within the run.
    pub key: JobKey,
    /// The requirements of each task.
    pub requirements: TaskRequirements,
    /// The number of tasks.
    pub tasks: u32,
    /// Jobs that must be done before this one starts.
    pub awaits: Vec<JobKey>,
}

/// Why a run failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The path of the failed step or subworkflow; empty if the failure belongs to
    /// the run as a whole.
    pub step: String,
    /// The reason, as text for users.
    pub reason: String,
}

/// The state of one member of a started step.
#[derive(Debug)]
enum MemberState {
    /// Not run: its `when` condition is false.
    Skipped,
    /// A task that is not done: its job, and its index in the job.
    Task { key: JobKey, index: u32 },
    /// A nested workflow that is not done.
    Workflow,
    /// Done, with its outputs.
    Done(Object),
}

/// The state of a step.
#[derive(Debug)]
enum StepState {
    Waiting,
    Started {
        shape: Vec<usize>,
        /// `None` if the step started before its inputs were known.
        members: Option<Vec<Member>>,
        member_states: Vec<MemberState>,
    },
    Done(BTreeMap<String, Arc<Value>>),
}

/// A workflow of a run: the main one, or one that a member of a step runs.
#[derive(Debug)]
struct WorkflowInstance {
    path: String,
    workflow: Arc<Workflow>,
    inputs: Object,
    states: Vec<StepState>,
    /// The indices of the parent workflow, of its step and of the step's member
    /// that this workflow runs for.
    parent: Option<(usize, usize, usize)>,
    done: bool,
}

/// The evaluation state of one run.
#[derive(Debug)]
pub struct Run {
    engine: Engine,
    workflows: Vec<WorkflowInstance>,
    file_contents: BTreeMap<String, String>,
    files_to_read: BTreeSet<String>,
    failure: Option<Failure>,
    outputs: Option<Value>,
}

impl Run {
    /// Starts a run. [`Self::advance`] returns its first jobs.
    ///
    /// # Errors
    /// An input is missing or does not match its declared type.
    pub fn new(process: &Process, given: &Value, engine: Engine) -> Result<Self, Fault> {
        let workflow = match process {
            Process::Workflow(workflow) => workflow.clone(),
            other => single_step_workflow(other),
        };
        let map = given.as_object().cloned().unwrap_or_default();
        let given: Object = map.into_iter().map(|(n, v)| (n, Arc::new(v))).collect();
        let common = &workflow.common;
        let inputs = values::process_inputs(common, &given, &|_| None, &common.cursor)?;
        let mut run = Self {
            engine,
            workflows: Vec::new(),
            file_contents: BTreeMap::new(),
            files_to_read: BTreeSet::new(),
            failure: None,
            outputs: None,
        };
        run.start_workflow(String::new(), workflow, inputs, None);
        Ok(run)
    }

    fn start_workflow(
        &mut self,
        path: String,
        workflow: Arc<Workflow>,
        inputs: Object,
        parent: Option<(usize, usize, usize)>,
    ) {
        let states = workflow.steps.iter().map(|_| StepState::Waiting).collect();
        self.workflows.push(WorkflowInstance {
            path,
            workflow,
            inputs,
            states,
            parent,
            done: false,
        });
    }

    /// The first failure of the run.
    pub fn failure(&self) -> Option<&Failure> {
        self.failure.as_ref()
    }

    /// The outputs of the run, once it is complete.
    pub fn outputs(&self) -> Option<&Value> {
        self.outputs.as_ref()
    }

    /// Locations of the files whose contents the run waits for.
    pub fn files_to_read(&self) -> impl Iterator<Item = &String> {
        self.files_to_read.iter()
    }

    /// Supplies the first part of the contents of a file. `None` means that the
    /// file can't be read, which fails the run.
    pub fn file_read(&mut self, location: &str, text: Option<String>) {
        self.files_to_read.remove(location);
        match text {
            Some(text) => {
                self.file_contents.insert(location.to_owned(), text);
            }
            None => self.fail("", format!("{location} can't be read")),
        }
    }

    fn fail(&mut self, step: &str, reason: String) {
        // Only the first failure is kept.
        let step = step.to_owned();
        self.failure.get_or_insert(Failure { step, reason });
    }

    /// The paths of the steps that have not started, each with a text for users on
    /// what it waits for.
    pub fn waiting_steps(&self) -> impl Iterator<Item = (String, String)> {
        self.workflows
            .iter()
            .enumerate()
            .flat_map(move |(w, instance)| {
                let waits = instance.workflow.steps.iter().zip(&instance.states);
                let waits = waits.filter(|(_, state)| matches!(state, StepState::Waiting));
                waits.map(move |(step, _)| (self.step_path(w, step), self.describe_wait(w, step)))
            })
    }

    fn describe_wait(&self, w: usize, step: &Step) -> String {
        let instance = &self.workflows[w];
        let before = step.inputs.iter().flat_map(|i| &i.link.sources);
        let before = before.filter_map(|source| match source {
            Source::Step(name, _) => Some(name),
            Source::Input(_) => None,
        });
        let is_open = |name: &&String| {
            let s = instance
                .workflow
                .steps
                .iter()
                .position(|s| s.name == **name);
            s.is_some_and(|s| !matches!(instance.states[s], StepState::Done(_)))
        };
        let before: BTreeSet<&str> = before.filter(is_open).map(String::as_str).collect();
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

    /// Fails the run because a job was refused or cancelled.
    pub fn job_failed(&mut self, key: &JobKey, reason: String) {
        self.fail(&key.step, reason);
    }

    /// Evaluates the run as far as possible and returns the jobs to submit; none
    /// if the run fails.
    pub fn advance(&mut self) -> Vec<JobRequest> {
        let mut requests = Vec::new();
        let mut progressed = true;
        while progressed && self.failure.is_none() && self.outputs.is_none() {
            progressed = false;
            for w in 0..self.workflows.len() {
                if self.workflows[w].done {
                    continue;
                }
                for s in 0..self.workflows[w].states.len() {
                    progressed |= self.advance_step(w, s, &mut requests);
                    if self.failure.is_some() {
                        return Vec::new();
                    }
                }
                progressed |= self.complete_workflow(w);
            }
        }
        requests
    }

    /// Starts or completes a step if it is ready; true if its state changed.
    fn advance_step(&mut self, w: usize, s: usize, requests: &mut Vec<JobRequest>) -> bool {
        let workflow = self.workflows[w].workflow.clone();
        let step = &workflow.steps[s];
        match &self.workflows[w].states[s] {
            StepState::Waiting => {
                if self.needs_file_contents(w, step) {
                    return false;
                }
                match self.members(w, step) {
                    Ok(Some(members)) => self.start_step(w, s, step, members, requests),
                    Ok(None) => self.start_step_early(w, s, step, requests),
                    Err(fault) => {
                        let path = self.step_path(w, step);
                        self.fail(&path, fault.to_string());
                        false
                    }
                }
            }
            StepState::Started {
                shape,
                member_states,
                ..
            } => {
                if !member_states
                    .iter()
                    .all(|m| matches!(m, MemberState::Done(_) | MemberState::Skipped))
                {
                    return false;
                }
                let outputs = gather_outputs(step, shape, member_states);
                self.workflows[w].states[s] = StepState::Done(outputs);
                true
            }
            StepState::Done(_) => false,
        }
    }

    fn step_path(&self, w: usize, step: &Step) -> String {
        match self.workflows[w].path.as_str() {
            "" => step.name.clone(),
            path => format!("{path}.{}", step.name),
        }
    }

    fn source_value(&self, w: usize, source: &Source) -> Option<Arc<Value>> {
        let instance = &self.workflows[w];
        match source {
            Source::Input(name) => Some(instance.inputs.get(name).cloned().unwrap_or_default()),
            Source::Step(name, output) => {
                let s = instance
                    .workflow
                    .steps
                    .iter()
                    .position(|s| s.name == *name)?;
                match &instance.states[s] {
                    StepState::Done(outputs) => {
                        Some(outputs.get(output).cloned().unwrap_or_default())
                    }
                    _ => None,
                }
            }
        }
    }

    /// Whether a step needs file contents that have not been read; adds those files
    /// to the list of files to read.
    fn needs_file_contents(&mut self, w: usize, step: &Step) -> bool {
        let files_to_read = values::files_to_load(step, &|source| self.source_value(w, source));
        let missing: Vec<_> = files_to_read
            .into_iter()
            .filter(|location| !self.file_contents.contains_key(location))
            .collect();
        let any = !missing.is_empty();
        self.files_to_read.extend(missing);
        any
    }

    fn members(&self, w: usize, step: &Step) -> Result<Option<values::Members>, Fault> {
        let contents = |location: &str| self.file_contents.get(location).cloned();
        let of = |source: &Source| self.source_value(w, source);
        values::members(step, &of, &contents, &self.engine)
    }

    fn start_step(
        &mut self,
        w: usize,
        s: usize,
        step: &Step,
        members: values::Members,
        requests: &mut Vec<JobRequest>,
    ) -> bool {
        let path = self.step_path(w, step);
        let scattered = !members.shape.is_empty();
        let mut member_states = Vec::with_capacity(members.members.len());
        let mut groups: Vec<(TaskRequirements, u32)> = Vec::new();
        for (m, member) in members.members.iter().enumerate() {
            if !member.should_run {
                member_states.push(MemberState::Skipped);
                continue;
            }
            let state = match &step.run {
                Process::Tool(tool) => {
                    let requirements = task_requirements(tool, Some(&member.inputs), &self.engine);
                    requirements.map(|requirements| {
                        let requirements =
                            requirements.expect("requirements are known when the inputs are");
                        // Consecutive members mostly have the same requirements, so the
                        // search begins at the newest group.
                        let group = match groups.iter().rposition(|g| g.0 == requirements) {
                            Some(group) => group,
                            None => {
                                groups.push((requirements, 0));
                                groups.len() - 1
                            }
                        };
                        groups[group].1 += 1;
                        MemberState::Task {
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
                    made.map(MemberState::Done)
                }
                Process::Workflow(inner) => {
                    if self.workflows.len() >= MAX_WORKFLOWS {
                        self.fail(
                            &path,
                            format!("the run has more than {MAX_WORKFLOWS} workflows"),
                        );
                        return false;
                    }
                    let inner_path = match scattered {
                        true => format!("{path}.{m}"),
                        false => path.clone(),
                    };
                    let inputs = member.inputs.clone();
                    self.start_workflow(inner_path, inner.clone(), inputs, Some((w, s, m)));
                    Ok(MemberState::Workflow)
                }
            };
            match state {
                Ok(state) => member_states.push(state),
                Err(fault) => {
                    self.fail(&path, fault.to_string());
                    return false;
                }
            }
        }
        for (group, (requirements, tasks)) in groups.into_iter().enumerate() {
            requests.push(JobRequest {
                key: JobKey {
                    step: path.clone(),
                    group: group as u32,
                },
                requirements,
                tasks,
                awaits: Vec::new(),
            });
        }
        self.workflows[w].states[s] = StepState::Started {
            shape: members.shape,
            members: Some(members.members),
            member_states,
        };
        true
    }

    /// Starts a step whose inputs are produced by jobs that are not done, if its
    /// requirements and its number of members are known. True if it started.
    fn start_step_early(
        &mut self,
        w: usize,
        s: usize,
        step: &Step,
        requests: &mut Vec<JobRequest>,
    ) -> bool {
        let Process::Tool(tool) = &step.run else {
            return false;
        };
        let requirements = match task_requirements(tool, None, &self.engine) {
            Ok(Some(requirements)) if can_submit_early(step) => requirements,
            _ => return false,
        };
        let Some(shape) = self.expected_shape(w, step) else {
            return false;
        };
        let Some(awaits) = self.awaited_jobs(w, step) else {
            return false;
        };
        let key = JobKey {
            step: self.step_path(w, step),
            group: 0,
        };
        let count: usize = shape.iter().product();
        if count == 0 || count > values::MAX_SCATTER_MEMBERS {
            return false;
        }
        let member_states = (0..count as u32).map(|index| MemberState::Task {
            key: key.clone(),
            index,
        });
        let member_states = member_states.collect();
        requests.push(JobRequest {
            key,
            requirements,
            tasks: count as u32,
            awaits,
        });
        self.workflows[w].states[s] = StepState::Started {
            shape,
            members: None,
            member_states,
        };
        true
    }

    /// The scatter dimensions of a step, if they are certain before all its inputs
    /// are known.
    fn expected_shape(&self, w: usize, step: &Step) -> Option<Vec<usize>> {
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
            lengths.push(match self.source_value(w, source) {
                Some(value) => value.as_array()?.len(),
                None => self.expected_length(w, source)?,
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

    /// The length of the list that a started step will produce, if it is known.
    fn expected_length(&self, w: usize, source: &Source) -> Option<usize> {
        let Source::Step(name, _) = source else {
            return None;
        };
        let instance = &self.workflows[w];
        let s = instance
            .workflow
            .steps
            .iter()
            .position(|s| s.name == *name)?;
        match &instance.states[s] {
            StepState::Started { shape, .. } => shape.first().copied(),
            _ => None,
        }
    }

    /// The jobs that produce the inputs of a step; `None` if some of them are not
    /// known yet.
    fn awaited_jobs(&self, w: usize, step: &Step) -> Option<Vec<JobKey>> {
        let instance = &self.workflows[w];
        let mut keys = BTreeSet::new();
        for source in step.inputs.iter().flat_map(|i| &i.link.sources) {
            let Source::Step(name, _) = source else {
                continue;
            };
            let s = instance
                .workflow
                .steps
                .iter()
                .position(|s| s.name == *name)?;
            match &instance.states[s] {
                StepState::Done(_) => {}
                StepState::Started { member_states, .. } => {
                    for state in member_states {
                        match state {
                            MemberState::Task { key, .. } => {
                                keys.insert(key.clone());
                            }
                            MemberState::Workflow => return None,
                            MemberState::Done(_) | MemberState::Skipped => {}
                        }
                    }
                }
                StepState::Waiting => return None,
            }
        }
        Some(keys.into_iter().collect())
    }

    /// Completes a workflow whose steps are all done; true if it completed.
    fn complete_workflow(&mut self, w: usize) -> bool {
        let instance = &self.workflows[w];
        if !instance
            .states
            .iter()
            .all(|s| matches!(s, StepState::Done(_)))
        {
            return false;
        }
        let common = &instance.workflow.common;
        let mut outputs = Map::new();
        for output in &common.outputs {
            let Some(link) = &output.link else { continue };
            let value = values::link_value(link, &|source| self.source_value(w, source));
            match value {
                Ok(value) => {
                    let value = value.map(|v| (*v).clone()).unwrap_or_default();
                    outputs.insert(output.name.clone(), value);
                }
                Err(e) => {
                    let fault = output.cursor.fault(e).to_string();
                    let path = instance.path.clone();
                    self.fail(&path, fault);
                    return false;
                }
            }
        }
        let outputs = Value::Object(outputs);
        let object = match values::check_outputs(common, outputs.clone()) {
            Ok(object) => object,
            Err(fault) => {
                let path = instance.path.clone();
                self.fail(&path, fault.to_string());
                return false;
            }
        };
        let parent = instance.parent;
        self.workflows[w].done = true;
        match parent {
            None => self.outputs = Some(outputs),
            Some((w, s, m)) => {
                if let StepState::Started { member_states, .. } = &mut self.workflows[w].states[s] {
                    member_states[m] = MemberState::Done(object);
                }
            }
        }
        true
    }

    /// Takes the results of a job that is done, in the order of its tasks.
    pub fn job_done(&mut self, key: &JobKey, results: &[TaskResult]) {
        for w in 0..self.workflows.len() {
            for s in 0..self.workflows[w].states.len() {
                let workflow = self.workflows[w].workflow.clone();
                let step = &workflow.steps[s];
                if self.step_path(w, step) == key.step && matches!(step.run, Process::Tool(_)) {
                    return self.step_job_done(w, s, step, key, results);
                }
            }
        }
    }

    fn step_job_done(
        &mut self,
        w: usize,
        s: usize,
        step: &Step,
        key: &JobKey,
        results: &[TaskResult],
    ) {
        let Process::Tool(tool) = &step.run else {
            return;
        };
        if let StepState::Started { members: None, .. } = &self.workflows[w].states[s] {
            // The jobs that this one awaited are done, so its inputs are known.
            match self.members(w, step) {
                Ok(Some(known)) => {
                    if let StepState::Started {
                        members,
                        member_states,
                        ..
                    } = &mut self.workflows[w].states[s]
                    {
                        if known.members.len() != member_states.len() {
                            let reason =
                                "the number of members differs from the number of tasks submitted"
                                    .to_owned();
                            return self.fail(&key.step, reason);
                        }
                        *members = Some(known.members);
                    }
                }
                Ok(None) => {
                    let reason = "its job was done before the jobs that it awaits".to_owned();
                    return self.fail(&key.step, reason);
                }
                Err(fault) => return self.fail(&key.step, fault.to_string()),
            }
        }
        let StepState::Started {
            members: Some(members),
            member_states,
            ..
        } = &mut self.workflows[w].states[s]
        else {
            return;
        };
        for (m, state) in member_states.iter_mut().enumerate() {
            let MemberState::Task { key: of, index } = &*state else {
                continue;
            };
            if of != key {
                continue;
            }
            let prefix = match members.len() {
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
                None => Err("the task has no result".to_owned()),
            };
            match made {
                Ok(outputs) => *state = MemberState::Done(outputs),
                Err(reason) => return self.fail(&key.step, format!("{prefix}{reason}")),
            }
        }
    }
}

/// Combines the outputs of all members of a step.
fn gather_outputs(
    step: &Step,
    shape: &[usize],
    member_states: &[MemberState],
) -> BTreeMap<String, Arc<Value>> {
    let outputs = step.outputs.iter().map(|name| {
        let each = member_states.iter().map(|state| match state {
            MemberState::Done(object) => {
                object.get(name).map(|v| (**v).clone()).unwrap_or_default()
            }
            _ => Value::Null,
        });
        let value = values::gather_outputs(shape, step.scatter_method, each.collect());
        (name.clone(), Arc::new(value))
    });
    outputs.collect()
}

/// Wraps a process that is not a workflow as the only step of a workflow.
fn single_step_workflow(process: &Process) -> Arc<Workflow> {
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
