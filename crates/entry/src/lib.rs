//! The entry daemon: HTTP faces, controllers and the wiring of the other crates.
