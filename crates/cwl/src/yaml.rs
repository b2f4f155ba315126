//! YAML and JSON as trees that know their lines.
//!
//! Documents come from outside, so depth, size and what aliases stand for are
//! bounded while a tree is built.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use saphyr_parser::{Event, Parser, ScalarStyle};

use crate::fault::Fault;

/// The largest file, in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// The deepest nesting.
pub const MAX_DEPTH: usize = 64;
/// The most values of a file, with what aliases stand for counted each time.
pub const MAX_NODES: usize = 200_000;

/// Where something stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
}

/// A value and where it stands; cheap to clone.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where.
    pub location: Location,
    /// The value.
    pub data: Data,
}

/// What a value is.
#[derive(Clone, Debug)]
pub enum Data {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// Another number.
    Float(f64),
    /// Text.
    Text(Arc<str>),
    /// Values in order.
    List(Arc<Vec<Node>>),
    /// Values by name, in the order of the document.
    Map(Arc<Vec<(Arc<str>, Node)>>),
}

impl Node {
    /// As the values that expressions see.
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

    /// A named value of a map.
    pub fn get(&self, name: &str) -> Option<&Node> {
        match &self.data {
            Data::Map(map) => map.iter().find(|(n, _)| &**n == name).map(|(_, node)| node),
            _ => None,
        }
    }

    /// What it is, in words.
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

/// A list or map that is not complete yet.
struct Open {
    location: Location,
    anchor: usize,
    items: Vec<Node>,
    /// The names of a map's values; none: it is a list.
    names: Option<Vec<Arc<str>>>,
    seen: HashSet<Arc<str>>,
    /// A name that waits for its value.
    name: Option<Arc<str>>,
    /// How many values it holds, itself included.
    size: usize,
}

struct Builder {
    file: Arc<str>,
    open: Vec<Open>,
    /// What aliases may stand for, and how large it is.
    anchors: HashMap<usize, (Node, usize)>,
    done: Option<Node>,
}

/// Reads one document.
///
/// # Errors
/// The text is no YAML or JSON, holds no or several documents, names something
/// twice, uses tags, or is larger or deeper than allowed.
pub fn parse(file: &str, text: &str) -> Result<Node, Fault> {
    let mut builder = Builder {
        file: file.into(),
        open: Vec::new(),
        anchors: HashMap::new(),
        done: None,
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
    let empty = builder.fault(1, "an empty document".into());
    builder.done.ok_or(empty)
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
                    // `!` alone, and `!!str`, say that it is text.
                    Some(tag) if tag.suffix == "str" || tag.suffix.is_empty() => {
                        Data::Text(text.as_ref().into())
                    }
                    Some(tag) => return Err(self.tagged(line, &tag.suffix)),
                };
                self.put(Node { location, data }, anchor, 1)
            }
            Event::SequenceStart(anchor, tag) => {
                if let Some(tag) = tag {
                    return Err(self.tagged(line, &tag.suffix));
                }
                self.begin(location, anchor, None)
            }
            Event::MappingStart(anchor, tag) => {
                if let Some(tag) = tag {
                    return Err(self.tagged(line, &tag.suffix));
                }
                self.begin(location, anchor, Some(Vec::new()))
            }
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(open) = self.open.pop() else {
                    return Err(self.fault(line, "an end without a beginning".into()));
                };
                let data = match open.names {
                    None => Data::List(open.items.into()),
                    Some(names) => Data::Map(Arc::new(names.into_iter().zip(open.items).collect())),
                };
                self.put(
                    Node {
                        location: open.location,
                        data,
                    },
                    open.anchor,
                    open.size,
                )
            }
            Event::Alias(anchor) => match self.anchors.get(&anchor).cloned() {
                Some((node, size)) => self.put(node, 0, size),
                None => Err(self.fault(line, "an alias of what it stands in".into())),
            },
            Event::DocumentStart(_) if self.done.is_some() => {
                Err(self.fault(line, "a second document in one file".into()))
            }
            _ => Ok(()),
        }
    }

    fn tagged(&self, line: usize, tag: &str) -> Fault {
        self.fault(line, format!("the tag `{tag}` is not used in CWL"))
    }

    fn begin(
        &mut self,
        location: Location,
        anchor: usize,
        names: Option<Vec<Arc<str>>>,
    ) -> Result<(), Fault> {
        if self.open.len() >= MAX_DEPTH {
            return Err(self.fault(location.line, format!("nested deeper than {MAX_DEPTH}")));
        }
        self.open.push(Open {
            location,
            anchor,
            items: Vec::new(),
            names,
            seen: HashSet::new(),
            name: None,
            size: 1,
        });
        Ok(())
    }

    /// A value is complete and goes where it belongs.
    fn put(&mut self, node: Node, anchor: usize, size: usize) -> Result<(), Fault> {
        let line = node.location.line;
        let before: usize = self.open.iter().map(|o| o.size).sum();
        if before + size > MAX_NODES {
            return Err(self.fault(line, format!("more than {MAX_NODES} values")));
        }
        if anchor > 0 {
            self.anchors.insert(anchor, (node.clone(), size));
        }
        let Some(open) = self.open.last_mut() else {
            self.done = Some(node);
            return Ok(());
        };
        open.size += size;
        match &mut open.names {
            None => open.items.push(node),
            Some(names) => match open.name.take() {
                Some(name) => {
                    names.push(name);
                    open.items.push(node);
                }
                None => {
                    let name: Arc<str> = match &node.data {
                        Data::Text(text) => text.clone(),
                        Data::Bool(b) => b.to_string().into(),
                        Data::Int(n) => n.to_string().into(),
                        _ => {
                            let what = format!("{} as a name", node.kind());
                            return Err(self.fault(line, what));
                        }
                    };
                    if !open.seen.insert(name.clone()) {
                        return Err(self.fault(line, format!("`{name}` is named twice")));
                    }
                    open.name = Some(name);
                }
            },
        }
        Ok(())
    }
}

/// A plain scalar by the core schema of YAML 1.2.
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
mod tests {
    use super::*;

    #[test]
    fn values_are_those_of_the_core_schema() {
        let text =
            "a: [1, -2, 1.5, 1e3, .5, true, ~, 0x1f, 1.2.3, '1', v1.2]\nb: {c: &x hi, d: *x}\n";
        let value = parse("f", text).expect("good").to_value();
        let expected = serde_json::json!({
            "a": [1, -2, 1.5, 1000.0, 0.5, true, null, "0x1f", "1.2.3", "1", "v1.2"],
            "b": {"c": "hi", "d": "hi"},
        });
        assert_eq!(value, expected);
    }

    #[test]
    fn what_blows_up_is_refused() {
        // Ten aliases of ten aliases of ...: 10^8 values in 400 bytes.
        let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
        for i in 1..8 {
            let before = format!("*a{}, ", i - 1).repeat(10);
            text += &format!("a{i}: &a{i} [{}]\n", before.trim_end_matches(", "));
        }
        let deep = "[".repeat(100_000);
        let maps = "{a: ".repeat(200);
        let cases = [
            (text.as_str(), "more than 200000 values"),
            (deep.as_str(), ""),
            (maps.as_str(), "nested deeper than 64"),
            ("a: &a [*a]", "alias"),
            ("a: 1\nb: 2\na: 3", "`a` is named twice"),
            ("--- 1\n--- 2\n", "second document"),
            ("a: !!binary aGk=", "tag"),
            ("", "empty"),
            ("? [a]\n: 1", "as a name"),
        ];
        for (text, why) in cases {
            let fault = parse("f.cwl", text).expect_err(why);
            assert!(fault.to_string().contains(why), "{fault}");
        }
        // Names are many, and none is looked for among all others.
        let many: String = (0..90_000).map(|i| format!("k{i}: 1\n")).collect();
        assert!(parse("f.cwl", &many).is_ok());
        let fault = parse("f.cwl", "a: 1\nb: [\n").expect_err("open");
        assert_eq!((fault.file.as_str(), fault.line >= 2), ("f.cwl", true));
    }
}
