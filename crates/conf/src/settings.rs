//! Parses JSON with comments into a type and reports all faults of the text at once.

use jsonc_parser::{ast, common, errors};

use crate::{
    fault,
    place::{self, LineTable, SourceText},
    structure,
};

/// Settings that can be parsed from a file.
pub trait CheckedSettings: serde::de::DeserializeOwned + schemars::JsonSchema {
    /// Semantic faults of structurally valid settings, each with its path.
    fn contradictions(&self) -> Vec<fault::ConfigFault> {
        Vec::new()
    }
}

/// Parses and validates `text`; `file` is the file name used in faults.
///
/// # Errors
/// Returns all faults of the text, each with its location and remedy; nothing of it then takes
/// effect.
pub fn parse<T: CheckedSettings>(file: &str, text: &str) -> Result<T, fault::FaultList> {
    let parsed: ParsedText<'_, T> = ParsedText::new(SourceText { file, text });
    let mut faults = parsed.faults.clone();
    if let Some(settings) = &parsed.repaired {
        faults.extend(settings.contradictions().into_iter().filter_map(|fault| {
            (!parsed.is_repaired(&fault.path)).then(|| parsed.with_place(fault, &[]))
        }));
    }
    match parsed.repaired {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(fault::FaultList::in_order(faults)),
    }
}

/// A text after the structural check.
pub(crate) struct ParsedText<'a, T> {
    lines: LineTable<'a>,
    root: ast::Value<'a>,
    /// Syntax faults and structural faults.
    pub faults: Vec<fault::ConfigFault>,
    /// Paths of the invalid values that are replaced in `repaired`.
    pub repaired_paths: Vec<Vec<String>>,
    /// The value with every invalid part replaced by a placeholder; `None` if the text cannot be
    /// parsed even leniently. It must take effect only if there are no faults.
    pub repaired: Option<T>,
}

impl<'a, T: serde::de::DeserializeOwned + schemars::JsonSchema> ParsedText<'a, T> {
    pub fn new(source: SourceText<'a>) -> Self {
        let (root, syntax) = parse_syntax(source.text);
        let mut parsed = Self {
            lines: LineTable::new(source),
            root: root.unwrap_or_else(empty_object),
            faults: Vec::new(),
            repaired_paths: Vec::new(),
            repaired: None,
        };
        let is_unparsable = syntax.is_some() && parsed.root == empty_object();
        if let Some(fault) = syntax {
            parsed.add(Vec::new(), fault.offset, fault.message, fault.remedy);
        }
        if !is_unparsable {
            parsed.read(source.text);
        }
        parsed
    }

    fn read(&mut self, text: &str) {
        let schema = schemars::schema_for!(T);
        let report = structure::check(&self.root, schema.as_value());
        for fault in report.faults {
            self.add(fault.path, fault.offset, fault.message, fault.remedy);
        }
        self.repaired_paths = report.repaired;
        match serde_json::from_value(report.document) {
            Ok(value) => self.repaired = Some(value),
            Err(error) if self.faults.is_empty() => self.add_parser_fault(text, &error),
            Err(_) => {}
        }
    }

    /// Adds a fault that the schema does not describe, such as a string that its type cannot parse.
    fn add_parser_fault(&mut self, text: &str, error: &serde_json::Error) {
        let placed: Result<T, errors::ParseError> =
            jsonc_parser::parse_to_serde_value(text, &strict());
        let offset = placed.err().map_or(0, |error| error.range().start);
        let remedy = "correct the value".to_owned();
        self.add(Vec::new(), offset, error.to_string(), remedy);
    }

    fn add(&mut self, path: Vec<String>, offset: usize, message: String, remedy: String) {
        let place = Some(self.lines.place(offset));
        self.faults.push(fault::ConfigFault {
            path,
            place,
            message,
            remedy,
        });
    }
}

impl<T> ParsedText<'_, T> {
    /// Whether the value at `path` is, or is part of, a replaced value.
    pub fn is_repaired(&self, path: &[String]) -> bool {
        self.repaired_paths
            .iter()
            .any(|repaired| path.starts_with(repaired))
    }

    /// Adds the location in this text to a fault; `prefix` is the path of this text's root.
    pub fn with_place(&self, mut fault: fault::ConfigFault, prefix: &[&str]) -> fault::ConfigFault {
        let path = fault.path.get(prefix.len()..).unwrap_or_default();
        let offset = place::locate(&self.root, path);
        fault.place = Some(self.lines.place(offset));
        fault
    }
}

/// A syntax fault.
struct SyntaxFault {
    offset: usize,
    message: String,
    remedy: String,
}

/// Parser options for JSON with comments and trailing commas, without other extensions.
fn strict() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Parses strictly and, if that fails, leniently, so that the other faults are found too.
fn parse_syntax(text: &str) -> (Option<ast::Value<'_>>, Option<SyntaxFault>) {
    let collect = jsonc_parser::CollectOptions::default();
    let error = match jsonc_parser::parse_to_ast(text, &collect, &strict()) {
        Ok(result) => return (result.value, None),
        Err(error) => error,
    };
    let lenient = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_ast(text, &collect, &lenient)
        .ok()
        .and_then(|result| result.value);
    let remedy = if value.is_some() {
        "correct it here"
    } else {
        "correct it here; the rest of the file is checked after that"
    };
    let fault = SyntaxFault {
        offset: error.range().start,
        message: format!("not JSON with comments: {}", error.kind()),
        remedy: remedy.to_owned(),
    };
    (value, Some(fault))
}

fn empty_object<'a>() -> ast::Value<'a> {
    ast::Value::Object(ast::Object {
        range: common::Range { start: 0, end: 0 },
        properties: Vec::new(),
    })
}
