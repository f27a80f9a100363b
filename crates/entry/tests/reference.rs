//! Checks that the committed schema, the operators' page and the example settings match the type.
//!
//! `POLLENCHUTE_WRITE_REFERENCE=1 cargo test -p entry --test reference` regenerates the first two.

use std::{env, fs, path};

use conf::reference;
use entry::{daemon, settings};

const BEGIN: &str = "<!-- fields: begin (written by the test `reference` of crate entry) -->\n";
const END: &str = "<!-- fields: end -->\n";

fn path_of(file: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(file)
}

fn assert_current(file: &str, wanted: &str) {
    if env::var_os("POLLENCHUTE_WRITE_REFERENCE").is_some() {
        fs::write(path_of(file), wanted).expect("docs/ can be written");
    }
    let committed = fs::read_to_string(path_of(file)).unwrap_or_default();
    assert!(
        committed == wanted,
        "{file} is not current; see the head of this test file"
    );
}

#[test]
fn the_committed_schema_is_current() {
    let schema = reference::settings_schema::<settings::DaemonSettings>();
    assert_current("docs/schema/daemon.schema.json", &schema);
}

#[test]
fn the_page_describes_every_field() {
    let file = "docs/operators/settings.md";
    let page = fs::read_to_string(path_of(file)).expect("the page is committed");
    let (head, rest) = page.split_once(BEGIN).expect("the page has the begin mark");
    let (_, tail) = rest.split_once(END).expect("the page has the end mark");
    let tables = reference::settings_tables::<settings::DaemonSettings>("pollenchuted");
    assert_current(file, &format!("{head}{BEGIN}\n{tables}{END}{tail}"));
}

#[test]
fn the_example_settings_are_accepted() {
    for vm in ["entry-1", "entry-2", "entry-3"] {
        let file = format!("examples/pass-works/{vm}.jsonc");
        let text = fs::read_to_string(path_of(&file)).expect("the example is committed");
        let settings: settings::DaemonSettings =
            conf::settings::parse(&file, &text).expect("the example is valid");
        daemon::check(&settings).expect("its keys can be used");
        assert_eq!(settings.vm, vm);
    }
}

#[test]
fn a_wrong_setting_is_reported_with_its_line_and_a_remedy() {
    let text = "{\n  \"vm\": \"entry-1\",\n  \"regoin\": \"hcmc\",\n}";
    let faults = conf::settings::parse::<settings::DaemonSettings>("entry.jsonc", text)
        .expect_err("the settings are wrong");
    let message = faults.to_string();
    assert!(message.contains("entry.jsonc:3:"), "{message}");
    assert!(message.contains("region"), "{message}");
}
