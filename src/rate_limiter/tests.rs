use super::RateLimiter;

#[test]
fn keeps_to_its_rate() {
    let mut limiter = RateLimiter::new(10.0, 5.0);
    let taken = (0..100).filter(|step| limiter.try_acquire(f64::from(*step) * 0.01, 1)).count();
    assert_eq!(taken, 5 + 9, "a burst, then the rate");
    limiter.drain(1.0);
    assert!(!limiter.try_acquire(1.05, 1));
}

/// Guards against a controller that restarts every quarter of a second and spends four times its share: each process
/// starts with the units of a quarter of a second.
#[test]
fn restarting_processes_spend_no_more_than_a_share() {
    let spent = |limiter: &mut RateLimiter, seconds: f64| {
        (0..100).filter(|step| limiter.try_acquire(f64::from(*step) / 100.0 * seconds, 1)).count()
    };
    let long = spent(&mut RateLimiter::new(40.0, 40.0), 2.0);
    let short: usize = (0..8).map(|_| spent(&mut RateLimiter::new_after_restart(40.0, 40.0), 0.25)).sum();
    assert!(long >= 99 && short <= 40 + 2 * 80, "{short} units in eight short processes, {long} in one long process");
    assert!((0..8).map(|_| spent(&mut RateLimiter::new(40.0, 40.0), 0.25)).sum::<usize>() > 300);
}

/// Guards against a controller that can accept no submission for minutes after a fault during which its leases and
/// watches took more than its share.
#[test]
fn debt_is_limited_to_one_burst() {
    let mut limiter = RateLimiter::new(10.0, 10.0);
    (0..500).for_each(|step| limiter.acquire_with_debt(f64::from(step) * 0.05, 1));
    assert!(!limiter.try_acquire(25.5, 1));
    assert!(limiter.try_acquire(26.2, 1), "the debt of one burst is paid back");
}

/// Guards against polls that starve leases, watches and submissions.
#[test]
fn spare_requests_leave_half_a_burst_and_urgent_ones_go_first() {
    let mut limiter = RateLimiter::new(10.0, 10.0);
    let spare = (0..100).filter(|_| limiter.try_acquire_spare(0.0)).count();
    assert_eq!(spare, 6, "down to half of a burst");
    assert!(limiter.try_acquire(0.0, 4), "the rest is left for other requests");
    limiter.acquire_with_debt(0.0, 1);
    limiter.acquire_with_debt(0.0, 1);
    assert!(!limiter.try_acquire(0.15, 1), "paid back first");
    assert!(limiter.try_acquire(0.35, 1) && !limiter.try_acquire_spare(0.35));
    // A writer that takes all available units does not delay an acceptance.
    assert!(!limiter.try_acquire(0.36, 1));
    assert_eq!(
        (0..9).filter(|_| limiter.try_acquire_urgent(0.36, 1)).count(),
        3,
        "a quarter of a burst and the units that were available"
    );
    assert!(!limiter.try_acquire(0.5, 1), "the writer waits until that is paid back");
}
