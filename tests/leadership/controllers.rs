//! Starts real controller processes with stand-ins for the state service and the cloud.

use crate::http::{free_port, lock, server};
use crate::state_service::{LEADERSHIP_KEY, Store, state_service};
use http_types::Method;
use lupinspur::http::{Client, Incoming, Outgoing};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Answers a request to the cloud: one machine type, and no capacity.
pub async fn cloud(request: Incoming) -> Outgoing {
    match (request.method, request.path.as_str()) {
        (_, "/flavors") => Outgoing::json(
            200,
            &json!({"strains": [{"name": "m8", "cpus": 8, "cards": 0, "memory_gb": 16, "local_gb": 10,
                "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 2, "fields": ["a"]}]}),
        ),
        (Method::Get, _) => Outgoing::json(200, &json!({"plots": [], "has_next": false})),
        _ => Outgoing::json(503, &json!({"error": "no capacity"})),
    }
}

/// Returns the submission of a job with one task of one CPU.
pub fn job_request(id: &str) -> Value {
    json!({"id": id, "breed": "any", "herd": "red", "habit": "batch", "precedence": "standard", "seeds": 1,
        "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "same_place": false, "scatter": false, "fallow": false,
        "bulb": "img", "pull_gb": 0.0, "expected_s": 1.0, "pressing_s": 0.0, "pressing_cost_s": 0.0})
}

/// A set of controllers with their state service.
pub struct Controllers {
    pub store: Arc<Mutex<Store>>,
    addresses: Vec<SocketAddr>,
    commands: Vec<Command>,
    processes: Vec<Child>,
    folder: PathBuf,
}

impl Controllers {
    /// Starts `count` controllers at once; the settings allow `requests_per_s` requests to the state service.
    pub fn start(name: &str, count: usize, requests_per_s: f64) -> Controllers {
        Controllers::start_with(name, count, requests_per_s, None)
    }

    /// Starts the controllers with a sharding file, if `cells` holds its text.
    pub fn start_with(name: &str, count: usize, requests_per_s: f64, cells: Option<&str>) -> Controllers {
        let mut controllers = Controllers::prepare(name, count, requests_per_s, cells);
        (0..count).for_each(|index| controllers.start_one(index));
        controllers
    }

    /// Writes the settings of the controllers without starting any of them.
    pub fn prepare(name: &str, count: usize, requests_per_s: f64, cells: Option<&str>) -> Controllers {
        let store: Arc<Mutex<Store>> = Arc::default();
        let cloud_address = server(cloud);
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let folder = std::env::temp_dir().join(format!("lupinspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let sharding_file = folder.join("cells.toml");
        if let Some(text) = cells {
            std::fs::write(&sharding_file, text).expect("the sharding file is written");
        }
        let command = |node: usize| {
            let served = store.clone();
            let state_address = server(move |request| state_service(served.clone(), node, request));
            let others = (0..count).filter(|other| *other != node);
            let others: String = others
                .map(|other| {
                    format!("[[seeds]]\nhost_name = \"n{other}\"\ndomain = \"a\"\naddress = \"{}\"\n", peers[other])
                })
                .collect();
            let text = format!(
                "host_name = \"n{node}\"\ndomain = \"a\"\nbind = \"{}\"\npeer_listen = \"{}\"\n{others}\
                 [services]\ncloud = \"{cloud_address}\"\nstate = \"{state_address}\"\n\
                 [cluster]\nzones = [\"a\"]\n[[cluster.teams]]\nname = \"red\"\ncpus_max = 8.0\n\
                 [cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 25.0\n\
                 [cluster.state]\nrps = {requests_per_s:.1}\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
                 [cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n",
                addresses[node], peers[node]
            );
            let file = folder.join(format!("n{node}.toml"));
            std::fs::write(&file, text).expect("a settings file");
            let mut program = Command::new(env!("CARGO_BIN_EXE_lupinspur"));
            if cells.is_some() {
                program.arg("--cells").arg(&sharding_file);
            }
            let level = std::env::var("TEST_LOG").unwrap_or("error".into());
            program.arg("--config").arg(file).env("LOG_LEVEL", level).stderr(Stdio::inherit());
            program
        };
        let commands = (0..count).map(command).collect();
        Controllers { store, addresses, commands, processes: Vec::new(), folder }
    }

    /// Replaces a part of one controller's settings before it is started.
    pub fn change_settings(&self, node: usize, from: &str, to: &str) {
        let file = self.folder.join(format!("n{node}.toml"));
        let text = std::fs::read_to_string(&file).expect("a settings file");
        assert!(text.contains(from), "the settings should contain {from}");
        std::fs::write(file, text.replace(from, to)).expect("a settings file");
    }

    /// Starts one controller.
    pub fn start_one(&mut self, node: usize) {
        self.processes.push(self.commands[node].spawn().expect("the program starts"));
    }

    /// Waits until a leadership record is stored.
    pub fn until_elected(&self) {
        let began = Instant::now();
        while !lock(&self.store).values.contains_key(LEADERSHIP_KEY) {
            assert!(began.elapsed() < Duration::from_secs(20), "a controller should be elected within 20 s");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the index of the leader.
    pub fn leader(&self) -> usize {
        let store = lock(&self.store);
        let node = store.values.get(LEADERSHIP_KEY).and_then(|v| v.value["node"].as_str()).expect("a leader");
        node.trim_start_matches('n').parse().expect("a controller's number")
    }

    /// Sends a request to one controller; status 0 means no response.
    pub fn ask(&self, at: usize, method: Method, path: &str, body: Option<Value>) -> (u16, Value) {
        let client = Client::new(0, 0);
        let body = body.map(|body| body.to_string().into_bytes());
        let call = client.call(self.addresses[at], method, path, body, Duration::from_secs(5));
        let (status, answer) = async_io::block_on(call).unwrap_or((0, Vec::new()));
        (status, serde_json::from_slice(&answer).unwrap_or_default())
    }

    /// Submits a job at one controller and returns the status.
    pub fn submit(&self, at: usize, id: &str) -> u16 {
        self.ask(at, Method::Post, "/work", Some(job_request(id))).0
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
