//! Reads a text of JSON with comments into a type, or gives all faults of the text at once.

use jsonc_parser::{ast, common, errors};

use crate::{
    fault,
    place::{self, LineTable, SourceText},
    structure,
};

/// Settings that can be read from a text.
pub trait CheckedSettings: serde::de::DeserializeOwned + schemars::JsonSchema {
    /// Contradictions among settings of the right structure, each with its path.
    fn contradictions(&self) -> Vec<fault::ConfigFault> {
        Vec::new()
    }
}

/// Reads `text`, which the operator knows as `file`.
///
/// # Errors
/// All faults of the text, each with its place and its remedy; then nothing of it takes effect.
pub fn parse<T: CheckedSettings>(file: &str, text: &str) -> Result<T, fault::FaultList> {
    let parsed: ParsedText<'_, T> = ParsedText::new(SourceText { file, text });
    let mut faults = parsed.faults.clone();
    if let Some(settings) = &parsed.repaired {
        faults.extend(settings.contradictions().into_iter().filter_map(|fault| {
            (!parsed.is_repaired(&fault.path)).then(|| parsed.placed(fault, &[]))
        }));
    }
    match parsed.repaired {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(fault::FaultList::in_order(faults)),
    }
}

/// A text after the check of its structure.
pub(crate) struct ParsedText<'a, T> {
    lines: LineTable<'a>,
    root: ast::Value<'a>,
    /// Faults of syntax and structure.
    pub faults: Vec<fault::ConfigFault>,
    /// Paths whose values were wrong and are replaced in `repaired`.
    pub repaired_paths: Vec<Vec<String>>,
    /// The value with every wrong part replaced; absent when the syntax is hopeless. It may take
    /// effect only when there are no faults.
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
        let is_hopeless = syntax.is_some() && parsed.root == empty_object();
        if let Some(fault) = syntax {
            parsed.add(Vec::new(), fault.offset, fault.message, fault.remedy);
        }
        if !is_hopeless {
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
            Err(error) if self.faults.is_empty() => self.add_unexplained(text, &error),
            Err(_) => {}
        }
    }

    /// A fault that the schema does not tell, such as a text that its type cannot read.
    fn add_unexplained(&mut self, text: &str, error: &serde_json::Error) {
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
    /// Whether the value at `path` is, or is in, one that was replaced.
    pub fn is_repaired(&self, path: &[String]) -> bool {
        self.repaired_paths
            .iter()
            .any(|repaired| path.starts_with(repaired))
    }

    /// The same fault with its place in this text; `prefix` leads to the root of this text.
    pub fn placed(&self, mut fault: fault::ConfigFault, prefix: &[&str]) -> fault::ConfigFault {
        let path = fault.path.get(prefix.len()..).unwrap_or_default();
        let offset = place::locate(&self.root, path);
        fault.place = Some(self.lines.place(offset));
        fault
    }
}

/// A fault of syntax.
struct SyntaxFault {
    offset: usize,
    message: String,
    remedy: String,
}

/// JSON with comments and trailing commas, nothing more.
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

/// Parses strictly; where that fails, leniently, so that the other faults are found too.
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
        "correct it here; what follows is checked after that"
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
