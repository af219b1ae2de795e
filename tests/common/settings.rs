//! Settings for tests that run the scheduler without sockets.

/// Returns the settings of a deployment with three zones; `teams` holds its teams and objectives in TOML.
pub fn settings(teams: &str) -> String {
    [HEAD, teams, LIMITS].concat()
}

const HEAD: &str = r#"
host_name = "n0"
domain = "a"
bind = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
zones = ["a", "b", "c"]
"#;

const LIMITS: &str = r#"
[cluster.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 45.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 4.0
txn_ops = 8
[cluster.cloud]
rps = 5.0
list_lag_s = 5.0
"#;
