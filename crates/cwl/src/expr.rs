//! Texts with parameter references and expressions in them.

use std::sync::Arc;

use rpds::RedBlackTreeMapSync;
use serde_json::Value;

use crate::{cursor::Cursor, engine::Engine, fault::Fault, yaml::Data};

/// Values by name. The members of a scatter share what they have in common.
pub type Object = RedBlackTreeMapSync<String, Arc<Value>>;

/// What an expression sees.
#[derive(Clone, Debug, Default)]
pub struct Scope<'a> {
    /// `inputs`.
    pub inputs: Object,
    /// `self`.
    pub self_value: Value,
    /// `runtime`.
    pub runtime: Value,
    /// What `expressionLib` gives; none: JavaScript is not asked for.
    pub library: Option<&'a [String]>,
}

impl Scope<'_> {
    /// `inputs` as one value.
    pub fn inputs_value(&self) -> Value {
        let parts = self.inputs.iter();
        parts.map(|(n, v)| (n.clone(), (**v).clone())).collect()
    }
}

/// A step of a parameter reference.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Name(String),
    Index(usize),
}

/// A piece of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Piece {
    Plain(String),
    Reference(Vec<Part>),
    /// `$(...)` that is more than a reference.
    Expression(String),
    /// `${...}`.
    Body(String),
}

/// A text, or a value that is none, taken as it is.
#[derive(Clone, Debug)]
pub struct Template {
    pieces: Vec<Piece>,
    /// What is no text.
    value: Option<Value>,
    cursor: Cursor,
}

impl Template {
    /// Reads what is at this place.
    ///
    /// # Errors
    /// An expression without its end, or JavaScript that is none, or where none
    /// is asked for (`js` is false).
    pub fn parse(cursor: &Cursor, js: bool) -> Result<Self, Fault> {
        let mut template = Self {
            pieces: Vec::new(),
            value: None,
            cursor: cursor.clone(),
        };
        match &cursor.node.data {
            Data::Text(text) => {
                template.pieces = split(text).map_err(|e| cursor.fault(e))?;
            }
            _ => template.value = Some(cursor.node.to_value()),
        }
        for piece in &template.pieces {
            let body = match piece {
                Piece::Expression(text) => function_body(text),
                Piece::Body(text) => text.clone(),
                _ => continue,
            };
            if !js {
                let what = "an expression needs InlineJavascriptRequirement";
                return Err(cursor.fault(what));
            }
            let parses = Engine::default().check_syntax(&body);
            parses.map_err(|e| cursor.fault(format!("no JavaScript: {e}")))?;
        }
        Ok(template)
    }

    /// Whether it is the same whatever the values are.
    pub fn is_constant(&self) -> bool {
        self.pieces.iter().all(|p| matches!(p, Piece::Plain(_)))
    }

    /// Whether it takes the engine to know its value.
    pub fn uses_javascript(&self) -> bool {
        let code = |p: &Piece| matches!(p, Piece::Expression(_) | Piece::Body(_));
        self.pieces.iter().any(code)
    }

    /// The place that it was read from.
    pub fn cursor(&self) -> &Cursor {
        &self.cursor
    }

    /// Its value. A text that is one expression is that expression's value;
    /// otherwise it is text.
    ///
    /// # Errors
    /// A reference to what is not there, or what an expression throws, with the
    /// place of the text.
    pub fn eval(&self, scope: &Scope<'_>, engine: &Engine) -> Result<Value, Fault> {
        if let Some(value) = &self.value {
            return Ok(value.clone());
        }
        let mut text = String::new();
        for piece in &self.pieces {
            let value = match piece {
                Piece::Plain(plain) => {
                    text += plain;
                    continue;
                }
                Piece::Reference(parts) => resolve_reference(parts, scope),
                Piece::Expression(code) => run(&function_body(code), scope, engine),
                Piece::Body(code) => run(code, scope, engine),
            };
            let value = value.map_err(|e| self.cursor.fault(e))?;
            if self.pieces.len() == 1 {
                return Ok(value);
            }
            match value {
                Value::String(part) => text += &part,
                other => text += &other.to_string(),
            }
        }
        Ok(Value::String(text))
    }
}

fn function_body(expression: &str) -> String {
    // The line's end closes a comment.
    format!("return (\n{expression}\n);")
}

fn run(body: &str, scope: &Scope<'_>, engine: &Engine) -> Result<Value, String> {
    let library = scope.library.unwrap_or_default();
    engine.evaluate(library, body, scope)
}

/// Cuts a text into its pieces.
fn split(text: &str) -> Result<Vec<Piece>, String> {
    // Blanks around a single expression don't make it a text.
    let trimmed = text.trim();
    if let Some((piece, rest)) = leading_expression(trimmed)?
        && rest.is_empty()
    {
        return Ok(vec![piece]);
    }
    let mut pieces = Vec::new();
    let mut plain = String::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        if c == '\\' && (rest[1..].starts_with("$(") || rest[1..].starts_with("${")) {
            plain += &rest[1..3];
            rest = &rest[3..];
        } else if c == '\\' && rest[1..].starts_with('\\') {
            plain.push('\\');
            rest = &rest[2..];
        } else if let Some((piece, after)) = leading_expression(rest)? {
            if !plain.is_empty() {
                pieces.push(Piece::Plain(std::mem::take(&mut plain)));
            }
            pieces.push(piece);
            rest = after;
        } else {
            plain.push(c);
            rest = &rest[c.len_utf8()..];
        }
    }
    if !plain.is_empty() || pieces.is_empty() {
        pieces.push(Piece::Plain(plain));
    }
    Ok(pieces)
}

/// An expression that the text begins with, and the rest.
fn leading_expression(text: &str) -> Result<Option<(Piece, &str)>, String> {
    let body = match text.get(..2) {
        Some("$(") => false,
        Some("${") => true,
        _ => return Ok(None),
    };
    let Some(end) = closing_bracket(&text[1..]) else {
        return Err(format!("`{}` is not closed", &text[..2]));
    };
    let inner = &text[2..=end];
    let rest = &text[end + 2..];
    let piece = if body {
        Piece::Body(inner.to_owned())
    } else {
        match parse_reference(inner) {
            Some(parts) => Piece::Reference(parts),
            None => Piece::Expression(inner.to_owned()),
        }
    };
    Ok(Some((piece, rest)))
}

/// Where the bracket that the text begins with is closed, in bytes. Brackets in
/// quotes don't count.
fn closing_bracket(text: &str) -> Option<usize> {
    let mut open = Vec::new();
    let mut quote = None;
    let mut escaped = false;
    for (i, c) in text.char_indices() {
        if escaped {
            escaped = false;
            continue;
        }
        match (quote, c) {
            (Some(_), '\\') => escaped = true,
            (Some(q), c) if q == c => quote = None,
            (Some(_), _) => {}
            (None, '\'' | '"' | '`') => quote = Some(c),
            (None, '(') => open.push(')'),
            (None, '{') => open.push('}'),
            (None, '[') => open.push(']'),
            (None, ')' | '}' | ']') => {
                if open.pop() != Some(c) {
                    return None;
                }
                if open.is_empty() {
                    return Some(i);
                }
            }
            _ => {}
        }
    }
    None
}

/// Reads `inputs.sheet['a b'][0].path`.
fn parse_reference(text: &str) -> Option<Vec<Part>> {
    let is_symbol = |c: char| c.is_alphanumeric() || c == '_';
    let symbol = |text: &str| text.find(|c| !is_symbol(c)).unwrap_or(text.len());
    let text = text.trim();
    let end = symbol(text);
    let first = &text[..end];
    if !["inputs", "self", "runtime", "null"].contains(&first) {
        return None;
    }
    let mut parts = vec![Part::Name(first.to_owned())];
    let mut rest = &text[end..];
    while !rest.is_empty() {
        if let Some(after) = rest.strip_prefix('.') {
            let end = symbol(after);
            if end == 0 {
                return None;
            }
            parts.push(Part::Name(after[..end].to_owned()));
            rest = &after[end..];
        } else {
            let after = rest.strip_prefix('[')?;
            let quote = after.chars().next()?;
            if quote == '\'' || quote == '"' {
                let end = after[1..].find(quote)? + 1;
                let name = &after[1..end];
                if name.contains('\\') {
                    // An escape; the engine knows what it means.
                    return None;
                }
                parts.push(Part::Name(name.to_owned()));
                rest = after[end + 1..].strip_prefix(']')?;
            } else {
                let end = after.find(']')?;
                parts.push(Part::Index(after[..end].parse().ok()?));
                rest = &after[end + 1..];
            }
        }
    }
    Some(parts)
}

/// What a reference stands for.
fn resolve_reference(parts: &[Part], scope: &Scope<'_>) -> Result<Value, String> {
    let mut parts = parts.iter();
    let missing = |name: &str| format!("there is no `{name}`");
    let (mut value, mut path) = match parts.next() {
        Some(Part::Name(first)) if first == "inputs" => match parts.next() {
            None => return Ok(scope.inputs_value()),
            Some(Part::Name(name)) => match scope.inputs.get(name) {
                Some(value) => (&**value, format!("inputs.{name}")),
                None => return Err(missing(&format!("inputs.{name}"))),
            },
            Some(Part::Index(_)) => return Err("`inputs` has names, not numbers".into()),
        },
        Some(Part::Name(first)) if first == "self" => (&scope.self_value, "self".to_owned()),
        Some(Part::Name(first)) if first == "runtime" => (&scope.runtime, "runtime".to_owned()),
        _ => (&Value::Null, "null".to_owned()),
    };
    let mut length = None;
    for part in parts {
        if length.is_some() {
            return Err(format!("`{path}` is a number"));
        }
        match part {
            Part::Name(name) => {
                path = format!("{path}.{name}");
                match value {
                    Value::Object(map) => {
                        value = map.get(name).ok_or_else(|| missing(&path))?;
                    }
                    Value::Array(list) if name == "length" => length = Some(list.len()),
                    _ => return Err(missing(&path)),
                }
            }
            Part::Index(i) => {
                path = format!("{path}[{i}]");
                value = value.get(i).ok_or_else(|| missing(&path))?;
            }
        }
    }
    Ok(length.map_or_else(|| value.clone(), Value::from))
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;
    use crate::yaml;

    fn eval(text: &str) -> Result<Value, String> {
        let quoted = serde_json::to_string(text).expect("text");
        let cursor = Cursor::top(yaml::parse("f", &quoted).expect("text"));
        let template = Template::parse(&cursor, true).map_err(|f| f.message)?;
        let inputs =
            json!({"n": 3, "list": [1, {"a b": "x"}], "file": {"class": "File", "size": 7}});
        let inputs = inputs.as_object().cloned().unwrap_or_default();
        let scope = Scope {
            inputs: inputs.into_iter().map(|(n, v)| (n, Arc::new(v))).collect(),
            self_value: json!("me"),
            runtime: json!({"cores": 2}),
            library: Some(&[]),
        };
        template
            .eval(&scope, &Engine::default())
            .map_err(|f| f.message)
    }

    #[test]
    fn templates_evaluate_to_their_values() {
        let cases = [
            ("plain", json!("plain")),
            ("$(inputs.n)", json!(3)),
            ("  $(inputs.n)\n", json!(3)),
            ("n=$(inputs.n)", json!("n=3")),
            ("$(inputs.list[1]['a b'])-$(self)", json!("x-me")),
            ("$(inputs.list.length)", json!(2)),
            ("$(inputs.list)!", json!("[1,{\"a b\":\"x\"}]!")),
            ("$(runtime.cores)", json!(2)),
            ("\\$(inputs.n) \\\\ $", json!("$(inputs.n) \\ $")),
            ("$(null)", json!(null)),
            ("$(inputs.n + 1)", json!(4)),
            ("$(\")\" + '}')", json!(")}")),
            ("$(inputs.n // three\n)", json!(3)),
            (
                "${ var s = 0; for (var i = 0; i < 4; i++) { s += i; } return s; }",
                json!(6),
            ),
            ("$(inputs['file'].size)", json!(7)),
        ];
        for (text, value) in cases {
            assert_eq!(eval(text), Ok(value), "{text}");
        }
        let cases = [
            ("$(inputs.m)", "there is no `inputs.m`"),
            ("$(inputs.list[2])", "there is no `inputs.list[2]`"),
            ("$(inputs.n.x)", "there is no `inputs.n.x`"),
            ("$(inputs.n", "not closed"),
            ("${ return (1; }", "not closed"),
            ("$(1 +)", "no JavaScript"),
            ("${ throw 'why' }", "why"),
        ];
        for (text, why) in cases {
            let error = eval(text).expect_err(text);
            assert!(error.contains(why), "{text}: {error}");
        }
    }
}
