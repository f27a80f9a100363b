//! The demonstration: runs the complete system in one process with the traffic of an example.

use std::{sync, time::Duration};

use conf::{fault, inventory, settings as checked};
use entry::daemon;
use tokio::{sync::Mutex, time};

use crate::{arrival, caller, cli, env, exit, play, progress, runner, scenario, site};

/// Entry VMs that the demonstration starts: one in each failure domain and an additional one.
const ENTRY_VMS: usize = 4;

/// KV cache blocks of each engine; few enough that the cache fills up within seconds.
const KV_BLOCKS: u32 = 320;

/// Maximum length of prompt and output together; it fits into [`KV_BLOCKS`].
const CONTEXT_TOKENS: u32 = 4_096;

/// The demonstration cannot run.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum DemoError {
    /// The files of the example are invalid.
    #[snafu(transparent)]
    Example {
        /// Errors in the files.
        source: fault::FaultList,
    },
    /// A component does not start.
    #[snafu(transparent)]
    Env {
        /// Component and cause.
        source: env::EnvError,
    },
    /// The run failed.
    #[snafu(transparent)]
    Play {
        /// Cause of the failure.
        source: play::PlayError,
    },
    /// The HTTP client cannot be set up.
    #[snafu(transparent)]
    Client {
        /// Cause of the failure.
        source: caller::ClientError,
    },
}

/// Starts the system, runs the example's scenario and prints the report.
///
/// # Errors
///
/// Returns an error if a component does not start or the report cannot be saved.
pub async fn run(action: &cli::DemoAction) -> Result<exit::ExitKind, DemoError> {
    let example = site::PASS_WORKS;
    let mut scenario: scenario::LoadScenario = checked::parse("scenario.jsonc", example.scenario)?;
    if !action.faults {
        scenario.faults.clear();
    }
    let mut configuration = example.configuration()?;
    reduce_inventory(&mut configuration.inventory);
    let env = env::TestEnv::start(configuration).await?;
    print_setup(&env, &scenario);
    let total = arrival::plan_calls(&scenario).len() as u64;
    let run = runner::ScenarioRun::new(scenario, &env.callers())?;
    let injector = sync::Arc::new(EnvFaultInjector {
        env: Mutex::new(env),
    });
    let start = time::Instant::now();
    let bar = progress::BarProgress::new(total);
    let mut measure = run.play(injector.clone(), &bar).await;
    drop(bar);
    let mut env = injector.env.lock().await;
    measure.check_runs(&env.site.runs_by_key());
    measure.set_preemptions(env.site.preemptions());
    let mut report = run.report(&measure, start);
    report.preemptions = Some(env.site.preemptions().iter().sum());
    let kind = play::finish(&report, action.save.as_deref())?;
    stop_all(&mut env).await;
    Ok(kind)
}

/// Reduces the inventory to fewer entry VMs and to engines with less memory.
fn reduce_inventory(inventory: &mut inventory::Inventory) {
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

fn print_setup(env: &env::TestEnv, scenario: &scenario::LoadScenario) {
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

/// Timeout of stopping the entry VMs after the run.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

async fn stop_all(env: &mut env::TestEnv) {
    let mut stops = tokio::task::JoinSet::new();
    for running in std::mem::take(&mut env.entries).into_values() {
        stops.spawn(running.stop());
    }
    // Work that is still running is abandoned, since the process exits now.
    let _ = time::timeout(STOP_TIMEOUT, stops.join_all()).await;
}

/// Injects faults into an environment.
struct EnvFaultInjector {
    env: Mutex<env::TestEnv>,
}

impl runner::FaultInjector for EnvFaultInjector {
    async fn inject_fault(&self, fault: scenario::FaultKind) {
        let stopped: Option<daemon::RunningDaemon> = {
            let mut env = self.env.lock().await;
            env::inject_fault(&env.site, &fault);
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
