//! A time line as JSON lines: first the gaps, then the events, one object per line.

use crate::{event, merge};

/// One line: an event has `kind`, a gap has `gap`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(untagged)]
pub enum TimelineLine {
    /// A gap in the time line.
    Gap(merge::TimelineGap),
    /// A recorded event.
    Event(Box<event::Event>),
}

/// Renders the complete time line as JSON lines.
///
/// # Errors
/// When a line cannot be written as JSON, which no event of this crate causes.
pub fn render(timeline: &merge::MergedTimeline) -> Result<String, serde_json::Error> {
    let mut out = String::new();
    for gap in &timeline.gaps {
        out.push_str(&serde_json::to_string(gap)?);
        out.push('\n');
    }
    for event in &timeline.events {
        out.push_str(&serde_json::to_string(event)?);
        out.push('\n');
    }
    Ok(out)
}

/// Parses the output of [`render`], for instance a saved time line.
///
/// # Errors
/// For the first line that is neither an event nor a gap.
pub fn parse(text: &str) -> Result<merge::MergedTimeline, serde_json::Error> {
    let mut timeline = merge::MergedTimeline::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line)? {
            TimelineLine::Gap(gap) => timeline.gaps.push(gap),
            TimelineLine::Event(event) => timeline.events.push(*event),
        }
    }
    Ok(timeline)
}
