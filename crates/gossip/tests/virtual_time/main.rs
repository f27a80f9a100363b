//! Tests of the membership core under faults: many members in one process, on virtual time.

mod cluster;
mod directed;
mod histories;
