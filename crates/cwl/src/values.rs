//! The inputs of a step's members (its runs), and the outputs gathered from them.

use std::sync::Arc;

use serde_json::Value;

use crate::{
    cursor::Cursor,
    document::{
        Common, Link, LinkMerge, Parameter, PickValue, Process, ScatterMethod, SecondaryFile,
        Source, Step,
    },
    engine::Engine,
    expr::{Object, Scope, Template},
    fault::Fault,
    types::class_of,
};

/// Largest number of members of a scatter.
pub const MAX_SCATTER_MEMBERS: usize = 100_000;

/// Largest number of JavaScript evaluations for all members of a step. One can
/// take a quarter of a millisecond. The evaluating instance does nothing else
/// meanwhile, and other instances treat it as failed after some seconds of silence.
pub const MAX_STEP_EVALUATIONS: usize = 10_000;

/// One run of a step; a scattered step has one for each combination of inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The inputs of its process.
    pub inputs: Object,
    /// Whether it runs (`when`); if not, all its outputs are null.
    pub should_run: bool,
}

/// All runs of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// The number of members in each dimension; empty if the step is not scattered.
    pub shape: Vec<usize>,
    /// The members in order; the last dimension varies fastest.
    pub members: Vec<Member>,
}

/// The value of a link from its sources; `None` if one of them is not known yet.
///
/// # Errors
/// If `pickValue` finds only nulls, or more than one value where one is expected.
pub fn link_value(
    link: &Link,
    source_value: &dyn Fn(&Source) -> Option<Arc<Value>>,
) -> Result<Option<Arc<Value>>, String> {
    let values: Option<Vec<_>> = link.sources.iter().map(source_value).collect();
    let Some(mut values) = values else {
        return Ok(None);
    };
    let list = match link.effective_merge() {
        None => {
            let only = values.pop().unwrap_or_default();
            let Some(pick) = link.pick else {
                return Ok(Some(only));
            };
            let list = match &*only {
                Value::Array(list) => list.clone(),
                other => vec![other.clone()],
            };
            return pick_values(list, Some(pick)).map(Some);
        }
        Some(LinkMerge::Nested) => values.iter().map(|v| (**v).clone()).collect(),
        Some(LinkMerge::Flattened) => {
            let mut flat = Vec::new();
            for value in &values {
                match &**value {
                    Value::Array(list) => flat.extend(list.iter().cloned()),
                    other => flat.push(other.clone()),
                }
            }
            flat
        }
    };
    pick_values(list, link.pick).map(Some)
}

fn pick_values(list: Vec<Value>, pick: Option<PickValue>) -> Result<Arc<Value>, String> {
    let Some(pick) = pick else {
        return Ok(Arc::new(list.into()));
    };
    let mut non_null = list.into_iter().filter(|v| !v.is_null());
    match pick {
        PickValue::All => Ok(Arc::new(non_null.collect())),
        PickValue::First => non_null
            .next()
            .map(Arc::new)
            .ok_or_else(|| "pickValue: all values are null".to_owned()),
        PickValue::Only => match (non_null.next(), non_null.next()) {
            (Some(only), None) => Ok(Arc::new(only)),
            (None, _) => Err("pickValue: all values are null".into()),
            (Some(_), Some(_)) => Err("pickValue: more than one value is not null".into()),
        },
    }
}

/// The members of a step; `None` if an input is not known yet. `contents` gives
/// the beginning of a file for inputs with `loadContents`.
///
/// # Errors
/// If an input is invalid, a limit is exceeded or an expression fails; the fault
/// holds the place.
pub fn members(
    step: &Step,
    source_value: &dyn Fn(&Source) -> Option<Arc<Value>>,
    contents: &dyn Fn(&str) -> Option<String>,
    engine: &Engine,
) -> Result<Option<Members>, Fault> {
    let mut base = Object::default();
    for input in &step.inputs {
        let value = link_value(&input.link, source_value).map_err(|e| input.cursor.fault(e))?;
        let Some(mut value) = value else {
            return Ok(None);
        };
        if value.is_null()
            && let Some(default) = &input.default
        {
            value = Arc::new(default.clone());
        }
        if input.load_contents {
            value = with_contents(&value, contents).map_err(|e| input.cursor.fault(e))?;
        }
        base.insert_mut(input.name.clone(), value);
    }
    let (shape, objects) = scatter_inputs(step, &base)?;
    if objects.len().saturating_mul(evaluations_per_member(step)) > MAX_STEP_EVALUATIONS {
        let what = format!("scatter: more than {MAX_STEP_EVALUATIONS} evaluations of JavaScript");
        return Err(step.cursor.fault(what));
    }
    let mut all = Vec::with_capacity(objects.len());
    for object in objects {
        all.push(member(step, object, contents, engine)?);
    }
    let members = Members {
        shape,
        members: all,
    };
    Ok(Some(members))
}

/// The number of JavaScript evaluations for each member of a step.
fn evaluations_per_member(step: &Step) -> usize {
    let code =
        |template: Option<&Template>| usize::from(template.is_some_and(Template::uses_javascript));
    let inputs = step.inputs.iter().map(|i| code(i.value_from.as_ref()));
    let own = match &step.run {
        Process::Tool(tool) => {
            let found = tool
                .common
                .outputs
                .iter()
                .filter_map(|o| o.output_binding.as_ref());
            let evals: usize = found.map(|f| code(f.eval.as_ref())).sum();
            evals + tool.common.requirements.resource_expression_count()
        }
        Process::Expression(tool) => code(Some(&tool.expression)),
        Process::Workflow(_) => 0,
    };
    inputs.sum::<usize>() + code(step.when.as_ref()) + own
}

/// The shape of a scatter and the inputs of each member before `valueFrom`.
fn scatter_inputs(step: &Step, base: &Object) -> Result<(Vec<usize>, Vec<Object>), Fault> {
    if step.scatter.is_empty() {
        return Ok((Vec::new(), vec![base.clone()]));
    }
    let mut lists: Vec<(&str, Vec<Arc<Value>>)> = Vec::new();
    for name in &step.scatter {
        let value = base.get(name).cloned().unwrap_or_default();
        let Value::Array(list) = &*value else {
            let what = format!("scatter: `{name}` is not an array");
            return Err(step.cursor.fault(what));
        };
        let list = list.iter().cloned().map(Arc::new).collect();
        lists.push((name, list));
    }
    let lengths: Vec<usize> = lists.iter().map(|(_, list)| list.len()).collect();
    let (shape, count) = match step.scatter_method {
        ScatterMethod::DotProduct => {
            let first = lengths.first().copied().unwrap_or(0);
            if lengths.iter().any(|n| *n != first) {
                let what = format!("scatter: arrays of different lengths, {lengths:?}");
                return Err(step.cursor.fault(what));
            }
            (vec![first], Some(first))
        }
        ScatterMethod::NestedCrossProduct | ScatterMethod::FlatCrossProduct => {
            let count = lengths.iter().try_fold(1usize, |a, b| a.checked_mul(*b));
            (lengths.clone(), count)
        }
    };
    let count = count.filter(|n| *n <= MAX_SCATTER_MEMBERS).ok_or_else(|| {
        let what = format!("scatter: more than {MAX_SCATTER_MEMBERS} members");
        step.cursor.fault(what)
    })?;
    let mut objects = Vec::with_capacity(count);
    for i in 0..count {
        let mut object = base.clone();
        // The last list varies fastest.
        let mut rest = i;
        for (name, list) in lists.iter().rev() {
            let at = match step.scatter_method {
                ScatterMethod::DotProduct => i,
                ScatterMethod::NestedCrossProduct | ScatterMethod::FlatCrossProduct => {
                    let at = rest % list.len();
                    rest /= list.len();
                    at
                }
            };
            object.insert_mut((*name).to_owned(), list[at].clone());
        }
        objects.push(object);
    }
    let shape = match step.scatter_method {
        ScatterMethod::FlatCrossProduct => vec![count],
        ScatterMethod::DotProduct | ScatterMethod::NestedCrossProduct => shape,
    };
    Ok((shape, objects))
}

fn member(
    step: &Step,
    object: Object,
    contents: &dyn Fn(&str) -> Option<String>,
    engine: &Engine,
) -> Result<Member, Fault> {
    let mut made = object.clone();
    let scope = |self_value: Value, inputs: Object| Scope {
        inputs,
        self_value,
        runtime: Value::Null,
        library: step.requirements.library(),
    };
    for input in &step.inputs {
        if let Some(template) = &input.value_from {
            let own = object.get(&input.name).map(|v| (**v).clone());
            // Each `valueFrom` sees the inputs from before any `valueFrom`.
            let scope = scope(own.unwrap_or_default(), object.clone());
            let value = template.eval(&scope, engine)?;
            made.insert_mut(input.name.clone(), Arc::new(value));
        }
    }
    if let Some(when) = &step.when {
        match when.eval(&scope(Value::Null, made.clone()), engine)? {
            Value::Bool(true) => {}
            Value::Bool(false) => {
                return Ok(Member {
                    inputs: Object::default(),
                    should_run: false,
                });
            }
            other => {
                let what = format!("when: true or false is expected, not {other}");
                return Err(step.cursor.fault(what));
            }
        }
    }
    let inputs = process_inputs(step.run.common(), &made, contents, &step.cursor)?;
    Ok(Member {
        inputs,
        should_run: true,
    })
}

/// The inputs of a process from the given values: applies defaults, checks types
/// and secondary files, and loads the contents of files with `loadContents`.
///
/// # Errors
/// If a value, a secondary file or contents are missing, or a type does not match.
pub fn process_inputs(
    common: &Common,
    given: &Object,
    contents: &dyn Fn(&str) -> Option<String>,
    cursor: &Cursor,
) -> Result<Object, Fault> {
    let mut taken = Object::default();
    for parameter in &common.inputs {
        let name = &parameter.name;
        let mut value = given.get(name).cloned().unwrap_or_default();
        if value.is_null()
            && let Some(default) = &parameter.default
        {
            value = Arc::new(default.clone());
        }
        let checked = check_input(parameter, &value);
        checked.map_err(|e| cursor.fault(format!("{name}: {e}")))?;
        if parameter.load_contents {
            let loaded = with_contents(&value, contents);
            value = loaded.map_err(|e| cursor.fault(format!("{name}: {e}")))?;
        }
        taken.insert_mut(name.clone(), value);
    }
    Ok(taken)
}

fn check_input(parameter: &Parameter, value: &Value) -> Result<(), String> {
    parameter.kind.check(value)?;
    for file in top_level_files(value) {
        for wanted in &parameter.secondary_files {
            if wanted.required && !has_secondary(file, wanted) {
                let name = wanted.name_for(basename(file));
                return Err(format!("the secondary file `{name}` is missing"));
            }
        }
    }
    Ok(())
}

fn has_secondary(file: &Value, wanted: &SecondaryFile) -> bool {
    let name = wanted.name_for(basename(file));
    let secondary = file.get("secondaryFiles").and_then(Value::as_array);
    secondary.is_some_and(|list| list.iter().any(|f| basename(f) == name))
}

/// The files of a value, without those in directories and without secondary files.
pub fn top_level_files(value: &Value) -> Vec<&Value> {
    match value {
        Value::Array(list) => list.iter().flat_map(top_level_files).collect(),
        value if class_of(value) == Some("File") => vec![value],
        Value::Object(map) if !map.contains_key("class") => {
            map.values().flat_map(top_level_files).collect()
        }
        _ => Vec::new(),
    }
}

/// The name of a file or directory without its parent directories.
pub fn basename(file: &Value) -> &str {
    let text = |name: &str| file.get(name).and_then(Value::as_str);
    if let Some(name) = text("basename") {
        return name;
    }
    let place = text("path").or(text("location")).unwrap_or_default();
    let place = place.trim_end_matches('/');
    place.rsplit_once('/').map_or(place, |(_, name)| name)
}

fn with_contents(
    value: &Arc<Value>,
    contents: &dyn Fn(&str) -> Option<String>,
) -> Result<Arc<Value>, String> {
    let mut value = (**value).clone();
    load_contents(&mut value, contents)?;
    Ok(Arc::new(value))
}

fn load_contents(
    value: &mut Value,
    contents: &dyn Fn(&str) -> Option<String>,
) -> Result<(), String> {
    match value {
        Value::Array(list) => list.iter_mut().try_for_each(|v| load_contents(v, contents)),
        Value::Object(map) if map.get("class").and_then(Value::as_str) == Some("File") => {
            if map.contains_key("contents") {
                return Ok(());
            }
            let location = map.get("location").and_then(Value::as_str);
            let location = location.unwrap_or_default().to_owned();
            let Some(text) = contents(&location) else {
                return Err(format!("the contents of {location} are not available"));
            };
            map.insert("contents".into(), text.into());
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Locations of the files whose contents a step's inputs load, as far as their
/// values are known.
pub fn files_to_load(
    step: &Step,
    source_value: &dyn Fn(&Source) -> Option<Arc<Value>>,
) -> Vec<String> {
    let takes = &step.run.common().inputs;
    let mut wanted = Vec::new();
    for input in &step.inputs {
        let parameter = takes.iter().find(|p| p.name == input.name);
        if !input.load_contents && !parameter.is_some_and(|p| p.load_contents) {
            continue;
        }
        let Ok(Some(value)) = link_value(&input.link, source_value) else {
            continue;
        };
        for file in top_level_files(&value) {
            let location = file.get("location").and_then(Value::as_str);
            if let Some(location) = location
                && file.get("contents").is_none()
            {
                wanted.push(location.to_owned());
            }
        }
    }
    wanted
}

/// The value of one output of a step, from the values of all its members.
pub fn gather_outputs(shape: &[usize], method: ScatterMethod, each: Vec<Value>) -> Value {
    match (shape, method) {
        ([], _) => each.into_iter().next().unwrap_or_default(),
        (shape, ScatterMethod::NestedCrossProduct) => nest(shape, &mut each.into_iter()),
        _ => each.into(),
    }
}

fn nest(shape: &[usize], each: &mut impl Iterator<Item = Value>) -> Value {
    match shape {
        [] => each.next().unwrap_or_default(),
        [first, rest @ ..] => (0..*first).map(|_| nest(rest, each)).collect(),
    }
}

/// Checks outputs given as one JSON object against the declared outputs.
///
/// # Errors
/// If it is not an object, or an output is missing, unknown or of the wrong type.
pub fn check_outputs(common: &Common, given: Value) -> Result<Object, Fault> {
    let Value::Object(mut map) = given else {
        let what = format!("a map of outputs is expected, not {given}");
        return Err(common.cursor.fault(what));
    };
    let mut object = Object::default();
    for output in &common.outputs {
        let value = map.remove(&output.name).unwrap_or_default();
        if let Err(e) = output.kind.check(&value) {
            return Err(output.cursor.fault(e));
        }
        object.insert_mut(output.name.clone(), Arc::new(value));
    }
    match map.keys().next() {
        Some(unknown) => Err(common
            .cursor
            .fault(format!("there is no output `{unknown}`"))),
        None => Ok(object),
    }
}

/// Runs an expression tool and checks its outputs.
///
/// # Errors
/// If the expression fails or its outputs don't match the declared ones.
pub fn run_expression(
    common: &Common,
    template: &Template,
    inputs: &Object,
    engine: &Engine,
) -> Result<Object, Fault> {
    let scope = Scope {
        inputs: inputs.clone(),
        self_value: Value::Null,
        runtime: Value::Null,
        library: common.requirements.library(),
    };
    check_outputs(common, template.eval(&scope, engine)?)
}
