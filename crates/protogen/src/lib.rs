//! Generates Rust code from `.proto` files without a `protoc` installation.

use std::{collections, io, path};

/// Protocol buffer packages, each in a `.proto` file of the same name.
pub const PACKAGES: [&str; 3] = ["envelope", "gossip", "peer"];

/// Generates the Rust files, by name, from the `.proto` files in the directory `proto`.
///
/// # Errors
/// When a file cannot be read or is not valid.
pub fn generate(proto: &path::Path) -> io::Result<collections::BTreeMap<String, String>> {
    let mut texts = collections::BTreeMap::new();
    for package in PACKAGES {
        let descriptors =
            protox::compile([format!("{package}.proto")], [proto]).map_err(io::Error::other)?;
        let requests = descriptors
            .file
            .into_iter()
            .map(|file| {
                (
                    prost_build::Module::from_protobuf_package_name(file.package()),
                    file,
                )
            })
            .collect();
        for text in prost_build::Config::new().generate(requests)?.into_values() {
            texts.insert(format!("{package}.rs"), text);
        }
    }
    Ok(texts)
}
