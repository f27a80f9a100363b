//! Changes of the configuration, as operators publish them.

use base::id;

use crate::{document, part};

/// One change, made against one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Drawn once by the writer: the same change appended twice counts once.
    pub id: id::RecordId,
    /// The revision that the author saw; a change against another revision is refused.
    pub base_revision: u64,
    /// The operator.
    pub author: String,
    /// Why, in the operator's words.
    #[serde(default)]
    pub comment: String,
    /// Difference to the base as a JSON merge patch (RFC 7396).
    pub patch: serde_json::Value,
}

/// The difference that leads from `old` to `new`, as a JSON merge patch (RFC 7396).
///
/// Entries that are equal in both do not appear, so a small change is small on the wire.
#[must_use]
pub fn merge_patch(old: &serde_json::Value, new: &serde_json::Value) -> serde_json::Value {
    let (Some(old_map), Some(new_map)) = (old.as_object(), new.as_object()) else {
        return new.clone();
    };
    let mut patch = serde_json::Map::new();
    for (name, value) in new_map {
        match old_map.get(name) {
            Some(before) if before == value => {}
            Some(before) => {
                patch.insert(name.clone(), merge_patch(before, value));
            }
            None => {
                patch.insert(name.clone(), value.clone());
            }
        }
    }
    for name in old_map.keys().filter(|name| !new_map.contains_key(*name)) {
        patch.insert(name.clone(), serde_json::Value::Null);
    }
    serde_json::Value::Object(patch)
}

/// The paths that a merge patch sets or removes, each as names from the root down.
#[must_use]
pub fn touched_paths(patch: &serde_json::Value) -> Vec<Vec<String>> {
    let mut paths = Vec::new();
    collect_paths(patch, &mut Vec::new(), &mut paths);
    paths
}

fn collect_paths(
    value: &serde_json::Value,
    prefix: &mut Vec<String>,
    paths: &mut Vec<Vec<String>>,
) {
    match value.as_object() {
        Some(map) if !map.is_empty() => {
            for (name, inner) in map {
                prefix.push(name.clone());
                collect_paths(inner, prefix, paths);
                prefix.pop();
            }
        }
        _ => paths.push(prefix.clone()),
    }
}

/// Whether two paths touch the same place: one is the other, or leads to it.
#[must_use]
pub fn paths_overlap(left: &[String], right: &[String]) -> bool {
    left.iter().zip(right).all(|(left, right)| left == right)
}

impl ConfigChange {
    /// The records of the log that carry this change: one, or the parts of a large one.
    ///
    /// All parts must be appended; the change is decided where the last of them lies.
    #[must_use]
    pub fn records(&self) -> Vec<Vec<u8>> {
        let text = serde_json::to_string(self).unwrap_or_default();
        if text.len() <= part::RECORD_BYTES {
            return vec![text.into_bytes()];
        }
        part::split(part::PartKind::Change, self.id, &text, part::PART_BYTES)
    }
}

/// The patch that leads from one configuration to another.
#[must_use]
pub fn difference(
    old: &document::Configuration,
    new: &document::Configuration,
) -> serde_json::Value {
    let value = |configuration| serde_json::to_value(configuration).unwrap_or_default();
    merge_patch(&value(old), &value(new))
}
