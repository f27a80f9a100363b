//! The kinds of events, one variant each.

use base::{class, fingerprint, outcome, refusal};

use crate::field;

macro_rules! event_kinds {
    ($(
        $(#[$doc:meta])*
        $variant:ident = $name:literal { $( $(#[$field_doc:meta])* $field:ident: $kind:ty, )* }
    )*) => {
        /// Kind of an event with its fields. JSON has the name in `kind` and the fields beside it.
        #[derive(Clone, Debug, PartialEq, Eq)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(tag = "kind")]
        pub enum EventKind {
            $(
                $(#[$doc])*
                #[serde(rename = $name)]
                $variant { $( $(#[$field_doc])* $field: $kind, )* },
            )*
            /// A kind that only a newer version knows; its name and fields are discarded.
            #[serde(other, rename = "unrecognised")]
            Unrecognised,
        }

        impl EventKind {
            /// Names of all kinds, as used in filters and JSON.
            pub const NAMES: &'static [&'static str] = &[$($name),*];

            /// Returns the name used in JSON, text and filters: area, underscore, what happened.
            #[must_use]
            pub const fn name(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $name,)*
                    Self::Unrecognised => "unrecognised",
                }
            }

            /// Returns the heap memory that the fields own, in bytes.
            #[must_use]
            #[allow(unused_variables, reason = "kinds without text have nothing to measure")]
            pub fn heap_bytes(&self) -> usize {
                match self {
                    $(Self::$variant { $($field,)* } => 0 $(+ field::HeapSize::heap_bytes($field))*,)*
                    Self::Unrecognised => 0,
                }
            }

            /// Returns the name and text of each field, in the order of declaration.
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
    /// An entry VM received a request from a caller.
    RequestTaken = "request_taken" {
        /// The organisation that sent it.
        organisation: String,
        /// The requested model or service.
        target: String,
    }
    /// The rules assigned the request a traffic class.
    RequestClassified = "request_classified" {
        /// The class.
        class: class::TrafficClass,
        /// The rule that matched, for instance `rule 2` or `default`.
        reason: String,
    }
    /// The acceptance of a deferred request is committed to the log.
    RequestAccepted = "request_accepted" {
        /// Partition of the stream that holds it.
        partition: u32,
        /// Offset of its record.
        offset: u64,
    }
    /// The request waits in the queue of this entry VM.
    RequestQueued = "request_queued" {
        /// Its class.
        class: class::TrafficClass,
        /// Requests ahead of it in its class.
        ahead: u32,
        /// Why it could not be dispatched at once.
        reason: String,
    }
    /// The request was sent to a backend server.
    RequestDispatched = "request_dispatched" {
        /// The backend server.
        server: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Number of backend servers considered; 0 when not recorded.
        candidates: u32,
        /// Time since the request was received.
        waited_ms: u64,
        /// Why this backend server was selected.
        reason: String,
    }
    /// The first token was sent to the caller.
    RequestFirstToken = "request_first_token" {
        /// The backend server that generated it.
        server: String,
        /// Time since the request was received.
        after_ms: u64,
    }
    /// The complete answer was sent to the caller.
    RequestFinished = "request_finished" {
        /// Tokens relayed, 0 for a plain service.
        tokens: u32,
        /// Time since the request was received.
        after_ms: u64,
        /// Finish reason: `stop`, `length` or an HTTP status.
        finish: String,
    }
    /// The request was refused, or its answer was ended early with an error.
    RequestRefused = "request_refused" {
        /// The code sent to the caller.
        code: refusal::RefusalCode,
        /// Whether it ran, as stated to the caller.
        ran: outcome::RanState,
        /// Delay after which the caller may retry; 0 for no retry.
        retry_after_ms: u64,
        /// Why it was refused.
        reason: String,
    }
    /// An attempt failed and the request is retried.
    RequestRetried = "request_retried" {
        /// The backend server of the failed attempt.
        server: String,
        /// Number of the failed attempt, from 1.
        attempt: u32,
        /// Whether the failed attempt ran.
        ran: outcome::RanState,
        /// How the attempt failed.
        reason: String,
    }
    /// A generation was resumed over a new connection.
    RequestResumed = "request_resumed" {
        /// The backend server that holds the generation.
        server: String,
        /// The first token requested.
        from_token: u32,
        /// Why the earlier connection was abandoned.
        reason: String,
    }
    /// A generation was preempted to free memory; the request is queued again.
    RequestPreempted = "request_preempted" {
        /// The backend server.
        server: String,
        /// Tokens generated before the preemption.
        produced: u32,
        /// Why this generation was selected.
        reason: String,
    }
    /// The request was cancelled.
    RequestCancelled = "request_cancelled" {
        /// Whether it ran.
        ran: outcome::RanState,
        /// Origin of the cancellation.
        reason: String,
    }
    /// This entry VM took over an accepted request from another entry VM.
    RequestTakenOver = "request_taken_over" {
        /// The entry VM that handled it before.
        from_vm: String,
        /// Offset of the claim that decided the takeover.
        offset: u64,
    }
    /// A backend server is suspected to be dead.
    ServerSuspected = "server_suspected" {
        /// The backend server.
        server: String,
        /// The evidence.
        reason: String,
    }
    /// A backend server is considered dead.
    ServerDead = "server_dead" {
        /// The backend server.
        server: String,
        /// The evidence.
        reason: String,
    }
    /// A backend server answers, for the first time or again.
    ServerUp = "server_up" {
        /// The backend server.
        server: String,
        /// The evidence.
        reason: String,
    }
    /// A backend server is leaving and gets no new work.
    ServerLeaving = "server_leaving" {
        /// The backend server.
        server: String,
        /// Source of the information: the server itself, the VM list, an operator or a peer.
        source: String,
    }
    /// A backend server has finished loading a model.
    ServerLoaded = "server_loaded" {
        /// The backend server.
        server: String,
        /// The model.
        model: String,
        /// The version of the model.
        version: String,
    }
    /// An entry VM joined or rejoined.
    MemberUp = "member_up" {
        /// The entry VM.
        member: String,
    }
    /// An entry VM is suspected to be dead.
    MemberSuspect = "member_suspect" {
        /// The entry VM.
        member: String,
        /// The evidence.
        reason: String,
    }
    /// An entry VM is considered dead.
    MemberDead = "member_dead" {
        /// The entry VM.
        member: String,
        /// The evidence.
        reason: String,
    }
    /// An entry VM is leaving.
    MemberLeaving = "member_leaving" {
        /// The entry VM.
        member: String,
        /// Source of the information.
        source: String,
    }
    /// A configuration change was accepted by its order on the log.
    ConfigurationAccepted = "configuration_accepted" {
        /// The revision that the change created.
        revision: u64,
        /// Offset of its record.
        offset: u64,
        /// The operator.
        author: String,
    }
    /// A configuration change was refused by its order on the log.
    ConfigurationRefused = "configuration_refused" {
        /// The revision that the change was based on.
        base_revision: u64,
        /// Offset of its record.
        offset: u64,
        /// The operator.
        author: String,
        /// The conflicting earlier change, or why the change is invalid.
        reason: String,
    }
    /// A configuration revision is in force on this VM.
    ConfigurationInForce = "configuration_in_force" {
        /// The revision.
        revision: u64,
        /// Source of the revision: `log`, `checkpoint` or a peer.
        source: String,
    }
    /// A checkpoint of the configuration was committed to the log.
    CheckpointWritten = "checkpoint_written" {
        /// The revision that the checkpoint contains.
        revision: u64,
        /// Offset of its record.
        offset: u64,
    }
    /// This VM acquired a lease.
    LeaseTaken = "lease_taken" {
        /// The subject of the lease.
        subject: String,
        /// The fencing number of the lease.
        fencing: u64,
    }
    /// This VM no longer holds a lease.
    LeaseLost = "lease_lost" {
        /// The subject of the lease.
        subject: String,
        /// The fencing number of the lease.
        fencing: u64,
        /// How the lease was lost.
        reason: String,
    }
    /// An order was sent to a model engine.
    OrderSent = "order_sent" {
        /// The model engine.
        server: String,
        /// The fencing number in the order; 0 for a server that checks none.
        fencing: u64,
        /// The requested state.
        want: String,
    }
    /// A model engine answered an order, or the order failed.
    OrderAnswered = "order_answered" {
        /// The model engine.
        server: String,
        /// The fencing number of the order.
        fencing: u64,
        /// The answer, or the error.
        answer: String,
    }
    /// A claim on an idempotency key was committed to the log.
    ClaimMade = "claim_made" {
        /// Partition of the stream.
        partition: u32,
        /// Offset of its record.
        offset: u64,
    }
    /// The outcome of a claimed call was determined.
    ClaimSettled = "claim_settled" {
        /// Partition of the stream.
        partition: u32,
        /// Whether the call ran.
        ran: outcome::RanState,
        /// How the outcome was determined.
        reason: String,
    }
    /// Content is suspected of crashing backend servers.
    QuarantineSuspected = "quarantine_suspected" {
        /// Fingerprint of the content.
        fingerprint: fingerprint::ContentHash,
        /// Number of server failures while the content was being processed.
        deaths: u32,
    }
    /// Content is quarantined: requests with it are refused.
    QuarantineAdded = "quarantine_added" {
        /// Fingerprint of the content.
        fingerprint: fingerprint::ContentHash,
        /// The failures attributed to the content.
        reason: String,
    }
    /// Content is no longer refused.
    QuarantineLifted = "quarantine_lifted" {
        /// Fingerprint of the content.
        fingerprint: fingerprint::ContentHash,
        /// An operator's name, or `expired`.
        reason: String,
    }
    /// The log does not answer.
    LogDown = "log_down" {
        /// The stream.
        stream: String,
        /// The evidence.
        reason: String,
    }
    /// The log answers again.
    LogUp = "log_up" {
        /// The stream.
        stream: String,
        /// How long the log did not answer.
        down_ms: u64,
    }
    /// An order waits for the weight store.
    WeightsWaiting = "weights_waiting" {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// Retry delay given by the weight store.
        retry_after_ms: u64,
    }
    /// Draining started: the entry VM or backend server gets no new work.
    DrainStarted = "drain_started" {
        /// The entry VM or backend server.
        subject: String,
        /// Origin of the drain request.
        source: String,
    }
    /// Draining finished: the entry VM or backend server has no running work.
    DrainFinished = "drain_finished" {
        /// The entry VM or backend server.
        subject: String,
        /// Duration of the drain.
        after_ms: u64,
    }
    /// This process started.
    ProcessStarted = "process_started" {
        /// Version of the program.
        version: String,
    }
    /// This process was requested to stop.
    ProcessStopping = "process_stopping" {
        /// Source of the request.
        reason: String,
    }
    /// A peer's clock is ahead by more than the maximum drift: the order of its events is
    /// uncertain.
    ClockAhead = "clock_ahead" {
        /// The entry VM whose clock is ahead.
        member: String,
        /// Milliseconds by which the clock is ahead.
        ahead_ms: u64,
    }
}

impl EventKind {
    /// Returns the backend server that the event concerns, if any.
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
