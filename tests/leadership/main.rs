//! Runs controllers against a stand-in for the state service that can lose responses. The tests check the cost of
//! campaigns and leases, and how soon a leader learns which of its writes are stored.

mod controllers;
#[allow(dead_code)]
#[path = "../common/http.rs"]
mod http;
mod state_service;

use controllers::Controllers;
use http::lock;
use http_types::Method;
use lupinspur::intern::{DenseIndex, JobIndex};
use lupinspur::jobs::Phase;
use lupinspur::shard::{PendingWrite, WritePurpose};
use lupinspur::wire::{KeyValue, Mutation};
use serde_json::{Value, json};
use state_service::{Conflict, LOAD_SNAPSHOT_BY_TEST, Store};
use std::time::{Duration, Instant};

/// Guards against a controller that lost an election and then can't accept jobs. It still holds a lease, and renewing
/// this lease as often as a leader whose lease is in doubt used up its share of the request rate of a small state
/// service for as long as it ran.
#[test]
fn a_controller_that_came_too_late_with_its_claim_still_accepts() {
    let controllers = Controllers::start("too-late", 3, 30.0);
    controllers.until_elected();
    std::thread::sleep(Duration::from_secs(8));
    let leases = lock(&controllers.store).leases.len();
    assert!(leases > 1, "a controller that is not the leader should hold a lease, too");
    let answers: Vec<u16> = (0..6).map(|i| controllers.submit(i % 3, &format!("req-{i:06}"))).collect();
    assert_eq!(answers, [201; 6], "all controllers should accept jobs");
    let renewal_count = |store: &Store| -> usize { store.leases.values().map(|lease| lease.renewals).sum() };
    let before = renewal_count(&lock(&controllers.store));
    std::thread::sleep(Duration::from_secs(4));
    let renewals = renewal_count(&lock(&controllers.store)) - before;
    assert!(
        renewals <= leases * 7,
        "{renewals} renewals of {leases} leases in four seconds; expected at most 7 per lease"
    );
}

/// Guards against a late confirmation when only the responses to a leader's transactions are lost. The leader confirms
/// a cancellation as soon as the watch shows that it is stored; a second transaction would lose its response as well.
#[test]
fn a_cancellation_is_confirmed_though_the_answers_of_its_transactions_are_lost() {
    let controllers = Controllers::start("lost-answers", 2, 200.0);
    controllers.until_elected();
    std::thread::sleep(Duration::from_secs(1));
    let leader = controllers.leader();
    assert_eq!(controllers.submit(leader, "req-000001"), 201);
    lock(&controllers.store).loses_responses = true;
    let began = Instant::now();
    let (status, answer) = controllers.ask(leader, Method::Post, "/work/req-000001/withdraw", None);
    assert_eq!(
        (status, answer["bloom"].as_str()),
        (200, Some("cancelled")),
        "the cancellation should be confirmed; response after {:?}",
        began.elapsed()
    );
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "the confirmation should take less than two seconds; it took {:?}",
        began.elapsed()
    );
    for at in 0..2 {
        let (status, answer) = controllers.ask(at, Method::Get, "/work/req-000001", None);
        assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")));
        assert_eq!(controllers.submit(at, "req-000001"), 200);
    }
}

/// Guards against a task that never starts when only the responses to transactions are lost. A start waits until the
/// machine's record is stored, so the leader has to read the record back; a repeated write would lose its response,
/// too.
#[test]
fn a_task_starts_though_the_answers_of_the_record_s_transactions_are_lost() {
    let controllers = Controllers::start("lost-record-answers", 2, 200.0);
    controllers.until_elected();
    std::thread::sleep(Duration::from_secs(1));
    let leader = controllers.leader();
    let began = Instant::now();
    lock(&controllers.store).loses_responses = true;
    assert_eq!(controllers.submit(leader, "req-000002"), 201);
    let (mut token, mut started) = (0, false);
    for sequence in 1..30 {
        let report = json!({"plot": "host-1", "addr": "127.0.0.1:9", "strain": "m8", "field": "a", "fallow": false,
            "season": 1, "tally": sequence, "warrant": token, "reclaim_s": null, "seeds": []});
        let (status, answer) = controllers.ask(leader, Method::Post, "/checkin", Some(report));
        if status == 200 {
            token = answer["warrant"].as_u64().expect("a token");
            started |= answer["tidings"]
                .as_array()
                .is_some_and(|commands| commands.iter().any(|command| command["tiding"] == "run"));
        }
        if started {
            break;
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    assert!(started, "the task should be started; no start command in {:?}", began.elapsed());
}

/// Guards against a job that is never started because its move to another shard stays undecided. The transaction of the
/// move is lost, sent again and rejected, and the read that would show the job's shard is refused.
#[test]
fn a_job_whose_way_to_another_cell_is_in_doubt_is_not_set_aside_for_good() {
    const KEY: &str = "job/req-000009";
    let cells = "cells = 2\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n";
    let controllers = Controllers::start_with("set-aside", 2, 400.0, Some(cells));
    let wait_until = |what: &str, done: &dyn Fn(&mut Store) -> bool| {
        let began = Instant::now();
        while !done(&mut lock(&controllers.store)) {
            assert!(began.elapsed() < Duration::from_secs(20), "timed out waiting: {what}");
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    wait_until("both shards have a leader", &|store| {
        store.values.contains_key("own/c/0") && store.values.contains_key("own/c/1")
    });
    lock(&controllers.store).conflict = Some(Conflict { key: KEY, lost: false, refused: false });
    // The job's own shard has no machines; the load snapshot of the other shard shows free capacity.
    assert_eq!(controllers.submit(0, "req-000009"), 201);
    let moved = |store: &mut Store| {
        let at_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis();
        let load_snapshot = json!({"cell": 1, "token": 1, "at_ms": at_ms as u64, "room": 100.0, "idle": 0.0, "waits": 0.0,
            "held": 0.0, "boots": 0.0, "longest_s": 0.0, "teams": {}});
        store.put_new_version(LOAD_SNAPSHOT_BY_TEST, load_snapshot);
        store.values[KEY].value["cell"] == 1
    };
    wait_until("the job moves to the other shard", &moved);
    let occurred = lock(&controllers.store).conflict.as_ref().is_some_and(|conflict| conflict.lost && conflict.refused);
    assert!(occurred, "the transaction should have been lost and the read refused");
}

/// Guards against stale responses of a leader that activates a sharding plan and loses the state service at the same
/// time. The leaders of the shards start at once, so until the lease of the former leader expires, its responses could
/// contradict theirs.
#[test]
fn a_leader_that_activates_shards_answers_nothing_until_it_knows_that_they_are_active() {
    let cells = "cells = 2\npicture_s = 0.5\n[[team]]\nname = \"red\"\ncell = 0\n";
    let mut controllers = Controllers::prepare("plan", 2, 400.0, Some(cells));
    lock(&controllers.store).cuts_off_planner = true;
    controllers.start_one(0);
    controllers.until_elected();
    let began = Instant::now();
    while controllers.submit(0, "req-000011") != 201 {
        assert!(began.elapsed() < Duration::from_secs(10), "the job should be accepted within 10 s");
        std::thread::sleep(Duration::from_millis(100));
    }
    controllers.start_one(1);
    let began = Instant::now();
    while lock(&controllers.store).cut_off.is_none() {
        assert!(began.elapsed() < Duration::from_secs(20), "the sharding plan should be activated within 20 s");
        std::thread::sleep(Duration::from_millis(20));
    }
    let confirmed = || {
        let (status, answer) = controllers.ask(1, Method::Post, "/work/req-000011/withdraw", None);
        status == 200 && answer["bloom"] == "cancelled"
    };
    while !confirmed() {
        assert!(began.elapsed() < Duration::from_secs(20), "the cancellation should be confirmed within 20 s");
        std::thread::sleep(Duration::from_millis(20));
    }
    let confirmed_at = Instant::now();
    while confirmed_at.elapsed() < Duration::from_secs(5) {
        let (status, answer) = controllers.ask(0, Method::Get, "/work/req-000011", None);
        assert!(
            status != 200 || answer["bloom"] == "cancelled",
            "only the cancelled state may be reported: {status} {answer}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against refusing a job that was accepted under a higher limit. During a rolling restart with a lower team
/// limit, a controller refuses new jobs that can never run, but confirms jobs that were accepted before.
#[test]
fn an_accepted_job_that_no_longer_fits_is_not_refused() {
    let mut controllers = Controllers::prepare("lower-limit", 2, 200.0, None);
    controllers.change_settings(1, "cpus_max = 8.0", "cpus_max = 0.5");
    controllers.start_one(0);
    controllers.until_elected();
    controllers.start_one(1);
    let submit_until = |at: usize, id: &str, wanted: &[u16]| {
        let began = Instant::now();
        loop {
            let status = controllers.submit(at, id);
            // The controller answers 503, or not at all, until it has started and knows the machine types.
            if wanted.contains(&status) || !matches!(status, 0 | 503) || began.elapsed() > Duration::from_secs(10) {
                return status;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    assert_eq!(submit_until(0, "req-000021", &[201]), 201);
    assert_eq!(submit_until(1, "req-000022", &[422]), 422, "a new job above the limit should be refused");
    assert_eq!(submit_until(1, "req-000021", &[200]), 200, "a job accepted earlier should be confirmed");
}

/// Guards against treating a write as applied while it may still be in flight. A stored value whose version is the one
/// that the write is conditional on can still be replaced by it, even if both values are equal.
#[test]
fn a_write_was_carried_out_only_where_its_key_has_changed() {
    let item = |value: &Value, version| KeyValue { key: "rack/1".into(), value: value.clone(), version, lease: None };
    let (wanted, other) = (json!({"machines": ["host-1"]}), json!({"machines": []}));
    let put = |purpose| PendingWrite {
        key: "rack/1".into(),
        version: 4,
        purpose,
        mutation: Mutation::Put { key: "rack/1".into(), value: wanted.clone(), lease: None },
        bytes: 0,
    };
    let write = put(WritePurpose::Checkpoint);
    assert!(write.matches_stored(Some(&item(&wanted, 9))));
    assert!(!write.matches_stored(Some(&item(&wanted, 4))), "the write may still be in flight");
    assert!(!write.matches_stored(Some(&item(&other, 9))) && !write.matches_stored(None));
    let delete = PendingWrite { mutation: Mutation::Delete { key: "rack/1".into() }, ..put(WritePurpose::DeleteStale) };
    assert!(delete.matches_stored(None) && !delete.matches_stored(Some(&item(&wanted, 9))));
    let mut record =
        json!({"at_ms": 0, "phase": "cancelled", "ended_ms": 7, "job": controllers::job_request("req-000003")});
    let end = put(WritePurpose::JobEnd { job: JobIndex::new(0), phase: Phase::Cancelled });
    assert!(end.matches_stored(Some(&item(&record, 9))), "the time of the end doesn't matter");
    record["phase"] = json!("open");
    assert!(!end.matches_stored(Some(&item(&record, 9))));
}
