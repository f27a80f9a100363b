//! The demonstration: the whole system in one process with the example traffic.

use std::{sync, time::Duration};

use conf::{fault, inventory, settings as checked};
use entry::daemon;
use tokio::{sync::Mutex, time};

use crate::{arrival, caller, cli, env, exit, play, progress, runner, scenario, site};

/// Entry VMs that the demonstration starts, one in each failure domain and another.
const ENTRY_VMS: usize = 4;

/// KV cache blocks of each engine: so few that memory runs short within seconds.
const KV_BLOCKS: u32 = 320;

/// Longest prompt and output together; it fits into those blocks.
const CONTEXT_TOKENS: u32 = 4_096;

/// The demonstration cannot be given.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum DemoError {
    /// The example's files are wrong.
    #[snafu(transparent)]
    Example {
        /// Their faults.
        source: fault::FaultList,
    },
    /// A part does not start.
    #[snafu(transparent)]
    Env {
        /// Which, and why not.
        source: env::EnvError,
    },
    /// The run cannot be made.
    #[snafu(transparent)]
    Play {
        /// Why not.
        source: play::PlayError,
    },
    /// No call can be made.
    #[snafu(transparent)]
    Client {
        /// Why not.
        source: caller::ClientError,
    },
}

/// Starts everything, plays the example's scenario, prints the report.
///
/// # Errors
///
/// When a part does not start, or the report cannot be saved.
pub async fn run(action: &cli::DemoAction) -> Result<exit::ExitKind, DemoError> {
    let example = site::PASS_WORKS;
    let mut scenario: scenario::LoadScenario = checked::parse("scenario.jsonc", example.scenario)?;
    if !action.faults {
        scenario.faults.clear();
    }
    let mut configuration = example.configuration()?;
    shrink(&mut configuration.inventory);
    let env = env::TestEnv::start(configuration).await?;
    announce(&env, &scenario);
    let total = arrival::plan_calls(&scenario).len() as u64;
    let run = runner::ScenarioRun::new(scenario, &env.callers())?;
    let sink = sync::Arc::new(EnvFaults {
        env: Mutex::new(env),
    });
    let start = time::Instant::now();
    let bar = progress::BarProgress::new(total);
    let mut measure = run.play(sink.clone(), &bar).await;
    drop(bar);
    let mut env = sink.env.lock().await;
    measure.check_runs(&env.site.runs_by_key());
    measure.take_preemptions(env.site.preemptions());
    let mut report = run.report(&measure, start);
    report.preemptions = Some(env.site.preemptions().iter().sum());
    let kind = play::finish(&report, action.save.as_deref())?;
    stop_all(&mut env).await;
    Ok(kind)
}

/// Keeps fewer entry VMs, and engines with less memory.
fn shrink(inventory: &mut inventory::Inventory) {
    let surplus: Vec<String> = inventory
        .entry_vms
        .keys()
        .skip(ENTRY_VMS)
        .cloned()
        .collect();
    for vm in surplus {
        inventory.entry_vms.remove(&vm);
    }
    for server in inventory.backend_servers.values_mut() {
        if let inventory::ServerKind::ModelEngine(engine) = &mut server.kind {
            engine.kv_blocks = KV_BLOCKS;
        }
    }
    for model in inventory.models.values_mut() {
        model.context_tokens = CONTEXT_TOKENS;
    }
}

fn announce(env: &env::TestEnv, scenario: &scenario::LoadScenario) {
    println!(
        "{} entry VMs, {} model engines, {} plain service servers, log, weight store and VM list on loopback",
        env.entries.len(),
        env.site.engines.len(),
        env.site.services.len()
    );
    for planned in &scenario.faults {
        println!("at {} ms: {:?}", planned.at_ms, planned.fault);
    }
}

/// Time that the entry VMs get to end at the end.
const STOP_TIME: Duration = Duration::from_secs(3);

async fn stop_all(env: &mut env::TestEnv) {
    let mut stops = tokio::task::JoinSet::new();
    for running in std::mem::take(&mut env.entries).into_values() {
        stops.spawn(running.stop());
    }
    // What they still do is of no use to anybody; the process ends.
    let _ = time::timeout(STOP_TIME, stops.join_all()).await;
}

/// Makes parts of an environment fail.
struct EnvFaults {
    env: Mutex<env::TestEnv>,
}

impl runner::FaultSink for EnvFaults {
    async fn inflict(&self, fault: scenario::FaultKind) {
        let stopped: Option<daemon::RunningDaemon> = {
            let mut env = self.env.lock().await;
            env::inflict(&env.site, &fault);
            match &fault {
                scenario::FaultKind::EntryStop { vm } => env.entries.remove(vm),
                _ => None,
            }
        };
        if let Some(running) = stopped {
            tokio::spawn(running.stop());
        }
    }
}
