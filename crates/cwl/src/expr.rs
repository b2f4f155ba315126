//! Parameter references and expressions in texts of a document.

use std::sync::Arc;

use rpds::RedBlackTreeMapSync;
use serde_json::Value;

use crate::{cursor::Cursor, engine::Engine, fault::Fault, yaml::Data};

/// Values by name. The map is persistent, so the members of a scatter share
/// the entries that they have in common.
pub type Object = RedBlackTreeMapSync<String, Arc<Value>>;

/// The variables that an expression can use.
#[derive(Clone, Debug, Default)]
pub struct Scope<'a> {
    /// `inputs`.
    pub inputs: Object,
    /// `self`.
    pub self_value: Value,
    /// `runtime`.
    pub runtime: Value,
    /// The sources of `expressionLib`; `None` if the document does not require
    /// JavaScript.
    pub library: Option<&'a [String]>,
}

impl Scope<'_> {
    /// `inputs` as one JSON object.
    pub fn inputs_value(&self) -> Value {
        let parts = self.inputs.iter();
        parts.map(|(n, v)| (n.clone(), (**v).clone())).collect()
    }
}

/// A segment of a parameter reference.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Name(String),
    Index(usize),
}

/// A literal, a reference or an expression in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Piece {
    Literal(String),
    Reference(Vec<Segment>),
    /// `$(...)` that is not a plain reference.
    Expression(String),
    /// `${...}`, a function body.
    Body(String),
}

/// A text with references and expressions, or a value of another type, which
/// evaluates to itself.
#[derive(Clone, Debug)]
pub struct Template {
    pieces: Vec<Piece>,
    /// The value, if it is not a text.
    value: Option<Value>,
    cursor: Cursor,
}

impl Template {
    /// Parses the value at the cursor. `js` tells whether the document requires
    /// JavaScript.
    ///
    /// # Errors
    /// If an expression is not closed, is not valid JavaScript, or needs
    /// JavaScript where `js` is false.
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

    /// Whether it has no references and no expressions.
    pub fn is_constant(&self) -> bool {
        self.pieces.iter().all(|p| matches!(p, Piece::Literal(_)))
    }

    /// Whether evaluating it runs the JavaScript engine.
    pub fn uses_javascript(&self) -> bool {
        let code = |p: &Piece| matches!(p, Piece::Expression(_) | Piece::Body(_));
        self.pieces.iter().any(code)
    }

    /// The place in the document that it was parsed from.
    pub fn cursor(&self) -> &Cursor {
        &self.cursor
    }

    /// Evaluates it. A text that is a single reference or expression has the
    /// value of that; every other text gives a string.
    ///
    /// # Errors
    /// If a reference names a missing value or an expression fails; the fault
    /// holds the place of the text.
    pub fn eval(&self, scope: &Scope<'_>, engine: &Engine) -> Result<Value, Fault> {
        if let Some(value) = &self.value {
            return Ok(value.clone());
        }
        let mut text = String::new();
        for piece in &self.pieces {
            let value = match piece {
                Piece::Literal(literal) => {
                    text += literal;
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
    // The line break ends a `//` comment at the end of the expression.
    format!("return (\n{expression}\n);")
}

fn run(body: &str, scope: &Scope<'_>, engine: &Engine) -> Result<Value, String> {
    let library = scope.library.unwrap_or_default();
    engine.evaluate(library, body, scope)
}

/// Splits a text into literals, references and expressions.
fn split(text: &str) -> Result<Vec<Piece>, String> {
    // White space around a single expression is ignored, so that the value keeps
    // its type.
    let trimmed = text.trim();
    if let Some((piece, rest)) = leading_expression(trimmed)?
        && rest.is_empty()
    {
        return Ok(vec![piece]);
    }
    let mut pieces = Vec::new();
    let mut literal = String::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        if c == '\\' && (rest[1..].starts_with("$(") || rest[1..].starts_with("${")) {
            literal += &rest[1..3];
            rest = &rest[3..];
        } else if c == '\\' && rest[1..].starts_with('\\') {
            literal.push('\\');
            rest = &rest[2..];
        } else if let Some((piece, after)) = leading_expression(rest)? {
            if !literal.is_empty() {
                pieces.push(Piece::Literal(std::mem::take(&mut literal)));
            }
            pieces.push(piece);
            rest = after;
        } else {
            literal.push(c);
            rest = &rest[c.len_utf8()..];
        }
    }
    if !literal.is_empty() || pieces.is_empty() {
        pieces.push(Piece::Literal(literal));
    }
    Ok(pieces)
}

/// The reference or expression that the text begins with, and the text after it.
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

/// The byte offset of the bracket that closes the one at the start of the text;
/// `None` if there is none. Brackets in quotes don't count.
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

/// Parses a parameter reference such as `inputs.sheet['a b'][0].path`; `None` if
/// the text is something else.
fn parse_reference(text: &str) -> Option<Vec<Segment>> {
    let is_symbol = |c: char| c.is_alphanumeric() || c == '_';
    let symbol = |text: &str| text.find(|c| !is_symbol(c)).unwrap_or(text.len());
    let text = text.trim();
    let end = symbol(text);
    let first = &text[..end];
    if !["inputs", "self", "runtime", "null"].contains(&first) {
        return None;
    }
    let mut parts = vec![Segment::Name(first.to_owned())];
    let mut rest = &text[end..];
    while !rest.is_empty() {
        if let Some(after) = rest.strip_prefix('.') {
            let end = symbol(after);
            if end == 0 {
                return None;
            }
            parts.push(Segment::Name(after[..end].to_owned()));
            rest = &after[end..];
        } else {
            let after = rest.strip_prefix('[')?;
            let quote = after.chars().next()?;
            if quote == '\'' || quote == '"' {
                let end = after[1..].find(quote)? + 1;
                let name = &after[1..end];
                if name.contains('\\') {
                    // Escape sequences are left to the JavaScript engine.
                    return None;
                }
                parts.push(Segment::Name(name.to_owned()));
                rest = after[end + 1..].strip_prefix(']')?;
            } else {
                let end = after.find(']')?;
                parts.push(Segment::Index(after[..end].parse().ok()?));
                rest = &after[end + 1..];
            }
        }
    }
    Some(parts)
}

/// The value that a parameter reference names.
fn resolve_reference(parts: &[Segment], scope: &Scope<'_>) -> Result<Value, String> {
    let mut parts = parts.iter();
    let missing = |name: &str| format!("there is no `{name}`");
    let (mut value, mut path) = match parts.next() {
        Some(Segment::Name(first)) if first == "inputs" => match parts.next() {
            None => return Ok(scope.inputs_value()),
            Some(Segment::Name(name)) => match scope.inputs.get(name) {
                Some(value) => (&**value, format!("inputs.{name}")),
                None => return Err(missing(&format!("inputs.{name}"))),
            },
            Some(Segment::Index(_)) => return Err("`inputs` has names, not indexes".into()),
        },
        Some(Segment::Name(first)) if first == "self" => (&scope.self_value, "self".to_owned()),
        Some(Segment::Name(first)) if first == "runtime" => (&scope.runtime, "runtime".to_owned()),
        _ => (&Value::Null, "null".to_owned()),
    };
    let mut length = None;
    for part in parts {
        if length.is_some() {
            return Err(format!("`{path}` is a number and has no fields"));
        }
        match part {
            Segment::Name(name) => {
                path = format!("{path}.{name}");
                match value {
                    Value::Object(map) => {
                        value = map.get(name).ok_or_else(|| missing(&path))?;
                    }
                    Value::Array(list) if name == "length" => length = Some(list.len()),
                    _ => return Err(missing(&path)),
                }
            }
            Segment::Index(i) => {
                path = format!("{path}[{i}]");
                value = value.get(i).ok_or_else(|| missing(&path))?;
            }
        }
    }
    Ok(length.map_or_else(|| value.clone(), Value::from))
}

#[cfg(test)]
mod tests;
