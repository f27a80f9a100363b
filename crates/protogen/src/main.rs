//! Generates `crates/wire/src/proto/*.rs` from `crates/wire/proto/*.proto`:
//! `cargo run -p protogen`. A test of crate `wire` fails when the generated files are out of date.

use std::{fs, io, path};

fn main() -> io::Result<()> {
    let wire = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    for (file, text) in protogen::generate(&wire.join("proto"))? {
        fs::write(wire.join("src/proto").join(file), text)?;
    }
    Ok(())
}
