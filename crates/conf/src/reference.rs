//! Reference documentation of all fields, generated from the types: JSON schemas for editors and
//! tables for the operators' page.

use serde_json::Value;

use crate::{inventory, rules, schema};

/// The JSON schema of the inventory file.
#[must_use]
pub fn inventory_schema() -> String {
    schema_text(schemars::schema_for!(inventory::Inventory).as_value())
}

/// The JSON schema of the rules file.
#[must_use]
pub fn rules_schema() -> String {
    schema_text(schemars::schema_for!(rules::RuleSet).as_value())
}

/// The JSON schema of another settings file.
#[must_use]
pub fn settings_schema<T: schemars::JsonSchema>() -> String {
    schema_text(schemars::schema_for!(T).as_value())
}

/// Markdown tables of every field of the inventory and rules files.
#[must_use]
pub fn field_tables() -> String {
    let mut text = settings_tables::<inventory::Inventory>("Inventory");
    text.push_str(&settings_tables::<rules::RuleSet>("Rules"));
    text
}

/// Markdown tables of every field of a settings file.
#[must_use]
pub fn settings_tables<T: schemars::JsonSchema>(file: &str) -> String {
    let schema = schemars::schema_for!(T);
    let mut text = format!("### {file}\n\n");
    add_table(&mut text, schema.as_value(), schema.as_value());
    let definitions = schema.get("$defs").and_then(Value::as_object);
    for (name, definition) in definitions.into_iter().flatten() {
        text.push_str(&format!("### {name}\n\n{}\n\n", described(definition)));
        add_table(&mut text, schema.as_value(), definition);
    }
    text
}

/// Serializes a schema and allows the `$schema` member by which a file refers editors to it.
fn schema_text(schema: &Value) -> String {
    let mut schema = schema.clone();
    schema["properties"]["$schema"] = serde_json::json!({
        "description": "Where editors find the schema of this file.",
        "type": "string"
    });
    let mut text = serde_json::to_string_pretty(&schema).unwrap_or_default();
    text.push('\n');
    text
}

fn add_table(text: &mut String, root: &Value, schema: &Value) {
    if let Some(options) = schema::options_of(schema) {
        for option in options {
            add_option(text, root, option);
        }
        text.push('\n');
        return;
    }
    let Some(fields) = schema.get("properties").and_then(Value::as_object) else {
        return;
    };
    text.push_str("| field | type | when absent | meaning |\n| --- | --- | --- | --- |\n");
    for (name, field) in fields {
        let (kind, absent) = (kind(field), absent(schema, name, field));
        text.push_str(&format!(
            "| `{name}` | {kind} | {absent} | {} |\n",
            described(field)
        ));
    }
    text.push('\n');
}

fn add_option(text: &mut String, root: &Value, option: &Value) {
    let names = schema::names_of(option);
    if let [name] = names[..] {
        text.push_str(&format!("- `\"{name}\"`: {}\n", described(option)));
        return;
    }
    for (name, inner) in option
        .get("properties")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
    {
        text.push_str(&format!("- `{name}`: {}", described(option)));
        if inner.get("$ref").is_some() {
            text.push_str(&format!(" See {}.\n", kind(inner)));
            continue;
        }
        text.push_str(" Its fields:\n\n");
        add_table(text, root, inner);
    }
}

/// The type of a field, linked to its table if it has one.
fn kind(field: &Value) -> String {
    if let Some(pointer) = field.get("$ref").and_then(Value::as_str) {
        let name = pointer.rsplit('/').next().unwrap_or_default();
        return format!("[{name}](#{})", name.to_lowercase());
    }
    if let Some(options) = schema::options_of(field) {
        let options = options
            .iter()
            .filter(|option| schema::type_names(option).next().is_none());
        return options.map(kind).collect::<Vec<_>>().join(" or ");
    }
    match schema::type_names(field).next() {
        Some("array") => format!("list of {}", kind(&field["items"])),
        Some("object") => format!("by name: {}", kind(&field["additionalProperties"])),
        Some("string") if field.get("pattern").is_some() => "key hash".to_owned(),
        Some("string") if field.get("format").is_some() => "address and port".to_owned(),
        Some("string") => "text".to_owned(),
        Some("integer") => "whole number".to_owned(),
        Some(name) => name.to_owned(),
        None => "any".to_owned(),
    }
}

fn absent(schema: &Value, name: &str, field: &Value) -> String {
    let required = schema.get("required").and_then(Value::as_array);
    if required
        .into_iter()
        .flatten()
        .any(|required| required == name)
    {
        return "required".to_owned();
    }
    match field.get("default") {
        None => "—".to_owned(),
        Some(Value::Object(map)) if map.is_empty() => "none".to_owned(),
        Some(Value::Object(_)) => "its defaults".to_owned(),
        Some(value) => format!("`{value}`"),
    }
}

fn described(schema: &Value) -> String {
    let text = schema.get("description").and_then(Value::as_str);
    text.unwrap_or_default()
        .replace('\n', " ")
        .replace('|', "\\|")
}
