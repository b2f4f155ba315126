//! Reading a document's values with their place at hand, so that each fault
//! can say where it is.

use std::sync::Arc;

use crate::{
    fault::Fault,
    yaml::{Data, Location, Node},
};

/// The most steps, inputs and the like in one place.
const MAX_NAMED: usize = 5_000;

/// A value and the way to it from the document's top.
#[derive(Clone, Debug)]
pub struct Cursor {
    /// The value.
    pub node: Node,
    /// The way, `steps.split.in`.
    pub path: String,
}

impl Cursor {
    /// The top of a document.
    pub fn top(node: Node) -> Self {
        Self {
            node,
            path: String::new(),
        }
    }

    /// A fault here.
    pub fn fault(&self, message: impl Into<String>) -> Fault {
        fault(&self.node.location, &self.path, message)
    }

    /// A value below this one.
    pub fn below(&self, name: &str, node: Node) -> Self {
        let path = match self.path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        };
        Self { node, path }
    }

    /// It must be text.
    pub fn text(&self) -> Result<&str, Fault> {
        match &self.node.data {
            Data::Text(text) => Ok(text),
            _ => Err(self.expected("text")),
        }
    }

    /// It must be `true` or `false`.
    pub fn bool(&self) -> Result<bool, Fault> {
        match self.node.data {
            Data::Bool(b) => Ok(b),
            _ => Err(self.expected("true or false")),
        }
    }

    /// It must be a number.
    pub fn number(&self) -> Result<f64, Fault> {
        match self.node.data {
            Data::Int(n) => Ok(n as f64),
            Data::Float(x) => Ok(x),
            _ => Err(self.expected("a number")),
        }
    }

    /// It must be a whole number.
    pub fn int(&self) -> Result<i64, Fault> {
        match self.node.data {
            Data::Int(n) => Ok(n),
            _ => Err(self.expected("a whole number")),
        }
    }

    /// A list, or one value that stands for a list of itself.
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

    /// Texts of a list, or one text.
    pub fn texts(&self) -> Result<Vec<String>, Fault> {
        let texts = self.to_list();
        texts.iter().map(|s| s.text().map(str::to_owned)).collect()
    }

    /// Whole numbers of a list, or one.
    pub fn ints(&self) -> Result<Vec<i64>, Fault> {
        self.to_list().iter().map(Cursor::int).collect()
    }

    /// A list of maps that name themselves by `key`, or a map by these names.
    /// There a value that is no map stands for one that only has `short`.
    pub fn named(&self, key: &str, short: Option<&str>) -> Result<Vec<(String, Cursor)>, Fault> {
        let mut named: Vec<(String, Cursor)> = Vec::new();
        let count = match &self.node.data {
            Data::List(list) => list.len(),
            Data::Map(map) => map.len(),
            _ => 0,
        };
        if count > MAX_NAMED {
            return Err(self.fault(format!("more than {MAX_NAMED} of them")));
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

    /// A map whose values are asked for by name.
    pub fn fields(&self) -> Result<Fields, Fault> {
        match &self.node.data {
            Data::Map(map) => Ok(Fields {
                cursor: self.clone(),
                map: map.clone(),
                known: Vec::new(),
            }),
            _ => Err(self.expected("a map")),
        }
    }

    fn expected(&self, what: &str) -> Fault {
        self.fault(format!("{what} is expected, not {}", self.node.kind()))
    }
}

/// A fault at a place.
pub fn fault(location: &Location, path: &str, message: impl Into<String>) -> Fault {
    Fault {
        file: location.file.to_string(),
        line: location.line,
        path: path.to_owned(),
        message: message.into(),
    }
}

/// The values of a map. What nobody has asked for when reading is over is a
/// fault: something that is not understood must not be ignored.
#[derive(Debug)]
pub struct Fields {
    /// Where the map is.
    pub cursor: Cursor,
    map: Arc<Vec<(Arc<str>, Node)>>,
    known: Vec<&'static str>,
}

impl Fields {
    /// A value, if it is there and not null.
    pub fn get(&mut self, name: &'static str) -> Option<Cursor> {
        self.known.push(name);
        let (_, node) = self.map.iter().find(|(n, _)| &**n == name)?;
        match node.data {
            Data::Null => None,
            _ => Some(self.cursor.below(name, node.clone())),
        }
    }

    /// A value that must be there.
    pub fn require(&mut self, name: &'static str) -> Result<Cursor, Fault> {
        let missing = self.cursor.fault(format!("`{name}` is missing"));
        self.get(name).ok_or(missing)
    }

    /// A value that may be null where that says something.
    pub fn get_or_null(&mut self, name: &'static str) -> Option<Cursor> {
        self.known.push(name);
        let (_, node) = self.map.iter().find(|(n, _)| &**n == name)?;
        Some(self.cursor.below(name, node.clone()))
    }

    /// Values that change nothing of what is done.
    pub fn allow_descriptive_fields(&mut self) {
        self.known.extend(["id", "label", "doc", "intent"]);
    }

    /// Refuses what is in the map and was not asked for. Names with a prefix
    /// are extensions of others, which CWL allows.
    pub fn finish(self) -> Result<(), Fault> {
        for (name, node) in self.map.iter() {
            let known = self.known.iter().any(|k| *k == &**name);
            if !known && !name.contains(':') && !name.starts_with('$') {
                let cursor = self.cursor.below(name, node.clone());
                return Err(cursor.fault("this field is not known or not supported here"));
            }
        }
        Ok(())
    }
}

/// The last part of an identifier, `sheet` of `#main/split/sheet`.
pub fn local(id: &str) -> &str {
    let after = id.rsplit_once('#').map_or(id, |(_, after)| after);
    after.rsplit_once('/').map_or(after, |(_, last)| last)
}
