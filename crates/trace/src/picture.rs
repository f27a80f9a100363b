//! A time line as an SVG diagram: one lane per process, time running downwards, and arrows that
//! follow each request.
//!
//! Every event has its own row, so that labels never overlap. The time is shown at the left, and
//! the distance between rows grows with the time between events. Backend servers record no events
//! themselves but have lanes too, for the arrows of calls and answers.

use std::collections;

use base::id;

use crate::{event, kind, merge, moment, svg, text};

/// Maximum number of rows; the newest events are drawn.
pub const MAX_ROWS: usize = 600;
/// Maximum number of lanes; those with the most events are drawn.
pub const MAX_LANES: usize = 24;

const TIME_WIDTH: u32 = 96;
const LANE_WIDTH: u32 = 210;
const ROW_HEIGHT: u32 = 18;
const HEAD_HEIGHT: u32 = 34;
const NOTE_HEIGHT: u32 = 18;
const MARGIN: u32 = 16;
const LABEL_MAX_CHARS: usize = 28;
/// Distance between a dot and its label, which leaves space for an arrow head.
const LABEL_OFFSET: u32 = 15;
const CHAR_WIDTH: u32 = 6;

const VM_FILL: &str = "#f4f6fa";
const SERVER_FILL: &str = "#f7f3ea";
const LINE_COLOUR: &str = "#c9ced8";
const PLAIN_COLOUR: &str = "#555";
const BAD_COLOUR: &str = "#c62828";
const REQUEST_COLOURS: [&str; 8] = [
    "#1565c0", "#2e7d32", "#6a1b9a", "#ef6c00", "#00838f", "#ad1457", "#4e342e", "#558b2f",
];

/// Renders a time line as an SVG document.
#[must_use]
pub fn render(timeline: &merge::MergedTimeline) -> String {
    let layout = DiagramLayout::of(timeline);
    let mut drawing = svg::SvgDrawing::new(layout.width(), layout.height());
    layout.draw_notes(&mut drawing);
    layout.draw_lanes(&mut drawing);
    layout.draw_arrows(&mut drawing);
    layout.draw_events(&mut drawing);
    drawing.finish()
}

/// The process that a lane shows. Entry VMs are ordered before backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LaneSubject<'a> {
    Vm(&'a str),
    Server(&'a str),
}

impl<'a> LaneSubject<'a> {
    const fn name(self) -> &'a str {
        match self {
            Self::Vm(name) | Self::Server(name) => name,
        }
    }
}

/// Layout of the diagram.
#[derive(Debug)]
struct DiagramLayout<'a> {
    events: Vec<&'a event::Event>,
    /// Vertical position of each event, parallel to `events`.
    rows: Vec<u32>,
    lanes: Vec<LaneSubject<'a>>,
    notes: Vec<String>,
}

impl<'a> DiagramLayout<'a> {
    fn of(timeline: &'a merge::MergedTimeline) -> Self {
        let mut notes: Vec<String> = timeline.gaps.iter().map(text::gap_text).collect();
        let skipped = timeline.events.len().saturating_sub(MAX_ROWS);
        if skipped > 0 {
            notes.push(format!(
                "{skipped} older events are not drawn; narrow --since or --kind"
            ));
        }
        let events: Vec<&event::Event> = timeline.events.iter().skip(skipped).collect();
        let mut lanes = ranked_lanes(&events);
        if lanes.len() > MAX_LANES {
            let more = lanes.len() - MAX_LANES;
            notes.push(format!("{more} processes with fewer events are not drawn"));
            lanes.truncate(MAX_LANES);
        }
        lanes.sort_unstable();
        let events: Vec<&event::Event> = events
            .into_iter()
            .filter(|event| lanes.contains(&LaneSubject::Vm(&event.vm)))
            .collect();
        if events.is_empty() {
            notes.push("no matching events are kept".to_owned());
        }
        let rows = rows(&events, top(&notes) + HEAD_HEIGHT + ROW_HEIGHT);
        Self {
            events,
            rows,
            lanes,
            notes,
        }
    }

    fn width(&self) -> u32 {
        let lanes = u32::try_from(self.lanes.len()).unwrap_or(u32::MAX);
        (TIME_WIDTH + lanes * LANE_WIDTH).max(760) + MARGIN
    }

    fn height(&self) -> u32 {
        let bottom = self.rows.last().copied();
        bottom.unwrap_or_else(|| top(&self.notes) + HEAD_HEIGHT) + ROW_HEIGHT + MARGIN
    }

    fn lane_x(&self, subject: LaneSubject<'_>) -> Option<u32> {
        let index = self.lanes.iter().position(|lane| *lane == subject)?;
        Some(TIME_WIDTH + u32::try_from(index).ok()? * LANE_WIDTH + 14)
    }

    fn draw_notes(&self, drawing: &mut svg::SvgDrawing) {
        let mut y = MARGIN + 4;
        for note in &self.notes {
            drawing.text(
                svg::SvgPoint { x: MARGIN, y },
                svg::TextAnchor::Start,
                "note",
                note,
            );
            y += NOTE_HEIGHT;
        }
    }

    fn draw_lanes(&self, drawing: &mut svg::SvgDrawing) {
        let head_y = top(&self.notes);
        let bottom_y = self.height() - MARGIN;
        for (index, lane) in (0_u32..).zip(&self.lanes) {
            let x = TIME_WIDTH + index * LANE_WIDTH;
            let fill = match lane {
                LaneSubject::Vm(_) => VM_FILL,
                LaneSubject::Server(_) => SERVER_FILL,
            };
            let corner = svg::SvgPoint { x, y: head_y };
            drawing.rectangle(corner, LANE_WIDTH - 6, bottom_y - head_y, fill);
            let head = svg::SvgPoint {
                x: x + 8,
                y: head_y + 20,
            };
            let name = truncated(lane.name(), 26);
            drawing.text(head, svg::TextAnchor::Start, "lane", &name);
            let lifeline_start = svg::SvgPoint {
                x: x + 14,
                y: head_y + HEAD_HEIGHT,
            };
            drawing.line(
                lifeline_start,
                svg::SvgPoint {
                    x: x + 14,
                    y: bottom_y,
                },
                LINE_COLOUR,
                2,
            );
        }
    }

    /// Draws arrows between one request's events on different VMs and to and from backend servers.
    fn draw_arrows(&self, drawing: &mut svg::SvgDrawing) {
        let mut last: collections::BTreeMap<id::RequestId, (svg::SvgPoint, &str)> =
            collections::BTreeMap::new();
        for (event, y) in self.events.iter().zip(&self.rows) {
            let Some(x) = self.lane_x(LaneSubject::Vm(&event.vm)) else {
                continue;
            };
            let here = svg::SvgPoint { x, y: *y };
            let colour = colour(event);
            let before = event
                .request
                .and_then(|request| last.insert(request, (here, event.vm.as_str())));
            match before {
                Some((there, vm)) if vm == event.vm => drawing.line(there, here, colour, 3),
                Some((there, _)) => drawing.arrow(there, here, colour),
                None => {}
            }
            self.draw_server_arrow(drawing, event, here, colour);
        }
    }

    fn draw_server_arrow(
        &self,
        drawing: &mut svg::SvgDrawing,
        event: &event::Event,
        here: svg::SvgPoint,
        colour: &str,
    ) {
        let Some(server) = event.kind.server() else {
            return;
        };
        let Some(x) = self.lane_x(LaneSubject::Server(server)) else {
            return;
        };
        let above = svg::SvgPoint {
            x,
            y: here.y.saturating_sub(ROW_HEIGHT / 2),
        };
        let below = svg::SvgPoint {
            x,
            y: here.y + ROW_HEIGHT / 2,
        };
        if is_towards_server(&event.kind) {
            drawing.arrow(here, below, colour);
        } else {
            drawing.arrow(above, here, colour);
        }
    }

    fn draw_events(&self, drawing: &mut svg::SvgDrawing) {
        let mut shown = String::new();
        for (event, y) in self.events.iter().zip(&self.rows) {
            let clock = moment::clock_text(event.stamp.wall_ms());
            if clock != shown {
                let at = svg::SvgPoint {
                    x: TIME_WIDTH - 8,
                    y: y + 4,
                };
                drawing.text(at, svg::TextAnchor::End, "time", &clock);
                shown = clock;
            }
            let Some(x) = self.lane_x(LaneSubject::Vm(&event.vm)) else {
                continue;
            };
            let title = text::line(event, 0);
            drawing.dot(svg::SvgPoint { x, y: *y }, 4, colour(event), &title);
            draw_label(drawing, x, *y, &label(event));
        }
    }
}

/// Draws a label to the right of its dot, with a background so that arrows do not cross the text.
fn draw_label(drawing: &mut svg::SvgDrawing, x: u32, y: u32, label: &str) {
    let width = u32::try_from(label.chars().count()).unwrap_or(0) * CHAR_WIDTH;
    let corner = svg::SvgPoint {
        x: x + LABEL_OFFSET - 2,
        y: y - ROW_HEIGHT / 2 + 1,
    };
    drawing.rectangle(corner, width + 4, ROW_HEIGHT - 2, VM_FILL);
    let at = svg::SvgPoint {
        x: x + LABEL_OFFSET,
        y: y + 4,
    };
    drawing.text(at, svg::TextAnchor::Start, "label", label);
}

fn top(notes: &[String]) -> u32 {
    MARGIN + u32::try_from(notes.len()).unwrap_or(0) * NOTE_HEIGHT
}

/// Returns all lanes, those with the most events first.
fn ranked_lanes<'a>(events: &[&'a event::Event]) -> Vec<LaneSubject<'a>> {
    let mut counts: collections::BTreeMap<LaneSubject<'a>, usize> = collections::BTreeMap::new();
    for event in events {
        *counts.entry(LaneSubject::Vm(&event.vm)).or_default() += 1;
        if let Some(server) = event.kind.server() {
            *counts.entry(LaneSubject::Server(server)).or_default() += 1;
        }
    }
    let mut ranking: Vec<(usize, LaneSubject<'a>)> = counts
        .into_iter()
        .map(|(lane, count)| (count, lane))
        .collect();
    ranking.sort_unstable_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
    ranking.into_iter().map(|(_, lane)| lane).collect()
}

/// Computes the vertical position of each event: one row, and up to two more rows for elapsed time.
fn rows(events: &[&event::Event], first_y: u32) -> Vec<u32> {
    let mut y = first_y;
    let mut last_ms = events.first().map_or(0, |event| event.stamp.wall_ms());
    let mut rows = Vec::with_capacity(events.len());
    for event in events {
        let gap_ms = event.stamp.wall_ms().saturating_sub(last_ms);
        let doublings = u64::BITS - gap_ms.leading_zeros();
        y += ROW_HEIGHT + (doublings * 3).min(2 * ROW_HEIGHT);
        last_ms = event.stamp.wall_ms();
        rows.push(y);
    }
    rows
}

const fn is_towards_server(kind: &kind::EventKind) -> bool {
    matches!(
        kind,
        kind::EventKind::RequestDispatched { .. }
            | kind::EventKind::RequestResumed { .. }
            | kind::EventKind::RequestPreempted { .. }
            | kind::EventKind::OrderSent { .. }
    )
}

const fn is_bad(kind: &kind::EventKind) -> bool {
    matches!(
        kind,
        kind::EventKind::RequestRefused { .. }
            | kind::EventKind::RequestPreempted { .. }
            | kind::EventKind::ServerSuspected { .. }
            | kind::EventKind::ServerDead { .. }
            | kind::EventKind::MemberSuspect { .. }
            | kind::EventKind::MemberDead { .. }
            | kind::EventKind::ConfigurationRefused { .. }
            | kind::EventKind::LeaseLost { .. }
            | kind::EventKind::QuarantineAdded { .. }
            | kind::EventKind::LogDown { .. }
            | kind::EventKind::ClockAhead { .. }
    )
}

fn colour(event: &event::Event) -> &'static str {
    if is_bad(&event.kind) {
        return BAD_COLOUR;
    }
    event.request.map_or(PLAIN_COLOUR, |request| {
        let index = request.0 % REQUEST_COLOURS.len() as u128;
        REQUEST_COLOURS[usize::try_from(index).unwrap_or(0)]
    })
}

/// Builds the label of an event: its kind and the value of its first field.
fn label(event: &event::Event) -> String {
    let name = event.kind.name();
    let name = name
        .strip_prefix("request_")
        .unwrap_or(name)
        .replace('_', " ");
    let detail = event
        .kind
        .fields()
        .into_iter()
        .next()
        .map(|(_, value)| value);
    let label = match detail {
        Some(detail) => format!("{name} {detail}"),
        None => name,
    };
    truncated(&label, LABEL_MAX_CHARS)
}

fn truncated(text: &str, max_chars: usize) -> String {
    if text.chars().count() <= max_chars {
        return text.to_owned();
    }
    let mut short: String = text.chars().take(max_chars - 1).collect();
    short.push('…');
    short
}
