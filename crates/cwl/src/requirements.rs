//! Requirements and hints of processes and steps, and how those of nested scopes merge.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{
    cursor::{Cursor, Fields, local_name},
    engine::Engine,
    expr::{Scope, Template},
    fault::Fault,
    types::{NamedTypes, Type},
};

/// The namespace of oliveshift's extensions, as documents declare it in `$namespaces`.
pub const NAMESPACE: &str = "https://oliveshift.example/cwl#";

/// A requirement or hint.
#[derive(Clone, Debug)]
pub enum Requirement {
    /// JavaScript expressions, with the texts of `expressionLib`.
    InlineJavascript(Vec<String>),
    /// Named types.
    SchemaDefs(NamedTypes),
    /// The container image.
    Image(String),
    /// Processors and memory.
    Resources(Resources),
    /// Environment variables.
    Environment(Vec<(String, Template)>),
    /// What is staged in the working directory before the tool starts.
    WorkDir(WorkDir),
    /// The command runs in a shell.
    Shell,
    /// The tool's time limit, in seconds.
    TimeLimit(Template),
    /// Placement and ordering of jobs, an oliveshift extension.
    Placement(Placement),
    /// A feature that is always available, or that has no effect here.
    NoEffect,
}

/// Processors and memory of a tool.
#[derive(Clone, Debug, Default)]
pub struct Resources {
    /// Processors; `coresMin`, or `coresMax` if that is absent.
    pub cores: Option<Template>,
    /// Memory in MiB; `ramMin`, or `ramMax` if that is absent.
    pub ram: Option<Template>,
}

/// The contents staged in the working directory.
#[derive(Clone, Debug)]
pub enum WorkDir {
    /// A list of entries.
    Entries(Vec<WorkDirEntry>),
    /// An expression that gives the whole listing.
    All(Template),
}

/// An entry staged in the working directory.
#[derive(Clone, Debug)]
pub struct WorkDirEntry {
    /// The entry's name; `None` keeps the name of the file.
    pub name: Option<Template>,
    /// A text, a file, a directory, or a list of these.
    pub content: Template,
    /// Whether the tool may modify it.
    pub writable: bool,
}

/// Placement and ordering of a tool's job: the fields that a native job has for these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// The team that the job is accounted to.
    pub team: Option<String>,
    /// The job's class of work.
    pub class: Option<String>,
    /// `low`, `normal` or `high`.
    pub urgency: Option<String>,
    /// The deadline, in seconds after the start of the run.
    pub deadline_s: Option<f64>,
    /// The zone to which the job is restricted.
    pub zone: Option<String>,
    /// The machine types to which the job is restricted.
    pub types: Option<Vec<String>>,
    /// Whether the job may run on spot machines.
    pub spot: Option<bool>,
    /// The estimated run time of a task, in seconds.
    pub estimate_s: Option<f64>,
    /// The size of the image, in GB.
    pub image_gb: Option<f64>,
    /// The number of GPUs.
    pub gpus: Option<f64>,
}

impl Placement {
    /// Fills the fields that are not set from `outer`, field by field.
    fn within(&self, outer: &Self) -> Self {
        let inner = self.clone();
        let outer = outer.clone();
        Self {
            team: inner.team.or(outer.team),
            class: inner.class.or(outer.class),
            urgency: inner.urgency.or(outer.urgency),
            deadline_s: inner.deadline_s.or(outer.deadline_s),
            zone: inner.zone.or(outer.zone),
            types: inner.types.or(outer.types),
            spot: inner.spot.or(outer.spot),
            estimate_s: inner.estimate_s.or(outer.estimate_s),
            image_gb: inner.image_gb.or(outer.image_gb),
            gpus: inner.gpus.or(outer.gpus),
        }
    }
}

/// Requirements by their CWL class.
type RequirementsByClass = BTreeMap<&'static str, Requirement>;

/// The requirements and hints that apply to a process or step.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    required: RequirementsByClass,
    hinted: RequirementsByClass,
}

impl Requirements {
    /// Reads `requirements` and `hints` of a process or step and merges them with those of
    /// the enclosing scope, `outer`.
    ///
    /// # Errors
    /// A requirement is unknown or not supported, a class is given twice, or a known hint is
    /// malformed.
    pub fn read(fields: &mut Fields, outer: &Requirements) -> Result<Self, Fault> {
        let mut requirements = Self::default();
        let mut named = |name| -> Result<_, Fault> {
            let cursor = fields.get(name);
            Ok(cursor
                .map(|s| s.named("class", None))
                .transpose()?
                .unwrap_or_default())
        };
        let (required, hinted) = (named("requirements")?, named("hints")?);
        // JavaScript and named types are read first because other requirements may use them.
        let uses_definitions =
            |name: &str| !matches!(name, "InlineJavascriptRequirement" | "SchemaDefRequirement");
        for (list, is_hint) in [(required, false), (hinted, true)] {
            let mut list = list;
            list.sort_by_key(|(name, _)| uses_definitions(name));
            for (name, cursor) in list {
                let merged = requirements.within(outer);
                let read = read_requirement(&name, &cursor, is_hint, &merged)?;
                let Some((class, requirement)) = read else {
                    continue;
                };
                let classes = if is_hint {
                    &mut requirements.hinted
                } else {
                    &mut requirements.required
                };
                if classes.insert(class, requirement).is_some() {
                    return Err(cursor.fault(format!("`{name}` is given more than once")));
                }
            }
        }
        Ok(requirements.within(outer))
    }

    /// Merges with the requirements of an enclosing workflow or step: an inner requirement
    /// replaces an outer one of its class, and likewise for hints. [`Self::get`] prefers
    /// requirements to hints, wherever they come from.
    fn within(&self, outer: &Requirements) -> Self {
        let merge = |outer: &RequirementsByClass, inner: &RequirementsByClass| {
            let mut all = outer.clone();
            for (class, requirement) in inner {
                let requirement = match (all.get(class), requirement) {
                    // Placements merge field by field: a step that gives only an estimate
                    // keeps the team of the workflow.
                    (Some(Requirement::Placement(outer)), Requirement::Placement(inner)) => {
                        Requirement::Placement(inner.within(outer))
                    }
                    (_, requirement) => requirement.clone(),
                };
                all.insert(class, requirement);
            }
            all
        };
        Self {
            required: merge(&outer.required, &self.required),
            hinted: merge(&outer.hinted, &self.hinted),
        }
    }

    fn get(&self, class: &str) -> Option<&Requirement> {
        let required = self.required.get(class);
        required.or_else(|| self.hinted.get(class))
    }

    /// The library for expressions; `None` if JavaScript is not required.
    pub fn library(&self) -> Option<&[String]> {
        match self.get("InlineJavascriptRequirement") {
            Some(Requirement::InlineJavascript(library)) => Some(library),
            _ => None,
        }
    }

    /// Named types.
    pub fn named_types(&self) -> NamedTypes {
        match self.get("SchemaDefRequirement") {
            Some(Requirement::SchemaDefs(names)) => names.clone(),
            _ => NamedTypes::new(),
        }
    }

    /// The container image.
    pub fn image(&self) -> Option<&str> {
        match self.get("DockerRequirement") {
            Some(Requirement::Image(image)) => Some(image),
            _ => None,
        }
    }

    /// Processors, and memory in MiB. CWL's defaults apply where none are given.
    ///
    /// # Errors
    /// A value can't be evaluated or is not a number above zero.
    pub fn resources(&self, scope: &Scope<'_>, engine: &Engine) -> Result<(f64, f64), Fault> {
        let (mut cores, mut ram) = (1.0, 256.0);
        if let Some(Requirement::Resources(resources)) = self.get("ResourceRequirement") {
            for (given, into) in [(&resources.cores, &mut cores), (&resources.ram, &mut ram)] {
                if let Some(given) = given {
                    *into = positive_number(given, scope, engine)?;
                }
            }
        }
        Ok((cores, ram))
    }

    /// Whether processors and memory don't depend on the inputs.
    pub fn resources_are_constant(&self) -> bool {
        match self.get("ResourceRequirement") {
            Some(Requirement::Resources(resources)) => {
                let given = [&resources.cores, &resources.ram];
                given.into_iter().flatten().all(Template::is_constant)
            }
            _ => true,
        }
    }

    /// The number of resource values that need the JavaScript engine.
    pub fn resource_expression_count(&self) -> usize {
        match self.get("ResourceRequirement") {
            Some(Requirement::Resources(resources)) => {
                let given = [&resources.cores, &resources.ram].into_iter().flatten();
                given.filter(|t| t.uses_javascript()).count()
            }
            _ => 0,
        }
    }

    /// Environment variables.
    pub fn environment(&self) -> &[(String, Template)] {
        match self.get("EnvVarRequirement") {
            Some(Requirement::Environment(list)) => list,
            _ => &[],
        }
    }

    /// What is staged in the working directory before the tool starts.
    pub fn work_dir(&self) -> Option<&WorkDir> {
        match self.get("InitialWorkDirRequirement") {
            Some(Requirement::WorkDir(dir)) => Some(dir),
            _ => None,
        }
    }

    /// Whether the command runs in a shell.
    pub fn uses_shell(&self) -> bool {
        self.get("ShellCommandRequirement").is_some()
    }

    /// The tool's time limit in seconds; `None` for no limit.
    ///
    /// # Errors
    /// The value can't be evaluated or is not a number of at least zero.
    pub fn time_limit(&self, scope: &Scope<'_>, engine: &Engine) -> Result<Option<f64>, Fault> {
        match self.get("ToolTimeLimit") {
            Some(Requirement::TimeLimit(limit)) => {
                let value = limit.eval(scope, engine)?;
                match value.as_f64() {
                    // The CWL standard defines zero as no limit.
                    Some(0.0) => Ok(None),
                    Some(limit) if limit > 0.0 => Ok(Some(limit)),
                    _ => Err(limit
                        .cursor()
                        .fault("a number of seconds, zero or more, is expected")),
                }
            }
            _ => Ok(None),
        }
    }

    /// The `oliveshift:Placement` extension.
    pub fn placement(&self) -> Placement {
        match self.get("Placement") {
            Some(Requirement::Placement(placement)) => placement.clone(),
            _ => Placement::default(),
        }
    }
}

fn positive_number(given: &Template, scope: &Scope<'_>, engine: &Engine) -> Result<f64, Fault> {
    let value = given.eval(scope, engine)?;
    match value.as_f64() {
        Some(x) if x > 0.0 && x.is_finite() => Ok(x),
        _ => {
            let message = format!("a number above zero is expected, not {value}");
            Err(given.cursor().fault(message))
        }
    }
}

/// Reads one requirement or hint; `None` for an unknown hint, which is ignored.
fn read_requirement(
    name: &str,
    cursor: &Cursor,
    is_hint: bool,
    outer: &Requirements,
) -> Result<Option<(&'static str, Requirement)>, Fault> {
    let js = outer.library().is_some();
    let mut fields = cursor.fields()?;
    fields.get("class");
    let template = |cursor: Option<Cursor>| cursor.map(|s| Template::parse(&s, js)).transpose();
    let read = match local_class(name) {
        "InlineJavascriptRequirement" => {
            let library = fields.get("expressionLib");
            let library = library.map(|l| l.texts()).transpose()?.unwrap_or_default();
            (
                "InlineJavascriptRequirement",
                Requirement::InlineJavascript(library),
            )
        }
        "SchemaDefRequirement" => {
            let mut names = outer.named_types();
            for kind in fields.require("types")?.to_list() {
                let Some(name) = kind.node.get("name") else {
                    return Err(kind.fault("`name` is missing"));
                };
                let name = kind.below("name", name.clone());
                let read = Type::parse(&kind, &names)?;
                names.insert(local_name(name.text()?).to_owned(), read);
            }
            ("SchemaDefRequirement", Requirement::SchemaDefs(names))
        }
        "DockerRequirement" => {
            let pull = fields.get("dockerPull");
            let id = fields.get("dockerImageId");
            let other = [
                "dockerLoad",
                "dockerFile",
                "dockerImport",
                "dockerOutputDirectory",
            ];
            for other in other {
                if let Some(cursor) = fields.get(other) {
                    return Err(cursor.fault("not supported: name an image by `dockerPull`"));
                }
            }
            let Some(image) = pull.or(id) else {
                return Err(cursor.fault("`dockerPull` is missing"));
            };
            (
                "DockerRequirement",
                Requirement::Image(image.text()?.to_owned()),
            )
        }
        "ResourceRequirement" => {
            let (cores, max) = (fields.get("coresMin"), fields.get("coresMax"));
            let cores = template(cores.or(max))?;
            let (ram, max) = (fields.get("ramMin"), fields.get("ramMax"));
            let ram = template(ram.or(max))?;
            // Machines have one disk, whose space the service doesn't track.
            for disk in ["tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax"] {
                if let Some(cursor) = fields.get(disk)
                    && !is_hint
                {
                    return Err(cursor.fault(
                        "disk space can't be required because it is not tracked; give it as a hint",
                    ));
                }
            }
            let resources = Resources { cores, ram };
            ("ResourceRequirement", Requirement::Resources(resources))
        }
        "EnvVarRequirement" => {
            let mut list = Vec::new();
            let given = fields.require("envDef")?;
            for (name, entry) in given.named("envName", Some("envValue"))? {
                let mut entry = entry.fields()?;
                entry.get("envName");
                let value = Template::parse(&entry.require("envValue")?, js)?;
                entry.finish()?;
                if name.is_empty() || name.contains(['=', '\0']) {
                    return Err(given.fault(format!(
                        "`{name}` is not a valid name for an environment variable"
                    )));
                }
                list.push((name, value));
            }
            ("EnvVarRequirement", Requirement::Environment(list))
        }
        "InitialWorkDirRequirement" => {
            let listing = fields.require("listing")?;
            let dir = match listing.text() {
                Ok(_) => WorkDir::All(Template::parse(&listing, js)?),
                Err(_) => {
                    let entries = listing.to_list();
                    let entries = entries.iter().map(|e| work_dir_entry(e, js));
                    WorkDir::Entries(entries.collect::<Result<_, _>>()?)
                }
            };
            ("InitialWorkDirRequirement", Requirement::WorkDir(dir))
        }
        "ShellCommandRequirement" => ("ShellCommandRequirement", Requirement::Shell),
        "ToolTimeLimit" => {
            let limit = Template::parse(&fields.require("timelimit")?, js)?;
            ("ToolTimeLimit", Requirement::TimeLimit(limit))
        }
        "Placement" if name != "Placement" => {
            let placement = placement(&mut fields)?;
            ("Placement", Requirement::Placement(placement))
        }
        "ScatterFeatureRequirement" => ("ScatterFeatureRequirement", Requirement::NoEffect),
        "SubworkflowFeatureRequirement" => ("SubworkflowFeatureRequirement", Requirement::NoEffect),
        "MultipleInputFeatureRequirement" => {
            ("MultipleInputFeatureRequirement", Requirement::NoEffect)
        }
        "StepInputExpressionRequirement" => {
            ("StepInputExpressionRequirement", Requirement::NoEffect)
        }
        "WorkReuse" => {
            // Results are never reused, which satisfies both values: `true` only allows reuse.
            fields.get("enableReuse");
            ("WorkReuse", Requirement::NoEffect)
        }
        "NetworkAccess" => {
            let access = fields.require("networkAccess")?;
            if !is_hint && !access.bool()? {
                let message =
                    "network access can't be disabled: tasks use the network of their machine";
                return Err(access.fault(message));
            }
            ("NetworkAccess", Requirement::NoEffect)
        }
        "LoadListingRequirement" => {
            if let Some(how) = fields.get("loadListing")
                && how.text()? != "no_listing"
            {
                return Err(how.fault("only `no_listing` is supported"));
            }
            ("LoadListingRequirement", Requirement::NoEffect)
        }
        _ if is_hint => return Ok(None),
        "SoftwareRequirement" | "InplaceUpdateRequirement" => {
            return Err(cursor.fault(format!("`{name}` is not supported")));
        }
        _ => return Err(cursor.fault(format!("the requirement `{name}` is not known"))),
    };
    fields.finish()?;
    Ok(Some(read))
}

/// The class name without its namespace: `Placement` for `oliveshift:Placement` and for
/// the name with the full [`NAMESPACE`].
fn local_class(name: &str) -> &str {
    if let Some(rest) = name.strip_prefix(NAMESPACE) {
        return rest;
    }
    match name.split_once(':') {
        Some(("oliveshift" | "cwl", rest)) => rest,
        _ => name,
    }
}

fn work_dir_entry(cursor: &Cursor, js: bool) -> Result<WorkDirEntry, Fault> {
    if cursor.text().is_ok() || cursor.node.get("entry").is_none() {
        return Ok(WorkDirEntry {
            name: None,
            content: Template::parse(cursor, js)?,
            writable: false,
        });
    }
    let mut fields = cursor.fields()?;
    let name = fields.get("entryname");
    let entry = WorkDirEntry {
        name: name.map(|n| Template::parse(&n, js)).transpose()?,
        content: Template::parse(&fields.require("entry")?, js)?,
        writable: match fields.get("writable") {
            Some(writable) => writable.bool()?,
            None => false,
        },
    };
    fields.finish()?;
    Ok(entry)
}

fn placement(fields: &mut Fields) -> Result<Placement, Fault> {
    let mut text = |name| -> Result<Option<(String, Cursor)>, Fault> {
        let cursor = fields.get(name);
        cursor.map(|s| Ok((s.text()?.to_owned(), s))).transpose()
    };
    let team = text("team")?;
    let class = text("class_of_work")?;
    let urgency = text("urgency")?;
    let zone = text("zone")?;
    if let Some((urgency, cursor)) = &urgency
        && !["low", "normal", "high"].contains(&urgency.as_str())
    {
        // `production` is reserved for services, and steps of a workflow are not services.
        return Err(cursor.fault("`low`, `normal` or `high` is expected"));
    }
    let mut number = |name| -> Result<Option<f64>, Fault> {
        let Some(cursor) = fields.get(name) else {
            return Ok(None);
        };
        match cursor.number()? {
            x if x >= 0.0 && x.is_finite() => Ok(Some(x)),
            _ => Err(cursor.fault("a number of at least zero is expected")),
        }
    };
    let deadline_s = number("deadline_s")?;
    let estimate_s = number("estimate_s")?;
    let image_gb = number("image_gb")?;
    let gpus = number("gpus")?;
    let types = fields.get("types").map(|t| t.texts()).transpose()?;
    let spot = fields.get("spot").map(|s| s.bool()).transpose()?;
    let without_cursor = |text: Option<(String, Cursor)>| text.map(|(text, _)| text);
    Ok(Placement {
        team: without_cursor(team),
        class: without_cursor(class),
        urgency: without_cursor(urgency),
        deadline_s,
        zone: without_cursor(zone),
        types,
        spot,
        estimate_s,
        image_gb,
        gpus,
    })
}

/// The `runtime` object that expressions see, with the requested processors and memory
/// rounded up.
pub fn runtime(cores: f64, ram: f64) -> Value {
    serde_json::json!({
        "outdir": ".",
        "tmpdir": "/tmp",
        "cores": cores.ceil(),
        "ram": ram.ceil(),
        "outdirSize": 1024,
        "tmpdirSize": 1024,
    })
}
