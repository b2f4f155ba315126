//! The types of CWL, and checks of values against them.

use std::{collections::BTreeMap, fmt};

use serde_json::{Map, Value};

use crate::{
    cursor::{Cursor, local_name},
    fault::Fault,
    yaml::Data,
};

/// A type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Type {
    /// No value.
    Null,
    /// `true` or `false`.
    Boolean,
    /// A signed integer of 32 bits.
    Int,
    /// A signed integer of 64 bits.
    Long,
    /// A single-precision number.
    Float,
    /// A double-precision number.
    Double,
    /// Text.
    String,
    /// A file.
    File,
    /// A directory.
    Directory,
    /// Any value except null.
    Any,
    /// The standard output of a tool, as a file.
    Stdout,
    /// The standard error of a tool, as a file.
    Stderr,
    /// An array with items of one type.
    Array(Box<Type>),
    /// Named fields, each with its type.
    Record(Vec<(String, Type)>),
    /// One of these symbols.
    Enum(Vec<String>),
    /// A value of any of these types.
    Union(Vec<Type>),
}

/// Maximum length of a type written as text. Each `[]` in it nests the type one level
/// deeper, so this bounds the depth.
const MAX_TYPE_TEXT_BYTES: usize = 128;

/// Types that a document defines, by name.
pub type NamedTypes = BTreeMap<String, Type>;

impl Type {
    /// Parses a type.
    ///
    /// # Errors
    /// The value is not a type, or names an unknown or unsupported one.
    pub fn parse(cursor: &Cursor, names: &NamedTypes) -> Result<Self, Fault> {
        match &cursor.node.data {
            Data::Text(text) if text.len() > MAX_TYPE_TEXT_BYTES => {
                Err(cursor.fault(format!("a type of more than {MAX_TYPE_TEXT_BYTES} bytes")))
            }
            Data::Text(text) => Self::parse_text(text, cursor, names),
            Data::List(_) => {
                let types = cursor.to_list();
                let types: Result<Vec<_>, _> =
                    types.iter().map(|t| Self::parse(t, names)).collect();
                Ok(Self::Union(types?))
            }
            Data::Map(_) => Self::parse_schema(cursor, names),
            _ => Err(cursor.fault(format!("a type is expected, not {}", cursor.node.kind()))),
        }
    }

    fn parse_text(text: &str, cursor: &Cursor, names: &NamedTypes) -> Result<Self, Fault> {
        if let Some(inner) = text.strip_suffix('?') {
            let inner = Self::parse_text(inner, cursor, names)?;
            return Ok(Self::Union(vec![Self::Null, inner]));
        }
        if let Some(inner) = text.strip_suffix("[]") {
            let inner = Self::parse_text(inner, cursor, names)?;
            return Ok(Self::Array(Box::new(inner)));
        }
        Ok(match text {
            "null" => Self::Null,
            "boolean" => Self::Boolean,
            "int" => Self::Int,
            "long" => Self::Long,
            "float" => Self::Float,
            "double" => Self::Double,
            "string" => Self::String,
            "File" => Self::File,
            "Directory" => Self::Directory,
            "Any" => Self::Any,
            "stdout" => Self::Stdout,
            "stderr" => Self::Stderr,
            "stdin" => {
                return Err(
                    cursor.fault("`type: stdin` is not supported; write `stdin: $(inputs.…)`")
                );
            }
            name => match names.get(local_name(name)) {
                Some(known) => known.clone(),
                None => return Err(cursor.fault(format!("the type `{name}` is not known"))),
            },
        })
    }

    /// Parses a type written as a map. Its `inputBinding` is read separately, in
    /// [`crate::document`].
    fn parse_schema(cursor: &Cursor, names: &NamedTypes) -> Result<Self, Fault> {
        let mut fields = cursor.fields()?;
        fields.allow_descriptive_fields();
        let kind = fields.require("type")?;
        fields.get("name");
        fields.get("inputBinding");
        let read = match kind.text() {
            Ok("array") => {
                let items = fields.require("items")?;
                Self::Array(Box::new(Self::parse(&items, names)?))
            }
            Ok("enum") => Self::Enum(
                fields
                    .require("symbols")?
                    .texts()?
                    .iter()
                    .map(|s| local_name(s).to_owned())
                    .collect(),
            ),
            Ok("record") => {
                let mut parts = Vec::new();
                if let Some(list) = fields.get("fields") {
                    for (name, field) in list.named("name", Some("type"))? {
                        let mut field = field.fields()?;
                        field.allow_descriptive_fields();
                        field.get("name");
                        field.get("inputBinding");
                        for unsupported in
                            ["outputBinding", "secondaryFiles", "streamable", "format"]
                        {
                            if let Some(cursor) = field.get(unsupported) {
                                return Err(
                                    cursor.fault("not supported for the fields of a record")
                                );
                            }
                        }
                        let kind = Self::parse(&field.require("type")?, names)?;
                        field.finish()?;
                        parts.push((local_name(&name).to_owned(), kind));
                    }
                }
                Self::Record(parts)
            }
            _ => return Self::parse(&kind, names),
        };
        fields.finish()?;
        Ok(read)
    }

    /// Whether null is a value of this type.
    pub fn is_optional(&self) -> bool {
        match self {
            Self::Null => true,
            Self::Union(types) => types.iter().any(Self::is_optional),
            _ => false,
        }
    }

    /// Checks that a value has this type.
    ///
    /// # Errors
    /// A description of the mismatch.
    pub fn check(&self, value: &Value) -> Result<(), String> {
        let fits = match (self, value) {
            (Self::Null, Value::Null)
            | (Self::Boolean, Value::Bool(_))
            | (Self::Float | Self::Double, Value::Number(_))
            | (Self::String, Value::String(_)) => true,
            (Self::Int, Value::Number(n)) => n.as_i64().is_some_and(|n| i32::try_from(n).is_ok()),
            (Self::Long, Value::Number(n)) => n.as_i64().is_some(),
            (Self::Any, value) => !value.is_null(),
            (Self::File | Self::Stdout | Self::Stderr, value) => class_of(value) == Some("File"),
            (Self::Directory, value) => class_of(value) == Some("Directory"),
            (Self::Enum(symbols), Value::String(text)) => symbols.contains(text),
            (Self::Array(items), Value::Array(list)) => {
                for (i, value) in list.iter().enumerate() {
                    items.check(value).map_err(|e| format!("[{i}]: {e}"))?;
                }
                true
            }
            (Self::Record(fields), Value::Object(map)) => {
                for (name, kind) in fields {
                    let value = map.get(name).unwrap_or(&Value::Null);
                    kind.check(value).map_err(|e| format!("{name}: {e}"))?;
                }
                match map.keys().find(|k| !fields.iter().any(|f| f.0 == **k)) {
                    Some(unknown) => return Err(format!("{unknown}: not a field of the record")),
                    None => true,
                }
            }
            (Self::Union(types), value) => match types.as_slice() {
                // For an optional type, the mismatch with the non-null type says more than
                // that no alternative fits.
                [Self::Null, one] if !value.is_null() => return one.check(value),
                types => types.iter().any(|t| t.check(value).is_ok()),
            },
            _ => false,
        };
        match fits {
            true => Ok(()),
            false => Err(format!("{self} is expected, not {}", describe(value))),
        }
    }

    /// Whether some value of this type may also have the other type, so that a link from
    /// this type to the other can be valid.
    pub fn may_match(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Union(types), other) => types.iter().any(|t| t.may_match(other)),
            (this, Self::Union(types)) => types.iter().any(|t| this.may_match(t)),
            (Self::Any, other) => *other != Self::Null,
            (this, Self::Any) => *this != Self::Null,
            (Self::Array(a), Self::Array(b)) => a.may_match(b),
            (Self::Stdout | Self::Stderr | Self::File, other) => {
                matches!(other, Self::File | Self::Stdout | Self::Stderr)
            }
            (Self::Int | Self::Long, Self::Int | Self::Long | Self::Float | Self::Double)
            | (Self::Float | Self::Double, Self::Float | Self::Double)
            | (Self::Enum(_), Self::String)
            | (Self::String, Self::Enum(_)) => true,
            (Self::Enum(a), Self::Enum(b)) => a.iter().any(|s| b.contains(s)),
            (Self::Record(a), Self::Record(b)) => a.iter().all(|(name, kind)| {
                let matching = b.iter().find(|(n, _)| n == name);
                matching.is_some_and(|(_, k)| kind.may_match(k))
            }),
            (this, other) => this == other,
        }
    }
}

/// The `class` of an object, such as `File` or `Directory`.
pub fn class_of(value: &Value) -> Option<&str> {
    value.as_object()?.get("class")?.as_str()
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "nothing".into(),
        Value::Bool(b) => b.to_string(),
        Value::Number(n) => n.to_string(),
        Value::String(text) if text.len() <= 40 => format!("\"{text}\""),
        Value::String(_) => "text".into(),
        Value::Array(list) => format!("an array of {}", list.len()),
        Value::Object(map) => describe_object(map),
    }
}

fn describe_object(map: &Map<String, Value>) -> String {
    match map.get("class").and_then(Value::as_str) {
        Some(class) => format!("a {class}"),
        None => "a record".into(),
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Null => "null",
            Self::Boolean => "boolean",
            Self::Int => "int",
            Self::Long => "long",
            Self::Float => "float",
            Self::Double => "double",
            Self::String => "string",
            Self::File => "File",
            Self::Directory => "Directory",
            Self::Any => "Any",
            Self::Stdout => "stdout",
            Self::Stderr => "stderr",
            Self::Array(items) => return write!(f, "{items}[]"),
            Self::Record(_) => "a record",
            Self::Enum(symbols) => return write!(f, "one of {}", symbols.join(", ")),
            Self::Union(types) => {
                let names: Vec<_> = types.iter().map(Self::to_string).collect();
                return f.write_str(&names.join(" or "));
            }
        };
        f.write_str(name)
    }
}
