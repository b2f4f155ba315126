//! Documents become processes: files are brought together, and what does not
//! fit is found before anything runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    cursor::{Cursor, local_name},
    document::{
        Binding, Common, ExpressionTool, Link, LinkMerge, PickValue, Process, ScatterMethod,
        Source, Step, StepInput, Tool, Workflow, binding, link, outputs, parameters,
    },
    expr::Template,
    fault::Fault,
    requirements::Requirements,
    types::Type,
    yaml::{self, Data, MAX_DEPTH, Node},
};

/// The version of CWL that is understood.
pub const VERSION: &str = "v1.2";
/// The most files of one document, each time that one is brought in.
const MAX_FILES: usize = 256;
/// The most bytes of all of them.
const MAX_TOTAL_BYTES: usize = 16 << 20;
/// The deepest nesting of workflows in workflows.
const MAX_WORKFLOW_DEPTH: usize = 16;
/// The most values of a document, what is imported counted each time.
const MAX_VALUES: usize = 500_000;

/// Gives the text of files.
pub trait Resolver {
    /// The text of a file, by its path relative to where documents are, with
    /// `/` and without `.` and `..`.
    ///
    /// # Errors
    /// Why there is none, in words.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// Reads a document: a file, or one process of it, `file.cwl#name`.
///
/// # Errors
/// The first fault that is found.
pub fn load(resolver: &dyn Resolver, path: &str) -> Result<Process, Fault> {
    let mut loader = Loader {
        resolver,
        files: BTreeMap::new(),
        values: 0,
        reads: 0,
        bytes: 0,
    };
    let (file, name) = match path.split_once('#') {
        Some((file, name)) => (file, Some(name)),
        None => (path, None),
    };
    let file = join("", file).map_err(|what| file_fault(file, what))?;
    let mut running = Vec::new();
    loader.process(&file, name, &Requirements::default(), &mut running)
}

/// Reads the values that go into a process: a YAML or JSON file.
///
/// # Errors
/// It is none, or no map.
pub fn values(file: &str, text: &str) -> Result<Node, Fault> {
    let node = yaml::parse(file, text)?;
    match node.data {
        Data::Map(_) => Ok(node),
        _ => Err(Cursor::top(node).fault("inputs are a map from names to values")),
    }
}

fn file_fault(file: &str, message: String) -> Fault {
    Fault {
        file: file.to_owned(),
        line: 1,
        path: String::new(),
        message,
    }
}

/// The path of a file that another one names.
fn join(from: &str, name: &str) -> Result<String, String> {
    if name.contains("://") || name.starts_with('/') || name.contains('\\') {
        return Err(format!("`{name}`: only files by relative path are read"));
    }
    let mut parts: Vec<&str> = from.split('/').collect();
    parts.pop();
    for part in name.split('/') {
        match part {
            "" | "." => {}
            ".." => {
                if parts.pop().is_none() {
                    return Err(format!("`{name}` leads out of the documents' directory"));
                }
            }
            part => parts.push(part),
        }
    }
    Ok(parts.join("/"))
}

struct Loader<'a> {
    resolver: &'a dyn Resolver,
    files: BTreeMap<String, Node>,
    values: usize,
    reads: usize,
    bytes: usize,
}

impl Loader<'_> {
    /// A file with all that it imports.
    fn file(&mut self, path: &str, by: Option<&Cursor>) -> Result<Node, Fault> {
        if let Some(node) = self.files.get(path) {
            return Ok(node.clone());
        }
        let text = self.text(path, by)?;
        let node = yaml::parse(path, &text)?;
        let mut open = vec![path.to_owned()];
        let node = self.resolve_imports(&Cursor::top(node), &mut open, 0)?;
        self.files.insert(path.to_owned(), node.clone());
        Ok(node)
    }

    fn text(&mut self, path: &str, by: Option<&Cursor>) -> Result<String, Fault> {
        let fault = |what: String| match by {
            Some(cursor) => cursor.fault(what),
            None => file_fault(path, what),
        };
        self.reads += 1;
        if self.reads > MAX_FILES {
            return Err(fault(format!("more than {MAX_FILES} files")));
        }
        let text = self.resolver.read(path);
        let text = text.map_err(|e| fault(format!("{path}: {e}")))?;
        if text.len() > yaml::MAX_FILE_BYTES {
            return Err(fault(format!(
                "{path}: larger than {} bytes",
                yaml::MAX_FILE_BYTES
            )));
        }
        self.bytes += text.len();
        if self.bytes > MAX_TOTAL_BYTES {
            return Err(fault(format!(
                "more than {MAX_TOTAL_BYTES} bytes in all files"
            )));
        }
        Ok(text)
    }

    /// Puts the contents of files where `$import` and `$include` name them.
    fn resolve_imports(
        &mut self,
        cursor: &Cursor,
        open: &mut Vec<String>,
        depth: usize,
    ) -> Result<Node, Fault> {
        self.values += 1;
        if depth > MAX_DEPTH || self.values > MAX_VALUES {
            return Err(cursor.fault("too deep or too large with what it imports"));
        }
        let data = match &cursor.node.data {
            Data::List(list) => {
                let mut all = Vec::with_capacity(list.len());
                for (i, node) in list.iter().enumerate() {
                    let cursor = cursor.below(&i.to_string(), node.clone());
                    all.push(self.resolve_imports(&cursor, open, depth + 1)?);
                }
                Data::List(Arc::new(all))
            }
            Data::Map(map) => {
                if let [(name, node)] = map.as_slice()
                    && (&**name == "$import" || &**name == "$include")
                {
                    return self.imported(&cursor.below(name, node.clone()), open, depth);
                }
                let mut all = Vec::with_capacity(map.len());
                for (name, node) in map.iter() {
                    let cursor = cursor.below(name, node.clone());
                    all.push((
                        name.clone(),
                        self.resolve_imports(&cursor, open, depth + 1)?,
                    ));
                }
                Data::Map(Arc::new(all))
            }
            data => data.clone(),
        };
        Ok(Node {
            location: cursor.node.location.clone(),
            data,
        })
    }

    fn imported(
        &mut self,
        cursor: &Cursor,
        open: &mut Vec<String>,
        depth: usize,
    ) -> Result<Node, Fault> {
        let name = cursor.text()?;
        let path = join(&cursor.node.location.file, name).map_err(|e| cursor.fault(e))?;
        if cursor.path.ends_with("$include") {
            let text = self.text(&path, Some(cursor))?;
            return Ok(Node {
                location: cursor.node.location.clone(),
                data: Data::Text(text.into()),
            });
        }
        if open.contains(&path) {
            return Err(cursor.fault(format!("{path} imports itself")));
        }
        let text = self.text(&path, Some(cursor))?;
        let node = yaml::parse(&path, &text)?;
        open.push(path);
        let node = self.resolve_imports(&Cursor::top(node), open, depth + 1);
        open.pop();
        node
    }

    /// A process of a file; `running` are those that it is a part of.
    fn process(
        &mut self,
        file: &str,
        name: Option<&str>,
        outer: &Requirements,
        running: &mut Vec<(String, String)>,
    ) -> Result<Process, Fault> {
        let top = Cursor::top(self.file(file, None)?);
        check_version(&top)?;
        let Some(graph) = top.node.get("$graph") else {
            let own = top.node.get("id").map(|id| top.below("id", id.clone()));
            let own = own.map(|id| id.text().map(|t| local_name(t).to_owned()));
            let own = own.transpose()?.unwrap_or_default();
            if let Some(name) = name
                && name != own
            {
                return Err(top.fault(format!("there is no process `{name}` in this file")));
            }
            return self.inline(&top, file, &own, outer, running);
        };
        let graph = top.below("$graph", graph.clone());
        let all = graph.named("id", None)?;
        let wanted = name.unwrap_or("main");
        let found = all.iter().find(|(id, _)| local_name(id) == wanted);
        let found = match (found, all.as_slice()) {
            (Some(found), _) => found,
            (None, [only]) if name.is_none() => only,
            _ => return Err(graph.fault(format!("there is no process `{wanted}` in this file"))),
        };
        let cursor = found.1.clone();
        self.inline(&cursor, file, local_name(&found.0), outer, running)
    }

    /// A process that stands here.
    fn inline(
        &mut self,
        cursor: &Cursor,
        file: &str,
        id: &str,
        outer: &Requirements,
        running: &mut Vec<(String, String)>,
    ) -> Result<Process, Fault> {
        let me = (file.to_owned(), format!("{id}:{}", cursor.path));
        if running.contains(&me) {
            return Err(cursor.fault("it is a step of itself"));
        }
        if running.len() >= MAX_WORKFLOW_DEPTH {
            let what = format!("workflows in workflows, more than {MAX_WORKFLOW_DEPTH} deep");
            return Err(cursor.fault(what));
        }
        running.push(me);
        let process = self.read(cursor, file, id, outer, running);
        running.pop();
        process
    }

    fn read(
        &mut self,
        cursor: &Cursor,
        file: &str,
        id: &str,
        outer: &Requirements,
        running: &mut Vec<(String, String)>,
    ) -> Result<Process, Fault> {
        let mut fields = cursor.fields()?;
        fields.allow_descriptive_fields();
        fields.get("cwlVersion");
        let class = fields.require("class")?;
        let requirements = Requirements::read(&mut fields, outer)?;
        let names = requirements.named_types();
        let js = requirements.library().is_some();
        let common = Common {
            id: if id.is_empty() { file } else { id }.to_owned(),
            cursor: cursor.clone(),
            inputs: parameters(Some(fields.require("inputs")?), &names, js)?,
            outputs: outputs(Some(fields.require("outputs")?), &names, js)?,
            requirements,
        };
        let template = |cursor: Option<Cursor>| cursor.map(|s| Template::parse(&s, js)).transpose();
        let process = match class.text()? {
            "CommandLineTool" => {
                let command = fields.get("baseCommand");
                let command = command.map(|c| c.texts()).transpose()?.unwrap_or_default();
                let mut arguments = Vec::new();
                for cursor in fields
                    .get("arguments")
                    .map(|a| a.to_list())
                    .unwrap_or_default()
                {
                    arguments.push(argument(&cursor, js)?);
                }
                let mut codes = |name| -> Result<Vec<i64>, Fault> {
                    let list = fields.get(name).map(|c| c.ints()).transpose()?;
                    Ok(list.unwrap_or_default())
                };
                let success_codes = codes("successCodes")?;
                let temporary_fail_codes = codes("temporaryFailCodes")?;
                let permanent_fail_codes = codes("permanentFailCodes")?;
                Process::Tool(Arc::new(Tool {
                    command,
                    arguments,
                    stdin: template(fields.get("stdin"))?,
                    stdout: template(fields.get("stdout"))?,
                    stderr: template(fields.get("stderr"))?,
                    success_codes,
                    temporary_fail_codes,
                    permanent_fail_codes,
                    common,
                }))
            }
            "ExpressionTool" => {
                let expression = Template::parse(&fields.require("expression")?, js)?;
                Process::Expression(Arc::new(ExpressionTool { common, expression }))
            }
            "Workflow" => {
                let steps = fields.require("steps")?;
                let workflow = self.workflow(common, &steps, file, running)?;
                Process::Workflow(Arc::new(workflow))
            }
            "Operation" => {
                return Err(class.fault("an Operation only describes; it can't be run"));
            }
            other => return Err(class.fault(format!("the class `{other}` is not known"))),
        };
        fields.finish()?;
        match &process {
            Process::Tool(tool) if tool.command.is_empty() && tool.arguments.is_empty() => {
                Err(cursor.fault("neither `baseCommand` nor `arguments`: nothing to run"))
            }
            _ => Ok(process),
        }
    }

    fn workflow(
        &mut self,
        mut common: Common,
        cursor: &Cursor,
        file: &str,
        running: &mut Vec<(String, String)>,
    ) -> Result<Workflow, Fault> {
        let mut steps: Vec<Step> = Vec::new();
        for (name, cursor) in cursor.named("id", None)? {
            let step = self.step(
                local_name(&name),
                &cursor,
                &common.requirements,
                file,
                running,
            )?;
            if steps.iter().any(|s| s.name == step.name) {
                return Err(cursor.fault(format!("`{}` is named twice", step.name)));
            }
            steps.push(step);
        }
        let inputs: BTreeMap<String, Type> = common
            .inputs
            .iter()
            .map(|i| (i.name.clone(), i.kind.clone()))
            .collect();
        let made: BTreeMap<(String, String), Type> = steps
            .iter()
            .flat_map(|s| {
                s.outputs
                    .iter()
                    .map(|o| ((s.name.clone(), o.clone()), output_type(s, o)))
            })
            .collect();
        let known = WorkflowTypes { inputs, made };
        for step in &mut steps {
            for input in &mut step.inputs {
                known.resolve_sources(&mut input.link, &input.cursor)?;
            }
            known.check_step(step)?;
        }
        for output in &mut common.outputs {
            let cursor = output.cursor.clone();
            let Some(link) = &mut output.link else {
                return Err(cursor.fault("`outputSource` is missing"));
            };
            known.resolve_sources(link, &cursor)?;
            let comes = known.link_type(link);
            if !comes.may_match(&output.kind) {
                return Err(cursor.fault(format!("{} is expected, but {comes} comes", output.kind)));
            }
        }
        let steps = topological_order(steps)?;
        Ok(Workflow { common, steps })
    }

    fn step(
        &mut self,
        name: &str,
        cursor: &Cursor,
        outer: &Requirements,
        file: &str,
        running: &mut Vec<(String, String)>,
    ) -> Result<Step, Fault> {
        let mut fields = cursor.fields()?;
        fields.allow_descriptive_fields();
        let requirements = Requirements::read(&mut fields, outer)?;
        let js = requirements.library().is_some();
        let run = fields.require("run")?;
        let process = match run.text() {
            Ok(text) => {
                let (path, name) = match text.split_once('#') {
                    Some((path, name)) => (path, Some(name)),
                    None => (text, None),
                };
                let path = match path {
                    "" => file.to_owned(),
                    path => join(file, path).map_err(|e| run.fault(e))?,
                };
                self.file(&path, Some(&run))?;
                self.process(&path, name.map(local_name), &requirements, running)?
            }
            Err(_) => self.inline(&run, file, name, &requirements, running)?,
        };
        let mut inputs = Vec::new();
        for (name, cursor) in fields.require("in")?.named("id", Some("source"))? {
            let cursor = with_source(cursor);
            inputs.push(step_input(local_name(&name), &cursor, js)?);
        }
        let mut outputs = Vec::new();
        for out in fields.require("out")?.to_list() {
            let name = match out.node.get("id") {
                Some(id) => out.below("id", id.clone()).text()?.to_owned(),
                None => out.text()?.to_owned(),
            };
            let name = local_name(&name).to_owned();
            if !process.common().outputs.iter().any(|o| o.name == name) {
                return Err(out.fault(format!("what it runs has no output `{name}`")));
            }
            outputs.push(name);
        }
        let scatter = fields.get("scatter").map(|s| s.texts()).transpose()?;
        let scatter: Vec<_> = scatter.unwrap_or_default();
        let scatter: Vec<_> = scatter.iter().map(|s| local_name(s).to_owned()).collect();
        let scatter_method = match fields.get("scatterMethod") {
            Some(cursor) => match cursor.text()? {
                "dotproduct" => ScatterMethod::DotProduct,
                "nested_crossproduct" => ScatterMethod::NestedCrossProduct,
                "flat_crossproduct" => ScatterMethod::FlatCrossProduct,
                other => return Err(cursor.fault(format!("`{other}` is not known"))),
            },
            None if scatter.len() > 1 => {
                return Err(cursor.fault("`scatterMethod` is missing: several are scattered over"));
            }
            None => ScatterMethod::DotProduct,
        };
        for name in &scatter {
            if !inputs.iter().any(|i| i.name == *name) {
                return Err(cursor.fault(format!("scatter: there is no input `{name}`")));
            }
        }
        let when = fields.get("when");
        let when = when.map(|w| Template::parse(&w, js)).transpose()?;
        if let Some(when) = &when
            && when.is_constant()
        {
            return Err(when.cursor().fault("an expression is expected"));
        }
        fields.finish()?;
        Ok(Step {
            name: name.to_owned(),
            cursor: cursor.clone(),
            inputs,
            outputs,
            run: process,
            when,
            scatter,
            scatter_method,
            requirements,
        })
    }
}

fn check_version(top: &Cursor) -> Result<(), Fault> {
    let Some(version) = top.node.get("cwlVersion") else {
        return Err(top.fault("`cwlVersion` is missing"));
    };
    let version = top.below("cwlVersion", version.clone());
    match version.text()? {
        VERSION => Ok(()),
        other => Err(version.fault(format!("{VERSION} is understood, not {other}"))),
    }
}

fn argument(cursor: &Cursor, js: bool) -> Result<Binding, Fault> {
    if matches!(cursor.node.data, Data::Map(_)) {
        let (binding, _) = binding(cursor, js)?;
        if binding.value_from.is_none() {
            return Err(cursor.fault("`valueFrom` is missing"));
        }
        return Ok(binding);
    }
    cursor.text()?;
    Ok(Binding {
        value_from: Some(Template::parse(cursor, js)?),
        ..Binding::word(true)
    })
}

/// An input that is only its source, as a map.
fn with_source(cursor: Cursor) -> Cursor {
    if matches!(cursor.node.data, Data::Map(_)) {
        return cursor;
    }
    let mut node = cursor.node.clone();
    node.data = Data::Map(Arc::new(vec![("source".into(), cursor.node.clone())]));
    Cursor {
        node,
        path: cursor.path,
    }
}

fn step_input(name: &str, cursor: &Cursor, js: bool) -> Result<StepInput, Fault> {
    let mut fields = cursor.fields()?;
    fields.allow_descriptive_fields();
    let link = match fields.get("source") {
        Some(source) => link(&source, &mut fields)?,
        None => Link {
            sources: Vec::new(),
            merge: None,
            pick: None,
        },
    };
    let default = fields.get_or_null("default").map(|d| d.node.to_value());
    let value_from = fields.get("valueFrom");
    let value_from = value_from.map(|v| Template::parse(&v, js)).transpose()?;
    let load = fields.get("loadContents").map(|l| l.bool()).transpose()?;
    if let Some(how) = fields.get("loadListing")
        && how.text()? != "no_listing"
    {
        return Err(how.fault("only `no_listing` is supported"));
    }
    fields.finish()?;
    Ok(StepInput {
        name: name.to_owned(),
        link,
        default: default.filter(|d| !d.is_null()),
        value_from,
        load_contents: load.unwrap_or(false),
        cursor: cursor.clone(),
    })
}

/// The type of what a step makes, all members of a scatter together.
fn output_type(step: &Step, output: &str) -> Type {
    let outputs = &step.run.common().outputs;
    let kind = outputs.iter().find(|o| o.name == output);
    let mut kind = kind.map_or(Type::Any, |o| o.kind.clone());
    if step.when.is_some() && !kind.is_optional() {
        kind = Type::Union(vec![Type::Null, kind]);
    }
    let depth = match (step.scatter.len(), step.scatter_method) {
        (0, _) => 0,
        (n, ScatterMethod::NestedCrossProduct) => n,
        _ => 1,
    };
    for _ in 0..depth {
        kind = Type::Array(Box::new(kind));
    }
    kind
}

/// What has a value in a workflow.
struct WorkflowTypes {
    inputs: BTreeMap<String, Type>,
    made: BTreeMap<(String, String), Type>,
}

impl WorkflowTypes {
    /// Finds out what the names of a link mean.
    fn resolve_sources(&self, link: &mut Link, cursor: &Cursor) -> Result<(), Fault> {
        for source in &mut link.sources {
            let Source::Input(name) = source else {
                continue;
            };
            let after = name.rsplit_once('#').map_or(name.as_str(), |(_, a)| a);
            let parts: Vec<_> = after.split('/').collect();
            let step = match parts.as_slice() {
                [.., step, out] => Some(((*step).to_owned(), (*out).to_owned())),
                _ => None,
            };
            *source = match step {
                Some(step) if self.made.contains_key(&step) => Source::Step(step.0, step.1),
                _ if self.inputs.contains_key(local_name(name)) => {
                    Source::Input(local_name(name).to_owned())
                }
                _ => return Err(cursor.fault(format!("`{name}` is no input and no step's output"))),
            };
        }
        Ok(())
    }

    fn source_type(&self, source: &Source) -> Type {
        let kind = match source {
            Source::Input(name) => self.inputs.get(name),
            Source::Step(step, out) => self.made.get(&(step.clone(), out.clone())),
        };
        kind.cloned().unwrap_or(Type::Any)
    }

    /// The type of what comes over a link.
    fn link_type(&self, link: &Link) -> Type {
        let mut types: Vec<_> = link.sources.iter().map(|s| self.source_type(s)).collect();
        let each = match link.effective_merge() {
            None if link.pick.is_none() => return types.pop().unwrap_or(Type::Null),
            Some(LinkMerge::Nested) => types,
            Some(LinkMerge::Flattened) | None => types.into_iter().map(into_items).collect(),
        };
        let each = match link.pick {
            Some(_) => each.into_iter().map(without_null).collect(),
            None => each,
        };
        let one = Type::Union(each);
        match link.pick {
            Some(PickValue::First | PickValue::Only) => one,
            Some(PickValue::All) | None => Type::Array(Box::new(one)),
        }
    }

    /// Whether what comes fits what the process takes.
    fn check_step(&self, step: &Step) -> Result<(), Fault> {
        let takes = &step.run.common().inputs;
        for input in &step.inputs {
            let mut comes = self.link_type(&input.link);
            let given = !input.link.sources.is_empty();
            if let Some(default) = &input.default {
                comes = match given {
                    true => without_null(comes),
                    false => type_of_default(default),
                };
            }
            let scattered = step.scatter.contains(&input.name);
            if scattered {
                comes = match into_array(&comes) {
                    Some(items) => items,
                    None => {
                        let what = format!("scatter: an array is expected, but {comes} comes");
                        return Err(input.cursor.fault(what));
                    }
                };
            }
            // What an expression makes is known when it has been evaluated.
            if input.value_from.is_some() {
                continue;
            }
            let Some(takes) = takes.iter().find(|p| p.name == input.name) else {
                // Not for the process, but for expressions of the step.
                continue;
            };
            let takes_null = takes.kind.is_optional() || takes.default.is_some();
            let fits = comes.may_match(&takes.kind) || (takes_null && comes.is_optional());
            if !fits {
                let what = format!("{} is expected, but {comes} comes", takes.kind);
                return Err(input.cursor.fault(what));
            }
        }
        for takes in takes {
            let given = step.inputs.iter().any(|i| i.name == takes.name);
            if !given && !takes.kind.is_optional() && takes.default.is_none() {
                let what = format!("the input `{}` of what it runs is missing", takes.name);
                return Err(step.cursor.fault(what));
            }
        }
        Ok(())
    }
}

fn type_of_default(default: &serde_json::Value) -> Type {
    use serde_json::Value;
    match default {
        Value::Bool(_) => Type::Boolean,
        Value::String(_) => Type::String,
        Value::Number(n) if n.is_i64() => Type::Int,
        Value::Number(_) => Type::Double,
        Value::Array(_) => Type::Array(Box::new(Type::Any)),
        _ => Type::Any,
    }
}

fn into_items(kind: Type) -> Type {
    match kind {
        Type::Array(items) => *items,
        other => other,
    }
}

fn into_array(kind: &Type) -> Option<Type> {
    match kind {
        Type::Array(items) => Some((**items).clone()),
        Type::Any => Some(Type::Any),
        Type::Union(types) => types.iter().find_map(into_array),
        _ => None,
    }
}

fn without_null(kind: Type) -> Type {
    match kind {
        Type::Union(types) => {
            let mut types: Vec<_> = types.into_iter().filter(|t| *t != Type::Null).collect();
            match types.len() {
                1 => types.remove(0),
                _ => Type::Union(types),
            }
        }
        other => other,
    }
}

/// Puts steps behind those that they depend on.
fn topological_order(mut steps: Vec<Step>) -> Result<Vec<Step>, Fault> {
    let mut ordered: Vec<Step> = Vec::new();
    let mut done: BTreeSet<String> = BTreeSet::new();
    while !steps.is_empty() {
        let ready = steps.iter().position(|step| {
            let sources = step.inputs.iter().flat_map(|i| &i.link.sources);
            let mut steps = sources.filter_map(|s| match s {
                Source::Step(name, _) => Some(name),
                Source::Input(_) => None,
            });
            steps.all(|name| done.contains(name))
        });
        let Some(ready) = ready else {
            let names: Vec<_> = steps.iter().map(|s| s.name.as_str()).collect();
            let what = format!("steps wait for each other: {}", names.join(", "));
            return Err(steps[0].cursor.fault(what));
        };
        let step = steps.remove(ready);
        done.insert(step.name.clone());
        ordered.push(step);
    }
    Ok(ordered)
}
