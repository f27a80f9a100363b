//! The configuration that VMs go by after the store has given no response for a few seconds.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{client, edge, engine, record::Record, store};

/// Time without a response: the sheet has up to 4.5 s.
const SILENCE: Duration = Duration::from_millis(3_800);
/// Time from the earlier change of the configuration until the silence.
const SILENCE_AFTER: Duration = Duration::from_millis(300);
/// Time from the end of the silence until the change.
const CHANGE_AFTER: Duration = Duration::from_millis(100);
/// Time after a disruption of the store from which machines are in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time after its acknowledgement from which a version is in force.
const CONFIG: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent from then on, and the interval between them.
const ASKING: Duration = Duration::from_millis(1_500);
const INTERVAL: Duration = Duration::from_millis(40);
/// Time by which a request is sent later than the bounds say.
const MARGIN: Duration = Duration::from_millis(50);

const DROPPED_KEY: &str = "wsjnbanfqasnmgkcuyj8";
const NEW_ROUTE: &str = "/deka417/";

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = edge::free_network();
    let store = store::Store::default();
    let store_address = edge::address(network, 50, 8742);
    let both_keys = format!("{}\",\"{DROPPED_KEY}", crate::KEY);
    store.put("keyed.op", "config", &crate::configuration_with(7, "", &both_keys));
    store.start(store_address);
    let engines = engine::Engines::new(record.clone());
    for place in 0..3 {
        let address = edge::address(network, 10 + place, 8080);
        engine::Engine::start(&engines, &store, &format!("i-app{place}"), address, crate::APP, true);
    }
    let vms: Vec<_> = (1..4).map(|host| edge::Vm::start(network, host, store_address, folder, record)).collect();
    vms.iter().for_each(edge::Vm::wait_ready);
    thread::sleep(Duration::from_secs(4));

    store.put("keyed.op", "config", &crate::configuration_with(9, "", &both_keys));
    record.line("the store acknowledges version 9");
    thread::sleep(SILENCE_AFTER);
    if trouble {
        store.set_silent(true);
        record.line("the store gives no response");
    }
    thread::sleep(SILENCE);
    store.set_silent(false);
    let calm_at = Instant::now();
    record.line("the store responds again");
    thread::sleep(CHANGE_AFTER);
    let route = format!(
        "\n{{\"name\":\"r-new\",\"host\":\"{}\",\"path_prefix\":\"{NEW_ROUTE}\",\"type\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{}\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}},",
        crate::HOST, crate::APP
    );
    store.put("keyed.op", "config", &crate::configuration_with(12, &route, crate::KEY));
    let acknowledged_at = Instant::now();
    record.line("the store acknowledges version 12: a key is dropped and a route is added");

    let bound = (acknowledged_at + CONFIG).max(calm_at + CONTACT) + MARGIN;
    thread::sleep(bound.saturating_duration_since(Instant::now()));
    record.line("version 12 is in force for machines in touch");
    let mut broken = 0;
    let mut number = 0;
    while bound.elapsed() < ASKING {
        for vm in &vms {
            number += 2;
            broken += usize::from(runs_with_dropped_key(record, vm, number));
            broken += usize::from(lacks_new_route(record, vm, number + 1));
        }
        thread::sleep(INTERVAL);
    }
    record.line(&format!("check: {broken} of {number} requests handled as only an older version allows"));
    broken > 0
}

fn runs_with_dropped_key(record: &Record, vm: &edge::Vm, number: u64) -> bool {
    let id = format!("b{number:015x}");
    let call = client::Call { method: "POST", target: "/pule252/2f", id: &id, deadline_ms: 1_000, headers: "", body: b"charge", key: DROPPED_KEY };
    let sent = record.now();
    let status = client::send(vm.entry, &call).unwrap_or_default().status;
    record.line(&format!("{id} sent to {} at {sent} ms with the dropped key: status {status}", vm.name));
    status == 200
}

fn lacks_new_route(record: &Record, vm: &edge::Vm, number: u64) -> bool {
    let id = format!("c{number:015x}");
    let target = format!("{NEW_ROUTE}2f");
    let call = client::Call { method: "GET", target: &target, id: &id, deadline_ms: 1_000, headers: "", body: b"", key: crate::KEY };
    let sent = record.now();
    let status = client::send(vm.entry, &call).unwrap_or_default().status;
    record.line(&format!("{id} sent to {} at {sent} ms on the new route: status {status}", vm.name));
    status == 404
}
