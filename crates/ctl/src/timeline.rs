//! Fetching time lines from every entry VM, merging and writing them.

use std::{collections, fs};

use base::{id, ops};
use futures_util::StreamExt as _;
use snafu::{OptionExt as _, ResultExt as _};
use trace::{event, explain, lines, merge, moment, picture, query, text};

use crate::{args, client, error};

/// Maximum number of concurrent calls to entry VMs.
const MAX_CONCURRENT_CALLS: usize = 32;
/// Maximum number of events requested from all VMs together when no limit is given. An operator's
/// machine holds this many easily, and it is more than anybody reads.
const DEFAULT_MAX_EVENTS: usize = 100_000;

/// Runs `pollenctl timeline`.
///
/// # Errors
/// When the filter is invalid, no entry VM answers, or the output cannot be written.
pub async fn timeline(
    args: &args::TimelineArgs,
    client: &client::OpsClient,
    now_ms: u64,
) -> Result<error::CommandOutput, error::CtlError> {
    let filter = TimelineFilter::of(args, now_ms)?;
    write_output(&fetch(&filter, client).await?, args)
}

/// Runs `pollenctl timeline --from`, which reads a saved time line.
///
/// # Errors
/// When the filter is invalid, or a file cannot be read or written.
pub fn saved_timeline(
    args: &args::TimelineArgs,
    now_ms: u64,
) -> Result<error::CommandOutput, error::CtlError> {
    let query = TimelineFilter::of(args, now_ms)?.query()?;
    let mut timeline = read_saved(args.from.as_deref().unwrap_or_default())?;
    timeline
        .events
        .retain(|event| query.matches(event.stamp, event.request, &event.kind));
    write_output(&timeline, args)
}

/// Runs `pollenctl explain`.
///
/// # Errors
/// When no entry VM answers, or no event of the request is retained.
pub async fn explain(
    args: &args::ExplainArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let own = TimelineFilter {
        request: Some(args.request.clone()),
        ..TimelineFilter::default()
    };
    let own = fetch(&own, client).await?;
    let request = single_request(&own, &args.request)?;
    let servers = TimelineFilter {
        since_ms: own.events.first().map(|event| event.stamp.wall_ms()),
        kind: Some("server,clock".to_owned()),
        ..TimelineFilter::default()
    };
    let context = fetch(&servers, client).await?;
    render_explanation(&merge_timelines(own, context), request)
}

/// Runs `pollenctl explain --from`, which reads a saved time line.
///
/// # Errors
/// When the file cannot be read, or has no event of the request.
pub fn saved_explain(args: &args::ExplainArgs) -> Result<error::CommandOutput, error::CtlError> {
    let filter = TimelineFilter {
        request: Some(args.request.clone()),
        ..TimelineFilter::default()
    };
    let query = filter.query()?;
    let timeline = read_saved(args.from.as_deref().unwrap_or_default())?;
    let mut own = timeline.clone();
    own.events
        .retain(|event| query.matches(event.stamp, event.request, &event.kind));
    let request = single_request(&own, &args.request)?;
    render_explanation(&timeline, request)
}

fn render_explanation(
    timeline: &merge::MergedTimeline,
    request: id::RequestId,
) -> Result<error::CommandOutput, error::CtlError> {
    let text = explain::explain(timeline, request);
    let text = text.with_context(|| not_found(&request.to_string()))?;
    Ok(error::CommandOutput::success(text))
}

fn write_output(
    timeline: &merge::MergedTimeline,
    args: &args::TimelineArgs,
) -> Result<error::CommandOutput, error::CtlError> {
    let shown = match args.format {
        args::OutputFormat::Text => text::render(timeline),
        args::OutputFormat::Jsonl => {
            lines::render(timeline).context(error::JsonSnafu { what: "the events" })?
        }
        args::OutputFormat::Svg => picture::render(timeline),
    };
    let Some(file) = &args.output else {
        return Ok(error::CommandOutput::success(shown));
    };
    fs::write(file, shown).context(error::WriteFileSnafu { file })?;
    let count = error::count_text(timeline.events.len(), "event");
    Ok(error::CommandOutput::success(format!("{file}: {count}\n")))
}

fn read_saved(file: &str) -> Result<merge::MergedTimeline, error::CtlError> {
    let saved = fs::read_to_string(file).context(error::ReadFileSnafu { file })?;
    lines::parse(&saved).with_context(|_| error::JsonSnafu {
        what: format!("the saved time line {file}"),
    })
}

/// Filter of the events to fetch.
#[derive(Clone, Debug, Default)]
pub struct TimelineFilter {
    /// Prefix of a request id.
    pub request: Option<String>,
    /// Earliest time, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Kinds or areas, separated by commas.
    pub kind: Option<String>,
    /// Maximum number of events per VM.
    pub limit: Option<usize>,
}

impl TimelineFilter {
    fn of(args: &args::TimelineArgs, now_ms: u64) -> Result<Self, error::CtlError> {
        let since = args.since.as_deref();
        Ok(Self {
            request: args.request.clone(),
            since_ms: since.map(|text| parse_since(text, now_ms)).transpose()?,
            kind: args.kind.clone(),
            limit: args.limit,
        })
    }

    fn query(&self) -> Result<query::EventQuery, error::CtlError> {
        let (request, kind) = (self.request.as_deref(), self.kind.as_deref());
        let query = query::EventQuery::from_parts(request, self.since_ms, kind, self.limit);
        query.map_err(|error| error::CtlError::Usage {
            message: error.to_string(),
        })
    }

    /// Builds the request path; every part is validated first, so that nothing needs escaping.
    fn path(&self, limit: usize) -> Result<String, error::CtlError> {
        let query = self.query()?;
        let mut parts = Vec::new();
        parts.extend(self.since_ms.map(|since_ms| format!("since_ms={since_ms}")));
        parts.extend(
            self.request
                .as_ref()
                .map(|request| format!("request={request}")),
        );
        if !query.kinds.is_empty() {
            let kinds: Vec<&str> = query.kinds.iter().map(query::KindFilter::name).collect();
            parts.push(format!("kind={}", kinds.join(",")));
        }
        parts.push(format!("limit={}", limit.min(query::MAX_LIMIT)));
        Ok(format!("/ops/timeline?{}", parts.join("&")))
    }
}

/// Fetches and merges the retained events of all entry VMs; VMs that do not answer become gaps.
///
/// # Errors
/// When the filter is invalid, or no entry VM answers.
pub async fn fetch(
    filter: &TimelineFilter,
    client: &client::OpsClient,
) -> Result<merge::MergedTimeline, error::CtlError> {
    let status: ops::StatusBody = client.get("/ops/status?only=members").await?;
    let members = status
        .members
        .iter()
        .map(|it| (it.vm.clone(), it.address.clone()));
    let mut targets: collections::BTreeMap<String, String> = members.collect();
    if targets.is_empty() {
        let entries = client
            .entries()
            .iter()
            .map(|it| (it.to_string(), it.to_string()));
        targets.extend(entries);
    }
    let limit_per_vm = DEFAULT_MAX_EVENTS / targets.len().max(1);
    let path = filter.path(filter.limit.unwrap_or(limit_per_vm))?;
    let calls = targets.into_iter().map(|(vm, address)| {
        let path = &path;
        async move { (vm, fetch_one(&address, path, client).await) }
    });
    let answers: Vec<_> = futures_util::stream::iter(calls)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect()
        .await;
    let (mut bodies, mut silent) = (Vec::new(), Vec::new());
    for (vm, answer) in answers {
        match answer {
            Ok(body) => bodies.push(body),
            Err(reason) => silent.push(merge::TimelineGap::Silent { vm, reason }),
        }
    }
    silent.sort_by_key(text::gap_text);
    let mut timeline = merge::merge(bodies, filter.since_ms);
    timeline.gaps.extend(silent);
    Ok(timeline)
}

async fn fetch_one(
    address: &str,
    path: &str,
    client: &client::OpsClient,
) -> Result<ops::TimelineBody<event::Event>, String> {
    let answer = client
        .call(address, path, None)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status != 200 {
        return Err(format!("{} {}", answer.status, answer.message()));
    }
    answer.parse().map_err(|error| error.to_string())
}

/// Parses `30s`, `10m`, `2h` or `1d` before now, a UTC timestamp or unix milliseconds.
fn parse_since(text: &str, now_ms: u64) -> Result<u64, error::CtlError> {
    let span = |letter, unit_ms: u64| {
        let number: u64 = text.strip_suffix(letter)?.parse().ok()?;
        Some(now_ms.saturating_sub(number.checked_mul(unit_ms)?))
    };
    let moment = span('s', 1_000)
        .or_else(|| span('m', 60_000))
        .or_else(|| span('h', 3_600_000))
        .or_else(|| span('d', 86_400_000))
        .or_else(|| moment::parse_full(text))
        .or_else(|| text.parse().ok());
    moment.with_context(|| error::UsageSnafu {
        message: format!(
            "--since {text:?} is no time; write 30s, 10m, 2h, 2026-03-04T12:00:00Z or unix \
             milliseconds"
        ),
    })
}

/// Returns the request of the time line, which must have events of exactly one.
fn single_request(
    timeline: &merge::MergedTimeline,
    digits: &str,
) -> Result<id::RequestId, error::CtlError> {
    let requests = timeline.events.iter().filter_map(|event| event.request);
    let requests: collections::BTreeSet<id::RequestId> = requests.collect();
    match requests.len() {
        0 => not_found(digits).fail(),
        1 => requests
            .into_iter()
            .next()
            .with_context(|| not_found(digits)),
        count => {
            let message = format!("{count} requests begin with {digits:?}; give more digits");
            error::NotFoundSnafu { message }.fail()
        }
    }
}

fn not_found(digits: &str) -> error::NotFoundSnafu<String> {
    let message = format!(
        "no entry VM keeps an event of request {digits:?}; rings are bounded and end with their \
         process, so run this soon after the request, and check the id (response header \
         x-request-id)"
    );
    error::NotFoundSnafu { message }
}

/// Merges two time lines in order, without duplicates.
fn merge_timelines(
    own: merge::MergedTimeline,
    context: merge::MergedTimeline,
) -> merge::MergedTimeline {
    let mut events = own.events;
    events.extend(context.events);
    events.sort_by(|left, right| {
        (left.stamp, &left.vm, left.seq).cmp(&(right.stamp, &right.vm, right.seq))
    });
    events.dedup();
    let mut gaps = own.gaps;
    gaps.extend(context.gaps);
    gaps.dedup();
    merge::MergedTimeline { events, gaps }
}
