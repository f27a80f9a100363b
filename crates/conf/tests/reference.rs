//! The committed schemas and the operators' page match the types.
//!
//! `POLLENCHUTE_WRITE_REFERENCE=1 cargo test -p conf --test reference` regenerates them.

use std::{env, fs, path};

use conf::reference;

const BEGIN: &str = "<!-- fields: begin (written by the test `reference` of crate conf) -->\n";
const END: &str = "<!-- fields: end -->\n";

fn path_of(file: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(file)
}

fn is_writing() -> bool {
    env::var_os("POLLENCHUTE_WRITE_REFERENCE").is_some()
}

fn assert_current(file: &str, expected: &str) {
    if is_writing() {
        fs::write(path_of(file), expected).expect("docs/ can be written");
    }
    let committed = fs::read_to_string(path_of(file)).unwrap_or_default();
    assert!(
        committed == expected,
        "docs/{file} is out of date; regenerate it as described at the top of this test file"
    );
}

#[test]
fn committed_schemas_are_current() {
    assert_current(
        "schema/inventory.schema.json",
        &reference::inventory_schema(),
    );
    assert_current("schema/rules.schema.json", &reference::rules_schema());
}

#[test]
fn the_page_describes_every_field() {
    let file = "operators/inventory-and-rules.md";
    let page = fs::read_to_string(path_of(file)).expect("the page is committed");
    let (head, rest) = page.split_once(BEGIN).expect("the page has the begin mark");
    let (_, tail) = rest.split_once(END).expect("the page has the end mark");
    assert_current(
        file,
        &format!("{head}{BEGIN}\n{}{END}{tail}", reference::field_tables()),
    );
}
