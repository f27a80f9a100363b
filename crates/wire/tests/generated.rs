//! The committed code is what the `.proto` files give.

use std::{fs, path};

#[test]
fn committed_code_is_current() {
    // Symptom: a field is in the `.proto` file but not on the wire.
    // Sequence: the `.proto` file was changed and the generator was not run.
    // Cause: generated code is committed.
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
