//! Tables that fit a terminal of 80 columns, whatever their content.

use trace::text;
use unicode_width::UnicodeWidthChar as _;

/// Width of a terminal in columns.
pub const TERMINAL_COLUMNS: usize = 80;

const COLUMN_SEPARATOR: &str = "  ";
/// Minimum width to which a column of the table is narrowed.
const MIN_COLUMN_WIDTH: usize = 5;

/// A text table. The first column is left-aligned, the others are right-aligned.
#[derive(Clone, Debug)]
pub struct TextTable {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates an empty table with these headings.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self {
            head: head.iter().map(|cell| (*cell).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, one cell for each heading.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has no rows.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Renders the table as lines of at most [`TERMINAL_COLUMNS`].
    #[must_use]
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut out = String::new();
        for row in std::iter::once(&self.head).chain(&self.rows) {
            let mut line = String::new();
            for (index, (cell, width)) in row.iter().zip(&widths).enumerate() {
                if index > 0 {
                    line.push_str(COLUMN_SEPARATOR);
                }
                line.push_str(&padded(cell, *width, index > 0));
            }
            out.push_str(fit(line.trim_end(), TERMINAL_COLUMNS).as_str());
            out.push('\n');
        }
        out
    }

    /// Computes column widths that fit the terminal, narrowing the widest column first.
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.head.iter().map(|cell| columns(cell)).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(columns(cell));
            }
        }
        let separators = COLUMN_SEPARATOR.len() * widths.len().saturating_sub(1);
        while widths.iter().sum::<usize>() + separators > TERMINAL_COLUMNS {
            let Some(widest) = widths.iter_mut().max() else {
                break;
            };
            if *widest <= MIN_COLUMN_WIDTH {
                break;
            }
            *widest -= 1;
        }
        widths
    }
}

/// Returns the number of terminal columns that `text` occupies.
#[must_use]
pub fn columns(text: &str) -> usize {
    text::clean(text).chars().map(char_columns).sum()
}

/// Truncates `text` to at most `width` columns, with an ellipsis if it was cut, and replaces
/// control characters.
#[must_use]
pub fn fit(text: &str, width: usize) -> String {
    let text = text::clean(text);
    if columns(&text) <= width {
        return text;
    }
    let mut out = String::new();
    let mut used = 0;
    for letter in text.chars() {
        used += char_columns(letter);
        if used + 1 > width {
            break;
        }
        out.push(letter);
    }
    if width > 0 {
        out.push('…');
    }
    out
}

fn padded(cell: &str, width: usize, is_right_aligned: bool) -> String {
    let cell = fit(cell, width);
    let padding = " ".repeat(width.saturating_sub(columns(&cell)));
    if is_right_aligned {
        format!("{padding}{cell}")
    } else {
        format!("{cell}{padding}")
    }
}

fn char_columns(letter: char) -> usize {
    letter.width().unwrap_or(0)
}
