//! What the next leader may do before it knows what recorded machines hold.

use crate::world::{CARDS_LIMIT, LEASE_S, LIMIT, NEXT_TOKEN, TOKEN, World, job, report, report_of};
use lupinspur_scheduler::fleet::Phase as MachinePhase;
use lupinspur_scheduler::jobs::Phase;
use lupinspur_scheduler::shard::CloudCall;
use lupinspur_scheduler::wire::ListedMachine;
use serde_json::json;

/// The next leader at 100 s: h1 is recorded with a job and silent, h2 is there.
fn silent_machine(world: &mut World) {
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    world.stored_rack(0, "h1", &["req-1"], false);
    world.take_over(100.0);
}

/// h2 reports every second, and this is whether anything was started there until then.
fn started_on_h2(world: &mut World, from: f64, until: f64) -> bool {
    let mut now = from;
    while now < until {
        world.hear(&report_of("h2", (1, (now * 10.0) as u64), NEXT_TOKEN, &[]), now);
        world.tick_until(now + 0.1, now + 0.9);
        now += 1.0;
    }
    world.held("h2").is_some()
}

/// unresolved-for-a-lease, unresolved-job-waits: a silent machine holds what it may hold until its lease is over.
#[test]
fn what_a_silent_machine_may_hold_starts_nowhere_else_within_its_lease() {
    let mut world = World::new();
    silent_machine(&mut world);
    assert!(!started_on_h2(&mut world, 100.1, 99.0 + LEASE_S), "within the lease");
    assert!(started_on_h2(&mut world, 100.0 + LEASE_S, 104.0 + LEASE_S), "after it");
}

/// lease-of-the-silent: the same for a machine that this leader has answered.
#[test]
fn the_tasks_of_a_silent_machine_are_gone_after_its_lease() {
    let mut world = World::with(&["h1", "h2"]);
    world.accept(job("req-1", 1, json!({"field": "a"})), 0.7);
    world.write(0.8);
    let (on, other) = if world.held("h1").is_some() { ("h1", "h2") } else { ("h2", "h1") };
    let attempt = world.held(on).expect("a start").attempt;
    world.hear(&report(on, 3, &[("req-1/0", attempt, "running")]), 1.0);
    let mut now = 1.5;
    while now < LEASE_S {
        world.hear(&report(other, (now * 10.0) as u64, &[]), now);
        world.tick_until(now, now + 0.4);
        assert!(world.held(on).is_some(), "gone after {now} s");
        now += 0.5;
    }
    world.tick_until(now, LEASE_S + 2.0);
    assert!(world.held(on).is_none());
}

/// A job that takes half of its team's limit waits until nothing unknown of the silent machine is left.
fn waits_for_the_silent_machine(half_of_a_limit: serde_json::Value) {
    let mut world = World::new();
    silent_machine(&mut world);
    world.hear(&report_of("h2", (1, 5), NEXT_TOKEN, &[]), 100.1);
    world.accept(job("req-2", 1, half_of_a_limit), 100.2);
    world.tick_until(100.3, 101.0);
    assert!(world.held("h2").is_none(), "its team may use all of h1");
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[]), 101.1);
    world.tick_until(101.2, 102.0);
    assert!(world.held("h2").is_some() || world.held("h1").is_some());
}

/// unresolved-counts: all of it may be in use by any team.
#[test]
fn an_unresolved_machine_counts_against_every_limit() {
    waits_for_the_silent_machine(json!({"herd": "limited", "cpus": LIMIT / 2.0}));
}

/// usable-knows-us: an earlier leader's start may still reach a machine that has not seen our token.
#[test]
fn nothing_is_started_on_a_machine_before_it_knows_our_token() {
    let mut world = World::new();
    world.hear(&report_of("h1", (1, 1), 0, &[]), 0.1);
    world.accept(job("req-1", 1, json!({})), 0.2);
    world.tick_until(0.3, 1.0);
    assert!(world.held("h1").is_none());
    world.hear(&report_of("h1", (1, 2), TOKEN, &[]), 1.1);
    world.tick_until(1.2, 2.0);
    assert!(world.held("h1").is_some());
}

/// two-values-name-one: while values are being replaced a machine may hold what either names.
#[test]
fn a_machine_that_stands_in_two_values_may_hold_what_both_name() {
    let mut world = World::new();
    for id in ["req-1", "req-2"] {
        world.stored_job(job(id, 1, json!({})), Phase::Open);
    }
    world.stored_rack(0, "h1", &["req-1"], false);
    world.stored_rack(1, "h1", &["req-2"], false);
    world.take_over(100.0);
    assert!(!started_on_h2(&mut world, 100.1, 105.0), "both jobs wait for h1");
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[]), 105.1);
    world.tick_until(105.2, 106.0);
    let placed = world.machine("h1").assignments.len() + world.machine("h2").assignments.len();
    assert_eq!(placed, 2, "it holds neither: no job goes on waiting for it");
}

/// retiring-stays: its deletion may be on its way.
#[test]
fn a_machine_marked_as_retiring_is_never_used_again() {
    let mut world = World::new();
    world.stored_rack(0, "h1", &[], true);
    world.take_over(100.0);
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[]), 100.1);
    world.accept(job("req-1", 1, json!({})), 100.2);
    world.tick_until(100.3, 102.0);
    assert!(world.held("h1").is_none());
    assert_eq!(world.machine("h1").phase, MachinePhase::Terminating);
    let Some(CloudCall::Delete(_, names)) = world.shard.next_delete() else { panic!("it is to be deleted") };
    assert_eq!(names, ["h1"]);
}

/// retire-before-delete: a leader that ends after the call leaves a successor that knows of it.
#[test]
fn a_machine_is_marked_as_retiring_before_it_is_deleted() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    world.tick_until(1.5, 12.0);
    assert_eq!(world.machine("h1").phase, MachinePhase::Terminating, "silent for too long");
    assert!(world.shard.next_delete().is_none(), "nothing is stored of it yet");
    world.write(12.1);
    assert!(world.shard.next_delete().is_some());
}

/// unproven-gets-nothing: a report that an earlier leader's token shows may be a late copy, of a machine that is long
/// gone.
#[test]
fn a_machine_known_by_an_old_heartbeat_alone_counts_for_nothing() {
    let rented = |old_report: bool| {
        let mut world = World::new();
        if old_report {
            world.hear(&report_of("h1", (1, 5), TOKEN - 1, &[]), 0.1);
        }
        world.accept(job("req-1", 40, json!({"fallow": false})), 0.2);
        world.tick_until(0.3, 5.0);
        world.shard.launches.pending.iter().map(|l| l.count).sum::<usize>()
    };
    assert!(rented(false) > 0);
    assert_eq!(rented(true), rented(false));
}

/// unresolved-counts-accelerators: the same for accelerators.
#[test]
fn an_unresolved_machine_counts_against_every_limit_of_cards() {
    waits_for_the_silent_machine(json!({"herd": "few-cards", "cards": CARDS_LIMIT / 2.0}));
}

/// lease-drift: a worker's clock may be slower than ours.
#[test]
fn a_lease_is_waited_out_by_the_slowest_clock() {
    let mut world = World::with(&["h1"]);
    let attempt = world.started("h1", "req-1", 0.7);
    world.hear(&report("h1", 3, &[("req-1/0", attempt, "running")]), 1.0);
    world.tick_until(1.5, LEASE_S);
    world.shard.tick(1.0 + LEASE_S * 1.0005);
    assert!(world.held("h1").is_some(), "by its own clock the lease is not over");
    world.tick_until(1.5 + LEASE_S, 2.5 + LEASE_S);
    assert!(world.held("h1").is_none());
}

/// unresolved-job-waits: what a silent machine may run stands in its zone, too.
#[test]
fn a_spread_job_waits_for_the_machine_that_may_hold_a_part_of_it() {
    let mut world = World::new();
    world.stored_job(job("req-1", 2, json!({"scatter": true, "habit": "standing"})), Phase::Open);
    world.stored_rack(0, "h1", &["req-1"], false);
    world.take_over(100.0);
    assert!(!started_on_h2(&mut world, 100.1, 105.0), "one task may run on h1, in the same zone");
    world.hear(&report_of("h1", (1, 5), NEXT_TOKEN, &[("req-1/0", 7, "running")]), 105.1);
    world.tick_until(105.2, 106.0);
    assert!(world.held("h2").is_none(), "one task runs in that zone, and no more than one may");
    let mut elsewhere = report_of("h3", (1, 5), NEXT_TOKEN, &[]);
    elsewhere["field"] = json!("b");
    world.hear(&elsewhere, 106.1);
    world.tick_until(106.2, 107.0);
    assert!(world.held("h3").is_some());
}

/// recorded-kind-stands: what was recorded as a spot machine is one for the next leader.
#[test]
fn a_recorded_spot_machine_takes_no_work_that_may_not_use_it() {
    let mut world = World::new();
    let machine = json!({"machine": "h1", "addr": "127.0.0.1:9", "retiring": false, "jobs": []});
    let machine_group =
        json!({"shard": 0, "type": "m32", "zone": "a", "spot": true, "jobs": [], "machines": [machine]});
    world.stored("rack/0", machine_group);
    world.stored_job(job("req-1", 1, json!({"fallow": false})), Phase::Open);
    world.take_over(100.0);
    let mut said = report_of("h1", (1, 5), NEXT_TOKEN, &[]);
    said["fallow"] = json!(true);
    world.hear(&said, 100.1);
    world.tick_until(100.2, 102.0);
    assert!(world.machine("h1").is_reconciled() && world.held("h1").is_none());
}

/// unknown-type-holds: the types that this leader knows may be older than its predecessor's.
#[test]
fn what_machines_of_an_unknown_type_may_hold_starts_nowhere_else_within_their_lease() {
    let mut world = World::new();
    world.stored_job(job("req-1", 1, json!({})), Phase::Open);
    let machine = json!({"machine": "h1", "addr": "127.0.0.1:9", "retiring": false, "jobs": [0]});
    let machine_group =
        json!({"shard": 0, "type": "new", "zone": "a", "spot": false, "jobs": ["req-1"], "machines": [machine]});
    world.stored("rack/0", machine_group);
    world.take_over(100.0);
    assert!(!started_on_h2(&mut world, 100.1, 99.0 + LEASE_S), "within the lease");
    world.tick_until(100.0 + LEASE_S, 101.0 + LEASE_S);
    // As the leader does now and then.
    world.shard.request_placement();
    assert!(started_on_h2(&mut world, 101.1 + LEASE_S, 104.0 + LEASE_S), "after it");
}

/// The next leader at 100 s: three machines are recorded, and none of them is heard.
fn nobody_heard(world: &mut World) {
    for (number, name) in ["h1", "h2", "h3"].into_iter().enumerate() {
        world.stored_rack(number as u32, name, &[], false);
    }
    world.take_over(100.0);
}

/// unlisted-tells-nothing: machines that the cloud lists and that nobody hears speak for a leader that is cut off;
/// those that it does not list are gone.
#[test]
fn a_leader_hears_nobody_only_if_there_is_somebody_to_hear() {
    let listed = |name: &str| -> ListedMachine {
        let machine = json!({"id": name, "addr": "127.0.0.1:9", "strain": "m32", "field": "a", "fallow": false,
            "bloom": "running", "held_s": 60.0});
        serde_json::from_value(machine).expect("a listed machine")
    };
    let all = ["h1", "h2", "h3"].map(listed);
    let cases: [(&str, Option<&[ListedMachine]>, bool); 4] = [
        ("no list came", None, true),
        ("all are listed", Some(&all), true),
        ("one is not", Some(&all[1..]), false),
        ("none is", Some(&[]), false),
    ];
    for (told, list, deaf) in cases {
        let mut world = World::new();
        nobody_heard(&mut world);
        if let Some(list) = list {
            world.shard.on_list(list, true, 101.0);
        }
        world.tick_until(101.0, 107.0);
        assert_eq!(world.shard.is_partitioned_from_workers(107.0), deaf, "{told}");
    }
}
