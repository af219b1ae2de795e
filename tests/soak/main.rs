//! Injects randomized faults, generated from a seed, into real controllers over loopback. Several faults overlap,
//! many of them around changes of leader, while users submit jobs, cancel them, poll them and repeat submissions at
//! all controllers. The checks use only external observations: the commands that workers executed and the responses
//! that users received.
//!
//! CI runs a short version; `scripts/soak` runs many seeds. Environment variables: `SOAK_SEED`, `SOAK_SEEDS`,
//! `SOAK_WORKERS`, `SOAK_SECONDS`, and `SOAK_KEEP`, a folder for the logs of failed runs.

#[allow(dead_code)]
#[path = "../loopback/answers.rs"]
mod answers;
#[allow(dead_code)]
#[path = "../loopback/cloud.rs"]
mod cloud;
#[allow(dead_code)]
#[path = "../loopback/cluster.rs"]
mod cluster;
#[allow(dead_code)]
#[path = "../loopback/direct.rs"]
mod direct;
#[allow(dead_code)]
#[path = "../loopback/faults.rs"]
mod faults;
#[allow(dead_code)]
#[path = "../common/http.rs"]
mod http;
#[allow(dead_code)]
#[path = "../loopback/links.rs"]
mod links;
#[allow(dead_code)]
#[path = "../loopback/machines.rs"]
mod machines;
mod options;
mod plan;
mod play;
#[allow(dead_code)]
#[path = "../loopback/requests.rs"]
mod requests;
#[allow(dead_code)]
#[path = "../loopback/rules.rs"]
mod rules;
#[allow(dead_code)]
#[path = "../loopback/settings.rs"]
mod settings;
#[allow(dead_code)]
#[path = "../loopback/state_service.rs"]
mod state_service;
mod users;
#[allow(dead_code)]
#[path = "../loopback/workers.rs"]
mod workers;

use options::Options;

/// Runs each seed and fails with the list of seeds in which a rule was violated.
#[test]
fn no_rule_breaks_under_random_faults() {
    let options = Options::from_environment().unwrap_or_else(|error| panic!("invalid soak settings: {error}"));
    let (mut failed, mut counted) = (Vec::new(), 0);
    for seed in options.seeds() {
        let outcome = play::play(seed, &options);
        println!("{outcome}");
        counted += usize::from(outcome.counts());
        if !outcome.is_good() {
            failed.push(seed);
        }
    }
    let total = options.seeds().count();
    println!("{counted} of {total} seeds count, {} failed: {failed:?}", failed.len());
    assert!(failed.is_empty(), "{} of {total} seeds failed: {failed:?}", failed.len());
    assert!(counted > 0, "no run had a change of leader, a delayed command and a confirmed cancellation");
}

#[test]
fn settings_that_make_no_sense_are_refused_with_the_reason() {
    let read = |name: &str, value: &str| Options::read(|variable| (variable == name).then(|| value.to_owned()));
    for (name, value) in [("SOAK_SEEDS", "0"), ("SOAK_SEED", "-1"), ("SOAK_WORKERS", "many"), ("SOAK_SECONDS", "5")] {
        let error = read(name, value).expect_err("the value is rejected");
        assert!(error.contains(name) && error.contains(value), "{error}");
    }
    assert!(read("SOAK_WORKERS", "300").is_ok());
}
