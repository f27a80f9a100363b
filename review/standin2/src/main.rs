//! Stand-ins and scenarios of the second review: `standin2 CASE RECORD`, run in the repository's root.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` the same happens without the disruption.

mod client;
mod edge;
mod engine;
mod grace;
mod http;
mod left;
mod record;
mod removed;
mod revived;
mod stale;
mod store;

pub const LLM: &str = "huvo11a";
pub const APP: &str = "wuno96b";
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Ends the run of a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// A configuration like the example of the users' pages.
pub fn configuration(version: u64) -> String {
    configuration_with(version, "", KEY)
}

/// The same with further routes, each with its comma, and other keys of the tenant.
pub fn configuration_with(version: u64, routes: &str, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}
{{"name":"r-long","host":"{HOST}","path_prefix":"/lohu930/","type":"stream","timeout_ms":39000,"target_latency_ms":1800,"priority":0,"service":"{LLM}","attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":180}},
{{"name":"r-once","host":"{HOST}","path_prefix":"/pule252/","type":"unsafe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"{APP}","attempts":1,"public":false,"sticky":false,"resumable":false}},
{{"name":"r-safe","host":"{HOST}","path_prefix":"/puxa403/","type":"safe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"{APP}","attempts":2,"public":false,"sticky":false,"resumable":false}}],
"services":[{{"name":"{LLM}","health_path":"/healthz","max_conns":302,"protocol":"h1","tls":false,"engine":{{"slots":32,"kv_capacity":34484,"kv_bytes":327680,"bandwidth_mbps":47000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}},
{{"name":"{APP}","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"huka270","api_keys":["{keys}"],"priority":1}}]}}"#
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        cannot_run("give the case and the file of the record");
    };
    let record = record::Record::create(&path);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("standin2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        cannot_run(&format!("{}: {error}", folder.display()));
    }
    let run = || match case.as_str() {
        "stale" => stale::run(&record, &folder.to_string_lossy(), trouble),
        "grace" => grace::run(&record, &folder.to_string_lossy(), trouble),
        "removed" => removed::run(&record, &folder.to_string_lossy(), trouble),
        "revived" => revived::run(&record, &folder.to_string_lossy(), trouble),
        "left" => left::run(&record, &folder.to_string_lossy(), trouble),
        _ => cannot_run("no such case"),
    };
    let broken = run();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
