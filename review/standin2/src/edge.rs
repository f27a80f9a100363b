//! Entry VMs: processes of `pollenedge`, started as the deploy file says.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

pub const PROGRAM: &str = "target/release/pollenedge";

pub struct Vm {
    pub name: String,
    pub child: Child,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    pub settings: String,
}

/// Ports of a VM; the same on all machines.
const ENTRY: u16 = 8740;
const READY: u16 = 8749;
const CONTROL: u16 = 8748;
const LOOKUP: u16 = 8746;
const METRICS: u16 = 9464;
const LINK: u16 = 7200;

/// Loopback network of this run, whose ports are free: 127.A.B.x.
pub fn free_network() -> [u8; 2] {
    let id = std::process::id();
    for draw in 0..200 {
        let network = [64 + ((id >> 8) as u8 & 63), (id as u8).wrapping_add(draw)];
        let ports = [ENTRY, READY, LOOKUP, METRICS, LINK, LINK + 1, 8742, 8080];
        let free = (1..60).all(|host| {
            ports.iter().all(|port| host > 9 && *port != 8080 || TcpListener::bind(address(network, host, *port)).is_ok())
        });
        if free {
            return network;
        }
    }
    crate::cannot_run("no free loopback addresses")
}

pub fn address(network: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network[0], network[1], host), port))
}

impl Vm {
    /// Writes the settings file and starts the process.
    pub fn start(network: [u8; 2], host: u8, store: SocketAddr, folder: &str, record: &Record) -> Self {
        let at = |port| address(network, host, port);
        let name = format!("edge-hall-a-{host}");
        let seeds: Vec<_> = (1..4).map(|host| format!("\"{}\"", address(network, host, CONTROL))).collect();
        let text = format!(
            r#"{{"node_name":"{name}","role":"entry","machine_class":"edge","serves":["edge","registry"],"ip":"{}","zone":"hall-a","region":"hcmc",
"zones":{{"hall-a":"hcmc"}},"listen":{{"frontend":"{}","readiness":"{}","control_plane":"{}","registry":"{}"}},"port_range":[7200,7215],
"seeds":[{}],"bootstrap":true,"in_tolerance":false,"limits":{{"cpu_quota":0.25,"cpus":1,"memory_mb":110,"max_fds":4100,"bandwidth_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"registry","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,
"retry_slack":54,"recover_s":12,"pass_ms":120,"retry_after_s":4.7,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#,
            at(ENTRY).ip(), at(ENTRY), at(READY), at(CONTROL), at(LOOKUP), seeds.join(",")
        );
        let settings = format!("{folder}/boot-{host}.json");
        fs::write(&settings, text).unwrap_or_else(|error| crate::cannot_run(&format!("{settings}: {error}")));
        let child = spawn(&settings, folder, host);
        record.line(&format!("{name} starts"));
        Self { name, child, entry: at(ENTRY), ready: at(READY), lookup: at(LOOKUP), settings }
    }

    /// Waits until the platform's readiness check succeeds.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if crate::client::get(self.ready, "/pollenchute/readyz") == Some(200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run(&format!("{} is not ready", self.name));
    }
}

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

impl Vm {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces a part of the settings file.
    pub fn change_settings(&self, before: &str, after: &str) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        if !text.contains(before) || fs::write(&self.settings, text.replace(before, after)).is_err() {
            crate::cannot_run("the settings file can't be changed");
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &str, folder: &str, host: u8) -> Child {
    let output = |name: &str| match File::create(format!("{folder}/{name}-{host}.log")) {
        Ok(file) => Stdio::from(file),
        Err(_) => Stdio::null(),
    };
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("POLLENCHUTE_CONFIG", settings);
    command.stdin(Stdio::null()).stdout(output("out")).stderr(output("err"));
    command.spawn().unwrap_or_else(|error| crate::cannot_run(&format!("{PROGRAM}: {error}")))
}
