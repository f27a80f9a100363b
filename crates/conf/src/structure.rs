//! Structural validation of a parsed text against the JSON schema of a type: unknown, missing and
//! duplicate names, wrong types, numbers out of range.
//!
//! One pass finds all faults and produces a repaired document: an invalid or missing value is
//! replaced by a placeholder of the right type, and its path is recorded as repaired. The semantic
//! validation can therefore run as well, and operators get all faults of a file at once. The
//! repaired document never takes effect.

use std::{collections, net};

use jsonc_parser::{
    ast,
    common::{Range, Ranged as _},
};
use serde_json::Value;

use crate::schema;

/// A structural fault at a byte offset of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StructureFault {
    /// Path of the invalid value, as field names from the root.
    pub path: Vec<String>,
    /// Byte offset in the text.
    pub offset: usize,
    /// Description of the fault.
    pub message: String,
    /// Instruction for correcting it.
    pub remedy: String,
}

/// Result of a structural validation.
#[derive(Clone, Debug, PartialEq)]
pub struct StructureReport {
    /// The document with every invalid value replaced by a placeholder of the right type.
    pub document: Value,
    /// All faults, ordered by offset.
    pub faults: Vec<StructureFault>,
    /// Paths of the replaced values.
    pub repaired: Vec<Vec<String>>,
}

/// Pattern of a SHA-256 hash in the schema of the inventory.
const HASH_PATTERN: &str = "^[0-9a-f]{64}$";
/// Format of an IP address with a port in the schema of the inventory.
const ADDRESS_FORMAT: &str = "socket-address";

/// Validates `root` against the JSON schema `schema`.
#[must_use]
pub fn check(root: &ast::Value<'_>, schema: &Value) -> StructureReport {
    let mut walker = StructureWalker {
        schema,
        path: Vec::new(),
        faults: Vec::new(),
        repaired: Vec::new(),
    };
    let document = walker.value(root, schema);
    walker.faults.sort_by_key(|fault| fault.offset);
    StructureReport {
        document,
        faults: walker.faults,
        repaired: walker.repaired,
    }
}

/// State of the traversal of a document.
struct StructureWalker<'s> {
    /// The complete schema, used to resolve references.
    schema: &'s Value,
    path: Vec<String>,
    faults: Vec<StructureFault>,
    repaired: Vec<Vec<String>>,
}

impl<'s> StructureWalker<'s> {
    fn value(&mut self, node: &ast::Value<'_>, schema: &'s Value) -> Value {
        let schema = schema::resolve(self.schema, schema);
        if let Some(options) = schema::options_of(schema) {
            return self.choice(node, schema, options);
        }
        if !schema::accepts(schema, node) {
            return self.wrong_type(node, schema);
        }
        match node {
            ast::Value::Object(object) => self.object(object, schema),
            ast::Value::Array(array) => self.array(array, schema),
            ast::Value::NumberLit(number) => self.number(number, schema),
            ast::Value::StringLit(text) => self.text(text, schema),
            ast::Value::BooleanLit(literal) => Value::Bool(literal.value),
            ast::Value::NullKeyword(_) => Value::Null,
        }
    }

    fn choice(&mut self, node: &ast::Value<'_>, schema: &'s Value, options: &'s [Value]) -> Value {
        let root = self.schema;
        let resolved = || options.iter().map(|option| schema::resolve(root, option));
        let chosen = resolved()
            .find(|option| schema::is_tagged(option, node))
            .or_else(|| {
                let mut fitting = resolved().filter(|option| schema::accepts(option, node));
                fitting.next().filter(|_| fitting.next().is_none())
            })
            .or_else(|| resolved().find(|option| schema::is_exact(option, node)));
        match chosen {
            Some(option) => self.value(node, option),
            None => self.wrong_type(node, schema),
        }
    }

    fn object(&mut self, object: &ast::Object<'_>, schema: &'s Value) -> Value {
        let properties = schema.get("properties").and_then(Value::as_object);
        let additional = schema.get("additionalProperties");
        let mut members = serde_json::Map::new();
        let mut first_ranges: collections::HashMap<&str, Range> = collections::HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            self.path.push(name.to_owned());
            if first_ranges.insert(name, property.range).is_some() {
                self.fault(
                    property.start(),
                    format!("\"{name}\" appears more than once in this object"),
                    "keep one of them",
                );
            }
            let known = properties.and_then(|map| map.get(name));
            if let Some(inner) = known.or_else(|| additional.filter(|value| !value.is_boolean())) {
                let value = self.value(&property.value, inner);
                members.insert(name.to_owned(), value);
            } else if additional == Some(&Value::Bool(false)) && !self.is_schema_link(name) {
                let remedy = schema::unknown_remedy(name, properties);
                self.fault(
                    property.start(),
                    format!("unknown field \"{name}\""),
                    remedy,
                );
            }
            self.path.pop();
        }
        self.missing(object, schema, &mut members);
        Value::Object(members)
    }

    /// Whether this is the `$schema` member at the root, by which editors find the schema of a
    /// file.
    fn is_schema_link(&self, name: &str) -> bool {
        name == "$schema" && self.path.len() == 1
    }

    fn missing(
        &mut self,
        object: &ast::Object<'_>,
        schema: &'s Value,
        members: &mut serde_json::Map<String, Value>,
    ) {
        let required = schema.get("required").and_then(Value::as_array);
        for name in required.into_iter().flatten().filter_map(Value::as_str) {
            if members.contains_key(name) {
                continue;
            }
            let inner = &schema["properties"][name];
            self.path.push(name.to_owned());
            let remedy = format!("add \"{name}\": {}", schema::expected(self.schema, inner));
            self.fault(
                object.start(),
                format!("field \"{name}\" is missing"),
                remedy,
            );
            let value = self.repair(inner);
            members.insert(name.to_owned(), value);
            self.path.pop();
        }
    }

    fn array(&mut self, array: &ast::Array<'_>, schema: &'s Value) -> Value {
        let Some(inner) = schema.get("items") else {
            return Value::Array(
                array
                    .elements
                    .iter()
                    .cloned()
                    .filter_map(untyped_value)
                    .collect(),
            );
        };
        let mut elements = Vec::with_capacity(array.elements.len());
        for (index, element) in array.elements.iter().enumerate() {
            self.path.push(index.to_string());
            elements.push(self.value(element, inner));
            self.path.pop();
        }
        Value::Array(elements)
    }

    fn number(&mut self, literal: &ast::NumberLit<'_>, schema: &'s Value) -> Value {
        let text = literal.value;
        let Ok(number) = text.parse::<serde_json::Number>() else {
            let message = format!("{text} is not a valid number");
            return self.repaired_fault(literal.start(), message, "write it in decimal", schema);
        };
        let wants_integer = schema::type_names(schema).any(|name| name == "integer");
        if !wants_integer {
            return Value::Number(number);
        }
        let (min, max) = schema::bounds(schema);
        let integer = text.parse::<i128>().ok();
        if integer.is_some_and(|integer| (min..=max).contains(&integer)) {
            return Value::Number(number);
        }
        let message = format!("{text} is not a whole number from {min} to {max}");
        self.repaired_fault(literal.start(), message, "write one in that range", schema)
    }

    fn text(&mut self, literal: &ast::StringLit<'_>, schema: &'s Value) -> Value {
        let text = literal.value.as_ref();
        let is_address = schema.get("format").and_then(Value::as_str) == Some(ADDRESS_FORMAT);
        if is_address && text.parse::<net::SocketAddr>().is_err() {
            let message = format!("\"{text}\" is not an address");
            let remedy = "write an IP address with a port, as in \"192.0.2.7:8000\"";
            return self.repaired_fault(literal.start(), message, remedy, schema);
        }
        let is_hash = schema.get("pattern").and_then(Value::as_str) == Some(HASH_PATTERN);
        if is_hash && !is_hash_text(text) {
            let message = "this is not a key hash".to_owned();
            let remedy = "write the key's SHA-256 in 64 lower-case hexadecimal digits";
            return self.repaired_fault(literal.start(), message, remedy, schema);
        }
        let names = schema::names_of(schema);
        if !names.is_empty() && !names.contains(&text) {
            let message = format!("\"{text}\" is not one of the allowed values");
            let remedy = format!("write one of: {}", names.join(", "));
            return self.repaired_fault(literal.start(), message, remedy, schema);
        }
        Value::String(text.to_owned())
    }

    fn wrong_type(&mut self, node: &ast::Value<'_>, schema: &'s Value) -> Value {
        let message = format!("found {}", schema::described(node));
        let remedy = format!("write {}", schema::expected(self.schema, schema));
        self.repaired_fault(node.start(), message, remedy, schema)
    }

    fn repaired_fault(
        &mut self,
        offset: usize,
        message: String,
        remedy: impl Into<String>,
        schema: &'s Value,
    ) -> Value {
        self.fault(offset, message, remedy);
        self.repair(schema)
    }

    fn repair(&mut self, schema: &'s Value) -> Value {
        self.repaired.push(self.path.clone());
        schema::placeholder(self.schema, schema)
    }

    fn fault(&mut self, offset: usize, message: String, remedy: impl Into<String>) {
        self.faults.push(StructureFault {
            path: self.path.clone(),
            offset,
            message,
            remedy: remedy.into(),
        });
    }
}

/// Whether `text` is a SHA-256 hash in the format of configuration files: 64 lower-case hexadecimal
/// digits.
#[must_use]
pub fn is_hash_text(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(is_digit)
}

/// Converts a node that no schema describes.
fn untyped_value(node: ast::Value<'_>) -> Option<Value> {
    Some(match node {
        ast::Value::StringLit(text) => Value::String(text.value.into_owned()),
        ast::Value::NumberLit(number) => Value::Number(number.value.parse().ok()?),
        ast::Value::BooleanLit(literal) => Value::Bool(literal.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(array) => Value::Array(
            array
                .elements
                .into_iter()
                .filter_map(untyped_value)
                .collect(),
        ),
        ast::Value::Object(object) => Value::Object(
            object
                .properties
                .into_iter()
                .filter_map(|it| Some((it.name.into_string(), untyped_value(it.value)?)))
                .collect(),
        ),
    })
}
