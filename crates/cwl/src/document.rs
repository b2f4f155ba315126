//! Processes as documents describe them.

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

/// Something that can be run.
#[derive(Clone, Debug)]
pub enum Process {
    /// A command line.
    Tool(Arc<Tool>),
    /// An expression.
    Expression(Arc<ExpressionTool>),
    /// Steps.
    Workflow(Arc<Workflow>),
}

impl Process {
    /// What all processes have.
    pub fn common(&self) -> &Common {
        match self {
            Self::Tool(tool) => &tool.common,
            Self::Expression(tool) => &tool.common,
            Self::Workflow(workflow) => &workflow.common,
        }
    }
}

/// What all processes have.
#[derive(Clone, Debug)]
pub struct Common {
    /// Its name in its file, or the file's.
    pub id: String,
    /// Where it stands.
    pub cursor: Cursor,
    /// What goes in.
    pub inputs: Vec<Parameter>,
    /// What comes out.
    pub outputs: Vec<Output>,
    /// Requirements and hints.
    pub requirements: Requirements,
}

/// What goes into a process.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: Type,
    /// Where it goes in a command line.
    pub bound: BoundType,
    /// What it is if nothing is given.
    pub default: Option<Value>,
    /// Whether expressions see the first 64 KiB of the file.
    pub load_contents: bool,
    /// Files that have to come with it.
    pub secondary_files: Vec<SecondaryFile>,
}

/// What comes out of a process.
#[derive(Clone, Debug)]
pub struct Output {
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: Type,
    /// How a tool's output is found.
    pub output_binding: Option<OutputBinding>,
    /// Files that come with it.
    pub secondary_files: Vec<SecondaryFile>,
    /// Where a workflow's output comes from.
    pub link: Option<Link>,
    /// Where it stands.
    pub cursor: Cursor,
}

/// How a tool's output is found.
#[derive(Clone, Debug)]
pub struct OutputBinding {
    /// Patterns of file names; none: `eval` alone gives the value.
    pub glob: Vec<Template>,
    /// Whether `eval` sees the first 64 KiB.
    pub load_contents: bool,
    /// Makes the value from the files, which it sees as `self`.
    pub eval: Option<Template>,
}

/// A file that comes with another one: `.bai` is added to its name, each `^`
/// before takes an extension away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SecondaryFile {
    /// The pattern.
    pub pattern: String,
    /// Whether it is an error if there is none.
    pub required: bool,
}

impl SecondaryFile {
    /// The name of the file that comes with `name`.
    pub fn name_for(&self, name: &str) -> String {
        let suffix = self.pattern.trim_start_matches('^');
        let mut stem = name;
        for _ in 0..self.pattern.len() - suffix.len() {
            stem = stem.rsplit_once('.').map_or(stem, |(stem, _)| stem);
        }
        format!("{stem}{suffix}")
    }
}

/// A type with what its parts add to a command line.
#[derive(Clone, Debug)]
pub struct BoundType {
    /// The type.
    pub kind: Type,
    /// What a value of it adds.
    pub binding: Option<Binding>,
    /// Its parts.
    pub parts: BoundParts,
}

/// The parts of a type.
#[derive(Clone, Debug)]
pub enum BoundParts {
    /// None.
    Leaf,
    /// Those of an array.
    Items(Box<BoundType>),
    /// Those of a record.
    Fields(Vec<(String, BoundType)>),
    /// It is one of these; the first that fits counts.
    Union(Vec<BoundType>),
}

/// What a value adds to a command line.
#[derive(Clone, Debug, Default)]
pub struct Binding {
    /// Where; 0 without it.
    pub position: Option<Template>,
    /// Goes before it.
    pub prefix: Option<String>,
    /// Whether the prefix is a word of its own.
    pub separate: bool,
    /// Joins the values of an array to one word.
    pub separator: Option<String>,
    /// Goes in instead of the value.
    pub value_from: Option<Template>,
    /// Whether a shell must take it as one word.
    pub quote: bool,
}

impl Binding {
    /// A word by itself.
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
    /// What all processes have.
    pub common: Common,
    /// The program, and words after it.
    pub command: Vec<String>,
    /// Words that come from no input.
    pub arguments: Vec<Binding>,
    /// The file that is its standard input.
    pub stdin: Option<Template>,
    /// The name of the file that its standard output goes to.
    pub stdout: Option<Template>,
    /// The same for its standard error.
    pub stderr: Option<Template>,
    /// Exit codes that mean success; none: 0.
    pub success_codes: Vec<i64>,
    /// Exit codes after which it may be tried again.
    pub temporary_fail_codes: Vec<i64>,
    /// Exit codes after which it must not.
    pub permanent_fail_codes: Vec<i64>,
}

/// An expression that is a process.
#[derive(Clone, Debug)]
pub struct ExpressionTool {
    /// What all processes have.
    pub common: Common,
    /// Gives the outputs.
    pub expression: Template,
}

/// Steps.
#[derive(Clone, Debug)]
pub struct Workflow {
    /// What all processes have.
    pub common: Common,
    /// In an order in which each comes after those it depends on.
    pub steps: Vec<Step>,
}

/// A step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub cursor: Cursor,
    /// What goes in.
    pub inputs: Vec<StepInput>,
    /// Names of what comes out.
    pub outputs: Vec<String>,
    /// What it runs.
    pub run: Process,
    /// Whether it is run at all.
    pub when: Option<Template>,
    /// The inputs that are scattered over.
    pub scatter: Vec<String>,
    /// How, if they are several.
    pub scatter_method: ScatterMethod,
    /// Requirements and hints, within those of the workflow.
    pub requirements: Requirements,
}

/// How several inputs are scattered over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScatterMethod {
    /// The first with the first, the second with the second.
    DotProduct,
    /// Each with each, as arrays in arrays.
    NestedCrossProduct,
    /// Each with each, as one array.
    FlatCrossProduct,
}

/// What goes into a step.
#[derive(Clone, Debug)]
pub struct StepInput {
    /// Its name.
    pub name: String,
    /// Where it comes from.
    pub link: Link,
    /// What it is if nothing comes.
    pub default: Option<Value>,
    /// Makes the value.
    pub value_from: Option<Template>,
    /// Whether expressions see the first 64 KiB of the file.
    pub load_contents: bool,
    /// Where it stands.
    pub cursor: Cursor,
}

/// Where a value of a workflow comes from.
#[derive(Clone, Debug)]
pub struct Link {
    /// From these.
    pub sources: Vec<Source>,
    /// How several become one; given, a single one becomes a list of one.
    pub merge: Option<LinkMerge>,
    /// Which of them count.
    pub pick: Option<PickValue>,
}

impl Link {
    /// How the values become one; none: there is only one.
    pub fn effective_merge(&self) -> Option<LinkMerge> {
        match (self.merge, self.sources.len()) {
            (None, 0 | 1) => None,
            (merge, _) => Some(merge.unwrap_or(LinkMerge::Nested)),
        }
    }
}

/// Something that has a value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// An input of the workflow.
    Input(String),
    /// An output of a step.
    Step(String, String),
}

/// How several sources become one value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMerge {
    /// An array of them.
    Nested,
    /// One array of what is in them.
    Flattened,
}

/// Which values of several count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickValue {
    /// The first that is not null.
    First,
    /// The only one that is not null.
    Only,
    /// All that are not null, as an array.
    All,
}

/// Reads a process's inputs.
///
/// # Errors
/// The first that is wrong.
pub fn parameters(
    cursor: Option<Cursor>,
    names: &NamedTypes,
    js: bool,
) -> Result<Vec<Parameter>, Fault> {
    let mut all: Vec<Parameter> = Vec::new();
    let Some(cursor) = cursor else { return Ok(all) };
    for (name, cursor) in cursor.named("id", Some("type"))? {
        // A list of types stands for `type` too.
        let cursor = with_type(cursor);
        let mut fields = cursor.fields()?;
        fields.allow_descriptive_fields();
        let type_cursor = fields.require("type")?;
        let kind = Type::parse(&type_cursor, names)?;
        if uses_streams(&kind) {
            return Err(type_cursor.fault("only outputs can be `stdout` or `stderr`"));
        }
        let own = fields.get("inputBinding");
        let own = own.map(|b| binding(&b, js)).transpose()?;
        let (load, own) = match own {
            Some((binding, load)) => (load, Some(binding)),
            None => (false, None),
        };
        let bound = bound(&type_cursor, own, names, js)?;
        let load_contents = flag(&mut fields, "loadContents")?.unwrap_or(load);
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
            return Err(cursor.fault(format!("`{}` is named twice", parameter.name)));
        }
        all.push(parameter);
    }
    Ok(all)
}

/// Reads a process's outputs.
///
/// # Errors
/// The first that is wrong.
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
            return Err(cursor.fault(format!("`{}` is named twice", output.name)));
        }
        all.push(output);
    }
    Ok(all)
}

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

fn uses_streams(kind: &Type) -> bool {
    match kind {
        Type::Stdout | Type::Stderr => true,
        Type::Array(items) => uses_streams(items),
        Type::Union(types) => types.iter().any(uses_streams),
        _ => false,
    }
}

/// Fields that only describe, and one of which no other value is supported.
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

fn flag(fields: &mut Fields, name: &'static str) -> Result<Option<bool>, Fault> {
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
                let required = flag(&mut fields, "required")?.unwrap_or(true);
                fields.finish()?;
                (pattern, required)
            }
        };
        let text = pattern.text()?.trim_end_matches('?');
        if text.contains(['$', '/']) || text.trim_start_matches('^').is_empty() {
            return Err(pattern.fault("only patterns as `.bai` or `^.bai` are supported"));
        }
        all.push(SecondaryFile {
            pattern: text.to_owned(),
            required,
        });
    }
    Ok(all)
}

/// Reads what a type's parts add to a command line.
fn bound(
    cursor: &Cursor,
    binding_here: Option<Binding>,
    names: &NamedTypes,
    js: bool,
) -> Result<BoundType, Fault> {
    let kind = Type::parse(cursor, names)?;
    let inner = |cursor: &Cursor| -> Result<Option<Binding>, Fault> {
        let Some(node) = cursor.node.get("inputBinding") else {
            return Ok(None);
        };
        let (binding, _) = binding(&cursor.below("inputBinding", node.clone()), js)?;
        Ok(Some(binding))
    };
    let parts = match &cursor.node.data {
        Data::List(_) => {
            let choices = cursor.to_list();
            let choices = choices.iter().map(|c| bound(c, None, names, js));
            BoundParts::Union(choices.collect::<Result<_, _>>()?)
        }
        Data::Map(_) => {
            let at = |name: &str| {
                let node = cursor.node.get(name)?;
                Some(cursor.below(name, node.clone()))
            };
            let own = inner(cursor)?;
            match (&kind, at("items"), at("fields")) {
                (Type::Array(_), Some(items), _) => {
                    let mut part = bound(&items, None, names, js)?;
                    // A binding of the array's type is for each of its items.
                    if own.is_some() {
                        part.binding = own;
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
                        let part = bound(&kind, inner(&field)?, names, js)?;
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
        binding: binding_here,
        parts,
    })
}

/// The parts of `string[]` and `string[]?`.
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

/// Reads a binding, and whether it asks for the contents of the file.
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
        separate: flag(&mut fields, "separate")?.unwrap_or(true),
        separator,
        value_from,
        quote: flag(&mut fields, "shellQuote")?.unwrap_or(true),
    };
    let load = flag(&mut fields, "loadContents")?.unwrap_or(false);
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
    let load_contents = flag(&mut fields, "loadContents")?.unwrap_or(false);
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

/// Reads where a value comes from; `spot` is its `source`.
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
                let what = "`first_non_null`, `the_only_non_null` or `all_non_null` is expected";
                return Err(cursor.fault(what));
            }
        }),
        None => None,
    };
    Ok(Link {
        // What each name means is known once all steps are.
        sources: sources.into_iter().map(Source::Input).collect(),
        merge,
        pick,
    })
}
