//! Machine transfers of a single shard's leader: which of its machines it sets aside for another shard.

use lupinspur_model::stored::types;
use lupinspur_scheduler::params::{Params, Team, Tuning};
use lupinspur_scheduler::shard::{LoadedState, Shard};
use lupinspur_sharding::ShardId;
use lupinspur_wire::{Heartbeat, ListedMachine};
use serde_json::json;
use std::collections::HashMap;

const TOKEN: u64 = 7;
const HEARTBEAT_INTERVAL_S: f64 = 3.0;
const MACHINES: usize = 6;
const STEP_S: f64 = 0.1;
/// Seconds simulated: long enough that unused machines are past their first minute, which is paid in any case.
const SIMULATED_S: f64 = 120.0;

fn params() -> Params {
    let team = Team { name: "red".into(), cpus: 0.0, cpus_max: 0.0, accelerators: 0.0, accelerators_max: 0.0 };
    Params {
        teams: vec![team],
        zones: vec!["a".into(), "b".into(), "c".into()],
        objectives: HashMap::new(),
        report_s: HEARTBEAT_INTERVAL_S,
        lease_s: 20.0,
        cancel_s: 45.0,
        list_lag_s: 5.0,
        time_bound_s: 0.0,
        value_kb: 4.0,
        value_bytes: 3968,
    }
}

fn name(machine: usize) -> String {
    format!("host-{machine:06}")
}

fn zone(machine: usize) -> &'static str {
    ["a", "b", "c"][machine % 3]
}

fn heartbeat(machine: usize, seq: u64) -> Heartbeat {
    Heartbeat {
        machine: name(machine),
        addr: "127.0.0.1:9".into(),
        type_name: "m32".into(),
        zone: zone(machine).into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        token: TOKEN,
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn listed(machine: usize, now: f64) -> ListedMachine {
    serde_json::from_value(json!({"id": name(machine), "addr": "127.0.0.1:9", "strain": "m32",
        "field": zone(machine), "fallow": false, "bloom": "running", "held_s": now + 100.0}))
    .expect("a machine")
}

/// Simulates a shard with idle machines and an order to transfer this many CPUs to another shard. Returns the number of
/// machines that it has set aside at the end.
fn set_aside(ordered_cpus: f64) -> usize {
    let tuning = Tuning { leader_lease_s: 4.0, ..Tuning::default() };
    let mut shard = Shard::new(&params(), tuning, TOKEN, types(), LoadedState::default(), 0.0);
    let other_shard = ShardId(1);
    let mut revision = 100;
    let steps_between_heartbeats = (HEARTBEAT_INTERVAL_S / STEP_S) as u64;
    for step in 0..(SIMULATED_S / STEP_S) as u64 {
        let now = step as f64 * STEP_S;
        shard.state_service_writable = true;
        if step % steps_between_heartbeats == 0 {
            (0..MACHINES).for_each(|m| _ = shard.on_heartbeat(&heartbeat(m, step + 1), now));
            let list: Vec<ListedMachine> = (0..MACHINES).map(|m| listed(m, now)).collect();
            shard.on_list(&list, false, now);
        }
        if shard.pending_transfers().is_empty() {
            shard.set_rebalance_order(Some((other_shard, ordered_cpus)), 6.0);
        }
        shard.tick(now);
        let writes = shard.next_writes(8, 50_000, 8, now);
        revision += 1;
        shard.on_leadership_confirmed(revision);
        shard.on_writes_applied(writes, revision, now);
        _ = shard.next_push(now);
    }
    shard.pending_transfers().len()
}

/// Guards against a shard that gets no machine because it lacks less than a whole one, so that its job waits for ever.
#[test]
fn a_whole_machine_is_set_aside_for_a_part_of_one() {
    assert_eq!(set_aside(3.0), 1);
}

#[test]
fn nothing_is_set_aside_without_an_order() {
    assert_eq!(set_aside(0.0), 0);
}
