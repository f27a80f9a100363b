//! Semantic validation of the rules.

use std::collections;

use crate::{
    check::{self, FaultBasis, SemanticCheck},
    rules,
};

/// Maximum interval between two signs of life from a model engine, in milliseconds.
const ENGINE_HEARTBEAT_MS: u64 = 500;

impl SemanticCheck<'_> {
    /// Validates the rules. With `organisations`, only the rules of these organisations are
    /// validated among the rules of organisations.
    pub(crate) fn check_rules(&mut self, rules: &rules::RuleSet, organisations: Option<&[&str]>) {
        for (index, rule) in rules.classes.iter().enumerate() {
            self.check_class_rule(&index.to_string(), rule);
        }
        self.check_order(&rules.classes);
        self.check_organisation_rule(
            &["rules", "default_organisation"],
            &rules.default_organisation,
        );
        match organisations {
            None => self.check_organisation_rules(rules.organisations.iter()),
            Some(names) => {
                let named = names
                    .iter()
                    .filter_map(|name| rules.organisations.get_key_value(*name));
                self.check_organisation_rules(named);
            }
        }
        self.check_time_limits(&rules.time_limits);
        self.check_fractions(rules);
        self.require_positive(
            &["rules", "retries", "max_tries"],
            f64::from(rules.retries.max_tries),
        );
        let path = ["rules", "entries", "per_organisation"];
        self.require_positive(&path, f64::from(rules.entries.per_organisation));
        let path = ["rules", "entries", "keep_ms"];
        self.check_duration(&path, rules.entries.keep_ms, 1);
    }

    fn check_class_rule(&mut self, index: &str, rule: &rules::ClassRule) {
        let inventory = self.inventory;
        let lists: [(&str, FaultBasis, &Option<Vec<String>>); 3] = [
            ("organisations", check::ORGANISATIONS, &rule.organisations),
            ("models", check::MODELS, &rule.models),
            ("services", check::SERVICES, &rule.services),
        ];
        for (field, basis, names) in lists {
            let Some(names) = names else {
                continue;
            };
            let path = ["rules", "classes", index, field];
            if names.is_empty() {
                let remedy = format!("list at least one name, or remove \"{field}\" to match all");
                self.fault(&path, "an empty list matches nothing", remedy);
            }
            for (position, name) in names.iter().enumerate() {
                let is_known = match field {
                    "organisations" => inventory.organisations.contains_key(name),
                    "models" => inventory.models.contains_key(name),
                    _ => inventory.services.contains_key(name),
                };
                if !is_known {
                    let position = position.to_string();
                    let path = [&path[..], &[position.as_str()]].concat();
                    let message = format!("\"{name}\" is not among the inventory's {field}");
                    self.fault_on(basis, &path, message, "add it there, or remove it here");
                }
            }
        }
        if rule.models.is_some() && rule.services.is_some() {
            let message = "no request targets both a model and a service";
            let remedy = "split it into two rules";
            self.fault(&["rules", "classes", index], message, remedy);
        }
    }

    /// Adds a fault for each class rule that never applies because an earlier rule matches every
    /// request that it matches.
    fn check_order(&mut self, classes: &[rules::ClassRule]) {
        let sets: Vec<MatchSet<'_>> = classes.iter().map(MatchSet::new).collect();
        let non_empty = sets.iter().enumerate().filter(|(_, set)| !set.is_empty());
        for (later, set) in non_empty {
            let Some(earlier) = sets[..later].iter().position(|other| other.covers(set)) else {
                continue;
            };
            let message =
                format!("never applies: rule {earlier} matches every request that it matches");
            let remedy =
                "move it before that rule, or remove one of them (rules are numbered from 0)";
            self.fault(&["rules", "classes", &later.to_string()], message, remedy);
        }
    }

    fn check_organisation_rules<'r, I>(&mut self, rules: I)
    where
        I: Iterator<Item = (&'r String, &'r rules::OrganisationRule)>,
    {
        let inventory = self.inventory;
        for (name, rule) in rules {
            let path = ["rules", "organisations", name];
            if !inventory.organisations.contains_key(name) {
                let message = format!("organisation \"{name}\" is not in the inventory");
                let remedy = "add it there, or remove the rule";
                self.fault_on(check::ORGANISATIONS, &path, message, remedy);
            }
            self.check_organisation_rule(&path, rule);
        }
    }

    fn check_organisation_rule(&mut self, path: &[&str], rule: &rules::OrganisationRule) {
        let numbers = [
            ("weight", Some(rule.weight)),
            ("requests_per_second", rule.requests_per_second),
            ("tokens_per_second", rule.tokens_per_second),
            (
                "concurrent_generations",
                rule.concurrent_generations.map(f64::from),
            ),
        ];
        for (field, number) in numbers {
            if let Some(number) = number.filter(|number| *number <= 0.0) {
                self.require_positive(&[path, &[field]].concat(), number);
            }
        }
    }

    fn check_time_limits(&mut self, limits: &rules::TimeLimits) {
        let durations = [
            ("urgent_first_token_ms", limits.urgent_first_token_ms, 1),
            ("normal_first_token_ms", limits.normal_first_token_ms, 1),
            ("service_call_ms", limits.service_call_ms, 1),
            (
                "silent_connection_ms",
                limits.silent_connection_ms,
                2 * ENGINE_HEARTBEAT_MS,
            ),
            ("result_kept_ms", limits.result_kept_ms, 1),
            (
                "idempotency_window_ms",
                limits.idempotency_window_ms,
                limits.service_call_ms,
            ),
        ];
        for (field, duration_ms, min_ms) in durations {
            self.check_duration(&["rules", "time_limits", field], duration_ms, min_ms);
        }
    }

    fn check_duration(&mut self, path: &[&str], duration_ms: u64, min_ms: u64) {
        if duration_ms < min_ms {
            let message = format!("{duration_ms} ms is too short");
            self.fault(
                path,
                message,
                format!("write at least {min_ms}; {}", min_reason(path)),
            );
        }
    }

    fn check_fractions(&mut self, rules: &rules::RuleSet) {
        let admission = &rules.admission;
        let fractions = [
            (
                ["rules", "admission", "urgent_overflow_chance"],
                admission.urgent_overflow_chance,
            ),
            (
                ["rules", "admission", "normal_overflow_chance"],
                admission.normal_overflow_chance,
            ),
            (
                ["rules", "admission", "deferrable_overflow_chance"],
                admission.deferrable_overflow_chance,
            ),
            (
                ["rules", "retries", "budget_fraction"],
                rules.retries.budget_fraction,
            ),
        ];
        for (path, number) in fractions {
            if !(0.0..=1.0).contains(&number) {
                let message = format!("{number} is not between 0 and 1");
                self.fault(&path, message, "write a fraction, as in 0.05");
            }
        }
    }
}

/// Why a duration has its minimum.
fn min_reason(path: &[&str]) -> &'static str {
    match path.last() {
        Some(&"silent_connection_ms") => "a live engine may be silent for 500 ms",
        Some(&"idempotency_window_ms") => "a call may be repeated while its first attempt runs",
        _ => "nothing can complete in a shorter time",
    }
}

/// Set of requests that a class rule matches.
struct MatchSet<'a> {
    organisations: Option<collections::HashSet<&'a str>>,
    models: Option<collections::HashSet<&'a str>>,
    services: Option<collections::HashSet<&'a str>>,
    rule: &'a rules::ClassRule,
}

impl<'a> MatchSet<'a> {
    fn new(rule: &'a rules::ClassRule) -> Self {
        let names = |list: &'a Option<Vec<String>>| {
            list.as_ref()
                .map(|names| names.iter().map(String::as_str).collect())
        };
        Self {
            organisations: names(&rule.organisations),
            models: names(&rule.models),
            services: names(&rule.services),
            rule,
        }
    }

    /// Whether the rule matches no request at all, which is reported as a separate fault.
    fn is_empty(&self) -> bool {
        let is_empty = |set: &Option<collections::HashSet<&str>>| {
            set.as_ref().is_some_and(collections::HashSet::is_empty)
        };
        let is_both = self.models.is_some() && self.services.is_some();
        is_both
            || [&self.organisations, &self.models, &self.services]
                .into_iter()
                .any(is_empty)
    }

    /// Whether this rule matches every request that `other` matches.
    fn covers(&self, other: &Self) -> bool {
        let requested = self.rule.requested;
        let covers_targets = if self.models.is_none() && self.services.is_none() {
            true
        } else if self.models.is_some() {
            self.services.is_none()
                && other.models.is_some()
                && is_wider(self.models.as_ref(), other.models.as_ref())
        } else {
            other.services.is_some() && is_wider(self.services.as_ref(), other.services.as_ref())
        };
        covers_targets
            && is_wider(self.organisations.as_ref(), other.organisations.as_ref())
            && (requested.is_none() || requested == other.rule.requested)
    }
}

/// Whether `wide` contains every name of `narrow`; `None` stands for all names.
fn is_wider(
    wide: Option<&collections::HashSet<&str>>,
    narrow: Option<&collections::HashSet<&str>>,
) -> bool {
    match (wide, narrow) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(wide), Some(narrow)) => narrow.is_subset(wide),
    }
}
