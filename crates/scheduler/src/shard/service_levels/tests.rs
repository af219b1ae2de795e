//! Tests of the pauses in which nobody could be reached.

use super::*;

/// Guards against waits that nobody saw: users whose submissions reached nobody for half a
/// minute seemed to be served at once.
#[test]
fn who_is_accepted_after_a_pause_may_have_asked_all_the_while() {
    let mut a = Arrivals::default();
    assert!((0..40).all(|i| a.take(1000.0 + f64::from(i) * 0.5) == 0.0));
    assert_eq!(a.take(1050.0), 30.5);
    assert_eq!(a.take(1053.0), 30.5);
    assert_eq!(a.take(1019.0), 0.0, "of an earlier moment, by another clock");
    assert_eq!(a.take(1056.5), 0.0);
    let mut seldom = Arrivals::default();
    assert!((0..40).all(|i| seldom.take(f64::from(i) * 7.0) == 0.0), "a job now and then");
}

/// Golden keys of the accounts: another version must find them under the same names.
#[test]
fn keys_of_the_service_levels() {
    assert_eq!(part_key(1, 2), "ckpt/a/1/2");
    assert_eq!(part_key(0, 0), "ckpt/a/0/0");
}
