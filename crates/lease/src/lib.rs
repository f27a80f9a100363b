//! Leases on the platform log, fenced orders to model engines and the placement controller.
