//! Checks the structure of a parsed text against the JSON schema of a type: unknown, missing and
//! repeated names, wrong types, numbers out of range.
//!
//! Every fault is found in one pass, and the outcome is a repaired document: a wrong or missing
//! value is replaced by one of the right type and its path is remembered as repaired. So the
//! checks of meaning run too, and the operator gets all faults of a file at once. The repaired
//! document never takes effect.

use std::{collections, net};

use jsonc_parser::{
    ast,
    common::{Range, Ranged as _},
};
use serde_json::Value;

use crate::schema;

/// A fault of structure, at a byte range of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StructureFault {
    /// Names from the root down to the value that is wrong.
    pub path: Vec<String>,
    /// Byte offset in the text.
    pub offset: usize,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

/// The outcome of a check of structure.
#[derive(Clone, Debug, PartialEq)]
pub struct StructureReport {
    /// The document with every wrong value replaced by one of the right type.
    pub document: Value,
    /// All faults, in the order of the text.
    pub faults: Vec<StructureFault>,
    /// Paths whose values were replaced.
    pub repaired: Vec<Vec<String>>,
}

/// Pattern of a SHA-256, as the schema of the inventory states it.
const HASH_PATTERN: &str = "^[0-9a-f]{64}$";
/// Format of an IP address with a port, as the schema of the inventory states it.
const ADDRESS_FORMAT: &str = "socket-address";

/// Checks `root` against the JSON schema `schema`.
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

/// Where the walk through a document stands.
struct StructureWalker<'s> {
    /// The whole schema, for references.
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
        let mut first_places: collections::HashMap<&str, Range> = collections::HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            self.path.push(name.to_owned());
            if first_places.insert(name, property.range).is_some() {
                self.fault(
                    property.start(),
                    format!("\"{name}\" stands more than once in this object"),
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

    /// Editors find the schema of a file by this member of its root.
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
            let remedy = format!("add \"{name}\": {}", schema::wanted(self.schema, inner));
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
            return Value::Array(array.elements.iter().cloned().filter_map(plain).collect());
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
            let message = format!("{text} is not a number that can be read");
            return self.repaired_fault(literal.start(), message, "write it in decimal", schema);
        };
        let wants_whole = schema::type_names(schema).any(|name| name == "integer");
        if !wants_whole {
            return Value::Number(number);
        }
        let (least, greatest) = schema::bounds(schema);
        let whole = text.parse::<i128>().ok();
        if whole.is_some_and(|whole| (least..=greatest).contains(&whole)) {
            return Value::Number(number);
        }
        let message = format!("{text} is not a whole number from {least} to {greatest}");
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
            let message = format!("\"{text}\" is not one of the known words");
            let remedy = format!("write one of: {}", names.join(", "));
            return self.repaired_fault(literal.start(), message, remedy, schema);
        }
        Value::String(text.to_owned())
    }

    fn wrong_type(&mut self, node: &ast::Value<'_>, schema: &'s Value) -> Value {
        let message = format!("{} stands here", schema::described(node));
        let remedy = format!("write {}", schema::wanted(self.schema, schema));
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

/// Whether `text` is a SHA-256 as configuration files hold it.
#[must_use]
pub fn is_hash_text(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(is_digit)
}

/// The value of a node that no schema describes.
fn plain(node: ast::Value<'_>) -> Option<Value> {
    Some(match node {
        ast::Value::StringLit(text) => Value::String(text.value.into_owned()),
        ast::Value::NumberLit(number) => Value::Number(number.value.parse().ok()?),
        ast::Value::BooleanLit(literal) => Value::Bool(literal.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(array) => {
            Value::Array(array.elements.into_iter().filter_map(plain).collect())
        }
        ast::Value::Object(object) => Value::Object(
            object
                .properties
                .into_iter()
                .filter_map(|it| Some((it.name.into_string(), plain(it.value)?)))
                .collect(),
        ),
    })
}
