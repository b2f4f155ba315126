//! CWL processes: command line tools, expression tools, workflows and their parts.

use std::sync::Arc;

use serde_json::Value;

use crate::{
    cursor::{Cursor, Fields, local_name},
    expr::Template,
    fault::Fault,
    requirements::Requirements,
    types::{NamedTypes, Type},
    yaml::Data,
};

/// A process that can be executed.
#[derive(Clone, Debug)]
pub enum Process {
    /// A command line tool.
    Tool(Arc<Tool>),
    /// An expression tool.
    Expression(Arc<ExpressionTool>),
    /// A workflow.
    Workflow(Arc<Workflow>),
}

impl Process {
    /// The fields that all kinds of processes have.
    pub fn common(&self) -> &Common {
        match self {
            Self::Tool(tool) => &tool.common,
            Self::Expression(tool) => &tool.common,
            Self::Workflow(workflow) => &workflow.common,
        }
    }
}

/// The fields that all kinds of processes have.
#[derive(Clone, Debug)]
pub struct Common {
    /// The process's identifier in its file, the step's name for an inline process, or
    /// otherwise the file's path.
    pub id: String,
    /// The location in the document.
    pub cursor: Cursor,
    /// The input parameters.
    pub inputs: Vec<Parameter>,
    /// The output parameters.
    pub outputs: Vec<Output>,
    /// Requirements and hints, merged with those of enclosing scopes.
    pub requirements: Requirements,
}

/// An input parameter of a process.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// The name.
    pub name: String,
    /// The type.
    pub kind: Type,
    /// How its values are added to a command line.
    pub bound: BoundType,
    /// The value used if none is given.
    pub default: Option<Value>,
    /// Whether expressions see the first 64 KiB of the file.
    pub load_contents: bool,
    /// The secondary files that accompany a file.
    pub secondary_files: Vec<SecondaryFile>,
}

/// An output parameter of a process.
#[derive(Clone, Debug)]
pub struct Output {
    /// The name.
    pub name: String,
    /// The type.
    pub kind: Type,
    /// How the value of a tool's output is determined.
    pub output_binding: Option<OutputBinding>,
    /// The secondary files collected with it.
    pub secondary_files: Vec<SecondaryFile>,
    /// The sources of a workflow's output.
    pub link: Option<Link>,
    /// The location in the document.
    pub cursor: Cursor,
}

/// How the value of a tool's output is determined (`outputBinding`).
#[derive(Clone, Debug)]
pub struct OutputBinding {
    /// Patterns of file names. If empty, `eval` alone gives the value.
    pub glob: Vec<Template>,
    /// Whether `eval` sees the first 64 KiB of each file.
    pub load_contents: bool,
    /// Computes the value from the matching files, which it sees as `self` (`outputEval`).
    pub eval: Option<Template>,
}

/// A file that accompanies a primary file. The pattern's suffix, such as `.bai`, is appended
/// to the primary file's name after each leading `^` has removed one extension from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SecondaryFile {
    /// The pattern.
    pub pattern: String,
    /// Whether the absence of the file is an error.
    pub required: bool,
}

impl SecondaryFile {
    /// The name of the secondary file of the primary file `name`.
    pub fn name_for(&self, name: &str) -> String {
        let suffix = self.pattern.trim_start_matches('^');
        let mut stem = name;
        for _ in 0..self.pattern.len() - suffix.len() {
            stem = stem.rsplit_once('.').map_or(stem, |(stem, _)| stem);
        }
        format!("{stem}{suffix}")
    }
}

/// A type with the bindings that add its values to a command line.
#[derive(Clone, Debug)]
pub struct BoundType {
    /// The type.
    pub kind: Type,
    /// What a value of this type adds.
    pub binding: Option<Binding>,
    /// The parts of the type, with their own bindings.
    pub parts: BoundParts,
}

/// The parts of a [`BoundType`].
#[derive(Clone, Debug)]
pub enum BoundParts {
    /// A type without parts.
    Leaf,
    /// The items of an array.
    Items(Box<BoundType>),
    /// The named fields of a record.
    Fields(Vec<(String, BoundType)>),
    /// The alternatives of a union; the first that a value matches applies.
    Union(Vec<BoundType>),
}

/// What a value adds to a command line (`inputBinding`).
#[derive(Clone, Debug, Default)]
pub struct Binding {
    /// The sort position; 0 if absent.
    pub position: Option<Template>,
    /// A prefix for the value.
    pub prefix: Option<String>,
    /// Whether the prefix is a separate argument.
    pub separate: bool,
    /// Joins the items of an array to one argument (`itemSeparator`).
    pub separator: Option<String>,
    /// Replaces the value (`valueFrom`).
    pub value_from: Option<Template>,
    /// Whether the value is quoted in a shell command (`shellQuote`).
    pub quote: bool,
}

impl Binding {
    /// A binding that adds the value as a separate argument without a prefix.
    pub fn word(quote: bool) -> Self {
        Self {
            separate: true,
            quote,
            ..Self::default()
        }
    }
}

/// A command line tool.
#[derive(Clone, Debug)]
pub struct Tool {
    /// The fields that all kinds of processes have.
    pub common: Common,
    /// The program and its first arguments (`baseCommand`).
    pub command: Vec<String>,
    /// Arguments that don't come from an input.
    pub arguments: Vec<Binding>,
    /// The file to use as standard input.
    pub stdin: Option<Template>,
    /// The name of the file that receives standard output.
    pub stdout: Option<Template>,
    /// The name of the file that receives standard error.
    pub stderr: Option<Template>,
    /// Exit codes that mean success. 0 does so too, unless it is listed as a failure.
    pub success_codes: Vec<i64>,
    /// Exit codes of temporary failures, which may be retried.
    pub temporary_fail_codes: Vec<i64>,
    /// Exit codes of permanent failures, which must not be retried.
    pub permanent_fail_codes: Vec<i64>,
}

/// A process that consists of an expression.
#[derive(Clone, Debug)]
pub struct ExpressionTool {
    /// The fields that all kinds of processes have.
    pub common: Common,
    /// The expression that gives the outputs.
    pub expression: Template,
}

/// A workflow.
#[derive(Clone, Debug)]
pub struct Workflow {
    /// The fields that all kinds of processes have.
    pub common: Common,
    /// The steps in topological order: each follows the steps that it depends on.
    pub steps: Vec<Step>,
}

/// A step of a workflow.
#[derive(Clone, Debug)]
pub struct Step {
    /// The name.
    pub name: String,
    /// The location in the document.
    pub cursor: Cursor,
    /// The inputs of the step.
    pub inputs: Vec<StepInput>,
    /// The names of the outputs.
    pub outputs: Vec<String>,
    /// The process that the step runs.
    pub run: Process,
    /// The condition for running the step; `None` if it always runs.
    pub when: Option<Template>,
    /// The names of the inputs to scatter over.
    pub scatter: Vec<String>,
    /// How several scattered inputs are combined.
    pub scatter_method: ScatterMethod,
    /// Requirements and hints, merged with those of the workflow.
    pub requirements: Requirements,
}

/// How several scattered inputs are combined (`scatterMethod`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScatterMethod {
    /// Items of equal index are combined (`dotproduct`).
    DotProduct,
    /// All combinations, with outputs as nested arrays (`nested_crossproduct`).
    NestedCrossProduct,
    /// All combinations, with outputs as one flat array (`flat_crossproduct`).
    FlatCrossProduct,
}

/// An input of a step.
#[derive(Clone, Debug)]
pub struct StepInput {
    /// The name.
    pub name: String,
    /// The sources of the value.
    pub link: Link,
    /// The value used if the sources give null.
    pub default: Option<Value>,
    /// Computes the value (`valueFrom`).
    pub value_from: Option<Template>,
    /// Whether expressions see the first 64 KiB of the file.
    pub load_contents: bool,
    /// The location in the document.
    pub cursor: Cursor,
}

/// The sources of a value in a workflow and how they are combined.
#[derive(Clone, Debug)]
pub struct Link {
    /// The sources.
    pub sources: Vec<Source>,
    /// How several sources are merged (`linkMerge`). If given, a single source gives an array
    /// as well.
    pub merge: Option<LinkMerge>,
    /// Which of the values are used (`pickValue`).
    pub pick: Option<PickValue>,
}

impl Link {
    /// The merge method that applies: `linkMerge`, or nested by default if there are several
    /// sources. `None` if there is at most one source and no `linkMerge`.
    pub fn effective_merge(&self) -> Option<LinkMerge> {
        match (self.merge, self.sources.len()) {
            (None, 0 | 1) => None,
            (merge, _) => Some(merge.unwrap_or(LinkMerge::Nested)),
        }
    }
}

/// A source of a value in a workflow.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// An input of the workflow.
    Input(String),
    /// An output of a step: the names of the step and of the output.
    Step(String, String),
}

/// How several sources are merged into one value (`linkMerge`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMerge {
    /// An array with one item per source.
    Nested,
    /// One array of the items of all sources.
    Flattened,
}

/// Which of several values are used (`pickValue`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickValue {
    /// The first that is not null.
    First,
    /// The only one that is not null.
    Only,
    /// All that are not null, as an array.
    All,
}

/// Reads a process's input parameters.
///
/// # Errors
/// The first invalid parameter.
pub fn parameters(
    cursor: Option<Cursor>,
    names: &NamedTypes,
    js: bool,
) -> Result<Vec<Parameter>, Fault> {
    let mut all: Vec<Parameter> = Vec::new();
    let Some(cursor) = cursor else { return Ok(all) };
    for (name, cursor) in cursor.named("id", Some("type"))? {
        // A list of types is short for a map with `type` as well.
        let cursor = with_type(cursor);
        let mut fields = cursor.fields()?;
        fields.allow_descriptive_fields();
        let type_cursor = fields.require("type")?;
        let kind = Type::parse(&type_cursor, names)?;
        if uses_streams(&kind) {
            return Err(type_cursor.fault("only outputs can be `stdout` or `stderr`"));
        }
        let own_binding = fields.get("inputBinding");
        let own_binding = own_binding.map(|b| binding(&b, js)).transpose()?;
        let (load, own_binding) = match own_binding {
            Some((binding, load)) => (load, Some(binding)),
            None => (false, None),
        };
        let bound = bound_type(&type_cursor, own_binding, names, js)?;
        let load_contents = optional_bool(&mut fields, "loadContents")?.unwrap_or(load);
        skip_unused_fields(&mut fields)?;
        let default = fields.get_or_null("default").map(|d| d.node.to_value());
        let parameter = Parameter {
            name: local_name(&name).to_owned(),
            kind,
            bound,
            load_contents,
            secondary_files: secondary_files(&mut fields)?,
            default: default.filter(|d| !d.is_null()),
        };
        if let Some(default) = &parameter.default
            && let Err(e) = parameter.kind.check(default)
        {
            return Err(cursor.fault(format!("default: {e}")));
        }
        fields.finish()?;
        if all.iter().any(|p| p.name == parameter.name) {
            return Err(cursor.fault(format!("`{}` is defined twice", parameter.name)));
        }
        all.push(parameter);
    }
    Ok(all)
}

/// Reads a process's output parameters.
///
/// # Errors
/// The first invalid parameter.
pub fn outputs(cursor: Option<Cursor>, names: &NamedTypes, js: bool) -> Result<Vec<Output>, Fault> {
    let mut all: Vec<Output> = Vec::new();
    let Some(cursor) = cursor else { return Ok(all) };
    for (name, cursor) in cursor.named("id", Some("type"))? {
        let cursor = with_type(cursor);
        let mut fields = cursor.fields()?;
        fields.allow_descriptive_fields();
        let kind = Type::parse(&fields.require("type")?, names)?;
        let output_binding = match fields.get("outputBinding") {
            Some(cursor) => Some(output_binding(&cursor, js)?),
            None => None,
        };
        skip_unused_fields(&mut fields)?;
        let link = match fields.get("outputSource") {
            Some(cursor) => Some(link(&cursor, &mut fields)?),
            None => None,
        };
        let output = Output {
            name: local_name(&name).to_owned(),
            kind,
            output_binding,
            secondary_files: secondary_files(&mut fields)?,
            link,
            cursor: cursor.clone(),
        };
        fields.finish()?;
        if all.iter().any(|o| o.name == output.name) {
            return Err(cursor.fault(format!("`{}` is defined twice", output.name)));
        }
        all.push(output);
    }
    Ok(all)
}

/// Expands a type without a map to a map with `type`.
fn with_type(cursor: Cursor) -> Cursor {
    if matches!(cursor.node.data, Data::Map(_)) {
        return cursor;
    }
    let mut node = cursor.node.clone();
    node.data = Data::Map(Arc::new(vec![("type".into(), cursor.node.clone())]));
    Cursor {
        node,
        path: cursor.path,
    }
}

/// Whether the type contains `stdout` or `stderr`, except in a record.
fn uses_streams(kind: &Type) -> bool {
    match kind {
        Type::Stdout | Type::Stderr => true,
        Type::Array(items) => uses_streams(items),
        Type::Union(types) => types.iter().any(uses_streams),
        _ => false,
    }
}

/// Accepts `format` and `streamable`, which have no effect, and `loadListing` with the only
/// value that is supported.
fn skip_unused_fields(fields: &mut Fields) -> Result<(), Fault> {
    fields.get("format");
    fields.get("streamable");
    match fields.get("loadListing") {
        Some(how) if how.text()? != "no_listing" => {
            Err(how.fault("only `no_listing` is supported"))
        }
        _ => Ok(()),
    }
}

fn optional_bool(fields: &mut Fields, name: &'static str) -> Result<Option<bool>, Fault> {
    fields.get(name).map(|s| s.bool()).transpose()
}

fn secondary_files(fields: &mut Fields) -> Result<Vec<SecondaryFile>, Fault> {
    let Some(cursor) = fields.get("secondaryFiles") else {
        return Ok(Vec::new());
    };
    let mut all = Vec::new();
    for cursor in cursor.to_list() {
        let (pattern, required) = match cursor.text() {
            Ok(text) => (cursor.clone(), !text.ends_with('?')),
            Err(_) => {
                let mut fields = cursor.fields()?;
                let pattern = fields.require("pattern")?;
                let required = optional_bool(&mut fields, "required")?.unwrap_or(true);
                fields.finish()?;
                (pattern, required)
            }
        };
        let text = pattern.text()?.trim_end_matches('?');
        if text.contains(['$', '/']) || text.trim_start_matches('^').is_empty() {
            return Err(pattern.fault("only patterns such as `.bai` or `^.bai` are supported"));
        }
        all.push(SecondaryFile {
            pattern: text.to_owned(),
            required,
        });
    }
    Ok(all)
}

/// Reads a type with the bindings of its parts; `own_binding` is the binding of the value
/// itself.
fn bound_type(
    cursor: &Cursor,
    own_binding: Option<Binding>,
    names: &NamedTypes,
    js: bool,
) -> Result<BoundType, Fault> {
    let kind = Type::parse(cursor, names)?;
    let inner_binding = |cursor: &Cursor| -> Result<Option<Binding>, Fault> {
        let Some(node) = cursor.node.get("inputBinding") else {
            return Ok(None);
        };
        let (binding, _) = binding(&cursor.below("inputBinding", node.clone()), js)?;
        Ok(Some(binding))
    };
    let parts = match &cursor.node.data {
        Data::List(_) => {
            let choices = cursor.to_list();
            let choices = choices.iter().map(|c| bound_type(c, None, names, js));
            BoundParts::Union(choices.collect::<Result<_, _>>()?)
        }
        Data::Map(_) => {
            let child = |name: &str| {
                let node = cursor.node.get(name)?;
                Some(cursor.below(name, node.clone()))
            };
            let schema_binding = inner_binding(cursor)?;
            match (&kind, child("items"), child("fields")) {
                (Type::Array(_), Some(items), _) => {
                    let mut part = bound_type(&items, None, names, js)?;
                    // A binding in the array's type schema applies to each of its items.
                    if schema_binding.is_some() {
                        part.binding = schema_binding;
                    }
                    BoundParts::Items(Box::new(part))
                }
                (Type::Record(_), _, Some(list)) => {
                    let mut parts = Vec::new();
                    for (name, field) in list.named("name", Some("type"))? {
                        let Some(kind) = field.node.get("type") else {
                            return Err(field.fault("`type` is missing"));
                        };
                        let kind = field.below("type", kind.clone());
                        let part = bound_type(&kind, inner_binding(&field)?, names, js)?;
                        parts.push((local_name(&name).to_owned(), part));
                    }
                    BoundParts::Fields(parts)
                }
                _ => BoundParts::Leaf,
            }
        }
        _ => unbound_parts(&kind),
    };
    Ok(BoundType {
        kind,
        binding: own_binding,
        parts,
    })
}

/// The parts of a type written as text, such as `string[]` or `string[]?`. They have no
/// bindings.
fn unbound_parts(kind: &Type) -> BoundParts {
    let part = |kind: &Type| BoundType {
        kind: kind.clone(),
        binding: None,
        parts: unbound_parts(kind),
    };
    match kind {
        Type::Array(items) => BoundParts::Items(Box::new(part(items))),
        Type::Union(types) => BoundParts::Union(types.iter().map(part).collect()),
        Type::Record(fields) => {
            BoundParts::Fields(fields.iter().map(|(n, k)| (n.clone(), part(k))).collect())
        }
        _ => BoundParts::Leaf,
    }
}

/// Reads an input binding, and whether it sets `loadContents`.
pub fn binding(cursor: &Cursor, js: bool) -> Result<(Binding, bool), Fault> {
    let mut fields = cursor.fields()?;
    let position = fields.get("position");
    let position = position.map(|p| Template::parse(&p, js)).transpose()?;
    let text = |cursor: Option<Cursor>| cursor.map(|s| s.text().map(str::to_owned)).transpose();
    let prefix = text(fields.get("prefix"))?;
    let separator = text(fields.get("itemSeparator"))?;
    let value_from = fields.get("valueFrom");
    let value_from = value_from.map(|v| Template::parse(&v, js)).transpose()?;
    let binding = Binding {
        position,
        prefix,
        separate: optional_bool(&mut fields, "separate")?.unwrap_or(true),
        separator,
        value_from,
        quote: optional_bool(&mut fields, "shellQuote")?.unwrap_or(true),
    };
    let load = optional_bool(&mut fields, "loadContents")?.unwrap_or(false);
    fields.finish()?;
    Ok((binding, load))
}

fn output_binding(cursor: &Cursor, js: bool) -> Result<OutputBinding, Fault> {
    let mut fields = cursor.fields()?;
    let glob = match fields.get("glob") {
        Some(cursor) => {
            let patterns = cursor.to_list();
            let patterns = patterns.iter().map(|p| {
                p.text()?;
                Template::parse(p, js)
            });
            patterns.collect::<Result<_, _>>()?
        }
        None => Vec::new(),
    };
    let load_contents = optional_bool(&mut fields, "loadContents")?.unwrap_or(false);
    let eval = fields.get("outputEval");
    let eval = eval.map(|e| Template::parse(&e, js)).transpose()?;
    skip_unused_fields(&mut fields)?;
    fields.finish()?;
    Ok(OutputBinding {
        glob,
        load_contents,
        eval,
    })
}

/// Reads a link. `cursor` is its `source` or `outputSource`, and `fields` holds its
/// `linkMerge` and `pickValue`.
pub fn link(cursor: &Cursor, fields: &mut Fields) -> Result<Link, Fault> {
    let sources = cursor.texts()?;
    let merge = match fields.get("linkMerge") {
        Some(cursor) => match cursor.text()? {
            "merge_nested" => Some(LinkMerge::Nested),
            "merge_flattened" => Some(LinkMerge::Flattened),
            _ => return Err(cursor.fault("`merge_nested` or `merge_flattened` is expected")),
        },
        None => None,
    };
    let pick = match fields.get("pickValue") {
        Some(cursor) => Some(match cursor.text()? {
            "first_non_null" => PickValue::First,
            "the_only_non_null" => PickValue::Only,
            "all_non_null" => PickValue::All,
            _ => {
                let message = "`first_non_null`, `the_only_non_null` or `all_non_null` is expected";
                return Err(cursor.fault(message));
            }
        }),
        None => None,
    };
    Ok(Link {
        // All names are taken for inputs at first. They are resolved once all steps are known.
        sources: sources.into_iter().map(Source::Input).collect(),
        merge,
        pick,
    })
}
