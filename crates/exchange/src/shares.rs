//! Decisions on repeats: what this VM's share of the allowance of a service is, and what it is spent
//! on.

use std::net;

use tokio::time;

use crate::{budget, loans, message, repeats, request, state};

/// Min retries left for a hedge to be sent.
const MIN_RETRIES_TO_HEDGE: f64 = 3.0;

impl state::PlaneState {
    /// Counts the first attempt of a request.
    pub fn count_first(&mut self, service: &str, now: time::Instant) {
        let rule = self.settings.retries;
        self.repeats.budget(service).count_first(&rule, now);
    }

    /// Takes one repeat of a request; `None` if this VM has none left. Called for permits only.
    pub(crate) fn take_repeat(
        &mut self,
        request: &request::ExchangeRequest,
        kind: budget::RepeatKind,
        now: time::Instant,
    ) -> Option<repeats::HeldRepeat> {
        let rule = self.settings.retries;
        let slack = self.repeat_slack(now);
        let reserved = match kind {
            budget::RepeatKind::Resume => 0.0,
            _ => self.reserved_repeats(&request.service, slack),
        };
        let budget = self.repeats.budget(&request.service);
        let mut repeat = budget.take(&rule, slack, reserved, now);
        let mut outcome = "allowed";
        if repeat.is_none() && kind == budget::RepeatKind::Resume {
            repeat = budget.take_granted(&rule, now);
            outcome = "borrowed";
        }
        if repeat.is_none() {
            outcome = "refused";
        }
        self.record_repeat(request, (kind, outcome), slack, now);
        repeat.map(|key| self.repeats.hold(&request.service, key))
    }

    /// Repeats of a service that are kept for the streams of this VM: one for each, and at most half
    /// of its share. A stream that can go on comes before hedges and retries.
    fn reserved_repeats(&mut self, service: &str, slack: f64) -> f64 {
        let rule = self.settings.retries;
        let streams = self.fleet.streams(service).count();
        let share = self.repeats.budget(service).share(&rule, slack);
        (streams as f64).min(share / 2.0)
    }

    /// Number of streams of a service that can be continued now.
    pub fn resumes_left(&mut self, service: &str, now: time::Instant) -> usize {
        let rule = self.settings.retries;
        let slack = self.repeat_slack(now);
        let budget = self.repeats.budget(service);
        budget.resumes_left(&rule, slack, now)
    }

    /// Asks another VM for repeats of a service.
    pub fn borrow_repeats(&mut self, service: &str, wanted: usize, now: time::Instant) {
        let serving = self.peers.all().filter(|(_, peer)| peer.serves(now));
        let serving: Vec<_> = serving.map(|(_, peer)| peer.link_address).collect();
        let lender = (self.draw() * serving.len() as f64) as usize;
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        if let Some(&lender) = serving.get(lender) {
            self.loans
                .ask(state::service_hash(service), wanted, lender, now);
        }
    }

    /// Takes another VM's ask for repeats, or its answer to one.
    pub fn take_loan_item(
        &mut self,
        sender: net::SocketAddr,
        item: &message::LoanItem,
        now: time::Instant,
    ) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        let mut services = catalog.services.keys();
        let Some(service) = services.find(|service| state::service_hash(service) == item.service)
        else {
            return;
        };
        let rule = self.settings.retries;
        let loan = loans::LoanKey {
            vm: sender,
            ask: item.ask,
        };
        if item.settled {
            let budget = self.repeats.budget(service);
            budget.settle_lent(loan, item.repeats, now);
            return;
        }
        if item.granted {
            if let Some(until) = self.loans.granted_until(item, now) {
                let budget = self.repeats.budget(service);
                budget.add_granted(item.repeats, loan, until);
            }
            return;
        }
        let slack = self.repeat_slack(now);
        let reserved = self.reserved_repeats(service, slack);
        let budget = self.repeats.budget(service);
        let lent = budget.lend(&rule, slack, reserved, (loan, item.repeats), now);
        metrics::counter!("pollenchute_exchange_repeats_lent_total").increment(u64::from(lent));
        if lent > 0 {
            self.loans.grant(item, lent, sender);
        }
    }

    /// Tells lenders of repeats that have arrived, or will not be made.
    pub fn settle_loans(&mut self, now: time::Instant) {
        let rule = self.settings.retries;
        for (service, loan) in self.repeats.take_settled(&rule, now) {
            self.loans.settle(state::service_hash(&service), loan);
        }
    }

    /// Sets the gauges of the allowance: what counts at this VM, its share, and by how many VMs the
    /// fixed number is divided. What other VMs lent counts there.
    pub fn record_shares(&mut self, now: time::Instant) {
        let rule = self.settings.retries;
        let slack = self.repeat_slack(now);
        let vms = self.peers.repeat_share_count(now).unwrap_or_default();
        self.record_cold(now);
        metrics::gauge!("pollenchute_exchange_repeat_vms").set(vms as f64);
        for (service, budget) in self.repeats.budgets() {
            let left = budget.left(&rule, slack, now);
            let share = budget.share(&rule, slack);
            metrics::gauge!("pollenchute_exchange_repeats_counted", "service" => service.clone())
                .set(share - left);
            metrics::gauge!("pollenchute_exchange_repeats_share", "service" => service.clone())
                .set(share);
        }
    }

    /// Logs and counts a decision on a repeat.
    fn record_repeat(
        &mut self,
        request: &request::ExchangeRequest,
        (kind, outcome): (budget::RepeatKind, &'static str),
        slack: f64,
        now: time::Instant,
    ) {
        let rule = self.settings.retries;
        let budget = self.repeats.budget(&request.service);
        let (first, repeats) = budget.counts(&rule, now);
        let share = budget.share(&rule, slack);
        let vms = self.peers.repeat_share_count(now);
        metrics::counter!(
            "pollenchute_exchange_repeats_total", "service" => request.service.clone(),
            "kind" => kind.name(), "outcome" => outcome
        )
        .increment(1);
        log::info!(
            request:% = request.id, service:% = request.service, kind:% = kind.name(),
            outcome:% = outcome, repeats, share, first, slack, vms:?;
            "repeat"
        );
    }

    /// Returns whether a call may be hedged: retries after failures take precedence.
    pub fn may_hedge(&mut self, request: &request::ExchangeRequest, now: time::Instant) -> bool {
        let may = self.retries_left(&request.service, now) >= MIN_RETRIES_TO_HEDGE;
        if !may {
            let slack = self.repeat_slack(now);
            let refused = (budget::RepeatKind::Hedge, "refused");
            self.record_repeat(request, refused, slack, now);
        }
        may
    }

    /// Number of hedges and retries of a service that this VM has left.
    pub fn retries_left(&mut self, service: &str, now: time::Instant) -> f64 {
        let rule = self.settings.retries;
        let slack = self.repeat_slack(now);
        let reserved = self.reserved_repeats(service, slack);
        self.repeats.budget(service).left(&rule, slack, now) - reserved
    }

    /// This VM's part of the fixed allowance of repeats: none for as long as the repeats of its
    /// previous process count, and none while it knows of other VMs and hears none of them.
    #[must_use]
    pub fn repeat_slack(&self, now: time::Instant) -> f64 {
        let rule = self.settings.retries;
        if now.saturating_duration_since(self.started_at) < rule.window {
            return 0.0;
        }
        let vms = self.peers.repeat_share_count(now);
        vms.map_or(0.0, |vms| rule.slack / vms as f64)
    }
}
