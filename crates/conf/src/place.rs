//! Locations in a text: converts byte offsets to lines and columns, and paths to byte offsets.

use jsonc_parser::{ast, common::Ranged as _};

use crate::fault;

/// A text and the name of its file.
#[derive(Clone, Copy, Debug)]
pub struct SourceText<'a> {
    /// File name as given by the operator.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// Line starts of a text.
#[derive(Clone, Debug)]
pub struct LineTable<'a> {
    source: SourceText<'a>,
    /// Byte offset of each line start, in ascending order; the first is 0.
    starts: Vec<usize>,
}

impl<'a> LineTable<'a> {
    /// Builds the table of `source`.
    #[must_use]
    pub fn new(source: SourceText<'a>) -> Self {
        let mut starts = vec![0];
        starts.extend(source.text.match_indices('\n').map(|(index, _)| index + 1));
        Self { source, starts }
    }

    /// Converts a byte offset to a location; an offset past the end is clamped to the end.
    #[must_use]
    pub fn place(&self, offset: usize) -> fault::FaultPlace {
        let text = self.source.text;
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        fault::FaultPlace {
            file: self.source.file.to_owned(),
            line,
            column: text[start..offset].chars().count() + 1,
        }
    }
}

/// Byte offset of the value at `path`, or of its nearest existing ancestor.
///
/// The offset of an object member is that of its name, the offset of an array element that of its
/// value.
#[must_use]
pub fn locate(root: &ast::Value<'_>, path: &[String]) -> usize {
    let mut value = root;
    let mut offset = root.start();
    for name in path {
        let inner = match value {
            ast::Value::Object(object) => object
                .properties
                .iter()
                .find(|property| property.name.as_str() == name)
                .map(|property| (property.start(), &property.value)),
            ast::Value::Array(array) => name
                .parse()
                .ok()
                .and_then(|index: usize| array.elements.get(index))
                .map(|element| (element.start(), element)),
            _ => None,
        };
        let Some((start, next)) = inner else {
            break;
        };
        offset = start;
        value = next;
    }
    offset
}
