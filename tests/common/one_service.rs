//! Settings for tests in which one stand-in serves as both the cloud and the state service.

use lupinspur::settings::Settings;
use std::net::SocketAddr;

/// Returns settings that use this address for all services.
pub fn settings(services: SocketAddr) -> Settings {
    let text = format!(
        "host_name = \"n0\"\ndomain = \"a\"\nbind = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\n\
         [services]\ncloud = \"{services}\"\nstate = \"{services}\"\n\
         [cluster]\nzones = [\"a\"]\n[[cluster.teams]]\nname = \"red\"\n\
         [cluster.workers]\nreport_s = 3.0\nlease_s = 20.0\ncancel_s = 45.0\n\
         [cluster.state]\nrps = 100.0\nwrite_rps = 100.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
         [cluster.cloud]\nrps = 1000.0\nlist_lag_s = 5.0\n"
    );
    Settings::parse(&text).expect("settings")
}
