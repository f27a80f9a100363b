//! Runs the Rocket server on the callers' address.

use std::{net, sync, time::Duration};

use rocket::{Shutdown, config, fairing::AdHoc};
use tokio::{sync::oneshot, task, time};

use crate::{
    daemon,
    http::{caller, catch, health, ops},
    state,
};

/// Timeout for the server to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the HTTP server; returns once it listens, with its bound address.
///
/// # Errors
///
/// [`daemon::StartError::Serve`] when the address cannot be listened on.
pub async fn serve(
    state: sync::Arc<state::EntryState>,
) -> Result<(task::JoinHandle<()>, net::SocketAddr, Shutdown), daemon::StartError> {
    let address = state.settings.callers;
    let fail = |message: String| daemon::StartError::Serve { address, message };
    let (bound_sender, bound) = oneshot::channel();
    let rocket = rocket::custom(config(address))
        .manage(state)
        .register("/", catch::catchers())
        .mount("/", caller::routes())
        .mount("/", health::routes())
        .mount("/", ops::routes())
        .attach(report_address(bound_sender))
        .ignite()
        .await
        .map_err(|error| fail(describe(error)))?;
    let shutdown = rocket.shutdown();
    let mut server =
        task::spawn(async move { rocket.launch().await.map(|_| ()).map_err(describe) });
    let address = tokio::select! {
        bound = time::timeout(START_TIMEOUT, bound) => match bound {
            Ok(Ok(address)) => address,
            _ => return Err(fail("it did not start in time".to_owned())),
        },
        ended = &mut server => {
            let message = match ended {
                Ok(Err(message)) => message,
                Ok(Ok(())) => "it ended at once".to_owned(),
                Err(error) => error.to_string(),
            };
            return Err(fail(message));
        }
    };
    let server = task::spawn(async move {
        if let Ok(Err(message)) = server.await {
            log::error!(message = message.as_str(); "the HTTP server failed");
        }
    });
    Ok((server, address, shutdown))
}

/// Formats an error, because Rocket's error type panics if it is dropped without being inspected.
fn describe(error: rocket::Error) -> String {
    error.to_string()
}

fn config(address: net::SocketAddr) -> rocket::Config {
    rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: config::LogLevel::Off,
        cli_colors: false,
        ident: config::Ident::none(),
        shutdown: config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: 1,
            mercy: 1,
            ..config::Shutdown::default()
        },
        ..rocket::Config::release_default()
    }
}

fn report_address(sender: oneshot::Sender<net::SocketAddr>) -> AdHoc {
    let sender = sync::Mutex::new(Some(sender));
    AdHoc::on_liftoff("report address", move |rocket| {
        let address = net::SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = sender
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .take();
        if let Some(sender) = sender {
            // The receiver is dropped when the start has failed or timed out.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}
