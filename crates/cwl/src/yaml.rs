//! Parses YAML and JSON into trees whose values keep their file and line.
//!
//! Documents are untrusted input, so nesting depth, size and the expansion of aliases are
//! bounded while the tree is built.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use saphyr_parser::{Event, Parser, ScalarStyle};

use crate::fault::Fault;

/// Maximum size of one file.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Maximum nesting depth of lists and maps.
pub const MAX_DEPTH: usize = 64;
/// Maximum number of values in a file. The values behind an alias count at each use.
pub const MAX_NODES: usize = 200_000;

/// The position of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: Arc<str>,
    /// The line number, counted from 1.
    pub line: usize,
}

/// A value and its location. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Node {
    /// The location.
    pub location: Location,
    /// The value.
    pub data: Data,
}

/// The data of a value.
#[derive(Clone, Debug)]
pub enum Data {
    /// Null.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// Any other number.
    Float(f64),
    /// Text.
    Text(Arc<str>),
    /// Items in order.
    List(Arc<Vec<Node>>),
    /// Keys and values, in the order of the document.
    Map(Arc<Vec<(Arc<str>, Node)>>),
}

impl Node {
    /// Converts to the JSON value that expressions see.
    pub fn to_value(&self) -> serde_json::Value {
        use serde_json::Value;
        match &self.data {
            Data::Null => Value::Null,
            Data::Bool(b) => Value::from(*b),
            Data::Int(n) => Value::from(*n),
            Data::Float(x) => Value::from(*x),
            Data::Text(text) => Value::from(text.as_ref()),
            Data::List(list) => list.iter().map(Self::to_value).collect(),
            Data::Map(map) => map
                .iter()
                .map(|(name, node)| (name.to_string(), node.to_value()))
                .collect(),
        }
    }

    /// The value of a key, if this is a map that has it.
    pub fn get(&self, name: &str) -> Option<&Node> {
        match &self.data {
            Data::Map(map) => map.iter().find(|(n, _)| &**n == name).map(|(_, node)| node),
            _ => None,
        }
    }

    /// A description of the kind of value, for messages.
    pub fn kind(&self) -> &'static str {
        match self.data {
            Data::Null => "nothing",
            Data::Bool(_) => "true or false",
            Data::Int(_) | Data::Float(_) => "a number",
            Data::Text(_) => "text",
            Data::List(_) => "a list",
            Data::Map(_) => "a map",
        }
    }
}

/// A list or map whose end has not been parsed yet.
struct OpenCollection {
    location: Location,
    anchor: usize,
    items: Vec<Node>,
    /// The keys of a map; `None` for a list.
    keys: Option<Vec<Arc<str>>>,
    seen_keys: HashSet<Arc<str>>,
    /// The key whose value comes next.
    pending_key: Option<Arc<str>>,
    /// The number of values in it, itself included.
    size: usize,
}

struct Builder {
    file: Arc<str>,
    open: Vec<OpenCollection>,
    /// The anchored values, with the number of values in each.
    anchors: HashMap<usize, (Node, usize)>,
    document: Option<Node>,
}

/// Parses a file that holds one document.
///
/// # Errors
/// The text is not YAML or JSON, holds no document or several, repeats a key, uses a tag
/// other than `!` or `!!str`, or exceeds a limit on size or depth.
pub fn parse(file: &str, text: &str) -> Result<Node, Fault> {
    let mut builder = Builder {
        file: file.into(),
        open: Vec::new(),
        anchors: HashMap::new(),
        document: None,
    };
    if text.len() > MAX_FILE_BYTES {
        return Err(builder.fault(1, format!("larger than {MAX_FILE_BYTES} bytes")));
    }
    for event in Parser::new_from_str(text) {
        match event {
            Ok((event, span)) => builder.event(event, span.start.line())?,
            Err(e) => {
                let line = e.marker().line();
                return Err(builder.fault(line, e.info().to_owned()));
            }
        }
    }
    let empty = builder.fault(1, "the document is empty".into());
    builder.document.ok_or(empty)
}

impl Builder {
    fn fault(&self, line: usize, message: String) -> Fault {
        Fault {
            file: self.file.to_string(),
            line: line.max(1),
            path: String::new(),
            message,
        }
    }

    fn event(&mut self, event: Event<'_>, line: usize) -> Result<(), Fault> {
        let location = Location {
            file: self.file.clone(),
            line: line.max(1),
        };
        match event {
            Event::Scalar(text, style, anchor, tag) => {
                let plain = style == ScalarStyle::Plain;
                let data = match tag.as_deref() {
                    None if plain => scalar(&text),
                    None => Data::Text(text.as_ref().into()),
                    // `!` and `!!str` mark a scalar as text.
                    Some(tag) if tag.suffix == "str" || tag.suffix.is_empty() => {
                        Data::Text(text.as_ref().into())
                    }
                    Some(tag) => return Err(self.tag_fault(line, &tag.suffix)),
                };
                self.add_value(Node { location, data }, anchor, 1)
            }
            Event::SequenceStart(anchor, tag) => {
                if let Some(tag) = tag {
                    return Err(self.tag_fault(line, &tag.suffix));
                }
                self.open_collection(location, anchor, None)
            }
            Event::MappingStart(anchor, tag) => {
                if let Some(tag) = tag {
                    return Err(self.tag_fault(line, &tag.suffix));
                }
                self.open_collection(location, anchor, Some(Vec::new()))
            }
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(open) = self.open.pop() else {
                    return Err(
                        self.fault(line, "the end of a list or map that was not opened".into())
                    );
                };
                let data = match open.keys {
                    None => Data::List(open.items.into()),
                    Some(keys) => Data::Map(Arc::new(keys.into_iter().zip(open.items).collect())),
                };
                self.add_value(
                    Node {
                        location: open.location,
                        data,
                    },
                    open.anchor,
                    open.size,
                )
            }
            Event::Alias(anchor) => match self.anchors.get(&anchor).cloned() {
                Some((node, size)) => self.add_value(node, 0, size),
                None => Err(self.fault(line, "an alias of a value that contains it".into())),
            },
            Event::DocumentStart(_) if self.document.is_some() => {
                Err(self.fault(line, "a second document in one file".into()))
            }
            _ => Ok(()),
        }
    }

    fn tag_fault(&self, line: usize, tag: &str) -> Fault {
        self.fault(
            line,
            format!("the tag `{tag}` is not supported in CWL documents"),
        )
    }

    fn open_collection(
        &mut self,
        location: Location,
        anchor: usize,
        keys: Option<Vec<Arc<str>>>,
    ) -> Result<(), Fault> {
        if self.open.len() >= MAX_DEPTH {
            return Err(self.fault(location.line, format!("nested deeper than {MAX_DEPTH}")));
        }
        self.open.push(OpenCollection {
            location,
            anchor,
            items: Vec::new(),
            keys,
            seen_keys: HashSet::new(),
            pending_key: None,
            size: 1,
        });
        Ok(())
    }

    /// Adds a complete value to the innermost open list or map, or makes it the document.
    fn add_value(&mut self, node: Node, anchor: usize, size: usize) -> Result<(), Fault> {
        let line = node.location.line;
        let before: usize = self.open.iter().map(|o| o.size).sum();
        if before + size > MAX_NODES {
            return Err(self.fault(line, format!("more than {MAX_NODES} values")));
        }
        if anchor > 0 {
            self.anchors.insert(anchor, (node.clone(), size));
        }
        let Some(open) = self.open.last_mut() else {
            self.document = Some(node);
            return Ok(());
        };
        open.size += size;
        match &mut open.keys {
            None => open.items.push(node),
            Some(keys) => match open.pending_key.take() {
                Some(key) => {
                    keys.push(key);
                    open.items.push(node);
                }
                None => {
                    let key: Arc<str> = match &node.data {
                        Data::Text(text) => text.clone(),
                        Data::Bool(b) => b.to_string().into(),
                        Data::Int(n) => n.to_string().into(),
                        _ => {
                            let message = format!(
                                "a map key must be text, a boolean or a whole number, not {}",
                                node.kind()
                            );
                            return Err(self.fault(line, message));
                        }
                    };
                    if !open.seen_keys.insert(key.clone()) {
                        return Err(self.fault(line, format!("duplicate key `{key}`")));
                    }
                    open.pending_key = Some(key);
                }
            },
        }
        Ok(())
    }
}

/// Interprets a plain scalar by the core schema of YAML 1.2, without hexadecimal and octal
/// integers, infinities and NaN, which stay text.
fn scalar(text: &str) -> Data {
    match text {
        "" | "~" | "null" | "Null" | "NULL" => return Data::Null,
        "true" | "True" | "TRUE" => return Data::Bool(true),
        "false" | "False" | "FALSE" => return Data::Bool(false),
        _ => {}
    }
    let digits = text.trim_start_matches(['+', '-']);
    if digits.starts_with(|c: char| c.is_ascii_digit() || c == '.') {
        if let Ok(n) = text.parse() {
            return Data::Int(n);
        }
        let number = digits
            .chars()
            .all(|c| c.is_ascii_digit() || "+-.eE".contains(c));
        if number
            && let Ok(x) = text.parse::<f64>()
            && x.is_finite()
        {
            return Data::Float(x);
        }
    }
    Data::Text(text.into())
}

#[cfg(test)]
mod tests;
