//! Loads documents: resolves imports, builds processes, and checks links and types before
//! anything runs.

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

/// The supported version of CWL.
pub const VERSION: &str = "v1.2";
/// Maximum number of file reads for one document. A file imported several times counts each
/// time.
const MAX_FILE_READS: usize = 256;
/// Maximum total size of the files read for one document.
const MAX_TOTAL_BYTES: usize = 16 << 20;
/// Maximum nesting depth of processes in workflows.
const MAX_PROCESS_DEPTH: usize = 16;
/// Maximum number of values in a document. Imported values count at each import.
const MAX_VALUES: usize = 500_000;

/// Provides the texts of files.
pub trait Resolver {
    /// Reads a file. The path is relative to the documents' directory, with `/` as separator
    /// and without `.` and `..`.
    ///
    /// # Errors
    /// A description of why the file can't be read.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// Loads a process: that of a file, or one of several as `file.cwl#name`.
///
/// # Errors
/// The first fault found.
pub fn load(resolver: &dyn Resolver, path: &str) -> Result<Process, Fault> {
    let mut loader = Loader {
        resolver,
        files: BTreeMap::new(),
        value_count: 0,
        file_reads: 0,
        total_bytes: 0,
    };
    let (file, name) = match path.split_once('#') {
        Some((file, name)) => (file, Some(name)),
        None => (path, None),
    };
    let file = resolve_path("", file).map_err(|message| file_fault(file, message))?;
    let mut enclosing = Vec::new();
    loader.load_process(&file, name, &Requirements::default(), &mut enclosing)
}

/// Parses the input values of a process from the text of a YAML or JSON file.
///
/// # Errors
/// The text is not valid, or is not a map.
pub fn values(file: &str, text: &str) -> Result<Node, Fault> {
    let node = yaml::parse(file, text)?;
    match node.data {
        Data::Map(_) => Ok(node),
        _ => Err(Cursor::top(node).fault("inputs must be a map from names to values")),
    }
}

/// A fault of a file as a whole.
fn file_fault(file: &str, message: String) -> Fault {
    Fault {
        file: file.to_owned(),
        line: 1,
        path: String::new(),
        message,
    }
}

/// Resolves a relative path `name` that the file `from` refers to.
fn resolve_path(from: &str, name: &str) -> Result<String, String> {
    if name.contains("://") || name.starts_with('/') || name.contains('\\') {
        return Err(format!(
            "`{name}`: only relative paths to files are supported"
        ));
    }
    let mut parts: Vec<&str> = from.split('/').collect();
    parts.pop();
    for part in name.split('/') {
        match part {
            "" | "." => {}
            ".." => {
                if parts.pop().is_none() {
                    return Err(format!("`{name}` is outside the documents' directory"));
                }
            }
            part => parts.push(part),
        }
    }
    Ok(parts.join("/"))
}

/// The state of loading one document.
struct Loader<'a> {
    resolver: &'a dyn Resolver,
    /// Files that were read, with their imports resolved, by path.
    files: BTreeMap<String, Node>,
    /// Values visited while resolving imports.
    value_count: usize,
    file_reads: usize,
    total_bytes: usize,
}

impl Loader<'_> {
    /// Reads a file and resolves its imports. `referrer` is the value that names it.
    fn read_file(&mut self, path: &str, referrer: Option<&Cursor>) -> Result<Node, Fault> {
        if let Some(node) = self.files.get(path) {
            return Ok(node.clone());
        }
        let text = self.read_text(path, referrer)?;
        let node = yaml::parse(path, &text)?;
        let mut open = vec![path.to_owned()];
        let node = self.resolve_imports(&Cursor::top(node), &mut open, 0)?;
        self.files.insert(path.to_owned(), node.clone());
        Ok(node)
    }

    /// Reads the text of a file, within the limits.
    fn read_text(&mut self, path: &str, referrer: Option<&Cursor>) -> Result<String, Fault> {
        let fault = |message: String| match referrer {
            Some(cursor) => cursor.fault(message),
            None => file_fault(path, message),
        };
        self.file_reads += 1;
        if self.file_reads > MAX_FILE_READS {
            return Err(fault(format!("more than {MAX_FILE_READS} files")));
        }
        let text = self.resolver.read(path);
        let text = text.map_err(|e| fault(format!("{path}: {e}")))?;
        if text.len() > yaml::MAX_FILE_BYTES {
            return Err(fault(format!(
                "{path}: larger than {} bytes",
                yaml::MAX_FILE_BYTES
            )));
        }
        self.total_bytes += text.len();
        if self.total_bytes > MAX_TOTAL_BYTES {
            return Err(fault(format!(
                "more than {MAX_TOTAL_BYTES} bytes in all files"
            )));
        }
        Ok(text)
    }

    /// Replaces `$import` and `$include` by the contents of the files that they name. `open`
    /// holds the files whose imports are being resolved, to detect cycles.
    fn resolve_imports(
        &mut self,
        cursor: &Cursor,
        open: &mut Vec<String>,
        depth: usize,
    ) -> Result<Node, Fault> {
        self.value_count += 1;
        if depth > MAX_DEPTH || self.value_count > MAX_VALUES {
            return Err(cursor.fault("nested too deeply or too many values, imports included"));
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
                    return self.read_import(&cursor.below(name, node.clone()), open, depth);
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

    /// The contents of the file that an `$import` or `$include` names.
    fn read_import(
        &mut self,
        cursor: &Cursor,
        open: &mut Vec<String>,
        depth: usize,
    ) -> Result<Node, Fault> {
        let name = cursor.text()?;
        let path = resolve_path(&cursor.node.location.file, name).map_err(|e| cursor.fault(e))?;
        if cursor.path.ends_with("$include") {
            let text = self.read_text(&path, Some(cursor))?;
            return Ok(Node {
                location: cursor.node.location.clone(),
                data: Data::Text(text.into()),
            });
        }
        if open.contains(&path) {
            return Err(cursor.fault(format!("{path} imports itself")));
        }
        let text = self.read_text(&path, Some(cursor))?;
        let node = yaml::parse(&path, &text)?;
        open.push(path);
        let node = self.resolve_imports(&Cursor::top(node), open, depth + 1);
        open.pop();
        node
    }

    /// Loads a process of a file. `enclosing` holds the processes that contain it, to detect
    /// recursion.
    fn load_process(
        &mut self,
        file: &str,
        name: Option<&str>,
        outer: &Requirements,
        enclosing: &mut Vec<(String, String)>,
    ) -> Result<Process, Fault> {
        let top = Cursor::top(self.read_file(file, None)?);
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
            return self.load_definition(&top, file, &own, outer, enclosing);
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
        self.load_definition(&cursor, file, local_name(&found.0), outer, enclosing)
    }

    /// Loads a process from its definition at `cursor`, with checks for recursion and depth.
    fn load_definition(
        &mut self,
        cursor: &Cursor,
        file: &str,
        id: &str,
        outer: &Requirements,
        enclosing: &mut Vec<(String, String)>,
    ) -> Result<Process, Fault> {
        let identity = (file.to_owned(), format!("{id}:{}", cursor.path));
        if enclosing.contains(&identity) {
            return Err(cursor.fault("recursion: the process contains itself as a step"));
        }
        if enclosing.len() >= MAX_PROCESS_DEPTH {
            let message =
                format!("processes in workflows are nested deeper than {MAX_PROCESS_DEPTH}");
            return Err(cursor.fault(message));
        }
        enclosing.push(identity);
        let process = self.read_process(cursor, file, id, outer, enclosing);
        enclosing.pop();
        process
    }

    /// Reads the fields of a process.
    fn read_process(
        &mut self,
        cursor: &Cursor,
        file: &str,
        id: &str,
        outer: &Requirements,
        enclosing: &mut Vec<(String, String)>,
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
                let workflow = self.read_workflow(common, &steps, file, enclosing)?;
                Process::Workflow(Arc::new(workflow))
            }
            "Operation" => {
                return Err(class.fault("an Operation has no implementation and can't be run"));
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

    /// Reads the steps of a workflow, then resolves and checks all links.
    fn read_workflow(
        &mut self,
        mut common: Common,
        cursor: &Cursor,
        file: &str,
        enclosing: &mut Vec<(String, String)>,
    ) -> Result<Workflow, Fault> {
        let mut steps: Vec<Step> = Vec::new();
        for (name, cursor) in cursor.named("id", None)? {
            let step = self.read_step(
                local_name(&name),
                &cursor,
                &common.requirements,
                file,
                enclosing,
            )?;
            if steps.iter().any(|s| s.name == step.name) {
                return Err(cursor.fault(format!("`{}` is defined twice", step.name)));
            }
            steps.push(step);
        }
        let inputs: BTreeMap<String, Type> = common
            .inputs
            .iter()
            .map(|i| (i.name.clone(), i.kind.clone()))
            .collect();
        let step_outputs: BTreeMap<(String, String), Type> = steps
            .iter()
            .flat_map(|s| {
                s.outputs
                    .iter()
                    .map(|o| ((s.name.clone(), o.clone()), output_type(s, o)))
            })
            .collect();
        let types = WorkflowTypes {
            inputs,
            step_outputs,
        };
        for step in &mut steps {
            for input in &mut step.inputs {
                types.resolve_sources(&mut input.link, &input.cursor)?;
            }
            types.check_step(step)?;
        }
        for output in &mut common.outputs {
            let cursor = output.cursor.clone();
            let Some(link) = &mut output.link else {
                return Err(cursor.fault("`outputSource` is missing"));
            };
            types.resolve_sources(link, &cursor)?;
            let value_type = types.link_type(link);
            if !value_type.may_match(&output.kind) {
                return Err(cursor.fault(format!(
                    "{} is expected, but the value has the type {value_type}",
                    output.kind
                )));
            }
        }
        let steps = topological_order(steps)?;
        Ok(Workflow { common, steps })
    }

    /// Reads a step and loads the process that it runs.
    fn read_step(
        &mut self,
        name: &str,
        cursor: &Cursor,
        outer: &Requirements,
        file: &str,
        enclosing: &mut Vec<(String, String)>,
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
                    path => resolve_path(file, path).map_err(|e| run.fault(e))?,
                };
                self.read_file(&path, Some(&run))?;
                self.load_process(&path, name.map(local_name), &requirements, enclosing)?
            }
            Err(_) => self.load_definition(&run, file, name, &requirements, enclosing)?,
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
                return Err(out.fault(format!("the step's process has no output `{name}`")));
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
                return Err(cursor.fault(
                    "`scatterMethod` is missing: it is required for several scattered inputs",
                ));
            }
            None => ScatterMethod::DotProduct,
        };
        for name in &scatter {
            if !inputs.iter().any(|i| i.name == *name) {
                return Err(cursor.fault(format!("scatter: the step has no input `{name}`")));
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

/// Refuses documents of an unsupported CWL version.
fn check_version(top: &Cursor) -> Result<(), Fault> {
    let Some(version) = top.node.get("cwlVersion") else {
        return Err(top.fault("`cwlVersion` is missing"));
    };
    let version = top.below("cwlVersion", version.clone());
    match version.text()? {
        VERSION => Ok(()),
        other => Err(version.fault(format!("only {VERSION} is supported, not {other}"))),
    }
}

/// Reads an entry of a tool's `arguments`.
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

/// Expands an input given by its source alone to a map with `source`.
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

/// The type of a step's output, with the arrays that scatter adds and with null if the step
/// has a condition.
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

/// The types of a workflow's possible sources: its inputs, and the outputs of its steps by
/// the names of step and output.
struct WorkflowTypes {
    inputs: BTreeMap<String, Type>,
    step_outputs: BTreeMap<(String, String), Type>,
}

impl WorkflowTypes {
    /// Replaces the names in a link by the workflow inputs and step outputs that they refer to.
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
                Some(step) if self.step_outputs.contains_key(&step) => Source::Step(step.0, step.1),
                _ if self.inputs.contains_key(local_name(name)) => {
                    Source::Input(local_name(name).to_owned())
                }
                _ => {
                    return Err(cursor.fault(format!(
                        "`{name}` is neither a workflow input nor a step output"
                    )));
                }
            };
        }
        Ok(())
    }

    fn source_type(&self, source: &Source) -> Type {
        let kind = match source {
            Source::Input(name) => self.inputs.get(name),
            Source::Step(step, out) => self.step_outputs.get(&(step.clone(), out.clone())),
        };
        kind.cloned().unwrap_or(Type::Any)
    }

    /// The type of the value that a link gives.
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

    /// Checks that the types of a step's inputs match those of its process, and that no
    /// required input is missing.
    fn check_step(&self, step: &Step) -> Result<(), Fault> {
        let parameters = &step.run.common().inputs;
        for input in &step.inputs {
            let mut value_type = self.link_type(&input.link);
            let given = !input.link.sources.is_empty();
            if let Some(default) = &input.default {
                value_type = match given {
                    true => without_null(value_type),
                    false => type_of_default(default),
                };
            }
            let scattered = step.scatter.contains(&input.name);
            if scattered {
                value_type = match scattered_item_type(&value_type) {
                    Some(items) => items,
                    None => {
                        let message = format!(
                            "scatter: an array is expected, but the value has the type {value_type}"
                        );
                        return Err(input.cursor.fault(message));
                    }
                };
            }
            // The type of an expression's result is known only after its evaluation.
            if input.value_from.is_some() {
                continue;
            }
            let Some(parameter) = parameters.iter().find(|p| p.name == input.name) else {
                // The process has no such input; only expressions of the step use it.
                continue;
            };
            let accepts_null = parameter.kind.is_optional() || parameter.default.is_some();
            let fits =
                value_type.may_match(&parameter.kind) || (accepts_null && value_type.is_optional());
            if !fits {
                let message = format!(
                    "{} is expected, but the value has the type {value_type}",
                    parameter.kind
                );
                return Err(input.cursor.fault(message));
            }
        }
        for parameter in parameters {
            let given = step.inputs.iter().any(|i| i.name == parameter.name);
            if !given && !parameter.kind.is_optional() && parameter.default.is_none() {
                let message = format!(
                    "the input `{}` of the step's process is missing",
                    parameter.name
                );
                return Err(step.cursor.fault(message));
            }
        }
        Ok(())
    }
}

/// The type of a default value.
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

/// The items' type of an array, or the type itself.
fn into_items(kind: Type) -> Type {
    match kind {
        Type::Array(items) => *items,
        other => other,
    }
}

/// The type of the items to scatter over, if the type may be an array.
fn scattered_item_type(kind: &Type) -> Option<Type> {
    match kind {
        Type::Array(items) => Some((**items).clone()),
        Type::Any => Some(Type::Any),
        Type::Union(types) => types.iter().find_map(scattered_item_type),
        _ => None,
    }
}

/// The type without null among its alternatives.
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

/// Sorts steps so that each follows the steps that it depends on.
fn topological_order(mut steps: Vec<Step>) -> Result<Vec<Step>, Fault> {
    let mut ordered: Vec<Step> = Vec::new();
    let mut ordered_names: BTreeSet<String> = BTreeSet::new();
    while !steps.is_empty() {
        let ready = steps.iter().position(|step| {
            let sources = step.inputs.iter().flat_map(|i| &i.link.sources);
            let mut steps = sources.filter_map(|s| match s {
                Source::Step(name, _) => Some(name),
                Source::Input(_) => None,
            });
            steps.all(|name| ordered_names.contains(name))
        });
        let Some(ready) = ready else {
            let names: Vec<_> = steps.iter().map(|s| s.name.as_str()).collect();
            let message = format!(
                "steps form a dependency cycle or depend on one: {}",
                names.join(", ")
            );
            return Err(steps[0].cursor.fault(message));
        };
        let step = steps.remove(ready);
        ordered_names.insert(step.name.clone());
        ordered.push(step);
    }
    Ok(ordered)
}
