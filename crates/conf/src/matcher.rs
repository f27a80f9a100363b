//! Matches requests against the class rules.

use std::collections;

use base::{class, id};

use crate::{rules, snapshot::RequestTarget};

/// A class rule with resolved names.
#[derive(Clone, Debug)]
pub(crate) struct ClassMatcher {
    organisations: Option<collections::HashSet<id::OrganisationKey>>,
    models: Option<collections::HashSet<String>>,
    services: Option<collections::HashSet<String>>,
    requested: Option<class::TrafficClass>,
    /// Class of matching requests.
    pub class: class::TrafficClass,
}

impl ClassMatcher {
    pub fn matches(
        &self,
        organisation: id::OrganisationKey,
        target: RequestTarget<'_>,
        requested: Option<class::TrafficClass>,
    ) -> bool {
        let target_matches = match target {
            RequestTarget::Model(name) => {
                self.services.is_none() && self.models.as_ref().is_none_or(|set| set.contains(name))
            }
            RequestTarget::Service(name) => {
                self.models.is_none() && self.services.as_ref().is_none_or(|set| set.contains(name))
            }
        };
        target_matches
            && self
                .organisations
                .as_ref()
                .is_none_or(|set| set.contains(&organisation))
            && (self.requested.is_none() || self.requested == requested)
    }
}

/// Builds the matchers of the class rules, in the order of the rules.
pub(crate) fn matchers(
    rules: &rules::RuleSet,
    organisations: &collections::HashMap<String, id::OrganisationKey>,
) -> Vec<ClassMatcher> {
    let names = |list: &Option<Vec<String>>| {
        list.as_ref()
            .map(|names| names.iter().cloned().collect::<collections::HashSet<_>>())
    };
    rules
        .classes
        .iter()
        .map(|rule| ClassMatcher {
            organisations: rule.organisations.as_ref().map(|list| {
                list.iter()
                    .filter_map(|name| organisations.get(name).copied())
                    .collect()
            }),
            models: names(&rule.models),
            services: names(&rule.services),
            requested: rule.requested,
            class: rule.class,
        })
        .collect()
}
