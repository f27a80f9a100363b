//! What can happen: one variant for each kind of event.

use base::{class, fingerprint, outcome, refusal};

use crate::field;

macro_rules! event_kinds {
    ($(
        $(#[$doc:meta])*
        $variant:ident = $name:literal { $( $(#[$field_doc:meta])* $field:ident: $kind:ty, )* }
    )*) => {
        /// What happened. JSON carries the name in `kind` and the fields beside it.
        #[derive(Clone, Debug, PartialEq, Eq)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(tag = "kind")]
        pub enum EventKind {
            $(
                $(#[$doc])*
                #[serde(rename = $name)]
                $variant { $( $(#[$field_doc])* $field: $kind, )* },
            )*
            /// A kind that a newer version records; its name and fields are not kept.
            #[serde(other, rename = "unrecognised")]
            Unrecognised,
        }

        impl EventKind {
            /// Names of all kinds, as filters and JSON write them.
            pub const NAMES: &'static [&'static str] = &[$($name),*];

            /// The name used in JSON, text and filters: area, underscore, what.
            #[must_use]
            pub const fn name(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $name,)*
                    Self::Unrecognised => "unrecognised",
                }
            }

            /// Bytes that the event holds outside itself.
            #[must_use]
            #[allow(unused_variables, reason = "kinds without text have nothing to measure")]
            pub fn heap_bytes(&self) -> usize {
                match self {
                    $(Self::$variant { $($field,)* } => 0 $(+ field::HeapSize::heap_bytes($field))*,)*
                    Self::Unrecognised => 0,
                }
            }

            /// Each field's name and its value as text, in the order of declaration.
            #[must_use]
            pub fn fields(&self) -> Vec<(&'static str, String)> {
                match self {
                    $(Self::$variant { $($field,)* } => vec![
                        $((stringify!($field), field::FieldText::field_text($field)),)*
                    ],)*
                    Self::Unrecognised => Vec::new(),
                }
            }
        }
    };
}

event_kinds! {
    /// An entry VM took a request from a caller.
    RequestTaken = "request_taken" {
        /// Who sent it.
        organisation: String,
        /// The model or service that it asks for.
        target: String,
    }
    /// Rules gave it a class.
    RequestClassified = "request_classified" {
        /// The class.
        class: class::TrafficClass,
        /// What decided it, for instance `rule 2` or `default`.
        reason: String,
    }
    /// The promise to do it is on the log.
    RequestAccepted = "request_accepted" {
        /// Partition of the stream that holds it.
        partition: u32,
        /// Offset of its record.
        offset: u64,
    }
    /// It waits here.
    RequestQueued = "request_queued" {
        /// Its class.
        class: class::TrafficClass,
        /// Requests before it in its class.
        ahead: u32,
        /// Why nothing could take it at once.
        reason: String,
    }
    /// It was sent to a backend server.
    RequestDispatched = "request_dispatched" {
        /// The backend server.
        server: String,
        /// Number of the try, from 1.
        attempt: u32,
        /// Backend servers that were weighed; 0 when that is not recorded.
        candidates: u32,
        /// Time since the request was taken.
        waited_ms: u64,
        /// Why this one.
        reason: String,
    }
    /// The first token left for the caller.
    RequestFirstToken = "request_first_token" {
        /// The backend server that made it.
        server: String,
        /// Time since the request was taken.
        after_ms: u64,
    }
    /// The whole answer left for the caller.
    RequestFinished = "request_finished" {
        /// Tokens relayed, 0 for a plain service.
        tokens: u32,
        /// Time since the request was taken.
        after_ms: u64,
        /// How it ended: `stop`, `length` or an HTTP status.
        finish: String,
    }
    /// The caller was refused, or told that the rest is not coming.
    RequestRefused = "request_refused" {
        /// What it was told.
        code: refusal::RefusalCode,
        /// What it was promised.
        ran: outcome::RanState,
        /// When it was told to come back; 0 for never.
        retry_after_ms: u64,
        /// Why.
        reason: String,
    }
    /// A try failed and another is made.
    RequestRetried = "request_retried" {
        /// The backend server of the failed try.
        server: String,
        /// Number of the failed try, from 1.
        attempt: u32,
        /// Whether the failed try ran.
        ran: outcome::RanState,
        /// How it failed.
        reason: String,
    }
    /// A generation was continued over a fresh connection.
    RequestResumed = "request_resumed" {
        /// The backend server that holds the generation.
        server: String,
        /// The first token asked for.
        from_token: u32,
        /// Why the earlier connection was given up.
        reason: String,
    }
    /// A generation was stopped to make room; the request waits again.
    RequestPreempted = "request_preempted" {
        /// The backend server.
        server: String,
        /// Tokens made until then.
        produced: u32,
        /// Why this one was chosen.
        reason: String,
    }
    /// The request was called off.
    RequestCancelled = "request_cancelled" {
        /// Whether it ran.
        ran: outcome::RanState,
        /// Who called it off.
        reason: String,
    }
    /// Another entry VM continues accepted work.
    RequestTakenOver = "request_taken_over" {
        /// The entry VM that had it.
        from_vm: String,
        /// Offset of the claim that settled it.
        offset: u64,
    }
    /// A backend server may be dead.
    ServerSuspected = "server_suspected" {
        /// The backend server.
        server: String,
        /// What was seen.
        reason: String,
    }
    /// A backend server is taken to be dead.
    ServerDead = "server_dead" {
        /// The backend server.
        server: String,
        /// What was seen.
        reason: String,
    }
    /// A backend server answers, for the first time or again.
    ServerUp = "server_up" {
        /// The backend server.
        server: String,
        /// What was seen.
        reason: String,
    }
    /// A backend server is leaving and gets no new work.
    ServerLeaving = "server_leaving" {
        /// The backend server.
        server: String,
        /// Who said so: itself, the VM list, an operator, a peer.
        source: String,
    }
    /// A backend server has a model ready.
    ServerLoaded = "server_loaded" {
        /// The backend server.
        server: String,
        /// The model.
        model: String,
        /// Its version.
        version: String,
    }
    /// An entry VM joined or came back.
    MemberUp = "member_up" {
        /// The entry VM.
        member: String,
    }
    /// An entry VM may be dead.
    MemberSuspect = "member_suspect" {
        /// The entry VM.
        member: String,
        /// What was seen.
        reason: String,
    }
    /// An entry VM is taken to be dead.
    MemberDead = "member_dead" {
        /// The entry VM.
        member: String,
        /// What was seen.
        reason: String,
    }
    /// An entry VM is leaving.
    MemberLeaving = "member_leaving" {
        /// The entry VM.
        member: String,
        /// Who said so.
        source: String,
    }
    /// The log decided that a change stands.
    ConfigurationAccepted = "configuration_accepted" {
        /// The revision that it made.
        revision: u64,
        /// Offset of its record.
        offset: u64,
        /// The operator.
        author: String,
    }
    /// The log decided that a change does not stand.
    ConfigurationRefused = "configuration_refused" {
        /// The revision that it was made against.
        base_revision: u64,
        /// Offset of its record.
        offset: u64,
        /// The operator.
        author: String,
        /// Which other change was first, or what is wrong with it.
        reason: String,
    }
    /// This VM acts by a revision.
    ConfigurationInForce = "configuration_in_force" {
        /// The revision.
        revision: u64,
        /// Where it came from: `log`, `checkpoint` or a peer.
        source: String,
    }
    /// A checkpoint of the configuration is on the log.
    CheckpointWritten = "checkpoint_written" {
        /// The revision that it holds.
        revision: u64,
        /// Offset of its record.
        offset: u64,
    }
    /// This VM holds a lease.
    LeaseTaken = "lease_taken" {
        /// What it is on.
        subject: String,
        /// Its fencing number.
        fencing: u64,
    }
    /// This VM no longer holds a lease.
    LeaseLost = "lease_lost" {
        /// What it was on.
        subject: String,
        /// Its fencing number.
        fencing: u64,
        /// How it was lost.
        reason: String,
    }
    /// An order went to a model engine.
    OrderSent = "order_sent" {
        /// The model engine.
        server: String,
        /// The fencing number that it carries; 0 for a server that checks none.
        fencing: u64,
        /// What is wanted.
        want: String,
    }
    /// A model engine answered an order, or did not.
    OrderAnswered = "order_answered" {
        /// The model engine.
        server: String,
        /// The fencing number of the order.
        fencing: u64,
        /// The answer, or what came in place of one.
        answer: String,
    }
    /// A claim on an idempotency key is on the log.
    ClaimMade = "claim_made" {
        /// Partition of the stream.
        partition: u32,
        /// Offset of its record.
        offset: u64,
    }
    /// The outcome of a claimed call is known.
    ClaimSettled = "claim_settled" {
        /// Partition of the stream.
        partition: u32,
        /// Whether the call ran.
        ran: outcome::RanState,
        /// What decided it.
        reason: String,
    }
    /// Content is suspected of crashing backend servers.
    QuarantineSuspected = "quarantine_suspected" {
        /// Its fingerprint.
        fingerprint: fingerprint::ContentHash,
        /// Deaths at which it was there.
        deaths: u32,
    }
    /// Content is refused.
    QuarantineAdded = "quarantine_added" {
        /// Its fingerprint.
        fingerprint: fingerprint::ContentHash,
        /// What it did.
        reason: String,
    }
    /// Content is no longer refused.
    QuarantineLifted = "quarantine_lifted" {
        /// Its fingerprint.
        fingerprint: fingerprint::ContentHash,
        /// An operator's name, or `expired`.
        reason: String,
    }
    /// The log does not answer.
    LogDown = "log_down" {
        /// The stream.
        stream: String,
        /// What was seen.
        reason: String,
    }
    /// The log answers again.
    LogUp = "log_up" {
        /// The stream.
        stream: String,
        /// How long it did not.
        down_ms: u64,
    }
    /// The weight store holds an order up.
    WeightsWaiting = "weights_waiting" {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// When it says to come back.
        retry_after_ms: u64,
    }
    /// Something takes no new work from here on.
    DrainStarted = "drain_started" {
        /// The entry VM or backend server.
        subject: String,
        /// Who asked for it.
        source: String,
    }
    /// Nothing runs there any more.
    DrainFinished = "drain_finished" {
        /// The entry VM or backend server.
        subject: String,
        /// How long it took.
        after_ms: u64,
    }
    /// This process began.
    ProcessStarted = "process_started" {
        /// Version of the program.
        version: String,
    }
    /// This process was told to end.
    ProcessStopping = "process_stopping" {
        /// Who told it.
        reason: String,
    }
    /// A peer's clock is too far ahead to follow: order against it is uncertain.
    ClockAhead = "clock_ahead" {
        /// The entry VM with that clock.
        member: String,
        /// How far ahead.
        ahead_ms: u64,
    }
}

impl EventKind {
    /// The backend server that the event is about.
    #[must_use]
    pub fn server(&self) -> Option<&str> {
        match self {
            Self::RequestDispatched { server, .. }
            | Self::RequestFirstToken { server, .. }
            | Self::RequestRetried { server, .. }
            | Self::RequestResumed { server, .. }
            | Self::RequestPreempted { server, .. }
            | Self::ServerSuspected { server, .. }
            | Self::ServerDead { server, .. }
            | Self::ServerUp { server, .. }
            | Self::ServerLeaving { server, .. }
            | Self::ServerLoaded { server, .. }
            | Self::OrderSent { server, .. }
            | Self::OrderAnswered { server, .. } => Some(server),
            _ => None,
        }
    }
}
