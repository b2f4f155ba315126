//! Building the command line of a tool and collecting its outputs.

use std::{collections::BTreeMap, sync::Arc};

use globset::GlobBuilder;
use serde_json::{Map, Value, json};
use thiserror::Error;

use crate::{
    document::{Binding, BoundParts, BoundType, Output, OutputBinding, Tool},
    engine::Engine,
    expr::{Object, Scope, Template},
    fault::Fault,
    requirements::{WorkDir, WorkDirEntry, runtime},
    types::{Type, class_of},
    values::{basename, check_outputs},
};

/// Largest number of words of a command line.
const MAX_COMMAND_WORDS: usize = 100_000;
/// Number of bytes at the start of a file that expressions can read.
pub const MAX_CONTENTS_BYTES: usize = 64 << 10;
/// A tool that writes this file gives its outputs as JSON instead of by `outputBinding`.
const OUTPUT_JSON_FILE: &str = "cwl.output.json";

/// The command that a task runs, and what it needs.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandLine {
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// The file that standard input is read from.
    pub stdin: Option<String>,
    /// The file that standard output is written to.
    pub stdout: Option<String>,
    /// The file that standard error is written to.
    pub stderr: Option<String>,
    /// Environment variables.
    pub environment: Vec<(String, String)>,
    /// Files and directories to stage before the command starts.
    pub staged: Vec<Staged>,
    /// Processors.
    pub cores: f64,
    /// Memory, in MiB.
    pub ram_mib: f64,
    /// Time limit in seconds; `None` means no limit.
    pub time_limit_s: Option<f64>,
}

/// A file or directory that is staged before the command starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Staged {
    /// Path relative to the working directory.
    pub path: String,
    /// Where its contents come from.
    pub source: StagedSource,
    /// Whether the tool may change it.
    pub writable: bool,
}

/// Where a staged file or directory comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum StagedSource {
    /// A location in the object store.
    Location(String),
    /// The text of the file.
    Text(String),
    /// An empty directory.
    Directory,
}

/// Builds the command line of a tool. `inputs` must come from
/// [`process_inputs`](crate::values::process_inputs).
///
/// # Errors
/// If an expression fails or gives an invalid value.
pub fn build_command_line(
    tool: &Tool,
    inputs: &Object,
    engine: &Engine,
) -> Result<CommandLine, Fault> {
    let common = &tool.common;
    let PreparedInputs {
        scope,
        mut staged,
        cores,
        ram_mib,
    } = prepare_inputs(tool, inputs, engine)?;
    if let Some(dir) = common.requirements.work_dir() {
        stage_work_dir(dir, &scope, engine, &mut staged)?;
    }
    let text = |template: &Option<Template>| -> Result<Option<String>, Fault> {
        let Some(template) = template else {
            return Ok(None);
        };
        match template.eval(&scope, engine)? {
            Value::String(text) if !text.is_empty() => Ok(Some(text)),
            Value::Null => Ok(None),
            other => Err(template
                .cursor()
                .fault(format!("a file name is expected, not {other}"))),
        }
    };
    let stdin = text(&tool.stdin)?;
    let names = stream_files(tool, &scope, engine)?;
    let mut environment = Vec::new();
    for (name, template) in common.requirements.environment() {
        environment.push((name.clone(), to_word(&template.eval(&scope, engine)?)));
    }
    let words = command_words(tool, &scope, engine)?;
    let argv = if common.requirements.uses_shell() {
        let line: Vec<_> = words.iter().map(Word::for_shell).collect();
        vec!["/bin/sh".into(), "-c".into(), line.join(" ")]
    } else {
        words.into_iter().map(|w| w.text).collect()
    };
    Ok(CommandLine {
        argv,
        stdin,
        stdout: names.0,
        stderr: names.1,
        environment,
        staged,
        cores,
        ram_mib,
        time_limit_s: common.requirements.time_limit(&scope, engine)?,
    })
}

/// The scope of a tool's expressions, the staged input files and the resources.
struct PreparedInputs<'a> {
    scope: Scope<'a>,
    staged: Vec<Staged>,
    cores: f64,
    ram_mib: f64,
}

/// Stages the input files and evaluates the resource requirements.
fn prepare_inputs<'a>(
    tool: &'a Tool,
    inputs: &Object,
    engine: &Engine,
) -> Result<PreparedInputs<'a>, Fault> {
    let mut staged = Vec::new();
    let mut placed = Object::default();
    for (number, (name, value)) in inputs.iter().enumerate() {
        let mut value = (**value).clone();
        stage(&mut value, &format!("in/{number}"), &mut staged);
        placed.insert_mut(name.clone(), Arc::new(value));
    }
    let requirements = &tool.common.requirements;
    let mut scope = Scope {
        inputs: placed,
        self_value: Value::Null,
        runtime: Value::Null,
        library: requirements.library(),
    };
    let (cores, ram_mib) = requirements.resources(&scope, engine)?;
    scope.runtime = runtime(cores, ram_mib);
    Ok(PreparedInputs {
        scope,
        staged,
        cores,
        ram_mib,
    })
}

/// The names of the files for standard output and standard error.
fn stream_files(
    tool: &Tool,
    scope: &Scope<'_>,
    engine: &Engine,
) -> Result<(Option<String>, Option<String>), Fault> {
    let name = |template: &Option<Template>, stream: &Type, other: &str| {
        if let Some(template) = template {
            let name = template.eval(scope, engine)?;
            return match name {
                Value::String(name) if is_relative_path(&name) => Ok(Some(name)),
                other => Err(template
                    .cursor()
                    .fault(format!("a relative file name is expected, not {other}"))),
            };
        }
        let used = tool.common.outputs.iter().any(|o| o.kind == *stream);
        Ok(used.then(|| other.to_owned()))
    };
    Ok((
        name(&tool.stdout, &Type::Stdout, "cwl.stdout")?,
        name(&tool.stderr, &Type::Stderr, "cwl.stderr")?,
    ))
}

/// Whether the path is relative and without NUL and `.`, `..` or empty components,
/// so that it names something inside the working directory.
fn is_relative_path(path: &str) -> bool {
    !path.is_empty()
        && !path.starts_with('/')
        && !path.contains('\0')
        && path
            .split('/')
            .all(|part| !part.is_empty() && part != "." && part != "..")
}

/// Stages the files and directories of a value below `dir` and sets their paths.
fn stage(value: &mut Value, dir: &str, staged: &mut Vec<Staged>) {
    match value {
        Value::Array(list) => {
            for (i, value) in list.iter_mut().enumerate() {
                stage(value, &format!("{dir}/{i}"), staged);
            }
        }
        Value::Object(map) => match map.get("class").and_then(Value::as_str) {
            Some(class @ ("File" | "Directory")) => {
                let is_dir = class == "Directory";
                stage_file(map, is_dir, dir, staged);
            }
            _ => {
                for (name, value) in map.iter_mut() {
                    stage(value, &format!("{dir}/{name}"), staged);
                }
            }
        },
        _ => {}
    }
}

fn stage_file(map: &mut Map<String, Value>, is_dir: bool, dir: &str, staged: &mut Vec<Staged>) {
    let name = basename(&Value::Object(map.clone())).to_owned();
    let name = if is_relative_path(&name) && !name.contains('/') {
        name
    } else {
        "file".to_owned()
    };
    let path = format!("{dir}/{name}");
    staged.push(Staged {
        path: path.clone(),
        source: source_of(map, is_dir),
        writable: false,
    });
    let (root, ext) = match name.rfind('.') {
        Some(dot) if dot > 0 => name.split_at(dot),
        _ => (name.as_str(), ""),
    };
    if !is_dir {
        map.insert("nameroot".into(), root.into());
        map.insert("nameext".into(), ext.into());
        map.insert("dirname".into(), dir.into());
    }
    map.insert("path".into(), path.into());
    map.insert("basename".into(), name.clone().into());
    // Secondary files are staged in the same directory as their file.
    if let Some(Value::Array(related)) = map.get_mut("secondaryFiles") {
        for file in related {
            stage_related(file, dir, staged);
        }
    }
    if let Some(Value::Array(listing)) = map.get_mut("listing") {
        let inside = format!("{dir}/{name}");
        for file in listing {
            stage_related(file, &inside, staged);
        }
    }
}

/// The source that a file or directory is staged from.
fn source_of(map: &Map<String, Value>, is_dir: bool) -> StagedSource {
    let text = |name: &str| map.get(name).and_then(Value::as_str).map(str::to_owned);
    match (text("location"), text("contents")) {
        (Some(location), _) => StagedSource::Location(location),
        (None, Some(contents)) => StagedSource::Text(contents),
        (None, None) if is_dir => StagedSource::Directory,
        (None, None) => StagedSource::Text(String::new()),
    }
}

fn stage_related(file: &mut Value, dir: &str, staged: &mut Vec<Staged>) {
    let is_dir = class_of(file) == Some("Directory");
    if let Value::Object(map) = file {
        stage_file(map, is_dir, dir, staged);
    }
}

/// Stages the entries of `InitialWorkDirRequirement`.
fn stage_work_dir(
    dir: &WorkDir,
    scope: &Scope<'_>,
    engine: &Engine,
    staged: &mut Vec<Staged>,
) -> Result<(), Fault> {
    match dir {
        WorkDir::Entries(entries) => {
            for entry in entries {
                let WorkDirEntry {
                    name,
                    content,
                    writable,
                } = entry;
                let value = content.eval(scope, engine)?;
                let name = match name {
                    Some(name) => Some((to_word(&name.eval(scope, engine)?), name)),
                    None => None,
                };
                if let Some((name, template)) = &name
                    && !is_relative_path(name)
                {
                    return Err(template
                        .cursor()
                        .fault(format!("a relative file name is expected, not `{name}`")));
                }
                let name = name.map(|(name, _)| name);
                stage_value(&value, name, *writable, staged)
                    .map_err(|e| content.cursor().fault(e))?;
            }
        }
        WorkDir::All(template) => {
            let value = template.eval(scope, engine)?;
            stage_value(&value, None, false, staged).map_err(|e| template.cursor().fault(e))?;
        }
    }
    Ok(())
}

fn stage_value(
    value: &Value,
    name: Option<String>,
    writable: bool,
    staged: &mut Vec<Staged>,
) -> Result<(), String> {
    match value {
        Value::Null => Ok(()),
        Value::Array(list) => {
            if name.is_some() && list.len() > 1 {
                return Err("several files for one `entryname`".into());
            }
            list.iter()
                .try_for_each(|v| stage_value(v, name.clone(), writable, staged))
        }
        Value::Object(map) if map.contains_key("class") => {
            let path = name.unwrap_or_else(|| basename(value).to_owned());
            let source = source_of(map, class_of(value) == Some("Directory"));
            stage_at(path, source, writable, staged)
        }
        // A `Dirent` (`entryname` and `entry`) as the result of an expression.
        Value::Object(map) if map.contains_key("entry") => {
            let name = match map.get("entryname") {
                None | Some(Value::Null) => None,
                Some(Value::String(name)) => Some(name.clone()),
                Some(other) => return Err(format!("`entryname` has to be a string, not {other}")),
            };
            let writable = match map.get("writable") {
                None | Some(Value::Null) => false,
                Some(Value::Bool(writable)) => *writable,
                Some(other) => return Err(format!("`writable` has to be a boolean, not {other}")),
            };
            let entry = map.get("entry").unwrap_or(&Value::Null);
            stage_value(entry, name, writable, staged)
        }
        other => {
            let Some(path) = name else {
                return Err("a text entry needs an `entryname`".into());
            };
            stage_at(path, StagedSource::Text(to_word(other)), writable, staged)
        }
    }
}

/// Stages a source at a path below the working directory.
fn stage_at(
    path: String,
    source: StagedSource,
    writable: bool,
    staged: &mut Vec<Staged>,
) -> Result<(), String> {
    if !is_relative_path(&path) {
        return Err(format!("a relative file name is expected, not `{path}`"));
    }
    staged.push(Staged {
        path,
        source,
        writable,
    });
    Ok(())
}

/// A word of a command line.
#[derive(Clone, Debug, PartialEq)]
struct Word {
    text: String,
    quote: bool,
}

impl Word {
    fn for_shell(&self) -> String {
        if self.quote {
            format!("'{}'", self.text.replace('\'', "'\\''"))
        } else {
            self.text.clone()
        }
    }
}

/// An element of the sort key of a binding. A key holds, from the outermost
/// binding inwards, each position followed by an index or a name. Numbers sort
/// before names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SortKey {
    Number(i64),
    Name(String),
}

/// The words of a command line, sorted by the keys of their bindings.
fn command_words(tool: &Tool, scope: &Scope<'_>, engine: &Engine) -> Result<Vec<Word>, Fault> {
    let mut parts: Vec<(Vec<SortKey>, Vec<Word>)> = Vec::new();
    for (i, argument) in tool.arguments.iter().enumerate() {
        let position = position(argument, &Value::Null, scope, engine)?;
        let key = vec![SortKey::Number(position), SortKey::Number(i as i64)];
        let words = words_of_binding(argument, &Value::Null, scope, engine)?;
        parts.push((key, words));
    }
    for parameter in &tool.common.inputs {
        let value = scope
            .inputs
            .get(&parameter.name)
            .cloned()
            .unwrap_or_default();
        let name = SortKey::Name(parameter.name.clone());
        collect_words(
            &parameter.bound,
            &value,
            &[],
            name,
            scope,
            engine,
            &mut parts,
        )?;
    }
    parts.sort_by(|a, b| a.0.cmp(&b.0));
    let command = tool.command.iter().map(|text| Word {
        text: text.clone(),
        quote: true,
    });
    let words: Vec<_> = command.chain(parts.into_iter().flat_map(|p| p.1)).collect();
    if words.len() > MAX_COMMAND_WORDS {
        let what = format!("the command line has more than {MAX_COMMAND_WORDS} words");
        return Err(tool.common.cursor.fault(what));
    }
    Ok(words)
}

fn collect_words(
    bound: &BoundType,
    value: &Value,
    outer: &[SortKey],
    here: SortKey,
    scope: &Scope<'_>,
    engine: &Engine,
    parts: &mut Vec<(Vec<SortKey>, Vec<Word>)>,
) -> Result<(), Fault> {
    if value.is_null() {
        return Ok(());
    }
    let mut key = outer.to_vec();
    if let Some(binding) = &bound.binding {
        key.push(SortKey::Number(position(binding, value, scope, engine)?));
        key.push(here);
        let words = words_of_binding(binding, value, scope, engine)?;
        if !words.is_empty() {
            parts.push((key.clone(), words));
        }
        let joined = binding.separator.is_some() || binding.value_from.is_some();
        if joined && value.is_array() {
            // This binding already gives the words of the items.
            return Ok(());
        }
    } else {
        key.push(SortKey::Number(0));
        key.push(here);
    }
    match &bound.parts {
        BoundParts::Leaf => {}
        BoundParts::Union(choices) => {
            if let Some(choice) = choices.iter().find(|c| c.kind.check(value).is_ok()) {
                let mut choice = choice.clone();
                inherit_binding(bound, &mut choice);
                let here = SortKey::Number(0);
                collect_words(&choice, value, &key, here, scope, engine, parts)?;
            }
        }
        BoundParts::Items(item) => {
            let mut item = (**item).clone();
            inherit_binding(bound, &mut item);
            for (i, value) in value.as_array().into_iter().flatten().enumerate() {
                let here = SortKey::Number(i as i64);
                collect_words(&item, value, &key, here, scope, engine, parts)?;
            }
        }
        BoundParts::Fields(fields) => {
            for (name, field) in fields {
                let value = value.get(name).unwrap_or(&Value::Null);
                let here = SortKey::Name(name.clone());
                collect_words(field, value, &key, here, scope, engine, parts)?;
            }
        }
    }
    Ok(())
}

/// Gives the items of a bound array without `valueFrom` a plain binding, unless
/// they have a binding of their own.
fn inherit_binding(outer: &BoundType, part: &mut BoundType) {
    if let Some(binding) = &outer.binding
        && part.binding.is_none()
        && matches!(outer.kind, Type::Array(_))
        && binding.value_from.is_none()
    {
        part.binding = Some(Binding::word(binding.quote));
    }
    if matches!(outer.parts, BoundParts::Union(_))
        && let (Some(binding), Type::Array(_)) = (&outer.binding, &part.kind)
        && let BoundParts::Items(item) = &mut part.parts
        && item.binding.is_none()
        && binding.separator.is_none()
        && binding.value_from.is_none()
    {
        // For an array in a union, such as `string[]?`, the binding of the union
        // has already given the prefix.
        item.binding = Some(Binding::word(binding.quote));
    }
}

fn position(
    binding: &Binding,
    value: &Value,
    scope: &Scope<'_>,
    engine: &Engine,
) -> Result<i64, Fault> {
    let Some(template) = &binding.position else {
        return Ok(0);
    };
    let scope = Scope {
        self_value: value.clone(),
        ..scope.clone()
    };
    match template.eval(&scope, engine)? {
        Value::Null => Ok(0),
        other => other.as_i64().ok_or_else(|| {
            template
                .cursor()
                .fault(format!("a position is expected, not {other}"))
        }),
    }
}

/// The words that a binding gives for a value, without those from the bindings of
/// its items and fields.
fn words_of_binding(
    binding: &Binding,
    value: &Value,
    scope: &Scope<'_>,
    engine: &Engine,
) -> Result<Vec<Word>, Fault> {
    let made = match &binding.value_from {
        Some(template) => {
            let scope = Scope {
                self_value: value.clone(),
                ..scope.clone()
            };
            Some(template.eval(&scope, engine)?)
        }
        None => None,
    };
    let value = made.as_ref().unwrap_or(value);
    let prefix = binding.prefix.as_ref();
    let texts: Vec<String> = match value {
        Value::Array(list) => match &binding.separator {
            _ if list.is_empty() => return Ok(Vec::new()),
            Some(separator) => {
                let words: Vec<_> = list.iter().map(to_word).collect();
                vec![words.join(separator)]
            }
            None => {
                let mut words: Vec<_> = prefix.into_iter().cloned().collect();
                if made.is_some() {
                    words.extend(list.iter().map(to_word));
                }
                return Ok(to_words(words, binding));
            }
        },
        Value::Object(_) if class_of(value).is_some() => vec![to_word(value)],
        Value::Object(_) | Value::Bool(true) => {
            return Ok(to_words(prefix.into_iter().cloned().collect(), binding));
        }
        Value::Null | Value::Bool(false) => return Ok(Vec::new()),
        other => vec![to_word(other)],
    };
    let mut words = Vec::new();
    for text in texts {
        match (prefix, binding.separate) {
            (Some(prefix), true) => words.extend([prefix.clone(), text]),
            (Some(prefix), false) => words.push(format!("{prefix}{text}")),
            (None, _) => words.push(text),
        }
    }
    Ok(to_words(words, binding))
}

fn to_words(words: Vec<String>, binding: &Binding) -> Vec<Word> {
    let quote = binding.quote;
    words.into_iter().map(|text| Word { text, quote }).collect()
}

/// A value as a command-line word: numbers without exponents, files as their paths.
fn to_word(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(n) => match n.as_f64() {
            Some(x) if n.is_f64() => format!("{x}"),
            _ => n.to_string(),
        },
        value if class_of(value).is_some() => {
            let path = value.get("path").and_then(Value::as_str);
            path.unwrap_or_default().to_owned()
        }
        other => other.to_string(),
    }
}

/// A file or directory in the output directory of a tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputEntry {
    /// Path relative to the output directory.
    pub path: String,
    /// Whether it is a directory.
    pub is_dir: bool,
    /// Size in bytes.
    pub size: u64,
    /// Location from which it can be read after the task has ended.
    pub location: String,
}

/// The output directory of a tool, which is the directory that it ran in.
pub trait OutputDir {
    /// All files and directories in it, at any depth.
    fn list(&self) -> Vec<OutputEntry>;
    /// The beginning of a file, at most [`MAX_CONTENTS_BYTES`] bytes.
    ///
    /// # Errors
    /// If the file can't be read or is not text.
    fn read_text(&self, path: &str) -> Result<String, String>;
}

/// Why a tool gave no outputs.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// A temporary failure; a retry may succeed.
    #[error("exit code {0}, one of the tool's `temporaryFailCodes`")]
    Temporary(i64),
    /// A permanent failure; a retry would fail too.
    #[error("exit code {0}")]
    Permanent(i64),
    /// The outputs don't match the declared ones, or an expression failed.
    #[error("{0}")]
    Output(#[from] Fault),
}

/// Checks that an exit code means success.
///
/// # Errors
/// If the exit code means a temporary or permanent failure.
pub fn check_exit_code(tool: &Tool, code: i64) -> Result<(), Failure> {
    // The codes that the tool declares take precedence over the convention that 0
    // means success.
    if tool.success_codes.contains(&code) {
        Ok(())
    } else if tool.temporary_fail_codes.contains(&code) {
        Err(Failure::Temporary(code))
    } else if tool.permanent_fail_codes.contains(&code) || code != 0 {
        Err(Failure::Permanent(code))
    } else {
        Ok(())
    }
}

/// Collects the outputs of a tool that has ended.
///
/// # Errors
/// If the exit code means failure, an expression fails, or outputs are missing or
/// of the wrong type.
pub fn collect_outputs(
    tool: &Tool,
    inputs: &Object,
    code: i64,
    dir: &dyn OutputDir,
    engine: &Engine,
) -> Result<Object, Failure> {
    check_exit_code(tool, code)?;
    let common = &tool.common;
    let entries = dir.list();
    let by_path: BTreeMap<&str, &OutputEntry> =
        entries.iter().map(|l| (l.path.as_str(), l)).collect();
    let mut scope = prepare_inputs(tool, inputs, engine)?.scope;
    if let Value::Object(map) = &mut scope.runtime {
        map.insert("exitCode".into(), code.into());
    }
    if by_path.contains_key(OUTPUT_JSON_FILE) {
        let text = dir.read_text(OUTPUT_JSON_FILE);
        let value = text.and_then(|t| serde_json::from_str(&t).map_err(|e| e.to_string()));
        let mut value =
            value.map_err(|e| common.cursor.fault(format!("{OUTPUT_JSON_FILE}: {e}")))?;
        resolve_paths(&mut value, &by_path).map_err(|e| common.cursor.fault(e))?;
        return Ok(check_outputs(common, value)?);
    }
    let names = stream_files(tool, &scope, engine)?;
    let mut object = Map::new();
    for output in &common.outputs {
        let finder = OutputFinder {
            output,
            entries: &entries,
            by_path: &by_path,
            dir,
            scope: &scope,
            engine,
        };
        let stream = match output.kind {
            Type::Stdout => names.0.as_deref(),
            Type::Stderr => names.1.as_deref(),
            _ => None,
        };
        object.insert(output.name.clone(), finder.value(stream)?);
    }
    Ok(check_outputs(common, Value::Object(object))?)
}

/// Finds the value of one output.
struct OutputFinder<'a> {
    output: &'a Output,
    entries: &'a [OutputEntry],
    by_path: &'a BTreeMap<&'a str, &'a OutputEntry>,
    dir: &'a dyn OutputDir,
    scope: &'a Scope<'a>,
    engine: &'a Engine,
}

impl OutputFinder<'_> {
    fn value(&self, stream: Option<&str>) -> Result<Value, Fault> {
        let cursor = &self.output.cursor;
        if let Some(name) = stream {
            let file = self.by_path.get(name);
            let file = file
                .ok_or_else(|| cursor.fault(format!("`{name}` is not in the output directory")))?;
            return self.file(file);
        }
        let Some(binding) = &self.output.output_binding else {
            return match self.output.kind.is_optional() {
                true => Ok(Value::Null),
                false => {
                    Err(cursor.fault("no `outputBinding`, and the tool wrote no cwl.output.json"))
                }
            };
        };
        let globs = self.globs(binding)?;
        let patterns = || {
            let patterns: Vec<_> = globs.iter().map(|(_, p)| p.as_str()).collect();
            patterns.join(", ")
        };
        let matching = self.matching(&globs)?;
        let is_single = binding.eval.is_none() && !wants_array(&self.output.kind);
        match matching.len() {
            _ if !is_single => {}
            0 if self.output.kind.is_optional() => return Ok(Value::Null),
            0 => return Err(cursor.fault(format!("no file matches {}", patterns()))),
            1 => {}
            n => {
                let what = format!("{n} files match {}, one is expected", patterns());
                return Err(cursor.fault(what));
            }
        }
        let mut files = Vec::new();
        for entry in matching {
            let mut file = self.file(entry)?;
            if binding.load_contents && !entry.is_dir {
                let text = self.dir.read_text(&entry.path);
                let text = text.map_err(|e| cursor.fault(format!("{}: {e}", entry.path)))?;
                if let Value::Object(map) = &mut file {
                    map.insert("contents".into(), text.into());
                }
            }
            files.push(file);
        }
        if let Some(eval) = &binding.eval {
            let self_value = match binding.glob.is_empty() {
                true => Value::Null,
                false => files.into(),
            };
            let scope = Scope {
                self_value,
                ..self.scope.clone()
            };
            return eval.eval(&scope, self.engine);
        }
        match is_single {
            true => Ok(files.pop().unwrap_or_default()),
            false => Ok(files.into()),
        }
    }

    /// The glob patterns of an output, each with the template that gives it.
    fn globs<'f>(&self, binding: &'f OutputBinding) -> Result<Vec<(&'f Template, String)>, Fault> {
        let mut globs = Vec::new();
        for template in &binding.glob {
            match template.eval(self.scope, self.engine)? {
                Value::Array(list) => {
                    globs.extend(list.iter().map(|pattern| (template, to_word(pattern))));
                }
                other => globs.push((template, to_word(&other))),
            }
        }
        Ok(globs)
    }

    fn matching(&self, globs: &[(&Template, String)]) -> Result<Vec<&OutputEntry>, Fault> {
        let mut files: Vec<&OutputEntry> = Vec::new();
        for (template, pattern) in globs {
            let pattern = pattern.trim_start_matches("./").trim_end_matches('/');
            if pattern.starts_with('/') || pattern.split('/').any(|p| p == "..") {
                let what = format!("the pattern `{pattern}` leads out of the working directory");
                return Err(template.cursor().fault(what));
            }
            let glob = GlobBuilder::new(pattern).literal_separator(true).build();
            let glob = glob.map_err(|e| template.cursor().fault(e.to_string()))?;
            let glob = glob.compile_matcher();
            let mut matching: Vec<_> = self
                .entries
                .iter()
                .filter(|l| glob.is_match(&l.path))
                .collect();
            matching.sort_by(|a, b| a.path.cmp(&b.path));
            files.extend(matching);
        }
        Ok(files)
    }

    /// A file as a JSON value with its secondary files.
    fn file(&self, entry: &OutputEntry) -> Result<Value, Fault> {
        let mut value = file_value(entry);
        let mut related = Vec::new();
        for secondary in &self.output.secondary_files {
            let name = secondary.name_for(basename(&value));
            let path = match entry.path.rsplit_once('/') {
                Some((dir, _)) => format!("{dir}/{name}"),
                None => name,
            };
            match self.by_path.get(path.as_str()) {
                Some(file) => related.push(file_value(file)),
                None if secondary.required => {
                    let what =
                        format!("the secondary file `{path}` is not in the output directory");
                    return Err(self.output.cursor.fault(what));
                }
                None => {}
            }
        }
        if !related.is_empty()
            && let Value::Object(map) = &mut value
        {
            map.insert("secondaryFiles".into(), related.into());
        }
        Ok(value)
    }
}

fn file_value(entry: &OutputEntry) -> Value {
    let name = entry
        .path
        .rsplit_once('/')
        .map_or(entry.path.as_str(), |(_, n)| n);
    if entry.is_dir {
        return json!({"class": "Directory", "basename": name, "location": entry.location});
    }
    json!({
        "class": "File",
        "basename": name,
        "location": entry.location,
        "size": entry.size,
    })
}

fn wants_array(kind: &Type) -> bool {
    match kind {
        Type::Array(_) => true,
        Type::Union(types) => types.iter().any(wants_array),
        _ => false,
    }
}

/// Replaces the paths in the JSON that a tool wrote by the locations of the files.
fn resolve_paths(value: &mut Value, by_path: &BTreeMap<&str, &OutputEntry>) -> Result<(), String> {
    match value {
        Value::Array(list) => list.iter_mut().try_for_each(|v| resolve_paths(v, by_path)),
        Value::Object(map) => {
            if matches!(
                map.get("class").and_then(Value::as_str),
                Some("File" | "Directory")
            ) {
                let path = map
                    .get("path")
                    .or(map.get("location"))
                    .and_then(Value::as_str);
                let path = path.unwrap_or_default().trim_start_matches("./").to_owned();
                let entry = by_path.get(path.as_str());
                let entry = entry.ok_or(format!(
                    "{OUTPUT_JSON_FILE}: `{path}` is not in the output directory"
                ))?;
                if let Value::Object(found) = file_value(entry) {
                    map.remove("path");
                    map.extend(found);
                }
            }
            map.values_mut().try_for_each(|v| resolve_paths(v, by_path))
        }
        _ => Ok(()),
    }
}
