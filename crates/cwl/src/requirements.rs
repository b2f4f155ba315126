//! Requirements and hints: what a process asks of whoever runs it.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{
    cursor::{Cursor, Fields, local_name},
    engine::Engine,
    expr::{Scope, Template},
    fault::Fault,
    types::{NamedTypes, Type},
};

/// The name space of what oliveshift adds, as `$namespaces` has to give it.
pub const NAMESPACE: &str = "https://oliveshift.example/cwl#";

/// One requirement.
#[derive(Clone, Debug)]
pub enum Requirement {
    /// JavaScript, with a library.
    InlineJavascript(Vec<String>),
    /// Types that have names.
    SchemaDefs(NamedTypes),
    /// The image.
    Image(String),
    /// Processors and memory.
    Resources(Resources),
    /// Variables of the environment.
    Environment(Vec<(String, Template)>),
    /// What is in the working directory beforehand.
    WorkDir(WorkDir),
    /// The command is run by a shell.
    Shell,
    /// The longest that a tool may run, in seconds.
    TimeLimit(Template),
    /// What oliveshift adds.
    Placement(Placement),
    /// A feature that is always there, or that changes nothing here.
    NoEffect,
}

/// Processors and memory of a tool.
#[derive(Clone, Debug, Default)]
pub struct Resources {
    /// Processors; `coresMin`, or `coresMax` without it.
    pub cores: Option<Template>,
    /// Memory in MiB; `ramMin`, or `ramMax` without it.
    pub ram: Option<Template>,
}

/// What is put into the working directory.
#[derive(Clone, Debug)]
pub enum WorkDir {
    /// Entries one by one.
    Entries(Vec<WorkDirEntry>),
    /// An expression that gives all of them.
    All(Template),
}

/// Something in the working directory.
#[derive(Clone, Debug)]
pub struct WorkDirEntry {
    /// Its name; none: that of the file.
    pub name: Option<Template>,
    /// Text, a file, a directory, or several.
    pub content: Template,
    /// Whether the tool may change it.
    pub writable: bool,
}

/// How a tool's job is placed and ordered: what a native job says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// The team that pays.
    pub team: Option<String>,
    /// The class of work.
    pub class: Option<String>,
    /// `low`, `normal` or `high`.
    pub urgency: Option<String>,
    /// When it has to be done after the run's start, in seconds.
    pub deadline_s: Option<f64>,
    /// The only zone.
    pub zone: Option<String>,
    /// Machine types.
    pub types: Option<Vec<String>>,
    /// Whether spot machines will do.
    pub spot: Option<bool>,
    /// How long a task takes, in seconds.
    pub estimate_s: Option<f64>,
    /// The image's size, in GB.
    pub image_gb: Option<f64>,
    /// Graphics processors.
    pub gpus: Option<f64>,
}

impl Placement {
    /// This within another one, which counts where this says nothing.
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

/// The classes of requirements and what becomes of them, by name.
type RequirementsByClass = BTreeMap<&'static str, Requirement>;

/// All that holds for a process.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    required: RequirementsByClass,
    hinted: RequirementsByClass,
}

impl Requirements {
    /// Reads `requirements` and `hints` of a process or a step, within what holds
    /// around it.
    ///
    /// # Errors
    /// A requirement that is not known or not supported, or a hint that is not
    /// well formed.
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
        // JavaScript and types first: the others may use them.
        let late =
            |name: &str| !matches!(name, "InlineJavascriptRequirement" | "SchemaDefRequirement");
        for (list, is_hint) in [(required, false), (hinted, true)] {
            let mut list = list;
            list.sort_by_key(|(name, _)| late(name));
            for (name, cursor) in list {
                let merged = requirements.within(outer);
                let read = read_requirement(&name, &cursor, is_hint, &merged)?;
                let Some((class, require)) = read else {
                    continue;
                };
                let classes = if is_hint {
                    &mut requirements.hinted
                } else {
                    &mut requirements.required
                };
                if classes.insert(class, require).is_some() {
                    return Err(cursor.fault(format!("`{name}` is given twice")));
                }
            }
        }
        Ok(requirements.within(outer))
    }

    /// These within a workflow or step that has some itself: the inner ones
    /// count, and requirements before hints.
    fn within(&self, outer: &Requirements) -> Self {
        let merge = |outer: &RequirementsByClass, inner: &RequirementsByClass| {
            let mut all = outer.clone();
            for (class, require) in inner {
                let require = match (all.get(class), require) {
                    // Whoever says how long a step takes does not mean to take
                    // back which team pays.
                    (Some(Requirement::Placement(outer)), Requirement::Placement(inner)) => {
                        Requirement::Placement(inner.within(outer))
                    }
                    (_, require) => require.clone(),
                };
                all.insert(class, require);
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

    /// The library of expressions; none if JavaScript is not asked for.
    pub fn library(&self) -> Option<&[String]> {
        match self.get("InlineJavascriptRequirement") {
            Some(Requirement::InlineJavascript(library)) => Some(library),
            _ => None,
        }
    }

    /// Types that have names.
    pub fn names(&self) -> NamedTypes {
        match self.get("SchemaDefRequirement") {
            Some(Requirement::SchemaDefs(names)) => names.clone(),
            _ => NamedTypes::new(),
        }
    }

    /// The image.
    pub fn image(&self) -> Option<&str> {
        match self.get("DockerRequirement") {
            Some(Requirement::Image(image)) => Some(image),
            _ => None,
        }
    }

    /// Processors and memory in MiB. CWL's own defaults where nothing is said.
    ///
    /// # Errors
    /// What is given is no number above zero.
    pub fn resources(&self, scope: &Scope<'_>, engine: &Engine) -> Result<(f64, f64), Fault> {
        let (mut cores, mut ram) = (1.0, 256.0);
        if let Some(Requirement::Resources(asked)) = self.get("ResourceRequirement") {
            for (given, into) in [(&asked.cores, &mut cores), (&asked.ram, &mut ram)] {
                if let Some(given) = given {
                    *into = positive(given, scope, engine)?;
                }
            }
        }
        Ok((cores, ram))
    }

    /// Whether processors and memory are the same whatever goes in.
    pub fn resources_are_constant(&self) -> bool {
        match self.get("ResourceRequirement") {
            Some(Requirement::Resources(asked)) => {
                let given = [&asked.cores, &asked.ram];
                given.into_iter().flatten().all(Template::is_constant)
            }
            _ => true,
        }
    }

    /// How many of them it takes the engine to know.
    pub fn resource_expression_count(&self) -> usize {
        match self.get("ResourceRequirement") {
            Some(Requirement::Resources(asked)) => {
                let given = [&asked.cores, &asked.ram].into_iter().flatten();
                given.filter(|t| t.uses_javascript()).count()
            }
            _ => 0,
        }
    }

    /// Variables of the environment.
    pub fn environment(&self) -> &[(String, Template)] {
        match self.get("EnvVarRequirement") {
            Some(Requirement::Environment(list)) => list,
            _ => &[],
        }
    }

    /// What is in the working directory beforehand.
    pub fn work_dir(&self) -> Option<&WorkDir> {
        match self.get("InitialWorkDirRequirement") {
            Some(Requirement::WorkDir(dir)) => Some(dir),
            _ => None,
        }
    }

    /// Whether a shell runs the command.
    pub fn shell(&self) -> bool {
        self.get("ShellCommandRequirement").is_some()
    }

    /// The longest that a tool may run; none: as long as it likes.
    ///
    /// # Errors
    /// What is given is no number.
    pub fn time_limit(&self, scope: &Scope<'_>, engine: &Engine) -> Result<Option<f64>, Fault> {
        match self.get("ToolTimeLimit") {
            Some(Requirement::TimeLimit(limit)) => {
                let value = limit.eval(scope, engine)?;
                match value.as_f64() {
                    // Zero means none, by the standard.
                    Some(0.0) => Ok(None),
                    Some(limit) if limit > 0.0 => Ok(Some(limit)),
                    _ => Err(limit.cursor().fault("a number of seconds is expected")),
                }
            }
            _ => Ok(None),
        }
    }

    /// What oliveshift adds.
    pub fn placement(&self) -> Placement {
        match self.get("Placement") {
            Some(Requirement::Placement(placement)) => placement.clone(),
            _ => Placement::default(),
        }
    }
}

fn positive(given: &Template, scope: &Scope<'_>, engine: &Engine) -> Result<f64, Fault> {
    let value = given.eval(scope, engine)?;
    match value.as_f64() {
        Some(x) if x > 0.0 && x.is_finite() => Ok(x),
        _ => {
            let what = format!("a number above zero is expected, not {value}");
            Err(given.cursor().fault(what))
        }
    }
}

/// Reads one. None: a hint that is not known, which may be passed over.
fn read_requirement(
    name: &str,
    cursor: &Cursor,
    is_hint: bool,
    known: &Requirements,
) -> Result<Option<(&'static str, Requirement)>, Fault> {
    let js = known.library().is_some();
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
            let mut names = known.names();
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
            let (cores, most) = (fields.get("coresMin"), fields.get("coresMax"));
            let cores = template(cores.or(most))?;
            let (ram, most) = (fields.get("ramMin"), fields.get("ramMax"));
            let ram = template(ram.or(most))?;
            // Machines have one disk, of which the service has no measure.
            for disk in ["tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax"] {
                if let Some(cursor) = fields.get(disk)
                    && !is_hint
                {
                    return Err(cursor.fault("disk space is not measured; give it as a hint"));
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
                    return Err(given.fault(format!("`{name}` is no variable's name")));
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
                    let entries = entries.iter().map(|e| entry(e, js));
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
            // Nothing is reused, which is what `false` asks and `true` allows.
            fields.get("enableReuse");
            ("WorkReuse", Requirement::NoEffect)
        }
        "NetworkAccess" => {
            let access = fields.require("networkAccess")?;
            if !is_hint && !access.bool()? {
                let what = "tasks have their machine's network; it can't be taken away";
                return Err(access.fault(what));
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

/// `Placement` of `oliveshift:Placement` or of the whole name.
fn local_class(name: &str) -> &str {
    if let Some(rest) = name.strip_prefix(NAMESPACE) {
        return rest;
    }
    match name.split_once(':') {
        Some(("oliveshift" | "cwl", rest)) => rest,
        _ => name,
    }
}

fn entry(cursor: &Cursor, js: bool) -> Result<WorkDirEntry, Fault> {
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
        // Production is for services, which a workflow's steps are not.
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
    let plain = |text: Option<(String, Cursor)>| text.map(|(text, _)| text);
    Ok(Placement {
        team: plain(team),
        class: plain(class),
        urgency: plain(urgency),
        deadline_s,
        zone: plain(zone),
        types,
        spot,
        estimate_s,
        image_gb,
        gpus,
    })
}

/// The runtime that expressions see, by what a tool asked for.
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
