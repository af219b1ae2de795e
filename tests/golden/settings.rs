//! The settings file of the platform. Most fields are optional, so a field that is read under a wrong name would
//! silently get its default.

use lupinspur::wire::*;

fn read() -> SettingsFile {
    toml::from_str(include_str!("settings.toml")).expect("the sample can be read")
}

#[test]
fn settings_of_the_controllers() {
    let SettingsFile { node, zone, listen, peer_listen, peers, services, .. } = read();
    assert_eq!((node.as_str(), zone.as_str()), ("sprig-1", "a"));
    assert_eq!((listen.as_str(), peer_listen.as_str()), ("10.1.0.1:8000", "10.1.0.1:8001"));
    let [SettingsPeer { node, zone, addr }] = peers.as_slice() else { panic!("one peer") };
    assert_eq!((node.as_str(), zone.as_str(), addr.as_str()), ("sprig-2", "b", "10.1.0.2:8001"));
    assert_eq!((services.cloud.as_str(), services.state.as_str()), ("10.1.0.3:80", "10.1.0.4:80"));
}

/// Error messages about settings use these names.
#[test]
fn names_of_settings() {
    assert_eq!((SETTINGS_NODE, SETTINGS_ZONE, SETTINGS_LISTEN), ("host_name", "domain", "bind"));
    assert_eq!((SETTINGS_PEERS, SETTINGS_PEER_ADDR), ("seeds", "seeds.address"));
}

#[test]
fn settings_of_teams_and_objectives() {
    let params = read().params;
    assert_eq!(params.zones, ["a", "b", "c"]);
    assert_eq!(params.time_bound_ms, 250.0);
    let team = &params.teams[0];
    assert_eq!(team.name, "vision");
    assert_eq!([team.cpus, team.cpus_max, team.gpus, team.gpus_max], [1.5, 2.5, 3.5, 4.5]);
    let objective = &params.objectives[0];
    assert_eq!((objective.kind.as_str(), objective.class.as_deref()), ("start", Some("train")));
    assert_eq!([objective.within_s, objective.after_s, objective.times], [Some(5.5), Some(6.5), Some(7.5)]);
}

#[test]
fn settings_of_workers_services_and_limits() {
    let SettingsParams { workers, state, cloud, limits, .. } = read().params;
    assert_eq!([workers.report_s, workers.lease_s, workers.cancel_s], [3.5, 20.5, 45.5]);
    assert_eq!([state.rps, state.write_rps, state.value_kb], [100.5, 30.5, 4.5]);
    assert_eq!(state.txn_ops, 8);
    let next = state.next.expect("limits to come");
    assert_eq!([next.rps, next.write_rps, next.value_kb], [Some(101.5), Some(31.5), Some(5.5)]);
    assert_eq!(next.txn_ops, Some(9));
    assert_eq!([cloud.rps, cloud.list_lag_s], [6.5, 7.5]);
    assert_eq!((limits.max_connections, limits.memory_mb), (Some(3571), Some(512.5)));
}
