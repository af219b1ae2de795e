//! Where a task may go.

use crate::world::{CARDS_LIMIT, LIMIT, MEMORY_GB, World, job, report};
use serde_json::{Value, json};

/// Machines by name, type, zone and whether they are spot machines.
const MACHINES: [(&str, &str, &str, bool); 4] =
    [("m-a", "m32", "a", false), ("n-a", "n32", "a", false), ("m-b", "m32", "b", false), ("s-a", "m32", "a", true)];

/// Where the tasks of this job go, with all of these machines there and empty.
fn placed(tasks: u32, changes: Value) -> Vec<&'static str> {
    let mut world = World::new();
    for (counter, now) in [(1, 0.1), (2, 0.6)] {
        for (name, type_name, zone, spot) in MACHINES {
            let mut said = report(name, counter, &[]);
            (said["strain"], said["field"], said["fallow"]) = (json!(type_name), json!(zone), json!(spot));
            world.hear(&said, now);
        }
    }
    world.accept(job("req-1", tasks, changes), 0.7);
    world.tick_until(0.8, 2.0);
    let on = |name: &'static str| world.machine(name).assignments.keys().map(move |_| name);
    MACHINES.iter().flat_map(|m| on(m.0)).collect()
}

/// Fills any of the four machines alone.
const WHOLE: f64 = 32.0;

/// allowed-kind
#[test]
fn a_job_that_may_not_use_spot_machines_does_not() {
    assert_eq!(placed(4, json!({"cpus": WHOLE, "fallow": false})), ["m-a", "n-a", "m-b"]);
}

/// allowed-type
#[test]
fn a_job_goes_on_allowed_types_only() {
    assert_eq!(placed(4, json!({"cpus": WHOLE, "strains": ["n32"]})), ["n-a"]);
}

/// allowed-zone
#[test]
fn a_job_goes_in_its_zone_only() {
    assert_eq!(placed(4, json!({"cpus": WHOLE, "field": "b"})), ["m-b"]);
}

/// one-zone
#[test]
fn all_tasks_of_a_one_zone_job_are_in_one_zone() {
    let mut zones: Vec<char> =
        placed(4, json!({"cpus": WHOLE, "same_place": true})).iter().filter_map(|m| m.chars().last()).collect();
    zones.dedup();
    assert_eq!(zones.len(), 1, "{zones:?}");
}

/// spread-zones: at most half of the tasks, rounded up.
#[test]
fn at_most_half_of_a_spread_job_is_in_one_zone() {
    let placed = placed(3, json!({"cpus": WHOLE, "scatter": true}));
    assert_eq!(placed.len(), 3);
    assert_eq!(placed.iter().filter(|m| m.ends_with('a')).count(), 2, "{placed:?}");
}

/// limit-cpus
#[test]
fn a_team_stays_within_its_limit() {
    assert_eq!(placed(8, json!({"cpus": LIMIT / 2.0, "herd": "limited"})).len(), 2);
    assert_eq!(placed(8, json!({"cpus": LIMIT / 2.0})).len(), 8, "another team has none");
}

/// limit-accelerators
#[test]
fn a_team_stays_within_its_limit_of_cards() {
    assert_eq!(placed(8, json!({"cards": CARDS_LIMIT / 2.0, "herd": "few-cards"})).len(), 2);
    assert_eq!(placed(8, json!({"cards": CARDS_LIMIT / 2.0})).len(), 8, "another team has none");
}

/// fits-memory, fits-accelerators: a start that does not fit is refused, and placed there again and again.
#[test]
fn a_machine_gets_no_more_than_fits_its_memory_and_cards() {
    assert_eq!(placed(12, json!({"memory_gb": MEMORY_GB / 2.0})).len(), 8);
    assert_eq!(placed(12, json!({"cards": CARDS_LIMIT / 2.0})).len(), 8);
}
