//! Seeded load, experiments and the demonstration.
