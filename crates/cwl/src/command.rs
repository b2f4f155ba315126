//! Command lines, and what a tool leaves behind.

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
    values::{basename, checked},
};

/// The most words of a command line.
const MAX_WORDS: usize = 100_000;
/// How much of a file expressions may see, in bytes.
pub const MAX_CONTENTS: usize = 64 << 10;
/// The file by which a tool gives its outputs itself.
const OWN_OUTPUT: &str = "cwl.output.json";

/// What a task has to do.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandLine {
    /// The program and its arguments.
    pub argv: Vec<String>,
    /// What its standard input comes from.
    pub stdin: Option<String>,
    /// What its standard output goes to.
    pub stdout: Option<String>,
    /// The same for its standard error.
    pub stderr: Option<String>,
    /// Variables of the environment.
    pub environment: Vec<(String, String)>,
    /// What has to be there beforehand.
    pub staged: Vec<Staged>,
    /// Processors.
    pub cores: f64,
    /// Memory, in MiB.
    pub ram_mib: f64,
    /// How long it may run, in seconds; none: as long as it likes.
    pub time_limit_s: Option<f64>,
}

/// A file or directory that has to be there beforehand.
#[derive(Clone, Debug, PartialEq)]
pub struct Staged {
    /// Where, below the working directory.
    pub path: String,
    /// What.
    pub what: Put,
    /// Whether the tool may change it.
    pub writable: bool,
}

/// What is put somewhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Put {
    /// What the object store has there.
    Location(String),
    /// A text.
    Text(String),
    /// An empty directory.
    Directory,
}

/// Works out what a task has to do; `inputs` are those that a process has
/// taken.
///
/// # Errors
/// An expression throws, or gives what is no word.
pub fn command(tool: &Tool, inputs: &Object, engine: &Engine) -> Result<CommandLine, Fault> {
    let common = &tool.common;
    let Prepared {
        scope,
        mut staged,
        cores,
        ram_mib,
    } = prepared(tool, inputs, engine)?;
    if let Some(dir) = common.requirements.work_dir() {
        work_dir(dir, &scope, engine, &mut staged)?;
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
                .fault(format!("a file's name is expected, not {other}"))),
        }
    };
    let stdin = text(&tool.stdin)?;
    let names = streams(tool, &scope, engine)?;
    let mut environment = Vec::new();
    for (name, template) in common.requirements.environment() {
        environment.push((name.clone(), as_word(&template.eval(&scope, engine)?)));
    }
    let words = words(tool, &scope, engine)?;
    let argv = if common.requirements.shell() {
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

/// What a tool's expressions see, and what it was worked out with.
struct Prepared<'a> {
    scope: Scope<'a>,
    staged: Vec<Staged>,
    cores: f64,
    ram_mib: f64,
}

/// Gives the files that go in their places, and finds out what the tool needs.
fn prepared<'a>(tool: &'a Tool, inputs: &Object, engine: &Engine) -> Result<Prepared<'a>, Fault> {
    let mut staged = Vec::new();
    let mut placed = Object::default();
    for (number, (name, value)) in inputs.iter().enumerate() {
        let mut value = (**value).clone();
        place(&mut value, &format!("in/{number}"), &mut staged);
        placed.insert_mut(name.clone(), Arc::new(value));
    }
    let requirements = &tool.common.requirements;
    let mut scope = Scope {
        inputs: placed,
        own: Value::Null,
        runtime: Value::Null,
        library: requirements.library(),
    };
    let (cores, ram_mib) = requirements.resources(&scope, engine)?;
    scope.runtime = runtime(cores, ram_mib);
    Ok(Prepared {
        scope,
        staged,
        cores,
        ram_mib,
    })
}

/// The files that standard output and error go to.
fn streams(
    tool: &Tool,
    scope: &Scope<'_>,
    engine: &Engine,
) -> Result<(Option<String>, Option<String>), Fault> {
    let name = |template: &Option<Template>, stream: &Type, other: &str| {
        if let Some(template) = template {
            let name = template.eval(scope, engine)?;
            return match name {
                Value::String(name) if is_name(&name) => Ok(Some(name)),
                other => Err(template
                    .cursor()
                    .fault(format!("`{other}` is no file's name"))),
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

/// Whether it names something in the working directory and nothing outside.
fn is_name(path: &str) -> bool {
    !path.is_empty()
        && !path.starts_with('/')
        && !path.contains('\0')
        && path
            .split('/')
            .all(|part| !part.is_empty() && part != "." && part != "..")
}

/// Gives the files of a value their paths.
fn place(value: &mut Value, dir: &str, staged: &mut Vec<Staged>) {
    match value {
        Value::Array(list) => {
            for (i, value) in list.iter_mut().enumerate() {
                place(value, &format!("{dir}/{i}"), staged);
            }
        }
        Value::Object(map) => match map.get("class").and_then(Value::as_str) {
            Some(class @ ("File" | "Directory")) => {
                let is_dir = class == "Directory";
                place_file(map, is_dir, dir, staged);
            }
            _ => {
                for (name, value) in map.iter_mut() {
                    place(value, &format!("{dir}/{name}"), staged);
                }
            }
        },
        _ => {}
    }
}

fn place_file(map: &mut Map<String, Value>, is_dir: bool, dir: &str, staged: &mut Vec<Staged>) {
    let name = basename(&Value::Object(map.clone())).to_owned();
    let name = if is_name(&name) && !name.contains('/') {
        name
    } else {
        "file".to_owned()
    };
    let path = format!("{dir}/{name}");
    staged.push(Staged {
        path: path.clone(),
        what: what_of(map, is_dir),
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
    // What comes with a file lies beside it.
    if let Some(Value::Array(beside)) = map.get_mut("secondaryFiles") {
        for file in beside {
            place_beside(file, dir, staged);
        }
    }
    if let Some(Value::Array(listing)) = map.get_mut("listing") {
        let inside = format!("{dir}/{name}");
        for file in listing {
            place_beside(file, &inside, staged);
        }
    }
}

/// What a file or directory is put in place from.
fn what_of(map: &Map<String, Value>, is_dir: bool) -> Put {
    let text = |name: &str| map.get(name).and_then(Value::as_str).map(str::to_owned);
    match (text("location"), text("contents")) {
        (Some(location), _) => Put::Location(location),
        (None, Some(contents)) => Put::Text(contents),
        (None, None) if is_dir => Put::Directory,
        (None, None) => Put::Text(String::new()),
    }
}

fn place_beside(file: &mut Value, dir: &str, staged: &mut Vec<Staged>) {
    let is_dir = class_of(file) == Some("Directory");
    if let Value::Object(map) = file {
        place_file(map, is_dir, dir, staged);
    }
}

/// What `InitialWorkDirRequirement` asks for.
fn work_dir(
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
                    Some(name) => Some((as_word(&name.eval(scope, engine)?), name)),
                    None => None,
                };
                if let Some((name, template)) = &name
                    && !is_name(name)
                {
                    return Err(template
                        .cursor()
                        .fault(format!("`{name}` is no file's name")));
                }
                let name = name.map(|(name, _)| name);
                put_in(&value, name, *writable, staged).map_err(|e| content.cursor().fault(e))?;
            }
        }
        WorkDir::All(template) => {
            let value = template.eval(scope, engine)?;
            put_in(&value, None, false, staged).map_err(|e| template.cursor().fault(e))?;
        }
    }
    Ok(())
}

fn put_in(
    value: &Value,
    name: Option<String>,
    writable: bool,
    staged: &mut Vec<Staged>,
) -> Result<(), String> {
    match value {
        Value::Null => Ok(()),
        Value::Array(list) => {
            if name.is_some() && list.len() > 1 {
                return Err("several files for one name".into());
            }
            list.iter()
                .try_for_each(|v| put_in(v, name.clone(), writable, staged))
        }
        Value::Object(map) if map.contains_key("class") => {
            let path = name.unwrap_or_else(|| basename(value).to_owned());
            let what = what_of(map, class_of(value) == Some("Directory"));
            if !is_name(&path) {
                return Err(format!("`{path}` is no file's name"));
            }
            staged.push(Staged {
                path,
                what,
                writable,
            });
            Ok(())
        }
        // `entryname` and `entry` as an expression gives them.
        Value::Object(map) if map.contains_key("entry") => {
            let name = map.get("entryname").and_then(Value::as_str);
            let writable = map.get("writable").and_then(Value::as_bool);
            let entry = map.get("entry").unwrap_or(&Value::Null);
            let name = name.map(str::to_owned);
            put_in(entry, name, writable.unwrap_or(false), staged)
        }
        other => {
            let Some(path) = name else {
                return Err("a text needs an `entryname`".into());
            };
            staged.push(Staged {
                path,
                what: Put::Text(as_word(other)),
                writable,
            });
            Ok(())
        }
    }
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

/// Where words go: positions from the outside in, with indexes and names
/// between. Numbers come before names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Number(i64),
    Name(String),
}

/// The words of a command line in their order.
fn words(tool: &Tool, scope: &Scope<'_>, engine: &Engine) -> Result<Vec<Word>, Fault> {
    let mut parts: Vec<(Vec<Key>, Vec<Word>)> = Vec::new();
    for (i, argument) in tool.arguments.iter().enumerate() {
        let position = position(argument, &Value::Null, scope, engine)?;
        let key = vec![Key::Number(position), Key::Number(i as i64)];
        let words = bind(argument, &Value::Null, scope, engine)?;
        parts.push((key, words));
    }
    for parameter in &tool.common.inputs {
        let value = scope
            .inputs
            .get(&parameter.name)
            .cloned()
            .unwrap_or_default();
        let name = Key::Name(parameter.name.clone());
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
    if words.len() > MAX_WORDS {
        let what = format!("a command line of more than {MAX_WORDS} words");
        return Err(tool.common.cursor.fault(what));
    }
    Ok(words)
}

fn collect_words(
    bound: &BoundType,
    value: &Value,
    outer: &[Key],
    here: Key,
    scope: &Scope<'_>,
    engine: &Engine,
    parts: &mut Vec<(Vec<Key>, Vec<Word>)>,
) -> Result<(), Fault> {
    if value.is_null() {
        return Ok(());
    }
    let mut key = outer.to_vec();
    if let Some(binding) = &bound.binding {
        key.push(Key::Number(position(binding, value, scope, engine)?));
        key.push(here);
        let words = bind(binding, value, scope, engine)?;
        if !words.is_empty() {
            parts.push((key.clone(), words));
        }
        let joined = binding.separator.is_some() || binding.value_from.is_some();
        if joined && value.is_array() {
            // They are words of this binding already.
            return Ok(());
        }
    } else {
        key.push(Key::Number(0));
        key.push(here);
    }
    match &bound.parts {
        BoundParts::Leaf => {}
        BoundParts::Union(choices) => {
            if let Some(choice) = choices.iter().find(|c| c.kind.check(value).is_ok()) {
                let mut choice = choice.clone();
                pass_on(bound, &mut choice);
                let here = Key::Number(0);
                collect_words(&choice, value, &key, here, scope, engine, parts)?;
            }
        }
        BoundParts::Items(item) => {
            let mut item = (**item).clone();
            pass_on(bound, &mut item);
            for (i, value) in value.as_array().into_iter().flatten().enumerate() {
                let here = Key::Number(i as i64);
                collect_words(&item, value, &key, here, scope, engine, parts)?;
            }
        }
        BoundParts::Fields(fields) => {
            for (name, field) in fields {
                let value = value.get(name).unwrap_or(&Value::Null);
                let here = Key::Name(name.clone());
                collect_words(field, value, &key, here, scope, engine, parts)?;
            }
        }
    }
    Ok(())
}

/// The items of an array that is bound as a whole are words of their own.
fn pass_on(outer: &BoundType, part: &mut BoundType) {
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
        // `string[]?` is an array too, whose prefix has been given already.
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
        own: value.clone(),
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

/// The words that a value adds by itself.
fn bind(
    binding: &Binding,
    value: &Value,
    scope: &Scope<'_>,
    engine: &Engine,
) -> Result<Vec<Word>, Fault> {
    let made = match &binding.value_from {
        Some(template) => {
            let scope = Scope {
                own: value.clone(),
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
                let words: Vec<_> = list.iter().map(as_word).collect();
                vec![words.join(separator)]
            }
            None => {
                let mut words: Vec<_> = prefix.into_iter().cloned().collect();
                if made.is_some() {
                    words.extend(list.iter().map(as_word));
                }
                return Ok(quoted(words, binding));
            }
        },
        Value::Object(_) if class_of(value).is_some() => vec![as_word(value)],
        Value::Object(_) | Value::Bool(true) => {
            return Ok(quoted(prefix.into_iter().cloned().collect(), binding));
        }
        Value::Null | Value::Bool(false) => return Ok(Vec::new()),
        other => vec![as_word(other)],
    };
    let mut words = Vec::new();
    for text in texts {
        match (prefix, binding.separate) {
            (Some(prefix), true) => words.extend([prefix.clone(), text]),
            (Some(prefix), false) => words.push(format!("{prefix}{text}")),
            (None, _) => words.push(text),
        }
    }
    Ok(quoted(words, binding))
}

fn quoted(words: Vec<String>, binding: &Binding) -> Vec<Word> {
    let quote = binding.quote;
    words.into_iter().map(|text| Word { text, quote }).collect()
}

/// A value as a word: numbers without exponents, files by their paths.
fn as_word(value: &Value) -> String {
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

/// Something in the directory that a tool has run in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Left {
    /// Its path, relative to the directory.
    pub path: String,
    /// Whether it is a directory.
    pub is_dir: bool,
    /// Its size in bytes.
    pub size: u64,
    /// Where it can be had from now on.
    pub location: String,
}

/// The directory that a tool has run in.
pub trait OutDir {
    /// All that is in it, at any depth.
    fn list(&self) -> Vec<Left>;
    /// The beginning of a file, at most [`MAX_CONTENTS`].
    ///
    /// # Errors
    /// It can't be read, or is no text.
    fn text(&self, path: &str) -> Result<String, String>;
}

/// Why a tool has no outputs.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// It may work if it is tried again.
    #[error("exit code {0}, which the tool calls temporary")]
    Temporary(i64),
    /// It won't.
    #[error("exit code {0}")]
    Code(i64),
    /// What it left is not what was promised.
    #[error("{0}")]
    Output(#[from] Fault),
}

/// Whether an exit code means success.
///
/// # Errors
/// It does not.
pub fn verdict(tool: &Tool, code: i64) -> Result<(), Failure> {
    // The tool's own word counts before the custom that 0 is success.
    if tool.success_codes.contains(&code) {
        Ok(())
    } else if tool.temporary_fail_codes.contains(&code) {
        Err(Failure::Temporary(code))
    } else if tool.permanent_fail_codes.contains(&code) || code != 0 {
        Err(Failure::Code(code))
    } else {
        Ok(())
    }
}

/// Collects the outputs of a tool that has ended.
///
/// # Errors
/// The exit code says that it failed, or outputs are missing or of the wrong
/// type.
pub fn collect(
    tool: &Tool,
    inputs: &Object,
    code: i64,
    dir: &dyn OutDir,
    engine: &Engine,
) -> Result<Object, Failure> {
    verdict(tool, code)?;
    let common = &tool.common;
    let left = dir.list();
    let by_path: BTreeMap<&str, &Left> = left.iter().map(|l| (l.path.as_str(), l)).collect();
    let mut scope = prepared(tool, inputs, engine)?.scope;
    if let Value::Object(map) = &mut scope.runtime {
        map.insert("exitCode".into(), code.into());
    }
    if by_path.contains_key(OWN_OUTPUT) {
        let text = dir.text(OWN_OUTPUT);
        let value = text.and_then(|t| serde_json::from_str(&t).map_err(|e| e.to_string()));
        let mut value = value.map_err(|e| common.cursor.fault(format!("{OWN_OUTPUT}: {e}")))?;
        located(&mut value, &by_path).map_err(|e| common.cursor.fault(e))?;
        return Ok(checked(common, value)?);
    }
    let names = streams(tool, &scope, engine)?;
    let mut object = Map::new();
    for output in &common.outputs {
        let found = Finder {
            output,
            left: &left,
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
        object.insert(output.name.clone(), found.value(stream)?);
    }
    Ok(checked(common, Value::Object(object))?)
}

/// Finds the value of one output.
struct Finder<'a> {
    output: &'a Output,
    left: &'a [Left],
    by_path: &'a BTreeMap<&'a str, &'a Left>,
    dir: &'a dyn OutDir,
    scope: &'a Scope<'a>,
    engine: &'a Engine,
}

impl Finder<'_> {
    fn value(&self, stream: Option<&str>) -> Result<Value, Fault> {
        let cursor = &self.output.cursor;
        if let Some(name) = stream {
            let file = self.by_path.get(name);
            let file = file.ok_or_else(|| cursor.fault(format!("`{name}` was not left behind")))?;
            return self.file(file);
        }
        let Some(found) = &self.output.output_binding else {
            return match self.output.kind.is_optional() {
                true => Ok(Value::Null),
                false => {
                    Err(cursor.fault("no `outputBinding`, and the tool left no cwl.output.json"))
                }
            };
        };
        let globs = self.globs(found)?;
        let patterns = || {
            let patterns: Vec<_> = globs.iter().map(|(_, p)| p.as_str()).collect();
            patterns.join(", ")
        };
        let matching = self.matching(&globs)?;
        let one = found.eval.is_none() && !wants_array(&self.output.kind);
        match matching.len() {
            _ if !one => {}
            0 if self.output.kind.is_optional() => return Ok(Value::Null),
            0 => return Err(cursor.fault(format!("no file matches {}", patterns()))),
            1 => {}
            n => {
                let what = format!("{n} files match {}, one is expected", patterns());
                return Err(cursor.fault(what));
            }
        }
        let mut files = Vec::new();
        for left in matching {
            let mut file = self.file(left)?;
            if found.load_contents && !left.is_dir {
                let text = self.dir.text(&left.path);
                let text = text.map_err(|e| cursor.fault(format!("{}: {e}", left.path)))?;
                if let Value::Object(map) = &mut file {
                    map.insert("contents".into(), text.into());
                }
            }
            files.push(file);
        }
        if let Some(eval) = &found.eval {
            let own = match found.glob.is_empty() {
                true => Value::Null,
                false => files.into(),
            };
            let scope = Scope {
                own,
                ..self.scope.clone()
            };
            return eval.eval(&scope, self.engine);
        }
        match one {
            true => Ok(files.pop().unwrap_or_default()),
            false => Ok(files.into()),
        }
    }

    /// The patterns of an output, each with where it stands.
    fn globs<'f>(&self, found: &'f OutputBinding) -> Result<Vec<(&'f Template, String)>, Fault> {
        let mut globs = Vec::new();
        for template in &found.glob {
            match template.eval(self.scope, self.engine)? {
                Value::Array(list) => {
                    globs.extend(list.iter().map(|pattern| (template, as_word(pattern))));
                }
                other => globs.push((template, as_word(&other))),
            }
        }
        Ok(globs)
    }

    fn matching(&self, globs: &[(&Template, String)]) -> Result<Vec<&Left>, Fault> {
        let mut files: Vec<&Left> = Vec::new();
        for (template, pattern) in globs {
            let pattern = pattern.trim_start_matches("./").trim_end_matches('/');
            if pattern.starts_with('/') || pattern.split('/').any(|p| p == "..") {
                let what = format!("`{pattern}` leads out of the working directory");
                return Err(template.cursor().fault(what));
            }
            let glob = GlobBuilder::new(pattern).literal_separator(true).build();
            let glob = glob.map_err(|e| template.cursor().fault(e.to_string()))?;
            let glob = glob.compile_matcher();
            let mut matching: Vec<_> = self
                .left
                .iter()
                .filter(|l| glob.is_match(&l.path))
                .collect();
            matching.sort_by(|a, b| a.path.cmp(&b.path));
            files.extend(matching);
        }
        Ok(files)
    }

    /// A file as a value, with what comes with it.
    fn file(&self, left: &Left) -> Result<Value, Fault> {
        let mut value = as_value(left);
        let mut beside = Vec::new();
        for secondary in &self.output.secondary_files {
            let name = secondary.name_for(basename(&value));
            let path = match left.path.rsplit_once('/') {
                Some((dir, _)) => format!("{dir}/{name}"),
                None => name,
            };
            match self.by_path.get(path.as_str()) {
                Some(file) => beside.push(as_value(file)),
                None if secondary.required => {
                    let what = format!("the secondary file `{path}` was not left behind");
                    return Err(self.output.cursor.fault(what));
                }
                None => {}
            }
        }
        if !beside.is_empty()
            && let Value::Object(map) = &mut value
        {
            map.insert("secondaryFiles".into(), beside.into());
        }
        Ok(value)
    }
}

fn as_value(left: &Left) -> Value {
    let name = left
        .path
        .rsplit_once('/')
        .map_or(left.path.as_str(), |(_, n)| n);
    if left.is_dir {
        return json!({"class": "Directory", "basename": name, "location": left.location});
    }
    json!({
        "class": "File",
        "basename": name,
        "location": left.location,
        "size": left.size,
    })
}

fn wants_array(kind: &Type) -> bool {
    match kind {
        Type::Array(_) => true,
        Type::Union(types) => types.iter().any(wants_array),
        _ => false,
    }
}

/// Files that a tool names by path become files that can be had elsewhere.
fn located(value: &mut Value, by_path: &BTreeMap<&str, &Left>) -> Result<(), String> {
    match value {
        Value::Array(list) => list.iter_mut().try_for_each(|v| located(v, by_path)),
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
                let left = by_path.get(path.as_str());
                let left = left.ok_or(format!("{OWN_OUTPUT}: `{path}` was not left behind"))?;
                if let Value::Object(found) = as_value(left) {
                    map.remove("path");
                    map.extend(found);
                }
            }
            map.values_mut().try_for_each(|v| located(v, by_path))
        }
        _ => Ok(()),
    }
}
