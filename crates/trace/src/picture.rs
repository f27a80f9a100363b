//! A time line as a picture: one lane for each process, time downwards, arrows along a request.
//!
//! Every event has a row of its own, so that labels never lie on one another; the time stands at
//! the left, and a gap in time is a wider gap between rows. Backend servers record nothing here,
//! yet have lanes too, for the arrows that go there and come back.

use std::collections;

use base::id;

use crate::{event, kind, merge, moment, svg, text};

/// Rows drawn at the most; the newest are kept.
pub const MAX_ROWS: usize = 600;
/// Lanes drawn at the most; those with most events are kept.
pub const MAX_LANES: usize = 24;

const TIME_WIDTH: u32 = 96;
const LANE_WIDTH: u32 = 210;
const ROW_HEIGHT: u32 = 18;
const HEAD_HEIGHT: u32 = 34;
const NOTE_HEIGHT: u32 = 18;
const MARGIN: u32 = 16;
const LABEL_LETTERS: usize = 28;
/// Room between a dot and its label, for the head of an arrow.
const LABEL_OFFSET: u32 = 15;
const LETTER_WIDTH: u32 = 6;

const VM_FILL: &str = "#f4f6fa";
const SERVER_FILL: &str = "#f7f3ea";
const LINE_COLOUR: &str = "#c9ced8";
const PLAIN_COLOUR: &str = "#555";
const BAD_COLOUR: &str = "#c62828";
const REQUEST_COLOURS: [&str; 8] = [
    "#1565c0", "#2e7d32", "#6a1b9a", "#ef6c00", "#00838f", "#ad1457", "#4e342e", "#558b2f",
];

/// Draws a time line.
#[must_use]
pub fn render(timeline: &merge::MergedTimeline) -> String {
    let plan = DrawingPlan::of(timeline);
    let mut drawing = svg::SvgDrawing::new(plan.width(), plan.height());
    plan.draw_notes(&mut drawing);
    plan.draw_lanes(&mut drawing);
    plan.draw_arrows(&mut drawing);
    plan.draw_events(&mut drawing);
    drawing.finish()
}

/// A lane's subject. Entry VMs stand before backend servers.
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

/// Where everything goes.
#[derive(Debug)]
struct DrawingPlan<'a> {
    events: Vec<&'a event::Event>,
    /// Vertical position of each event, parallel to `events`.
    rows: Vec<u32>,
    lanes: Vec<LaneSubject<'a>>,
    notes: Vec<String>,
}

impl<'a> DrawingPlan<'a> {
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
            let name = shortened(lane.name(), 26);
            drawing.text(head, svg::TextAnchor::Start, "lane", &name);
            let life = svg::SvgPoint {
                x: x + 14,
                y: head_y + HEAD_HEIGHT,
            };
            drawing.line(
                life,
                svg::SvgPoint {
                    x: x + 14,
                    y: bottom_y,
                },
                LINE_COLOUR,
                2,
            );
        }
    }

    /// Arrows between one request's events on different VMs, and to and from backend servers.
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
        let lifted = svg::SvgPoint {
            x,
            y: here.y.saturating_sub(ROW_HEIGHT / 2),
        };
        let lowered = svg::SvgPoint {
            x,
            y: here.y + ROW_HEIGHT / 2,
        };
        if is_towards_server(&event.kind) {
            drawing.arrow(here, lowered, colour);
        } else {
            drawing.arrow(lifted, here, colour);
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

/// A label right of its dot, on a ground of its own, so that arrows do not run through it.
fn draw_label(drawing: &mut svg::SvgDrawing, x: u32, y: u32, label: &str) {
    let width = u32::try_from(label.chars().count()).unwrap_or(0) * LETTER_WIDTH;
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

/// All lanes, those with most events first.
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

/// Vertical positions: one row each, and up to two rows more where time passed.
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

/// What stands beside an event: what happened and to what.
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
    shortened(&label, LABEL_LETTERS)
}

fn shortened(text: &str, letters: usize) -> String {
    if text.chars().count() <= letters {
        return text.to_owned();
    }
    let mut short: String = text.chars().take(letters - 1).collect();
    short.push('…');
    short
}
