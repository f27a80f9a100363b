//! The time line of events: hybrid logical clocks, event rings, merging and drawing.
