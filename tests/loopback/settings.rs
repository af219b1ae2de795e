//! Sizes of stand-in clusters, and the settings files of their controllers.

use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of the controllers, and of the machines with which a cluster starts.
pub const FIRST_ZONE: &str = "a";

pub fn settings(
    i: usize,
    listen: &[SocketAddr],
    peer: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
    size: &Size,
) -> String {
    // Where quotas nest there are three more teams, guaranteed two cpus each.
    let more = match size.quotas.as_ref().or(size.cells.as_ref()) {
        Some(_) => ["n1", "n2", "s1"].map(|t| format!("[[cluster.teams]]\nname = \"{t}\"\ncpus = 2.0\n")).concat(),
        None => String::new(),
    };
    let limited = |(name, max): &(&str, f64)| format!("[[cluster.teams]]\nname = \"{name}\"\ncpus_max = {max:.1}\n");
    let more = more + &size.teams.iter().map(limited).collect::<String>();
    let (lease, cancel, cpus) = (size.lease.as_secs_f64(), size.cancel.as_secs_f64(), size.cpus_max);
    let zones = json!(size.zones);
    let mut peers = String::new();
    for (j, a) in peer.iter().enumerate().filter(|(j, _)| *j != i) {
        peers += &format!("[[seeds]]\nhost_name = \"n{j}\"\ndomain = \"a\"\naddress = \"{a}\"\n");
    }
    format!(
        "host_name = \"n{i}\"\ndomain = \"a\"\nbind = \"{}\"\npeer_listen = \"{}\"\n{peers}\
         [services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
         [cluster]\nzones = {zones}\n[[cluster.teams]]\nname = \"red\"\ncpus_max = {cpus:.1}\n{more}\
         [cluster.workers]\nreport_s = 0.3\nlease_s = {lease:.1}\ncancel_s = {cancel:.1}\n\
         [cluster.state]\nrps = 500.0\nwrite_rps = 300.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
         [cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n",
        listen[i], peer[i]
    )
}

/// How large a stand-in cluster is, and what is enabled in it.
pub struct Size {
    pub nodes: usize,
    /// Those that are there from the start, in [`FIRST_ZONE`].
    pub workers: usize,
    pub zones: Vec<&'static str>,
    pub lease: Duration,
    /// When the tasks of a cancelled job must be gone.
    pub cancel: Duration,
    /// How long a controller's claim outlives its last renewal.
    pub claim: Duration,
    pub cpus_max: f64,
    /// Teams beside red, and their limits.
    pub teams: Vec<(&'static str, f64)>,
    /// The operators' file of quotas, if quotas nest.
    pub quotas: Option<String>,
    /// The operators' file of elastic jobs, if there are some.
    pub elastic: Option<String>,
    /// The operators' file of shards, if there are several.
    pub cells: Option<String>,
    /// The ways between controllers can be cut.
    pub cuttable: bool,
}

impl Size {
    /// Of one shard, without limits and files of features.
    pub fn of(nodes: usize, workers: usize, lease_s: u64) -> Size {
        let lease = Duration::from_secs(lease_s);
        Size {
            nodes,
            workers,
            zones: vec![FIRST_ZONE],
            lease,
            cancel: Duration::from_secs(10),
            claim: Duration::from_secs(4),
            cpus_max: 0.0,
            teams: Vec::new(),
            quotas: None,
            elastic: None,
            cells: None,
            cuttable: false,
        }
    }
}
