//! Typed access to the values of a document. Each value keeps its path, so that every
//! fault can name its location.

use std::sync::Arc;

use crate::{
    fault::Fault,
    yaml::{Data, Location, Node},
};

/// Maximum number of entries in one list or map of named entries, such as steps or inputs.
const MAX_NAMED_ENTRIES: usize = 5_000;

/// A value and its path from the top of the document.
#[derive(Clone, Debug)]
pub struct Cursor {
    /// The value.
    pub node: Node,
    /// The path, such as `steps.split.in`.
    pub path: String,
}

impl Cursor {
    /// A cursor at the top of a document.
    pub fn top(node: Node) -> Self {
        Self {
            node,
            path: String::new(),
        }
    }

    /// Creates a fault at this value.
    pub fn fault(&self, message: impl Into<String>) -> Fault {
        fault(&self.node.location, &self.path, message)
    }

    /// A cursor at `node`, the child of this value called `name`.
    pub fn below(&self, name: &str, node: Node) -> Self {
        let path = match self.path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        };
        Self { node, path }
    }

    /// The value as text; a fault if it is anything else.
    pub fn text(&self) -> Result<&str, Fault> {
        match &self.node.data {
            Data::Text(text) => Ok(text),
            _ => Err(self.expected("text")),
        }
    }

    /// The value as a boolean; a fault if it is anything else.
    pub fn bool(&self) -> Result<bool, Fault> {
        match self.node.data {
            Data::Bool(b) => Ok(b),
            _ => Err(self.expected("true or false")),
        }
    }

    /// The value as a number; a fault if it is anything else.
    pub fn number(&self) -> Result<f64, Fault> {
        match self.node.data {
            Data::Int(n) => Ok(n as f64),
            Data::Float(x) => Ok(x),
            _ => Err(self.expected("a number")),
        }
    }

    /// The value as a whole number; a fault if it is anything else.
    pub fn int(&self) -> Result<i64, Fault> {
        match self.node.data {
            Data::Int(n) => Ok(n),
            _ => Err(self.expected("a whole number")),
        }
    }

    /// The items of a list. Null gives no items, any other value a list of itself.
    pub fn to_list(&self) -> Vec<Cursor> {
        match &self.node.data {
            Data::List(list) => list
                .iter()
                .enumerate()
                .map(|(i, node)| self.below(&i.to_string(), node.clone()))
                .collect(),
            Data::Null => Vec::new(),
            _ => vec![self.clone()],
        }
    }

    /// A list of texts, or a single text as a list of one.
    pub fn texts(&self) -> Result<Vec<String>, Fault> {
        let texts = self.to_list();
        texts.iter().map(|s| s.text().map(str::to_owned)).collect()
    }

    /// A list of whole numbers, or a single number as a list of one.
    pub fn ints(&self) -> Result<Vec<i64>, Fault> {
        self.to_list().iter().map(Cursor::int).collect()
    }

    /// Reads named entries: a list of maps that hold their name under `key`, or a map from
    /// names to entries. In a map, an entry that is not itself a map is short for a map with
    /// that value under `short`.
    pub fn named(&self, key: &str, short: Option<&str>) -> Result<Vec<(String, Cursor)>, Fault> {
        let mut named: Vec<(String, Cursor)> = Vec::new();
        let count = match &self.node.data {
            Data::List(list) => list.len(),
            Data::Map(map) => map.len(),
            _ => 0,
        };
        if count > MAX_NAMED_ENTRIES {
            return Err(self.fault(format!("more than {MAX_NAMED_ENTRIES} entries")));
        }
        match &self.node.data {
            Data::Null => {}
            Data::List(list) => {
                for (i, node) in list.iter().enumerate() {
                    let cursor = self.below(&i.to_string(), node.clone());
                    let Some(name) = node.get(key) else {
                        return Err(cursor.fault(format!("`{key}` is missing")));
                    };
                    let name = cursor.below(key, name.clone()).text()?.to_owned();
                    named.push((name, cursor));
                }
            }
            Data::Map(map) => {
                for (name, node) in map.iter() {
                    let node = match (&node.data, short) {
                        (Data::Map(_), _) | (_, None) => node.clone(),
                        (_, Some(short)) => Node {
                            location: node.location.clone(),
                            data: Data::Map(Arc::new(vec![(short.into(), node.clone())])),
                        },
                    };
                    named.push((name.to_string(), self.below(name, node)));
                }
            }
            _ => return Err(self.expected("a list or a map")),
        }
        Ok(named)
    }

    /// The fields of a map, to be read by name.
    pub fn fields(&self) -> Result<Fields, Fault> {
        match &self.node.data {
            Data::Map(map) => Ok(Fields {
                cursor: self.clone(),
                map: map.clone(),
                read_names: Vec::new(),
            }),
            _ => Err(self.expected("a map")),
        }
    }

    fn expected(&self, what: &str) -> Fault {
        self.fault(format!("{what} is expected, not {}", self.node.kind()))
    }
}

/// Creates a fault at a location and path.
pub fn fault(location: &Location, path: &str, message: impl Into<String>) -> Fault {
    Fault {
        file: location.file.to_string(),
        line: location.line,
        path: path.to_owned(),
        message: message.into(),
    }
}

/// The fields of a map. [`Fields::finish`] refuses fields that were not read, so that
/// unsupported fields are never silently ignored.
#[derive(Debug)]
pub struct Fields {
    /// The map itself.
    pub cursor: Cursor,
    map: Arc<Vec<(Arc<str>, Node)>>,
    read_names: Vec<&'static str>,
}

impl Fields {
    /// A field's value, if it is present and not null.
    pub fn get(&mut self, name: &'static str) -> Option<Cursor> {
        self.read_names.push(name);
        let (_, node) = self.map.iter().find(|(n, _)| &**n == name)?;
        match node.data {
            Data::Null => None,
            _ => Some(self.cursor.below(name, node.clone())),
        }
    }

    /// The value of a required field; a fault if it is absent or null.
    pub fn require(&mut self, name: &'static str) -> Result<Cursor, Fault> {
        let missing = self.cursor.fault(format!("`{name}` is missing"));
        self.get(name).ok_or(missing)
    }

    /// A field's value, if it is present. Unlike [`Fields::get`], also returns null.
    pub fn get_or_null(&mut self, name: &'static str) -> Option<Cursor> {
        self.read_names.push(name);
        let (_, node) = self.map.iter().find(|(n, _)| &**n == name)?;
        Some(self.cursor.below(name, node.clone()))
    }

    /// Accepts fields that only describe and don't affect execution.
    pub fn allow_descriptive_fields(&mut self) {
        self.read_names.extend(["id", "label", "doc", "intent"]);
    }

    /// Refuses fields that were not read. Names with a prefix (`name:`) are extensions, which
    /// CWL allows, and names with `$` are directives; both are ignored.
    pub fn finish(self) -> Result<(), Fault> {
        for (name, node) in self.map.iter() {
            let is_read = self.read_names.iter().any(|n| *n == &**name);
            if !is_read && !name.contains(':') && !name.starts_with('$') {
                let cursor = self.cursor.below(name, node.clone());
                return Err(cursor.fault("this field is unknown or not supported here"));
            }
        }
        Ok(())
    }
}

/// The last part of an identifier, such as `sheet` of `#main/split/sheet`.
pub fn local_name(id: &str) -> &str {
    let after = id.rsplit_once('#').map_or(id, |(_, after)| after);
    after.rsplit_once('/').map_or(after, |(_, last)| last)
}
