use super::{Health, MAX_GRACE_S};

/// Guards against a node that the load balancer keeps removed for a minute after many short outages of the state
/// service: within any two minutes the node becomes unhealthy so few times that the load balancer's wait stays short.
#[test]
fn many_short_outages_remove_a_node_only_a_few_times() {
    let mut health = Health::default();
    let (mut state_answered_at, mut was_healthy, mut removals) = (0.0, true, Vec::new());
    for step in 0..2400 {
        let now = f64::from(step) * 0.1;
        // The state service does not respond for six seconds in every ten.
        if now % 10.0 < 4.0 {
            state_answered_at = now;
        }
        let is_healthy = health.check(true, false, state_answered_at, now);
        if was_healthy && !is_healthy {
            removals.push(now);
        }
        was_healthy = is_healthy;
    }
    assert!(!removals.is_empty(), "a node without the state service is unhealthy");
    let most =
        removals.iter().map(|first| removals.iter().filter(|at| (*first..first + 120.0).contains(*at)).count()).max();
    assert!(most <= Some(3), "{most:?} removals within two minutes: {removals:?}");
    assert!(
        !health.check(true, false, state_answered_at, state_answered_at + MAX_GRACE_S + 0.1),
        "the grace period ends"
    );
    assert!(health.check(true, true, 0.0, 500.0), "a leader needs no other node");
    assert!(!health.check(false, false, 500.0, 500.0), "a node without the machine types can decide nothing");
}
