//! Variants of the policy, each with one setting changed.

use sched::settings::PolicySettings;
use tokio::time::Duration;

use crate::Policy;

/// Returns the default policy, followed by its variants.
pub fn variants() -> Vec<(&'static str, Policy)> {
    let with = |change: fn(&mut PolicySettings)| {
        let mut settings = PolicySettings::default();
        change(&mut settings);
        Policy::Core(settings)
    };
    let _ = Duration::ZERO;
    vec![
        ("policy", Policy::Core(PolicySettings::default())),
        ("0.1", with(|s| s.overflow_chance = [0.1; 3])),
        ("near10", with(|s| s.near_best = Duration::from_millis(10))),
        ("near40", with(|s| s.near_best = Duration::from_millis(40))),
        ("head2", with(|s| s.headroom_deviations = 2.0)),
        ("head4", with(|s| s.headroom_deviations = 4.0)),
        ("doubt0", with(|s| s.slot_uncertainty = 0.0)),
        ("beyond1", with(|s| s.urgent_overcommit = 1)),
        ("beyond4", with(|s| s.urgent_overcommit = 4)),
    ]
}
