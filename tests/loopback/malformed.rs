//! Malformed heartbeats and malformed messages between controllers are rejected and change nothing.

use crate::cluster::Cluster;
use crate::http::{EXECUTOR, lock};
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use lupinspur::peer::{Outcome, Peers, Verb, query_quotas};
use lupinspur::settings::Settings;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const NODES: usize = 3;
const SERVICE: &str = "req-000701";
const REPLICAS: u32 = 2;
/// Fields without which a heartbeat is malformed. `reclaim_s` may be null or missing.
const REQUIRED: [&str; 9] = ["plot", "addr", "strain", "field", "fallow", "season", "tally", "warrant", "seeds"];
/// Counter of the malformed heartbeats. If one of them was accepted, the machine's real heartbeats would be outdated
/// for a long time.
const FAR_AHEAD: u64 = 1_000_000;
/// Several heartbeats of each machine.
const PAUSE_TIME: Duration = Duration::from_secs(2);

/// Returns a worker's heartbeat as it would be sent, except for its counter.
fn heartbeat(cluster: &Cluster, worker: usize) -> Value {
    let mut body = lock(&cluster.workers)[worker].heartbeat();
    body["tally"] = json!(FAR_AHEAD);
    body
}

/// Returns the bodies of heartbeats that are wrong in one way each.
fn malformed_heartbeats(good: &Value) -> Vec<Vec<u8>> {
    let with = |path: &[&str], value: Value| {
        let mut body = good.clone();
        match path {
            [field] => body[*field] = value,
            [list, field] => body[*list][0][*field] = value,
            _ => unreachable!("a field of the heartbeat, or one of its first task"),
        }
        body
    };
    let without = |field: &str| {
        let mut body = good.clone();
        body.as_object_mut().expect("an object").remove(field);
        body
    };
    let mut all: Vec<Value> = REQUIRED.iter().map(|field| without(field)).collect();
    all.extend(REQUIRED.iter().map(|field| with(&[field], Value::Null)));
    all.extend([
        json!([]),
        json!(null),
        with(&["plot"], json!("")),
        with(&["plot"], json!(7)),
        with(&["addr"], json!("nowhere")),
        with(&["fallow"], json!("no")),
        with(&["season"], json!(0)),
        with(&["season"], json!(-1)),
        with(&["tally"], json!(1.5)),
        with(&["warrant"], json!("41")),
        with(&["reclaim_s"], json!("soon")),
        with(&["seeds"], json!({})),
        with(&["seeds"], json!([7])),
        with(&["seeds", "seed"], json!(null)),
        with(&["seeds", "sowing"], json!("1")),
        with(&["seeds", "bloom"], json!(null)),
    ]);
    let mut bytes: Vec<Vec<u8>> = all.iter().map(|body| serde_json::to_vec(body).expect("JSON")).collect();
    let text = serde_json::to_vec(good).expect("JSON");
    bytes.extend([Vec::new(), b"not JSON".to_vec(), text[..text.len() - 1].to_vec(), b"\xff\xfe".to_vec()]);
    bytes
}

/// Returns the worker and the attempt of each task of the service.
fn placed(cluster: &Cluster) -> BTreeMap<String, (usize, u64)> {
    let workers = lock(&cluster.workers);
    let tasks_on = |(index, worker): (usize, &crate::workers::Worker)| {
        let tasks = worker.tasks.iter().filter(|(name, task)| name.starts_with(SERVICE) && task.ended().is_none());
        tasks.map(|(name, task)| (name.clone(), (index, task.attempt))).collect::<Vec<_>>()
    };
    workers.iter().enumerate().flat_map(tasks_on).collect()
}

fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, Size::of(NODES, 2, 4));
    let user = User { client: Client::new(0, 0) };
    assert!(SERVICE.starts_with(SERVICES));
    let service = job(SERVICE, "standing", REPLICAS);
    user.ask_until(&cluster.listen, Method::Post, "/work", Some(&service), |s, _| s == 201 || s == 200);
    let path = format!("/work/{SERVICE}");
    user.ask_until(&cluster.listen, Method::Get, &path, None, |s, v| s == 200 && v["running"] == REPLICAS);
    cluster
}

/// Checks that the placement is unchanged, and that all machines are still used.
fn check_nothing_changed(cluster: &Cluster, before: &BTreeMap<String, (usize, u64)>) {
    std::thread::sleep(PAUSE_TIME);
    assert_eq!(&placed(cluster), before, "no task was moved or started again");
    let user = User { client: Client::new(0, 0) };
    let array = job("req-0401", "batch", 14);
    user.ask_until(&cluster.listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    user.ask_until(&cluster.listen, Method::Get, "/work/req-0401", None, |s, v| s == 200 && v["bloom"] == "done");
    let both_ran = lock(&cluster.workers).iter().all(|w| w.last_start_of_job.contains_key("req-0401"));
    assert!(both_ran, "both machines run tasks of the array");
    assert_eq!(&placed(cluster), before, "no task was moved or started again");
    cluster.check_invariants();
}

#[test]
fn a_malformed_heartbeat_is_refused_by_every_controller_and_changes_nothing() {
    let cluster = start("malformed-reports");
    let user = User { client: Client::new(1, 4) };
    let before = placed(&cluster);
    let worker = before.values().next().expect("a task").0;
    let heartbeats = malformed_heartbeats(&heartbeat(&cluster, worker));
    let mut accepted = Vec::new();
    for bytes in heartbeats {
        for at in &cluster.listen {
            let (status, answer) = user.ask(*at, Method::Post, "/checkin", Some(bytes.clone()));
            if status != 400 {
                accepted.push(format!("{status} {answer}: {}", String::from_utf8_lossy(&bytes)));
            }
        }
    }
    assert!(accepted.is_empty(), "{} malformed heartbeats were not rejected: {accepted:#?}", accepted.len());
    check_nothing_changed(&cluster, &before);
}

/// Sends bytes to a controller's address for other controllers, and reads until the connection is closed.
fn send_raw(at: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("the time limit is set");
    stream.write_all(bytes).expect("sent");
    let _closed_or_silent = stream.read_to_end(&mut Vec::new());
}

#[test]
fn a_malformed_message_between_controllers_is_refused_and_changes_nothing() {
    let cluster = start("malformed-messages");
    let before = placed(&cluster);
    let http1 = b"POST /lupinspur.peer.v1.Owner/Ask HTTP/1.1\r\nhost: owner\r\ncontent-length: 2\r\n\r\n{}";
    let preface_and_junk = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice(), &[0xff; 64]].concat();
    for at in &cluster.peer {
        [b"junk".as_slice(), http1, &preface_and_junk].iter().for_each(|bytes| send_raw(*at, bytes));
        let answer = async_io::block_on(query_quotas(&EXECUTOR, *at, "no job"));
        assert_eq!(answer.map_err(|error| error.to_string()).err().as_deref(), Some("job id is malformed"));
    }
    let settings = |node: usize| Settings::load(&cluster.dir.join(format!("n{node}.toml"))).expect("settings");
    let (all, leader) = (settings(0), format!("n{}", cluster.wait_for_leader()));
    // Sends the requests to the leader from the settings of another controller.
    let peers = if leader == "n0" { Peers::new(&EXECUTOR, &settings(1)) } else { Peers::new(&EXECUTOR, &all) };
    let ask = |verb, job: &str, shard| async_io::block_on(peers.ask(&leader, verb, (job, shard), None));
    for job in ["", "no job", "req-", "../own/0", &"9".repeat(9000)] {
        for verb in [Verb::Show, Verb::Cancel] {
            assert!(ask(verb, job, 0).is_none(), "{verb:?} {job:.20} gets no response");
        }
    }
    assert!(ask(Verb::Cancel, SERVICE, 7).is_none(), "a request for a shard that does not exist gets no response");
    let good = ask(Verb::Show, SERVICE, 0).expect("the leader answers a correct request");
    assert_eq!((good.outcome(), good.state.as_str()), (Outcome::Known, "running"));
    check_nothing_changed(&cluster, &before);
}
