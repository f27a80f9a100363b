//! Records on the platform log: client, group commit, idempotency claims and deferred work.
