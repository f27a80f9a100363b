//! Repeats that VMs lend each other.
//!
//! Load pattern: engines are lost whose streams are not spread evenly, and one VM has more streams
//! to continue than its share of the allowance has repeats, while others spend nothing. It asks
//! them, one after the other. A lender counts what it lends as its own repeats before it answers, for
//! as long as they can arrive or until the borrower says that they have, so the sum over all VMs stays
//! the same whatever is lost on the way.

use std::net;

use tokio::time;

use crate::message;

/// Time from an ask within which granted repeats must be made.
pub const LOAN_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after which an ask that brought nothing is repeated to another VM.
pub const ASK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Identity of a loan at one of its two VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanKey {
    /// The other VM.
    pub vm: net::SocketAddr,
    /// Number of the ask, of the borrower.
    pub ask: u32,
}

/// An ask whose grants may still arrive.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    service: u32,
    number: u32,
    asked_at: time::Instant,
}

/// Asks of this VM, and messages about loans that are due.
#[derive(Debug, Default)]
pub struct RepeatLoans {
    asks: Vec<OpenAsk>,
    last_number: u32,
    outgoing: Vec<(net::SocketAddr, message::LoanItem)>,
}

impl RepeatLoans {
    /// Whether repeats of a service were asked for a moment ago.
    #[must_use]
    pub fn has_asked(&self, service: u32, now: time::Instant) -> bool {
        let mut asks = self.asks.iter().filter(|ask| ask.service == service);
        asks.any(|ask| now.saturating_duration_since(ask.asked_at) < ASK_INTERVAL)
    }

    /// Asks a VM for repeats of a service.
    pub fn ask(&mut self, service: u32, repeats: u32, lender: net::SocketAddr, now: time::Instant) {
        self.asks
            .retain(|ask| now.saturating_duration_since(ask.asked_at) < LOAN_TIME);
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.asks.push(OpenAsk {
            service,
            number,
            asked_at: now,
        });
        let item = message::LoanItem {
            service,
            ask: number,
            repeats,
            granted: false,
            settled: false,
        };
        self.outgoing.push((lender, item));
    }

    /// Tells a lender that a repeat has arrived, or will not be made.
    pub fn settle(&mut self, service: u32, loan: LoanKey) {
        let told = |(lender, item): &&mut (net::SocketAddr, message::LoanItem)| {
            item.settled && (*lender, item.service, item.ask) == (loan.vm, service, loan.ask)
        };
        if let Some((_, item)) = self.outgoing.iter_mut().find(told) {
            item.repeats += 1;
            return;
        }
        let item = message::LoanItem {
            service,
            ask: loan.ask,
            repeats: 1,
            granted: false,
            settled: true,
        };
        self.outgoing.push((loan.vm, item));
    }

    /// Answers an ask of another VM.
    pub fn grant(&mut self, asked: &message::LoanItem, repeats: u32, borrower: net::SocketAddr) {
        let item = message::LoanItem {
            repeats,
            granted: true,
            ..*asked
        };
        self.outgoing.push((borrower, item));
    }

    /// Time until which the repeats of a grant may be made; `None` if the ask is unknown or too old.
    #[must_use]
    pub fn granted_until(
        &self,
        granted: &message::LoanItem,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let mut asks = self.asks.iter();
        let ask = asks.find(|ask| (ask.service, ask.number) == (granted.service, granted.ask))?;
        let until = ask.asked_at + LOAN_TIME;
        (now < until).then_some(until)
    }

    /// Whether messages are due.
    #[must_use]
    pub const fn has_outgoing(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Takes the messages that are due, with their recipients.
    pub fn take_outgoing(&mut self) -> Vec<(net::SocketAddr, message::LoanItem)> {
        std::mem::take(&mut self.outgoing)
    }
}
