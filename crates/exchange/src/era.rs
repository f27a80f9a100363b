//! The store's era as this VM knows it.
//!
//! Each time the store comes back from an older copy of itself, its era rises by one. What it had
//! acknowledged since the copy was made is gone; servers and the operator write again what is
//! theirs. A VM may learn of it from an answer of the store or from another VM, and another VM may
//! learn of it seconds earlier or later.

/// Latest era that a VM has learnt of.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraBelief {
    /// Never decreases; `None` before the VM knew any.
    newest: Option<u64>,
    /// Number of restores that the VM has learnt of.
    restores: u64,
}

/// Effect of an era that was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is known, or an earlier one.
    Nothing,
    /// The first era that the VM learns of.
    First,
    /// The store came back from an older copy; names the era before.
    Restored(u64),
}

impl EraBelief {
    /// Takes an era from an answer of the store or a message of another VM.
    pub fn take(&mut self, era: u64) -> EraChange {
        let before = self.newest;
        if before.is_some_and(|before| era <= before) {
            return EraChange::Nothing;
        }
        self.newest = Some(era);
        self.restores += u64::from(before.is_some());
        before.map_or(EraChange::First, EraChange::Restored)
    }

    /// Number of restores that the VM has learnt of.
    #[must_use]
    pub const fn restores(&self) -> u64 {
        self.restores
    }

    /// The latest era; 0 if none is known.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or_default()
    }
}
