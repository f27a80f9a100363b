//! Tables that fit a terminal of 80 columns, whatever stands in them.

use trace::text;
use unicode_width::UnicodeWidthChar as _;

/// Columns of a terminal.
pub const TERMINAL_COLUMNS: usize = 80;

const GAP: &str = "  ";
/// A column is never made narrower than this to make room.
const MIN_COLUMNS: usize = 5;

/// A table. The first column is text and flush left, the others flush right.
#[derive(Clone, Debug)]
pub struct TextTable {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// An empty table with these headings.
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

    /// Whether it has no rows.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The table as lines of at most [`TERMINAL_COLUMNS`].
    #[must_use]
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut out = String::new();
        for row in std::iter::once(&self.head).chain(&self.rows) {
            let mut line = String::new();
            for (index, (cell, width)) in row.iter().zip(&widths).enumerate() {
                if index > 0 {
                    line.push_str(GAP);
                }
                line.push_str(&padded(cell, *width, index > 0));
            }
            out.push_str(fit(line.trim_end(), TERMINAL_COLUMNS).as_str());
            out.push('\n');
        }
        out
    }

    /// Widths that fit: the widest column gives way first.
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.head.iter().map(|cell| columns(cell)).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(columns(cell));
            }
        }
        let gaps = GAP.len() * widths.len().saturating_sub(1);
        while widths.iter().sum::<usize>() + gaps > TERMINAL_COLUMNS {
            let Some(widest) = widths.iter_mut().max() else {
                break;
            };
            if *widest <= MIN_COLUMNS {
                break;
            }
            *widest -= 1;
        }
        widths
    }
}

/// Columns that `text` takes in a terminal.
#[must_use]
pub fn columns(text: &str) -> usize {
    text::clean(text).chars().map(letter_columns).sum()
}

/// `text` in at most `width` columns, with an ellipsis where something was cut, and without
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
        used += letter_columns(letter);
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

fn padded(cell: &str, width: usize, is_right: bool) -> String {
    let cell = fit(cell, width);
    let padding = " ".repeat(width.saturating_sub(columns(&cell)));
    if is_right {
        format!("{padding}{cell}")
    } else {
        format!("{cell}{padding}")
    }
}

fn letter_columns(letter: char) -> usize {
    letter.width().unwrap_or(0)
}
