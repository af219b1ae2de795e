use super::RateLimiter;

#[test]
fn keeps_to_its_rate() {
    let mut b = RateLimiter::new(10.0, 5.0);
    let taken = (0..100).filter(|i| b.try_acquire(f64::from(*i) * 0.01, 1)).count();
    assert_eq!(taken, 5 + 9, "a burst, then the rate");
    b.drain(1.0);
    assert!(!b.try_acquire(1.05, 1));
}

/// Guards against a controller that ends every quarter of a second and spends four times its
/// share: each life begins with what a quarter of a second brings.
#[test]
fn short_lives_spend_no_more_than_a_long_one() {
    let spent = |b: &mut RateLimiter, s: f64| (0..100).filter(|i| b.try_acquire(f64::from(*i) / 100.0 * s, 1)).count();
    let long = spent(&mut RateLimiter::new(40.0, 40.0), 2.0);
    let short: usize = (0..8).map(|_| spent(&mut RateLimiter::new_after_restart(40.0, 40.0), 0.25)).sum();
    assert!(long >= 99 && short <= 40 + 2 * 80, "{short} in eight lives, {long} in one");
    assert!((0..8).map(|_| spent(&mut RateLimiter::new(40.0, 40.0), 0.25)).sum::<usize>() > 300);
}

/// Guards against a controller that can accept nothing for minutes after a trouble in which its
/// leases and watches took more than its share.
#[test]
fn what_cannot_wait_is_owed_for_no_longer_than_a_burst() {
    let mut b = RateLimiter::new(10.0, 10.0);
    (0..500).for_each(|i| b.acquire_with_debt(f64::from(i) * 0.05, 1));
    assert!(!b.try_acquire(25.5, 1));
    assert!(b.try_acquire(26.2, 1), "a burst's time after the last");
}

/// Guards against polls that keep leases, watches and submissions from their turn.
#[test]
fn what_can_wait_leaves_half_and_what_cannot_goes_ahead() {
    let mut b = RateLimiter::new(10.0, 10.0);
    let spare = (0..100).filter(|_| b.try_acquire_spare(0.0)).count();
    assert_eq!(spare, 6, "down to half of a burst");
    assert!(b.try_acquire(0.0, 4), "the rest is there for others");
    b.acquire_with_debt(0.0, 1);
    b.acquire_with_debt(0.0, 1);
    assert!(!b.try_acquire(0.15, 1), "paid back first");
    assert!(b.try_acquire(0.35, 1) && !b.try_acquire_spare(0.35));
    // A writer that takes whatever there is does not keep an acceptance waiting.
    assert!(!b.try_acquire(0.36, 1));
    assert_eq!((0..9).filter(|_| b.try_acquire_urgent(0.36, 1)).count(), 3, "a quarter of a burst and what there was");
    assert!(!b.try_acquire(0.5, 1), "the writer waits until that is paid back");
}
