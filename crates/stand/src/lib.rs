//! Stand-ins for what pollenchute meets: model engine, plain service, log, weight store, VM list.
