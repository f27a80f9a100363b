//! Inventory, rules and settings: parsing, checking, differences and revisions.

pub mod inventory;
pub mod rules;
