//! The encodings in which users may send the same submission.

use oliveshift_wire::{encode, job::JobSpec};
use rmpv::Value;

/// An encoding of a submission. All say the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionForm {
    /// As this project encodes it.
    Usual,
    /// With the fields in reverse order.
    Reversed,
    /// With fields that the protocol does not know.
    UnknownFields,
    /// Without the fields that are null.
    NullsOmitted,
    /// With integers as amounts where these are whole, and in as few bytes as possible.
    ShortNumbers,
    /// With numbers, texts and the map in their longest encodings.
    LongEncodings,
}

impl SubmissionForm {
    /// All forms.
    pub const ALL: [Self; 6] = [
        Self::Usual,
        Self::Reversed,
        Self::UnknownFields,
        Self::NullsOmitted,
        Self::ShortNumbers,
        Self::LongEncodings,
    ];

    /// Encodes a submission in this form.
    pub fn encode(self, spec: &JobSpec) -> Vec<u8> {
        let usual = encode(spec);
        let decoded = rmpv::decode::read_value(&mut usual.as_slice());
        let Ok(Value::Map(mut fields)) = decoded else {
            unreachable!("a submission is a map");
        };
        match self {
            Self::Usual => return usual,
            Self::Reversed => fields.reverse(),
            Self::UnknownFields => add_unknown_fields(&mut fields),
            Self::NullsOmitted => fields.retain(|(_, value)| !value.is_nil()),
            Self::ShortNumbers => fields.iter_mut().for_each(|(_, v)| shorten_number(v)),
            Self::LongEncodings => return encode_long(&Value::Map(fields)),
        }
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &Value::Map(fields)).expect("written into memory");
        bytes
    }
}

fn add_unknown_fields(fields: &mut Vec<(Value, Value)>) {
    let nested = Value::Map(vec![
        ("uid".into(), "j-000000".into()),
        (
            "list".into(),
            Value::Array(vec![Value::Nil, true.into(), 1.5.into()]),
        ),
    ]);
    fields.insert(0, ("a_new_field".into(), nested.clone()));
    fields.push(("Uid".into(), Value::from("j-000000")));
    fields.push(("another_new_field".into(), Value::Array(vec![nested])));
}

fn shorten_number(value: &mut Value) {
    if let Value::F64(number) = value
        && number.fract() == 0.0
    {
        *value = Value::from(*number as i64);
    }
}

/// Encodes a value with the widest header of each MessagePack type.
fn encode_long(value: &Value) -> Vec<u8> {
    let with_header = |header: u8, length: usize| {
        let mut bytes = vec![header];
        bytes.extend((length as u32).to_be_bytes());
        bytes
    };
    match value {
        Value::Map(fields) => {
            let mut bytes = with_header(0xdf, fields.len());
            for (name, value) in fields {
                bytes.extend(encode_long(name));
                bytes.extend(encode_long(value));
            }
            bytes
        }
        Value::Array(items) => {
            let mut bytes = with_header(0xdd, items.len());
            bytes.extend(items.iter().flat_map(encode_long));
            bytes
        }
        Value::String(text) => {
            let text = text.as_bytes();
            let mut bytes = with_header(0xdb, text.len());
            bytes.extend(text);
            bytes
        }
        Value::Integer(number) if number.is_u64() => {
            let mut bytes = vec![0xcf];
            bytes.extend(number.as_u64().unwrap_or_default().to_be_bytes());
            bytes
        }
        other => {
            let mut bytes = Vec::new();
            rmpv::encode::write_value(&mut bytes, other).expect("written into memory");
            bytes
        }
    }
}
