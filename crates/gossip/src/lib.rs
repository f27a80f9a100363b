//! Membership by gossip with suspicion, and the state that spreads with it.
