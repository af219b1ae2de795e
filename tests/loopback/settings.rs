//! Sizes of test clusters, and the settings files of their controllers.

use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of the controllers and of the initial machines.
pub const FIRST_ZONE: &str = "a";

/// Returns the text of the settings file of controller `node`.
pub fn settings(
    node: usize,
    listen: &[SocketAddr],
    peer: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
    size: &Size,
) -> String {
    // Clusters with nested quotas or several shards have three more teams, each with a guarantee of two cpus.
    let more_teams = match size.quotas.as_ref().or(size.sharding_file.as_ref()) {
        Some(_) => {
            ["n1", "n2", "s1"].map(|team| format!("[[cluster.teams]]\nname = \"{team}\"\ncpus = 2.0\n")).concat()
        }
        None => String::new(),
    };
    let limited = |(name, max): &(&str, f64)| format!("[[cluster.teams]]\nname = \"{name}\"\ncpus_max = {max:.1}\n");
    let more_teams = more_teams + &size.teams.iter().map(limited).collect::<String>();
    let (lease, cancel, cpus) = (size.lease.as_secs_f64(), size.cancel.as_secs_f64(), size.cpus_max);
    let zones = json!(size.zones);
    let mut peers = String::new();
    for (peer_number, address) in peer.iter().enumerate().filter(|(number, _)| *number != node) {
        peers += &format!("[[seeds]]\nhost_name = \"n{peer_number}\"\ndomain = \"a\"\naddress = \"{address}\"\n");
    }
    format!(
        "host_name = \"n{node}\"\ndomain = \"a\"\nbind = \"{}\"\npeer_listen = \"{}\"\n{peers}\
         [services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
         [cluster]\nzones = {zones}\n[[cluster.teams]]\nname = \"red\"\ncpus_max = {cpus:.1}\n{more_teams}\
         [cluster.workers]\nreport_s = 0.3\nlease_s = {lease:.1}\ncancel_s = {cancel:.1}\n\
         [cluster.state]\nrps = 500.0\nwrite_rps = 300.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
         [cluster.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n",
        listen[node], peer[node]
    )
}

/// The size of a test cluster, and the features that are enabled in it.
pub struct Size {
    pub nodes: usize,
    /// The number of initial machines, all in [`FIRST_ZONE`].
    pub workers: usize,
    pub zones: Vec<&'static str>,
    /// Duration of a worker's lease.
    pub lease: Duration,
    /// The time in which all tasks of a cancelled job have to end.
    pub cancel: Duration,
    /// How long a leadership record outlives its last renewal.
    pub leadership_ttl: Duration,
    /// The limit of team red in cpus; 0 means none.
    pub cpus_max: f64,
    /// Other teams, and their limits in cpus.
    pub teams: Vec<(&'static str, f64)>,
    /// The text of the quota file, if quotas are nested.
    pub quotas: Option<String>,
    /// The text of the file for elastic jobs, if they are enabled.
    pub elastic: Option<String>,
    /// The text of the sharding file, if there are several shards.
    pub sharding_file: Option<String>,
    /// Whether the connections between controllers can be cut.
    pub cuttable: bool,
}

impl Size {
    /// Returns a cluster of one shard without limits and without optional features.
    pub fn of(nodes: usize, workers: usize, lease_s: u64) -> Size {
        let lease = Duration::from_secs(lease_s);
        Size {
            nodes,
            workers,
            zones: vec![FIRST_ZONE],
            lease,
            cancel: Duration::from_secs(10),
            leadership_ttl: Duration::from_secs(4),
            cpus_max: 0.0,
            teams: Vec::new(),
            quotas: None,
            elastic: None,
            sharding_file: None,
            cuttable: false,
        }
    }
}
