//! Thin front; the work is in the library.

fn main() {}
