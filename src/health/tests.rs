use super::{Health, MAX_GRACE_S};

/// Guards against a node that is away for a minute after the last of many short troubles: within
/// two minutes it says no so few times that the load balancer's pause stays short.
#[test]
fn many_short_troubles_take_a_node_away_only_a_few_times() {
    let mut h = Health::default();
    let (mut answered, mut said, mut removals) = (0.0, true, Vec::new());
    for i in 0..2400 {
        let now = f64::from(i) * 0.1;
        // Six seconds without an answer in every ten.
        if now % 10.0 < 4.0 {
            answered = now;
        }
        let yes = h.check(true, false, answered, now);
        if said && !yes {
            removals.push(now);
        }
        said = yes;
    }
    assert!(!removals.is_empty(), "a node that is refused says so");
    let most = removals.iter().map(|t| removals.iter().filter(|o| (*t..t + 120.0).contains(*o)).count()).max();
    assert!(most <= Some(3), "{most:?} removals within two minutes: {removals:?}");
    assert!(!h.check(true, false, answered, answered + MAX_GRACE_S + 0.1), "not for ever");
    assert!(h.check(true, true, 0.0, 500.0), "an owner need ask nobody");
    assert!(!h.check(false, false, 500.0, 500.0), "without the machine types nothing can be judged");
}
