//! What a new leader may do before it knows which tasks the recorded machines hold.

use crate::harness::{
    LEASE_S, NEXT_TOKEN, ShardHarness, TEAM_ACCELERATOR_LIMIT, TEAM_CPU_LIMIT, TOKEN, heartbeat, heartbeat_with_token,
    job,
};
use lupinspur_scheduler::fleet::Phase as MachinePhase;
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::CloudCall;
use lupinspur_scheduler::wire::ListedMachine;
use serde_json::json;

/// Starts the next leader at 100 s. The record of h1 names `req-1`, and h1 sends no heartbeats.
fn fail_over_with_silent_machine(harness: &mut ShardHarness) {
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.fail_over(100.0);
}

/// Sends a heartbeat of h2 every second until then, and returns whether a task was assigned to h2.
fn started_on_h2(harness: &mut ShardHarness, from: f64, until: f64) -> bool {
    let mut now = from;
    while now < until {
        harness.receive_heartbeat(&heartbeat_with_token("h2", (1, (now * 10.0) as u64), NEXT_TOKEN, &[]), now);
        harness.tick_until(now + 0.1, now + 0.9);
        now += 1.0;
    }
    harness.first_assignment("h2").is_some()
}

/// Guards `unresolved-for-a-lease` and `unresolved-job-waits`: a silent machine may run the jobs that its record names
/// until its lease has expired.
#[test]
fn what_a_silent_machine_may_hold_starts_nowhere_else_within_its_lease() {
    let mut harness = ShardHarness::new();
    fail_over_with_silent_machine(&mut harness);
    assert!(
        !started_on_h2(&mut harness, 100.1, 99.0 + LEASE_S),
        "nothing may start before the lease of h1 has expired"
    );
    assert!(
        started_on_h2(&mut harness, 100.0 + LEASE_S, 104.0 + LEASE_S),
        "the job starts once the lease of h1 has expired"
    );
}

/// Guard `lease-of-the-silent`: the same for a machine that fell silent after this leader had replied to it.
#[test]
fn the_tasks_of_a_silent_machine_are_gone_after_its_lease() {
    let mut harness = ShardHarness::with_machines(&["h1", "h2"]);
    harness.accept_job(job("req-1", 1, json!({"field": "a"})), 0.7);
    harness.store_all_writes(0.8);
    let (assigned_to, other) = if harness.first_assignment("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    let attempt = harness.first_assignment(assigned_to).expect("a start").attempt;
    harness.receive_heartbeat(&heartbeat(assigned_to, 3, &[("req-1/0", attempt, "running")]), 1.0);
    let mut now = 1.5;
    while now < LEASE_S {
        harness.receive_heartbeat(&heartbeat(other, (now * 10.0) as u64, &[]), now);
        harness.tick_until(now, now + 0.4);
        assert!(
            harness.first_assignment(assigned_to).is_some(),
            "the assignment must stay until the lease has expired, but is gone after {now} s"
        );
        now += 0.5;
    }
    harness.tick_until(now, LEASE_S + 2.0);
    assert!(harness.first_assignment(assigned_to).is_none(), "the task has ended with the lease");
}

/// Asserts that a job that needs half of its team's limit waits until the silent machine is reconciled.
fn assert_waits_for_silent_machine(half_of_a_limit: serde_json::Value) {
    let mut harness = ShardHarness::new();
    fail_over_with_silent_machine(&mut harness);
    harness.receive_heartbeat(&heartbeat_with_token("h2", (1, 5), NEXT_TOKEN, &[]), 100.1);
    harness.accept_job(job("req-2", 1, half_of_a_limit), 100.2);
    harness.tick_until(100.3, 101.0);
    assert!(harness.first_assignment("h2").is_none(), "the team's tasks may occupy all of h1");
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]), 101.1);
    harness.tick_until(101.2, 102.0);
    assert!(
        harness.first_assignment("h2").is_some() || harness.first_assignment("h1").is_some(),
        "h1 is reconciled and empty"
    );
}

/// Guard `unresolved-counts`: any team may use the whole of an unreconciled machine.
#[test]
fn an_unresolved_machine_counts_against_every_limit() {
    assert_waits_for_silent_machine(json!({"herd": "limited", "cpus": TEAM_CPU_LIMIT / 2.0}));
}

/// Guard `usable-knows-us`: a start of an earlier leader may still be executed by a machine that has not seen this
/// leader's fencing token.
#[test]
fn nothing_is_started_on_a_machine_before_it_knows_our_token() {
    let mut harness = ShardHarness::new();
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 1), 0, &[]), 0.1);
    harness.accept_job(job("req-1", 1, json!({})), 0.2);
    harness.tick_until(0.3, 1.0);
    assert!(harness.first_assignment("h1").is_none());
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 2), TOKEN, &[]), 1.1);
    harness.tick_until(1.2, 2.0);
    assert!(harness.first_assignment("h1").is_some());
}

/// Guard `two-values-name-one`: while records of machine groups are being replaced, two of them may name the same
/// machine. It may run the jobs of both.
#[test]
fn a_machine_in_two_records_may_hold_the_jobs_of_both() {
    let mut harness = ShardHarness::new();
    for id in ["req-1", "req-2"] {
        harness.store_job(job(id, 1, json!({})), Phase::Open);
    }
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.store_machine_group(1, "h1", &["req-2"], false);
    harness.fail_over(100.0);
    assert!(!started_on_h2(&mut harness, 100.1, 105.0), "both jobs wait until h1 is reconciled");
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]), 105.1);
    harness.tick_until(105.2, 106.0);
    let placed = harness.machine("h1").assignments.len() + harness.machine("h2").assignments.len();
    assert_eq!(placed, 2, "h1 holds neither job, so both are placed");
}

/// Guard `retiring-stays`: the request to delete a terminating machine may be in flight.
#[test]
fn a_machine_marked_as_retiring_is_never_used_again() {
    let mut harness = ShardHarness::new();
    harness.store_machine_group(0, "h1", &[], true);
    harness.fail_over(100.0);
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]), 100.1);
    harness.accept_job(job("req-1", 1, json!({})), 100.2);
    harness.tick_until(100.3, 102.0);
    assert!(harness.first_assignment("h1").is_none());
    assert_eq!(harness.machine("h1").phase, MachinePhase::Terminating);
    let Some(CloudCall::Delete(_, names)) = harness.shard.next_delete() else {
        panic!("the terminating machine was not deleted")
    };
    assert_eq!(names, ["h1"]);
}

/// Guard `retire-before-delete`: if the leader fails after the call to the cloud, the next leader has to know of the
/// deletion from the stored record.
#[test]
fn a_machine_is_marked_as_retiring_before_it_is_deleted() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    harness.tick_until(1.5, 12.0);
    assert_eq!(
        harness.machine("h1").phase,
        MachinePhase::Terminating,
        "a machine that is silent for too long is terminated"
    );
    assert!(harness.shard.next_delete().is_none(), "the record doesn't mark the machine as terminating yet");
    harness.store_all_writes(12.1);
    assert!(harness.shard.next_delete().is_some());
}

/// Guard `unproven-gets-nothing`: a heartbeat with the token of an earlier leader may be a late copy, from a machine
/// that no longer exists.
#[test]
fn a_machine_known_by_an_old_heartbeat_alone_counts_for_nothing() {
    let launched_machines = |old_heartbeat: bool| {
        let mut harness = ShardHarness::new();
        if old_heartbeat {
            harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), TOKEN - 1, &[]), 0.1);
        }
        harness.accept_job(job("req-1", 40, json!({"fallow": false})), 0.2);
        harness.tick_until(0.3, 5.0);
        harness.shard.launches.pending.iter().map(|launch| launch.count).sum::<usize>()
    };
    assert!(launched_machines(false) > 0);
    assert_eq!(launched_machines(true), launched_machines(false));
}

/// Guard `unresolved-counts-cards`: any team may use all accelerators of an unreconciled machine.
#[test]
fn an_unresolved_machine_counts_against_every_limit_of_cards() {
    assert_waits_for_silent_machine(json!({"herd": "few-cards", "cards": TEAM_ACCELERATOR_LIMIT / 2.0}));
}

/// Guard `lease-drift`: a worker's clock may be slower than the leader's.
#[test]
fn a_lease_is_waited_out_by_the_slowest_clock() {
    let mut harness = ShardHarness::with_machines(&["h1"]);
    let attempt = harness.start_job("h1", "req-1", 0.7);
    harness.receive_heartbeat(&heartbeat("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    harness.tick_until(1.5, LEASE_S);
    harness.shard.tick(1.0 + LEASE_S * 1.0005);
    assert!(harness.first_assignment("h1").is_some(), "by the clock of the worker its lease has not expired");
    harness.tick_until(1.5 + LEASE_S, 2.5 + LEASE_S);
    assert!(harness.first_assignment("h1").is_none());
}

/// Guard `unresolved-job-waits`: a task that a silent machine may run counts towards the zone of that machine.
#[test]
fn a_spread_job_waits_for_the_machine_that_may_hold_a_part_of_it() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 2, json!({"scatter": true, "habit": "standing"})), Phase::Open);
    harness.store_machine_group(0, "h1", &["req-1"], false);
    harness.fail_over(100.0);
    assert!(!started_on_h2(&mut harness, 100.1, 105.0), "one task of the job may run on h1, in the same zone");
    harness.receive_heartbeat(&heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[("req-1/0", 7, "running")]), 105.1);
    harness.tick_until(105.2, 106.0);
    assert!(harness.first_assignment("h2").is_none(), "one task runs in this zone, the most that the spread allows");
    let mut in_other_zone = heartbeat_with_token("h3", (1, 5), NEXT_TOKEN, &[]);
    in_other_zone["field"] = json!("b");
    harness.receive_heartbeat(&in_other_zone, 106.1);
    harness.tick_until(106.2, 107.0);
    assert!(harness.first_assignment("h3").is_some());
}

/// Guard `recorded-kind-stands`: a machine that is recorded as a spot machine stays one for the next leader.
#[test]
fn a_recorded_spot_machine_takes_no_work_that_may_not_use_it() {
    let mut harness = ShardHarness::new();
    let machine = json!({"machine": "h1", "addr": "127.0.0.1:9", "retiring": false, "jobs": []});
    let machine_group =
        json!({"shard": 0, "type": "m32", "zone": "a", "spot": true, "jobs": [], "machines": [machine]});
    harness.put("rack/0", machine_group);
    harness.store_job(job("req-1", 1, json!({"fallow": false})), Phase::Open);
    harness.fail_over(100.0);
    let mut spot_heartbeat = heartbeat_with_token("h1", (1, 5), NEXT_TOKEN, &[]);
    spot_heartbeat["fallow"] = json!(true);
    harness.receive_heartbeat(&spot_heartbeat, 100.1);
    harness.tick_until(100.2, 102.0);
    assert!(harness.machine("h1").is_reconciled() && harness.first_assignment("h1").is_none());
}

/// Guard `unknown-type-holds`: the list of machine types that this leader knows may be older than that of the leader
/// before it. Machines of a type that it doesn't know may still run the jobs that their record names.
#[test]
fn what_machines_of_an_unknown_type_may_hold_starts_nowhere_else_within_their_lease() {
    let mut harness = ShardHarness::new();
    harness.store_job(job("req-1", 1, json!({})), Phase::Open);
    let machine = json!({"machine": "h1", "addr": "127.0.0.1:9", "retiring": false, "jobs": [0]});
    let machine_group =
        json!({"shard": 0, "type": "new", "zone": "a", "spot": false, "jobs": ["req-1"], "machines": [machine]});
    harness.put("rack/0", machine_group);
    harness.fail_over(100.0);
    assert!(
        !started_on_h2(&mut harness, 100.1, 99.0 + LEASE_S),
        "nothing may start before the lease of h1 has expired"
    );
    harness.tick_until(100.0 + LEASE_S, 101.0 + LEASE_S);
    // The leader requests this periodically.
    harness.shard.request_placement();
    assert!(
        started_on_h2(&mut harness, 101.1 + LEASE_S, 104.0 + LEASE_S),
        "the job starts once the lease of h1 has expired"
    );
}

/// Starts the next leader at 100 s. Three machines are recorded, and none of them sends heartbeats.
fn fail_over_with_three_silent_machines(harness: &mut ShardHarness) {
    for (number, name) in ["h1", "h2", "h3"].into_iter().enumerate() {
        harness.store_machine_group(number as u32, name, &[], false);
    }
    harness.fail_over(100.0);
}

/// Guard `unlisted-tells-nothing`: silent machines that the cloud lists indicate that the leader is partitioned from
/// its workers. Machines that the cloud doesn't list no longer exist and indicate nothing.
#[test]
fn a_leader_is_partitioned_from_workers_only_if_the_silent_machines_exist() {
    let listed = |name: &str| -> ListedMachine {
        let machine = json!({"id": name, "addr": "127.0.0.1:9", "strain": "m32", "field": "a", "fallow": false,
            "bloom": "running", "held_s": 60.0});
        serde_json::from_value(machine).expect("a listed machine")
    };
    let all = ["h1", "h2", "h3"].map(listed);
    let cases: [(&str, Option<&[ListedMachine]>, bool); 4] = [
        ("no list was received", None, true),
        ("all machines are listed", Some(&all), true),
        ("one machine is not listed", Some(&all[1..]), false),
        ("no machine is listed", Some(&[]), false),
    ];
    for (case, list, partitioned) in cases {
        let mut harness = ShardHarness::new();
        fail_over_with_three_silent_machines(&mut harness);
        if let Some(list) = list {
            harness.shard.on_list(list, true, 101.0);
        }
        harness.tick_until(101.0, 107.0);
        assert_eq!(harness.shard.is_partitioned_from_workers(107.0), partitioned, "{case}");
    }
}
