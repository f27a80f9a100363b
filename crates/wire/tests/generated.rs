//! Tests that the committed code matches the `.proto` files.

use std::{fs, path};

#[test]
fn committed_code_is_current() {
    // Guards against a field that is in the `.proto` file but not on the wire: generated code is
    // committed, so a change without running the generator goes unnoticed.
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let texts = protogen::generate(&root.join("proto")).expect("the .proto files compile");
    assert_eq!(texts.len(), protogen::PACKAGES.len());
    for (file, text) in texts {
        let committed = fs::read_to_string(root.join("src/proto").join(&file)).unwrap_or_default();
        assert!(
            committed == text,
            "src/proto/{file} is not current; run `cargo run -p protogen`"
        );
    }
}
