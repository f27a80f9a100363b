//! Queries on a JSON schema: which values it accepts, and which remedies to suggest.

use jsonc_parser::ast;
use serde_json::Value;

/// Maximum number of field names listed in the remedy for an unknown field.
const MAX_LISTED_FIELDS: usize = 12;
/// Maximum number of characters of an invalid string shown in a message.
const MAX_SHOWN_CHARS: usize = 40;

pub(crate) fn resolve<'s>(root: &'s Value, schema: &'s Value) -> &'s Value {
    let mut schema = schema;
    while let Some(pointer) = schema.get("$ref").and_then(Value::as_str) {
        match root.pointer(pointer.trim_start_matches('#')) {
            Some(next) => schema = next,
            None => break,
        }
    }
    schema
}

pub(crate) fn options_of(schema: &Value) -> Option<&[Value]> {
    let options = schema.get("oneOf").or_else(|| schema.get("anyOf"))?;
    options.as_array().map(Vec::as_slice)
}

pub(crate) fn type_names(schema: &Value) -> impl Iterator<Item = &str> {
    let named = schema.get("type");
    let list = named.and_then(Value::as_array).into_iter().flatten();
    named
        .and_then(Value::as_str)
        .into_iter()
        .chain(list.filter_map(Value::as_str))
}

/// String values that a schema allows; empty if it allows any string.
pub(crate) fn names_of(schema: &Value) -> Vec<&str> {
    let list = schema
        .get("enum")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    let single = schema.get("const").into_iter();
    list.chain(single).filter_map(Value::as_str).collect()
}

/// Whether `schema` allows the type of `node`.
pub(crate) fn accepts(schema: &Value, node: &ast::Value<'_>) -> bool {
    let mut names = type_names(schema).peekable();
    if names.peek().is_none() {
        return true;
    }
    names.any(|name| match node {
        ast::Value::StringLit(_) => name == "string",
        ast::Value::NumberLit(_) => name == "number" || name == "integer",
        ast::Value::BooleanLit(_) => name == "boolean",
        ast::Value::Object(_) => name == "object",
        ast::Value::Array(_) => name == "array",
        ast::Value::NullKeyword(_) => name == "null",
    })
}

/// Whether `node` is a string value listed by the option.
pub(crate) fn is_exact(option: &Value, node: &ast::Value<'_>) -> bool {
    let text = node.as_string_lit().map(|literal| literal.value.as_ref());
    text.is_some_and(|text| names_of(option).contains(&text))
}

/// Whether `node` is an object with the tag of this variant: its only required member, or a member
/// with the variant's constant value.
pub(crate) fn is_tagged(option: &Value, node: &ast::Value<'_>) -> bool {
    let (Some(object), Some(properties)) = (
        node.as_object(),
        option.get("properties").and_then(Value::as_object),
    ) else {
        return false;
    };
    let required = option.get("required").and_then(Value::as_array);
    let is_member = |name: &str| object.properties.iter().any(|it| it.name.as_str() == name);
    if let Some([Value::String(tag)]) = required.map(Vec::as_slice)
        && properties.len() == 1
    {
        return is_member(tag);
    }
    object.properties.iter().any(|property| {
        properties
            .get(property.name.as_str())
            .is_some_and(|inner| inner.get("const").is_some() && is_exact(inner, &property.value))
    })
}

pub(crate) fn bounds(schema: &Value) -> (i128, i128) {
    let format = schema
        .get("format")
        .and_then(Value::as_str)
        .unwrap_or_default();
    let (min, max) = match format {
        "uint8" => (0, i128::from(u8::MAX)),
        "uint16" => (0, i128::from(u16::MAX)),
        "uint32" => (0, i128::from(u32::MAX)),
        "uint64" | "uint" => (0, i128::from(u64::MAX)),
        "int32" => (i128::from(i32::MIN), i128::from(i32::MAX)),
        _ => (i128::from(i64::MIN), i128::from(i64::MAX)),
    };
    let stated = |name: &str| schema.get(name).and_then(Value::as_i64).map(i128::from);
    (
        stated("minimum").map_or(min, |value| value.max(min)),
        stated("maximum").map_or(max, |value| value.min(max)),
    )
}

/// A placeholder value of the type that `schema` requires.
pub(crate) fn placeholder(root: &Value, schema: &Value) -> Value {
    let schema = resolve(root, schema);
    if let Some(option) = options_of(schema).and_then(<[Value]>::first) {
        return placeholder(root, option);
    }
    if let Some(name) = names_of(schema).first() {
        return Value::String((*name).to_owned());
    }
    match type_names(schema).next() {
        Some("object") => {
            let required = schema.get("required").and_then(Value::as_array);
            let names = required.into_iter().flatten().filter_map(Value::as_str);
            let member = |name: &str| placeholder(root, &schema["properties"][name]);
            Value::Object(names.map(|name| (name.to_owned(), member(name))).collect())
        }
        Some("array") => Value::Array(Vec::new()),
        Some("integer" | "number") => Value::from(1),
        Some("boolean") => Value::Bool(false),
        Some("string") if schema.get("format").is_some() => Value::from("192.0.2.1:1"),
        Some("string") => Value::from(""),
        _ => Value::Null,
    }
}

/// Describes the value that a schema requires, for use in a remedy.
pub(crate) fn expected(root: &Value, schema: &Value) -> String {
    let schema = resolve(root, schema);
    if let Some(options) = options_of(schema) {
        let words = options.iter().map(|option| resolve(root, option));
        let words: Vec<String> = words
            .filter(|option| type_names(option).next() != Some("null"))
            .map(|option| expected(root, option))
            .collect();
        return words.join(" or ");
    }
    let names = names_of(schema);
    if !names.is_empty() {
        let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
        return quoted.join(" or ");
    }
    let kind = match type_names(schema).next() {
        Some("object") => match schema.get("required").and_then(Value::as_array) {
            Some(names) => return format!("an object with {}", joined(names)),
            None => "an object {…}",
        },
        Some("array") => "a list […]",
        Some("integer") => "a whole number",
        Some("number") => "a number",
        Some("boolean") => "true or false",
        Some("string") if schema.get("format").is_some() => "an address as in \"192.0.2.7:8000\"",
        Some("string") => "a text in double quotes",
        _ => "a value",
    };
    kind.to_owned()
}

fn joined(names: &[Value]) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    names.join(", ")
}

pub(crate) fn described(node: &ast::Value<'_>) -> String {
    match node {
        ast::Value::StringLit(text) => {
            let shown: String = text.value.chars().take(MAX_SHOWN_CHARS).collect();
            format!("the text \"{shown}\"")
        }
        ast::Value::NumberLit(number) => format!("the number {}", number.value),
        ast::Value::BooleanLit(literal) => literal.value.to_string(),
        ast::Value::Object(_) => "an object".to_owned(),
        ast::Value::Array(_) => "a list".to_owned(),
        ast::Value::NullKeyword(_) => "null".to_owned(),
    }
}

pub(crate) fn unknown_remedy(name: &str, known: Option<&serde_json::Map<String, Value>>) -> String {
    let known: Vec<&str> = known
        .into_iter()
        .flatten()
        .map(|(name, _)| name.as_str())
        .collect();
    let nearest = known
        .iter()
        .map(|other| (distance(name, other), other))
        .min();
    match nearest {
        Some((steps, other)) if steps <= 1 + name.len() / 4 => {
            format!("write \"{other}\" if you meant that, otherwise remove it")
        }
        _ if known.is_empty() => "remove it".to_owned(),
        _ => {
            let shown = known.len().min(MAX_LISTED_FIELDS);
            format!("remove it; known fields: {}", known[..shown].join(", "))
        }
    }
}

/// Levenshtein distance between two names.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, character) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(character != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
