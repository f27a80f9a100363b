//! Faults of a history: each begins at some time, and most of them end.

use std::{sync, time::Duration};

use arbtest::arbitrary;
use stand::{engine, service};
use tokio::time;

use crate::cluster;

/// A fault of a model engine that the stand-in itself provides.
#[derive(Clone, Copy, Debug)]
pub enum EngineTrouble {
    Stalls,
    Silent,
    Unreachable,
    StreamsCut { after_tokens: u32 },
    AnswersLost { count: u32 },
    Nonsense,
    Slow { times: u32 },
}

impl EngineTrouble {
    const fn ends(self) -> bool {
        !matches!(self, Self::Silent | Self::AnswersLost { .. })
    }

    fn switched(self, on: bool) -> engine::EngineFault {
        match self {
            Self::Stalls => engine::EngineFault::Stall { on },
            Self::Silent => engine::EngineFault::Silence,
            Self::Unreachable => engine::EngineFault::Hang { on },
            Self::StreamsCut { after_tokens } => engine::EngineFault::Truncate {
                after_tokens: on.then_some(after_tokens),
            },
            Self::AnswersLost { count } => engine::EngineFault::LoseAnswers { count },
            Self::Nonsense => engine::EngineFault::Nonsense { on },
            Self::Slow { times } => engine::EngineFault::Slow {
                factor: if on { f64::from(times) } else { 1.0 },
            },
        }
    }
}

/// A fault of a plain service server that the stand-in itself provides.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTrouble {
    Silent,
    Unreachable,
    AnswersLost { count: u32 },
    Slow,
}

impl ServiceTrouble {
    const fn ends(self) -> bool {
        matches!(self, Self::Unreachable | Self::Slow)
    }

    fn switched(self, on: bool, delay_ms: u64) -> service::ServiceFault {
        match self {
            Self::Silent => service::ServiceFault::Silence,
            Self::Unreachable => service::ServiceFault::Hang { on },
            Self::AnswersLost { count } => service::ServiceFault::LoseAnswers { count },
            Self::Slow => service::ServiceFault::Slow { delay_ms },
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    EngineDies {
        engine: usize,
        back: bool,
    },
    Engine {
        engine: usize,
        fault: EngineTrouble,
    },
    ServiceDies {
        service: usize,
    },
    Service {
        service: usize,
        fault: ServiceTrouble,
    },
    LogDown,
    ClaimsLate {
        by_ms: u64,
    },
    EntryPaused {
        entry: usize,
    },
    EntryDies,
    FirstEngineLeaves,
}

/// A fault with its times.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    pub after_ms: u64,
    pub lasts_ms: u64,
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
        let trouble = |fault| Fault::Engine { engine, fault };
        let call_trouble = |fault| Fault::Service { service, fault };
        let fault = match u.int_in_range(0..=18_u8)? {
            0 | 1 => Fault::EngineDies {
                engine,
                back: u.arbitrary()?,
            },
            2 => trouble(EngineTrouble::Stalls),
            3 => trouble(EngineTrouble::Silent),
            4 => trouble(EngineTrouble::Unreachable),
            5 => trouble(EngineTrouble::StreamsCut {
                after_tokens: u.int_in_range(0..=6)?,
            }),
            6 => trouble(EngineTrouble::AnswersLost { count }),
            7 => trouble(EngineTrouble::Nonsense),
            8 => Fault::ServiceDies { service },
            9 => call_trouble(ServiceTrouble::Silent),
            10 => call_trouble(ServiceTrouble::Unreachable),
            11 => call_trouble(ServiceTrouble::AnswersLost { count }),
            12 => call_trouble(ServiceTrouble::Slow),
            13 => Fault::LogDown,
            14 => Fault::ClaimsLate {
                by_ms: u.int_in_range(100..=20_000)?,
            },
            15 => Fault::EntryPaused {
                entry: u.choose_index(2)?,
            },
            16 => Fault::EntryDies,
            17 => trouble(EngineTrouble::Slow {
                times: u.int_in_range(5..=100)?,
            }),
            _ => Fault::FirstEngineLeaves,
        };
        Ok(Self {
            after_ms: u.int_in_range(0..=1_500)?,
            lasts_ms: u.int_in_range(20..=4_000)?,
            fault,
        })
    }

    pub async fn happen(self, world: sync::Arc<cluster::TestCluster>) {
        time::sleep(Duration::from_millis(self.after_ms)).await;
        self.begin(&world);
        time::sleep(Duration::from_millis(self.lasts_ms)).await;
        self.end(&world);
    }

    fn begin(self, world: &cluster::TestCluster) {
        match self.fault {
            Fault::EngineDies { engine, .. } => world.engines[engine].crash(),
            Fault::ServiceDies { service } => world.services[service].crash(),
            Fault::LogDown => {
                world.log_down.send_replace(true);
            }
            Fault::ClaimsLate { by_ms } => {
                *world.claim_delay.lock().unwrap() = Duration::from_millis(by_ms);
            }
            Fault::EntryPaused { entry } => world.switches[entry].set(false),
            Fault::EntryDies => world.kill_first_entry(),
            Fault::FirstEngineLeaves => world.mark_leaving(0),
            Fault::Engine { engine, fault } => {
                world.engines[engine].apply(&fault.switched(true));
            }
            Fault::Service { service, fault } => {
                world.services[service].apply(&fault.switched(true, self.lasts_ms));
            }
        }
    }

    fn end(self, world: &cluster::TestCluster) {
        match self.fault {
            Fault::EngineDies { engine, back: true } => world.engines[engine].restart(),
            Fault::ServiceDies { service } => world.services[service].restart(),
            Fault::LogDown => {
                world.log_down.send_replace(false);
            }
            Fault::ClaimsLate { .. } => *world.claim_delay.lock().unwrap() = Duration::ZERO,
            Fault::EntryPaused { entry } if entry > 0 || !world.is_first_entry_dead() => {
                world.switches[entry].set(true);
            }
            Fault::Engine { engine, fault } if fault.ends() => {
                world.engines[engine].apply(&fault.switched(false));
            }
            Fault::Service { service, fault } if fault.ends() => {
                world.services[service].apply(&fault.switched(false, 0));
            }
            _ => {}
        }
    }
}
