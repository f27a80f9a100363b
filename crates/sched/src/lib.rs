//! Decisions under load: admission by memory at risk, fair queues, routing, limits and steering.
