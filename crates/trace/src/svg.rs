//! A minimal SVG writer with the few shapes that the diagram of events needs.

use std::fmt::Write as _;

/// An SVG document under construction. Coordinates are in pixels.
#[derive(Debug)]
pub struct SvgDrawing {
    body: String,
    width: u32,
    height: u32,
}

/// Horizontal alignment of a text relative to its point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextAnchor {
    /// The text begins at the point.
    Start,
    /// The text is centred on the point.
    Middle,
    /// The text ends at the point.
    End,
}

/// A point in a drawing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SvgPoint {
    /// Distance from the left edge.
    pub x: u32,
    /// Distance from the top edge.
    pub y: u32,
}

impl SvgDrawing {
    /// Creates an empty drawing.
    #[must_use]
    pub const fn new(width: u32, height: u32) -> Self {
        Self {
            body: String::new(),
            width,
            height,
        }
    }

    /// Draws a filled rectangle.
    pub fn rectangle(&mut self, corner: SvgPoint, width: u32, height: u32, fill: &str) {
        let SvgPoint { x, y } = corner;
        let _ = writeln!(
            self.body,
            r#"<rect x="{x}" y="{y}" width="{width}" height="{height}" fill="{fill}"/>"#
        );
    }

    /// Draws a straight line.
    pub fn line(&mut self, from: SvgPoint, to: SvgPoint, stroke: &str, width: u32) {
        let _ = writeln!(
            self.body,
            r#"<line x1="{}" y1="{}" x2="{}" y2="{}" stroke="{stroke}" stroke-width="{width}"/>"#,
            from.x, from.y, to.x, to.y
        );
    }

    /// Draws a straight line with an arrow head at its end.
    pub fn arrow(&mut self, from: SvgPoint, to: SvgPoint, stroke: &str) {
        let _ = writeln!(
            self.body,
            r#"<line x1="{}" y1="{}" x2="{}" y2="{}" stroke="{stroke}" stroke-width="1.5"/>"#,
            from.x, from.y, to.x, to.y
        );
        self.arrow_head(from, to, stroke);
    }

    /// Draws a filled circle with a tooltip.
    pub fn dot(&mut self, centre: SvgPoint, radius: u32, fill: &str, title: &str) {
        let SvgPoint { x, y } = centre;
        let title = escape(title);
        let _ = writeln!(
            self.body,
            r#"<circle cx="{x}" cy="{y}" r="{radius}" fill="{fill}"><title>{title}</title></circle>"#
        );
    }

    /// Draws a line of text. `class`: `label`, `lane`, `time` or `note`.
    pub fn text(&mut self, at: SvgPoint, anchor: TextAnchor, class: &str, text: &str) {
        let anchor = match anchor {
            TextAnchor::Start => "start",
            TextAnchor::Middle => "middle",
            TextAnchor::End => "end",
        };
        let SvgPoint { x, y } = at;
        let text = escape(text);
        let _ = writeln!(
            self.body,
            r#"<text x="{x}" y="{y}" text-anchor="{anchor}" class="{class}">{text}</text>"#
        );
    }

    /// Returns the complete document.
    #[must_use]
    pub fn finish(self) -> String {
        let Self {
            body,
            width,
            height,
        } = self;
        format!(
            r##"<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" viewBox="0 0 {width} {height}">
<style>
text {{ font-family: sans-serif; fill: #222; }}
.label {{ font-size: 11px; }}
.lane {{ font-size: 13px; font-weight: bold; }}
.time {{ font-size: 10px; font-family: monospace; fill: #666; }}
.note {{ font-size: 12px; fill: #a40000; }}
</style>
<rect width="{width}" height="{height}" fill="#fff"/>
{body}</svg>
"##
        )
    }

    fn arrow_head(&mut self, from: SvgPoint, to: SvgPoint, fill: &str) {
        const LENGTH: f64 = 8.0;
        const HALF_WIDTH: f64 = 3.5;
        let (tip_x, tip_y) = (f64::from(to.x), f64::from(to.y));
        let (dx, dy) = (tip_x - f64::from(from.x), tip_y - f64::from(from.y));
        let length = dx.hypot(dy).max(1.0);
        let (ux, uy) = (dx / length, dy / length);
        let (base_x, base_y) = (tip_x - ux * LENGTH, tip_y - uy * LENGTH);
        let _ = writeln!(
            self.body,
            r#"<path d="M{tip_x:.1} {tip_y:.1} L{:.1} {:.1} L{:.1} {:.1} Z" fill="{fill}"/>"#,
            base_x - uy * HALF_WIDTH,
            base_y + ux * HALF_WIDTH,
            base_x + uy * HALF_WIDTH,
            base_y - ux * HALF_WIDTH,
        );
    }
}

/// Escapes `text` for XML and replaces control characters by spaces.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            control if control.is_control() => out.push(' '),
            '\u{fffe}' | '\u{ffff}' => out.push(' '),
            plain => out.push(plain),
        }
    }
    out
}
