//! The core under failure, many members in one process on virtual time.

mod directed;
mod fabric;
mod histories;
