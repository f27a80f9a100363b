//! Entry VMs: processes of the deploy file's program, on loopback addresses of their own.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// A free loopback IP: the process id makes it differ from that of another run.
pub fn loopback(index: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 | (id >> 8 & 63) as u8,
        id as u8,
        index,
    ))
}

/// Address on a loopback IP of this run.
pub fn address(index: u8, port: u16) -> SocketAddr {
    SocketAddr::new(loopback(index), port)
}

/// Ids of the processes that were started and are not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

pub struct Vm {
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    child: Child,
}

impl Vm {
    /// Starts VM `index` (from 1) with the command of the deploy file, from the repository's root.
    pub fn start(root: &Path, folder: &Path, index: u8, store: SocketAddr) -> io::Result<Self> {
        let ip = loopback(index);
        let zone = ["hall-a", "hall-b", "hall-c"][usize::from(index - 1) % 3];
        let settings = format!(
            r#"{{"node_name":"edge-{zone}-{index}","role":"entry","machine_class":"edge",
"serves":["edge","registry"],"ip":"{ip}","zone":"{zone}","region":"hcmc",
"zones":{{"hall-a":"hcmc","hall-b":"hcmc","hall-c":"hcmc"}},
"listen":{{"frontend":"{ip}:8740","readiness":"{ip}:8749","registry":"{ip}:8746"}},
"port_range":[7200,7215],"seeds":[],"bootstrap":true,"in_tolerance":false,
"limits":{{"cpu_quota":0.25,"cpus":1,"memory_mb":110,"max_fds":4100,"bandwidth_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"registry","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,
"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":54,"recover_s":12,"pass_ms":120,
"retry_after_s":4.7,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,
"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,
"ttl_min_ms":1000}}}}"#
        );
        let path: PathBuf = folder.join(format!("boot-{index}.json"));
        fs::write(&path, settings)?;
        let log = fs::File::create(folder.join(format!("vm-{index}.log")))?;
        let child = Command::new(root.join("target/release/pollenedge"))
            .current_dir(root)
            .env("POLLENCHUTE_CONFIG", &path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        Ok(Self {
            entry: SocketAddr::new(ip, 8740),
            ready: SocketAddr::new(ip, 8749),
            lookup: SocketAddr::new(ip, 8746),
            child,
        })
    }

    pub fn is_ready(&self) -> bool {
        let request = Message {
            method: "GET".into(),
            path: "/pollenchute/readyz".into(),
            headers: vec![("Host".into(), "vm".into())],
            ..Message::default()
        };
        let sent = http::send(self.ready, &request, Duration::from_secs(1));
        sent.is_ok_and(|(response, _)| response.path == "200")
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let (name, id) = (format!("-{name}"), self.child.id().to_string());
        Command::new("kill").args([name, id]).status().map(drop)
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
