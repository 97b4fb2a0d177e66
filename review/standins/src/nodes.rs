//! The controllers, started as separate processes with the `run` command of the deploy file.

use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};

use crate::record::Record;

pub const REPORT_S: f64 = 3.0;
pub const LEASE_S: f64 = 45.0;
pub const CANCEL_S: f64 = 65.0;

pub struct Nodes {
    pub public: Vec<String>,
    files: Vec<String>,
    folder: String,
    processes: Vec<Option<Child>>,
    record: Record,
}

fn free_addresses(count: usize) -> Vec<String> {
    // Addresses of 127.0.0.1 may be taken by connections meanwhile.
    (0..count)
        .map(|_| knotlanding_testbed::message::free_address())
        .collect()
}

/// The program and its arguments in `deploy/service.toml`.
fn run_command() -> Vec<String> {
    let file = std::fs::read_to_string("deploy/service.toml").unwrap();
    let line = file
        .lines()
        .find(|line| line.starts_with("run = "))
        .unwrap();
    let command = line.trim_start_matches("run = ").trim_matches('"');
    command.split_whitespace().map(str::to_owned).collect()
}

impl Nodes {
    /// Writes the settings files and starts three nodes. `states` has the address of the state service
    /// for each node.
    pub fn start(folder: &str, states: &[String], cloud: &str, record: Record) -> Self {
        let public = free_addresses(states.len());
        let peers = free_addresses(states.len());
        let mut nodes = Self {
            public,
            files: Vec::new(),
            folder: folder.to_owned(),
            processes: Vec::new(),
            record,
        };
        for (node, state) in states.iter().enumerate() {
            let text = nodes.settings(node, state, &peers, cloud);
            let file = format!("{folder}/node-{node}.toml");
            std::fs::write(&file, text).unwrap();
            nodes.files.push(file);
            nodes.processes.push(None);
            nodes.start_node(node);
        }
        nodes
    }

    fn settings(&self, node: usize, state: &str, peers: &[String], cloud: &str) -> String {
        let areas = ["karachi", "lahore", "karachi"];
        let known: String = (0..peers.len())
            .filter(|other| *other != node)
            .map(|other| {
                let (area, address) = (areas[other % 3], &peers[other]);
                format!("[[known]]\nmember = \"knot-{other}\"\narea = \"{area}\"\npeer_addr = \"{address}\"\n\n")
            })
            .collect();
        format!(
            r#"member = "knot-{node}"
area = "{area}"
public_addr = "{public}"
peer_bind = "{peer}"

{known}[external]
cloud = "{cloud}"
state = "{state}"

[params]
count = {count}
zones = ["karachi", "lahore"]
clock_off_ms = 25.0

[[params.teams]]
name = "gridops"
cpus = 0.0
cpus_max = 0.0
gpus = 24.0
gpus_max = 88.0

[[params.objectives]]
kind = "wait"
class = "bidseal"
within_s = 35.0
share = 0.82

[[params.objectives]]
kind = "finished"
class = "loadcast"
within_s = 180.0
share = 0.96

[params.workers]
report_s = {REPORT_S:.1}
lease_s = {LEASE_S:.1}
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = {CANCEL_S:.1}

[params.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 32

[params.cloud]
rps = 6.0
list_lag_s = 4.0

[params.resources]
cores = 0.096
mem_mb = 136.0
max_sockets = 3500
"#,
            area = areas[node % 3],
            public = self.public[node],
            peer = peers[node],
            count = peers.len(),
        )
    }

    /// Starts a node; its log goes into a file of the temporary folder.
    pub fn start_node(&mut self, node: usize) {
        let command = run_command();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(format!("{}/node-{node}.log", self.folder))
            .unwrap();
        let mut command_line = Command::new(&command[0]);
        // A node ends with this test, also if the test is killed.
        unsafe {
            command_line.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command_line
            .args(&command[1..])
            .arg(&self.files[node])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("error".to_owned()),
            )
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.record
            .line(format!("knot-{node} started, process {}", child.id()));
        self.processes[node] = Some(child);
    }

    /// Kills a node without any notice to it.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.processes[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("knot-{node} killed"));
        }
    }

    pub fn pid(&self, node: usize) -> i32 {
        self.processes[node]
            .as_ref()
            .map_or(0, |child| child.id() as i32)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self, node: usize) -> bool {
        let child = self.processes[node].as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn signal(&self, node: usize, signal: i32) {
        send_signal(self.pid(node), signal);
    }
}

/// Sends a signal to a process that this test has started.
pub fn send_signal(pid: i32, signal: i32) {
    if pid > 0 {
        unsafe { libc::kill(pid, signal) };
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in 0..self.processes.len() {
            self.signal(node, libc::SIGCONT);
            self.kill(node);
        }
    }
}
