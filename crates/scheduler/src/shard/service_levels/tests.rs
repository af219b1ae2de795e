//! Tests of outage detection from acceptance times, and of the keys of stored measurements.

use super::*;

/// Jobs accepted right after an outage count as waiting since its start. Otherwise users whose submissions reached no
/// node for half a minute would seem to be served at once.
#[test]
fn a_job_accepted_after_an_outage_may_have_waited_since_its_start() {
    let mut arrivals = Arrivals::default();
    assert!((0..40).all(|i| arrivals.record(1000.0 + f64::from(i) * 0.5) == 0.0));
    assert_eq!(arrivals.record(1050.0), 30.5);
    assert_eq!(arrivals.record(1053.0), 30.5);
    assert_eq!(arrivals.record(1019.0), 0.0, "accepted at an earlier time by another node's clock");
    assert_eq!(arrivals.record(1056.5), 0.0);
    let mut infrequent = Arrivals::default();
    assert!((0..40).all(|i| infrequent.record(f64::from(i) * 7.0) == 0.0), "jobs that are always 7 s apart");
}

/// The keys of stored measurements must not change, since other versions read them.
#[test]
fn keys_of_the_service_levels() {
    assert_eq!(part_key(1, 2), "ckpt/a/1/2");
    assert_eq!(part_key(0, 0), "ckpt/a/0/0");
}
