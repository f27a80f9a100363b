//! The documentation matches the sources: metrics, commands, kinds of events and links.

use std::{collections, fs, path};

use trace::kind;

const PREFIX: &str = "\"pollenchute_";

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files(directory: &path::Path, ending: &str, found: &mut Vec<path::PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for entry in entries {
        let file = entry.unwrap().path();
        if file.is_dir() {
            files(&file, ending, found);
        } else if file.to_string_lossy().ends_with(ending) {
            found.push(file);
        }
    }
    found.sort();
}

fn pages() -> Vec<path::PathBuf> {
    let mut pages = Vec::new();
    files(&root().join("docs"), ".md", &mut pages);
    pages.push(root().join("README.md"));
    pages
}

/// Returns the names of the metrics in the sources, with the macro that records each.
fn source_metrics() -> collections::BTreeMap<String, String> {
    let mut metrics = collections::BTreeMap::new();
    let crates = fs::read_dir(root().join("crates")).unwrap();
    let folders = crates.map(|entry| entry.unwrap().path());
    for folder in folders.chain([root().join("platform")]) {
        let mut sources = Vec::new();
        files(&folder.join("src"), ".rs", &mut sources);
        for source in sources {
            let text = fs::read_to_string(&source).unwrap();
            for (start, _) in text.match_indices(PREFIX) {
                let rest = &text[start + 1..];
                let name = &rest[..rest.find('"').unwrap()];
                let before = text[..start].trim_end().trim_end_matches('(');
                let kind = before.rsplit(|letter: char| !letter.is_alphanumeric() && letter != '!');
                let kind = kind
                    .into_iter()
                    .next()
                    .unwrap_or_default()
                    .trim_end_matches('!');
                let is_metric = ["counter", "gauge", "histogram"].contains(&kind);
                assert!(
                    is_metric,
                    "{}: {name} is used outside a metric macro",
                    source.display()
                );
                metrics.insert(name.to_owned(), kind.to_owned());
            }
        }
    }
    metrics
}

#[test]
fn every_metric_is_documented_with_its_kind() {
    let page = fs::read_to_string(root().join("docs/METRICS.md")).unwrap();
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| `pollenchute_"));
    let mut listed = collections::BTreeMap::new();
    for row in rows {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        assert!(
            cells.len() == 7 && cells[1..6].iter().all(|cell| !cell.is_empty()),
            "{row}"
        );
        let name = cells[1].trim_matches('`').to_owned();
        assert!(
            listed.insert(name, cells[2].to_owned()).is_none(),
            "documented twice: {row}"
        );
    }
    assert_eq!(
        listed,
        source_metrics(),
        "left: docs/METRICS.md, right: the sources"
    );
    for (name, kind) in listed {
        assert_eq!(
            name.ends_with("_total"),
            kind == "counter",
            "{name} is a {kind}"
        );
    }
}

#[test]
fn pages_name_only_existing_metrics() {
    let metrics = source_metrics();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for (start, _) in text.match_indices("`pollenchute_") {
            let rest = &text[start + 1..];
            let name = &rest[..rest.find(['`', '{']).unwrap()];
            let is_pattern = name.contains(['<', '*']);
            let known = is_pattern || metrics.contains_key(name);
            assert!(known, "{}: {name}", page.display());
        }
    }
}

#[test]
fn commands_on_the_pages_parse() {
    let mut seen = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let shell = text
            .split("```sh\n")
            .skip(1)
            .map(|rest| rest.split("```").next().unwrap());
        let inline = text
            .split('`')
            .filter(|part| part.starts_with("pollenctl "));
        for line in shell.flat_map(str::lines).chain(inline) {
            let Some(command) = line.trim().strip_prefix("pollenctl ") else {
                continue;
            };
            if command.contains(['…', '<']) {
                continue;
            }
            let words = words(command);
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            let is_name = matches!(words[..], ["publish" | "diff" | "explain" | "rollback"]);
            let refused = ctl::args::parse(&words).err();
            let refused = refused.filter(|output| !output.error_text.is_empty() && !is_name);
            assert!(refused.is_none(), "{}: {line}: {refused:?}", page.display());
            seen += 1;
        }
    }
    assert!(seen > 30, "{seen}");
}

/// Splits a line into words as a shell does, with quotes, placeholders, comments and redirections.
fn words(command: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in command.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
            continue;
        }
        let plain = part.split([' ', '\n']).filter(|word| !word.is_empty());
        let end = |word: &&str| !word.starts_with(['#', '>']);
        let placeholder = |word: &str| {
            if word == "ADDRESS" {
                "192.0.2.7:8000"
            } else {
                word
            }
            .to_owned()
        };
        let count = plain.clone().count();
        words.extend(plain.take_while(end).map(placeholder));
        if part.contains(['#', '>']) && count > 0 {
            break;
        }
    }
    words
}

#[test]
fn every_kind_of_event_is_documented() {
    let page = fs::read_to_string(root().join("docs/operators/timeline.md")).unwrap();
    let table = page.split("## Kinds").nth(1).unwrap();
    for name in kind::EventKind::NAMES {
        let (area, what) = name.split_once('_').unwrap();
        let is_row = |line: &&str| {
            line.split('|')
                .nth(1)
                .is_some_and(|cell| cell.contains(area))
        };
        let row = table
            .lines()
            .find(is_row)
            .unwrap_or_else(|| panic!("no row for {area}"));
        let has = |word: &str| word == what || word == *name;
        let words = row.split(|letter: char| !letter.is_alphanumeric() && letter != '_');
        assert!(words.into_iter().any(has), "{name} is missing in {row}");
    }
}

#[test]
fn links_between_pages_resolve() {
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in text
            .split("](")
            .skip(1)
            .map(|rest| rest.split(')').next().unwrap())
        {
            if link.contains("://") {
                continue;
            }
            let (file, anchor) = link.split_once('#').unwrap_or((link, ""));
            let target = if file.is_empty() {
                page.clone()
            } else {
                page.with_file_name(file)
            };
            assert!(target.exists(), "{}: {link}", page.display());
            if !anchor.is_empty() {
                let target = fs::read_to_string(target).unwrap();
                let mut headings = target.lines().filter_map(|line| line.strip_prefix('#'));
                assert!(
                    headings.any(|line| slug(line) == anchor),
                    "{}: {link}",
                    page.display()
                );
            }
        }
    }
}

/// Returns the anchor of a heading, as code hosts generate it.
fn slug(heading: &str) -> String {
    let heading = heading.trim_start_matches('#').trim().to_lowercase();
    let letters = heading
        .chars()
        .filter(|letter| letter.is_alphanumeric() || " -_".contains(*letter));
    letters
        .map(|letter| if letter == ' ' { '-' } else { letter })
        .collect()
}

#[tokio::test]
async fn example_settings_and_files_are_valid() {
    let environment = ctl::settings::CallEnvironment {
        operator_key: Some("key".to_owned()),
        ..ctl::settings::CallEnvironment::default()
    };
    for example in ["pass-works", "ridebook"] {
        let file = |name: &str| {
            root()
                .join("examples")
                .join(example)
                .join(name)
                .display()
                .to_string()
        };
        let (settings, inventory, rules) = (
            file("pollenctl.jsonc"),
            file("inventory.jsonc"),
            file("rules.jsonc"),
        );
        for words in [
            vec!["--config", &settings, "--check"],
            vec!["check", &inventory, &rules],
        ] {
            let output = ctl::command::run(ctl::args::parse(&words).unwrap(), &environment).await;
            assert_eq!(
                output.status,
                ctl::error::ExitStatus::Success,
                "{words:?}: {output:?}"
            );
        }
    }
}

#[test]
fn capacity_table_on_the_page_is_current() {
    let text = fs::read_to_string(root().join("docs/capacity.jsonc")).unwrap();
    let file: ctl::capacity::CapacityFile =
        conf::settings::parse("docs/capacity.jsonc", &text).unwrap();
    let page = fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap();
    let table = ctl::capacity::table(&file);
    assert!(
        page.contains(&table),
        "docs/CAPACITY.md is outdated, copy the output of pollenctl capacity:\n{table}"
    );
}
