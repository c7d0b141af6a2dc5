//! The fields of a message: a JSON object with a limited number of strings and numbers.

use serde::de::{Error, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Largest number of fields in a message; the protocol has fewer than ten. Parsed, a short field takes many times the
/// memory of its text.
pub const MAX_FIELDS: usize = 32;

/// The fields by their names.
#[derive(Debug, Default)]
pub struct Fields(pub BTreeMap<String, Value>);

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with strings and numbers")
    }

    fn visit_unit<E: Error>(self) -> Result<Fields, E> {
        Ok(Fields::default())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
        let mut fields = BTreeMap::new();
        for _ in 0..MAX_FIELDS {
            let Some(name) = map.next_key::<String>()? else { return Ok(Fields(fields)) };
            let Scalar(value) = map.next_value().map_err(|e| {
                A::Error::custom(format_args!("field {name} is no string and no number: {e}"))
            })?;
            fields.insert(name, value);
        }
        match map.next_key::<IgnoredAny>()? {
            None => Ok(Fields(fields)),
            Some(_) => Err(A::Error::custom(format_args!("more than {MAX_FIELDS} fields"))),
        }
    }
}

/// A string or a number. Anything else is rejected at its first character, so that no memory is spent on it.
struct Scalar(Value);

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl Visitor<'_> for ScalarVisitor {
    type Value = Scalar;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string or a number")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Scalar, E> {
        Ok(Scalar(text.into()))
    }

    fn visit_string<E: Error>(self, text: String) -> Result<Scalar, E> {
        Ok(Scalar(text.into()))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Scalar, E> {
        Ok(Scalar(number.into()))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Scalar, E> {
        Ok(Scalar(number.into()))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Scalar, E> {
        Ok(Scalar(number.into()))
    }
}
