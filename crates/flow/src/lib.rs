//! The request plane: filter chain, tries and their outcomes, stream relay and continuation.
