//! Contents that crash model engines, as entry VMs exchange them.
//!
//! The inference is that of the crate `crash`. A content is the hash of model and prompt; times are
//! milliseconds since 1970.

use base::{fingerprint::ContentHash, ops};
use crash::table;

pub use crash::table::{ContentStanding, SuspectLimits};

/// Deaths of engines with the contents that ran there.
pub type SuspectTable = table::SuspectTable<String, ContentHash>;

/// One death of an engine.
pub type DeathRecord = table::DeathRecord<String, ContentHash>;

/// Records exchanged between entry VMs.
pub type SuspectDigest = table::SuspectDigest<String, ContentHash>;

/// Lists all suspected and quarantined contents, for operators.
#[must_use]
pub fn list(table: &SuspectTable, now_ms: u64) -> Vec<ops::QuarantineStatus> {
    let contents = table.suspects();
    let listed = contents.filter_map(|content| status(table, content, now_ms));
    listed.collect()
}

fn status(
    table: &SuspectTable,
    content: ContentHash,
    now_ms: u64,
) -> Option<ops::QuarantineStatus> {
    let newest_ms = table.against(content).map(|(death, _)| death.at_ms).max()?;
    let (state, left_ms) = match table.standing(content, now_ms) {
        ContentStanding::Clear => return None,
        ContentStanding::Suspect { .. } => {
            let suspected_ms =
                u64::try_from(table.limits().suspected_for.as_millis()).unwrap_or(u64::MAX);
            let end_ms = newest_ms.saturating_add(suspected_ms);
            (ops::QuarantineState::Suspect, end_ms.saturating_sub(now_ms))
        }
        ContentStanding::Quarantined { left_ms } => (ops::QuarantineState::Quarantined, left_ms),
    };
    let deaths = table.against(content);
    let servers: Vec<String> = deaths.map(|(death, _)| death.server.clone()).collect();
    Some(ops::QuarantineStatus {
        fingerprint: content,
        state,
        deaths: u32::try_from(servers.len()).unwrap_or(u32::MAX),
        servers,
        organisation: String::new(),
        left_ms,
    })
}
