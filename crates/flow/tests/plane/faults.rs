//! Faults injected into a test run: each starts at a drawn time, and most of them end.

use std::{sync, time::Duration};

use arbtest::arbitrary;
use stand::{engine, service};
use tokio::time;

use crate::cluster;

/// A fault of a model engine that the stand-in itself provides.
#[derive(Clone, Copy, Debug)]
pub enum EngineFaultKind {
    Stall,
    Silence,
    Unreachable,
    TruncatedStreams { after_tokens: u32 },
    LostAnswers { count: u32 },
    InvalidEvents,
    Slow { factor: u32 },
}

impl EngineFaultKind {
    const fn is_reversible(self) -> bool {
        !matches!(self, Self::Silence | Self::LostAnswers { .. })
    }

    fn to_stand_in_fault(self, on: bool) -> engine::EngineFault {
        match self {
            Self::Stall => engine::EngineFault::Stall { on },
            Self::Silence => engine::EngineFault::Silence,
            Self::Unreachable => engine::EngineFault::Hang { on },
            Self::TruncatedStreams { after_tokens } => engine::EngineFault::Truncate {
                after_tokens: on.then_some(after_tokens),
            },
            Self::LostAnswers { count } => engine::EngineFault::LoseAnswers { count },
            Self::InvalidEvents => engine::EngineFault::Nonsense { on },
            Self::Slow { factor } => engine::EngineFault::Slow {
                factor: if on { f64::from(factor) } else { 1.0 },
            },
        }
    }
}

/// A fault of a plain service server that the stand-in itself provides.
#[derive(Clone, Copy, Debug)]
pub enum ServiceFaultKind {
    Silence,
    Unreachable,
    LostAnswers { count: u32 },
    Slow,
}

impl ServiceFaultKind {
    const fn is_reversible(self) -> bool {
        matches!(self, Self::Unreachable | Self::Slow)
    }

    fn to_stand_in_fault(self, on: bool, delay_ms: u64) -> service::ServiceFault {
        match self {
            Self::Silence => service::ServiceFault::Silence,
            Self::Unreachable => service::ServiceFault::Hang { on },
            Self::LostAnswers { count } => service::ServiceFault::LoseAnswers { count },
            Self::Slow => service::ServiceFault::Slow { delay_ms },
        }
    }
}

/// A fault of an engine, a service server, the log or an entry VM.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    EngineCrash {
        engine: usize,
        restarts: bool,
    },
    Engine {
        engine: usize,
        fault: EngineFaultKind,
    },
    ServiceCrash {
        service: usize,
    },
    Service {
        service: usize,
        fault: ServiceFaultKind,
    },
    LogOutage,
    LateClaims {
        delay_ms: u64,
    },
    EntryPause {
        entry: usize,
    },
    EntryCrash,
    FirstEngineLeaves,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    pub start_ms: u64,
    pub duration_ms: u64,
    pub fault: Fault,
}

impl TimedFault {
    pub fn draw(
        u: &mut arbitrary::Unstructured<'_>,
        plan: &cluster::ClusterOptions,
    ) -> arbitrary::Result<Self> {
        let engine = u.choose_index(plan.engines)?;
        let service = u.choose_index(plan.services)?;
        let count = u.int_in_range(1..=3)?;
        let engine_fault = |fault| Fault::Engine { engine, fault };
        let service_fault = |fault| Fault::Service { service, fault };
        let fault = match u.int_in_range(0..=18_u8)? {
            0 | 1 => Fault::EngineCrash {
                engine,
                restarts: u.arbitrary()?,
            },
            2 => engine_fault(EngineFaultKind::Stall),
            3 => engine_fault(EngineFaultKind::Silence),
            4 => engine_fault(EngineFaultKind::Unreachable),
            5 => engine_fault(EngineFaultKind::TruncatedStreams {
                after_tokens: u.int_in_range(0..=6)?,
            }),
            6 => engine_fault(EngineFaultKind::LostAnswers { count }),
            7 => engine_fault(EngineFaultKind::InvalidEvents),
            8 => Fault::ServiceCrash { service },
            9 => service_fault(ServiceFaultKind::Silence),
            10 => service_fault(ServiceFaultKind::Unreachable),
            11 => service_fault(ServiceFaultKind::LostAnswers { count }),
            12 => service_fault(ServiceFaultKind::Slow),
            13 => Fault::LogOutage,
            14 => Fault::LateClaims {
                delay_ms: u.int_in_range(100..=20_000)?,
            },
            15 => Fault::EntryPause {
                entry: u.choose_index(2)?,
            },
            16 => Fault::EntryCrash,
            17 => engine_fault(EngineFaultKind::Slow {
                factor: u.int_in_range(5..=100)?,
            }),
            _ => Fault::FirstEngineLeaves,
        };
        Ok(Self {
            start_ms: u.int_in_range(0..=1_500)?,
            duration_ms: u.int_in_range(20..=4_000)?,
            fault,
        })
    }

    pub async fn inject(self, cluster: sync::Arc<cluster::TestCluster>) {
        time::sleep(Duration::from_millis(self.start_ms)).await;
        self.begin(&cluster);
        time::sleep(Duration::from_millis(self.duration_ms)).await;
        self.end(&cluster);
    }

    fn begin(self, cluster: &cluster::TestCluster) {
        match self.fault {
            Fault::EngineCrash { engine, .. } => cluster.engines[engine].crash(),
            Fault::ServiceCrash { service } => cluster.services[service].crash(),
            Fault::LogOutage => {
                cluster.log_down.send_replace(true);
            }
            Fault::LateClaims { delay_ms } => {
                *cluster.claim_delay.lock().unwrap() = Duration::from_millis(delay_ms);
            }
            Fault::EntryPause { entry } => cluster.switches[entry].set(false),
            Fault::EntryCrash => cluster.kill_first_entry(),
            Fault::FirstEngineLeaves => cluster.mark_leaving(0),
            Fault::Engine { engine, fault } => {
                cluster.engines[engine].apply(&fault.to_stand_in_fault(true));
            }
            Fault::Service { service, fault } => {
                cluster.services[service].apply(&fault.to_stand_in_fault(true, self.duration_ms));
            }
        }
    }

    fn end(self, cluster: &cluster::TestCluster) {
        match self.fault {
            Fault::EngineCrash {
                engine,
                restarts: true,
            } => cluster.engines[engine].restart(),
            Fault::ServiceCrash { service } => cluster.services[service].restart(),
            Fault::LogOutage => {
                cluster.log_down.send_replace(false);
            }
            Fault::LateClaims { .. } => *cluster.claim_delay.lock().unwrap() = Duration::ZERO,
            Fault::EntryPause { entry } if entry > 0 || !cluster.is_first_entry_dead() => {
                cluster.switches[entry].set(true);
            }
            Fault::Engine { engine, fault } if fault.is_reversible() => {
                cluster.engines[engine].apply(&fault.to_stand_in_fault(false));
            }
            Fault::Service { service, fault } if fault.is_reversible() => {
                cluster.services[service].apply(&fault.to_stand_in_fault(false, 0));
            }
            _ => {}
        }
    }
}
