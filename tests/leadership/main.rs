//! Controllers against a stand-in for the state service whose answers can be lost: what claims and leases
//! cost a controller, and how soon a leader knows what it has stored.

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
use state_service::{Conflict, Store, TOLD_BY_TEST};
use std::time::{Duration, Instant};

/// Whoever came too late with its claim holds a lease all the same. Renewing it as often as a leader
/// whose lease is in doubt took more requests than such a controller's share of a small state service:
/// it could accept nothing any more, for as long as it lived.
#[test]
fn a_controller_that_came_too_late_with_its_claim_still_accepts() {
    let controllers = Controllers::start("too-late", 3, 30.0);
    controllers.until_elected();
    std::thread::sleep(Duration::from_secs(8));
    let leases = lock(&controllers.store).leases.len();
    assert!(leases > 1, "somebody else holds a lease, too");
    let answers: Vec<u16> = (0..6).map(|i| controllers.submit(i % 3, &format!("req-{i:06}"))).collect();
    assert_eq!(answers, [201; 6], "all accept");
    let renewed = |s: &Store| -> usize { s.leases.values().map(|l| l.renewals).sum() };
    let before = renewed(&lock(&controllers.store));
    std::thread::sleep(Duration::from_secs(4));
    let renewals = renewed(&lock(&controllers.store)) - before;
    assert!(renewals <= leases * 7, "{renewals} renewals of {leases} leases in four seconds");
}

/// Only the answers of a leader's transactions are lost. Its user is told of the cancellation as soon as
/// the watch shows it to be stored: once this took a second transaction, whose answer was lost as well.
#[test]
fn a_cancellation_is_confirmed_though_the_answers_of_its_transactions_are_lost() {
    let controllers = Controllers::start("lost-answers", 2, 200.0);
    controllers.until_elected();
    std::thread::sleep(Duration::from_secs(1));
    let leader = controllers.leader();
    assert_eq!(controllers.submit(leader, "req-000001"), 201);
    lock(&controllers.store).loses_answers = true;
    let began = Instant::now();
    let (status, answer) = controllers.ask(leader, Method::Post, "/work/req-000001/withdraw", None);
    assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")), "after {:?}", began.elapsed());
    assert!(began.elapsed() < Duration::from_secs(2), "confirmed after {:?}", began.elapsed());
    for at in 0..2 {
        let (status, answer) = controllers.ask(at, Method::Get, "/work/req-000001", None);
        assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")));
        assert_eq!(controllers.submit(at, "req-000001"), 200);
    }
}

/// A start waits until the machine's record is stored. Where only the answers are lost, that it stands
/// there is what the leader finds when it looks: once it was written again, and that answer was lost too.
#[test]
fn a_task_starts_though_the_answers_of_the_record_s_transactions_are_lost() {
    let controllers = Controllers::start("lost-record-answers", 2, 200.0);
    controllers.until_elected();
    std::thread::sleep(Duration::from_secs(1));
    let leader = controllers.leader();
    let began = Instant::now();
    lock(&controllers.store).loses_answers = true;
    assert_eq!(controllers.submit(leader, "req-000002"), 201);
    let (mut token, mut started) = (0, false);
    for seq in 1..30 {
        let report = json!({"plot": "host-1", "addr": "127.0.0.1:9", "strain": "m8", "field": "a", "fallow": false,
            "season": 1, "tally": seq, "warrant": token, "reclaim_s": null, "seeds": []});
        let (status, answer) = controllers.ask(leader, Method::Post, "/checkin", Some(report));
        if status == 200 {
            token = answer["warrant"].as_u64().expect("a token");
            started |= answer["tidings"].as_array().is_some_and(|t| t.iter().any(|c| c["tiding"] == "run"));
        }
        if started {
            break;
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    assert!(started, "no start in {:?}", began.elapsed());
}

/// A job goes to another shard; the transaction is lost, is sent again and fails, and the look that would
/// tell whose the job is gets no answer. The job once stayed set aside for good: nobody started it.
#[test]
fn a_job_whose_way_to_another_cell_is_in_doubt_is_not_set_aside_for_good() {
    const KEY: &str = "job/req-000009";
    let cells = "cells = 2\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n";
    let controllers = Controllers::start_with("set-aside", 2, 400.0, Some(cells));
    let in_time = |what: &str, done: &dyn Fn(&mut Store) -> bool| {
        let began = Instant::now();
        while !done(&mut lock(&controllers.store)) {
            assert!(began.elapsed() < Duration::from_secs(20), "{what}");
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    in_time("both cells are owned", &|s| s.values.contains_key("own/c/0") && s.values.contains_key("own/c/1"));
    lock(&controllers.store).conflict = Some(Conflict { key: KEY, lost: false, refused: false });
    // Without machines it waits in its own shard; the other one has room.
    assert_eq!(controllers.submit(0, "req-000009"), 201);
    let moved = |s: &mut Store| {
        let at_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis();
        let picture = json!({"cell": 1, "token": 1, "at_ms": at_ms as u64, "room": 100.0, "idle": 0.0, "waits": 0.0,
            "held": 0.0, "boots": 0.0, "longest_s": 0.0, "teams": {}});
        s.put_anew(TOLD_BY_TEST, picture);
        s.values[KEY].value["cell"] == 1
    };
    in_time("it goes to the other cell after all", &moved);
    let met = lock(&controllers.store).conflict.as_ref().is_some_and(|c| c.lost && c.refused);
    assert!(met, "the trouble was met");
}

/// The leader of all brings a plan of shards into force, and in the same moment loses the state service. The
/// shards' leaders wait for nobody: what it said from then on once contradicted what they had told, for as
/// long as its lease seemed to last.
#[test]
fn whoever_brings_cells_into_force_says_nothing_until_it_knows_of_it() {
    let cells = "cells = 2\npicture_s = 0.5\n[[team]]\nname = \"red\"\ncell = 0\n";
    let mut controllers = Controllers::prepare("plan", 2, 400.0, Some(cells));
    lock(&controllers.store).cuts_off_planner = true;
    controllers.begin(0);
    controllers.until_elected();
    let began = Instant::now();
    while controllers.submit(0, "req-000011") != 201 {
        assert!(began.elapsed() < Duration::from_secs(10), "not accepted");
        std::thread::sleep(Duration::from_millis(100));
    }
    controllers.begin(1);
    let began = Instant::now();
    while lock(&controllers.store).cut_off.is_none() {
        assert!(began.elapsed() < Duration::from_secs(20), "no plan came into force");
        std::thread::sleep(Duration::from_millis(20));
    }
    let confirmed = || {
        let (status, answer) = controllers.ask(1, Method::Post, "/work/req-000011/withdraw", None);
        status == 200 && answer["bloom"] == "cancelled"
    };
    while !confirmed() {
        assert!(began.elapsed() < Duration::from_secs(20), "not cancelled");
        std::thread::sleep(Duration::from_millis(20));
    }
    let confirmed_at = Instant::now();
    while confirmed_at.elapsed() < Duration::from_secs(5) {
        let (status, answer) = controllers.ask(0, Method::Get, "/work/req-000011", None);
        assert!(status != 200 || answer["bloom"] == "cancelled", "{status} {answer}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A team's limit is lower from some controller's start on, as where all are started again one after the
/// other. What was accepted before stays so, whoever is asked; what was not can never run.
#[test]
fn an_accepted_job_that_no_longer_fits_is_not_refused() {
    let mut controllers = Controllers::prepare("lower-limit", 2, 200.0, None);
    controllers.change_settings(1, "cpus_max = 8.0", "cpus_max = 0.5");
    controllers.begin(0);
    controllers.until_elected();
    controllers.begin(1);
    let in_time = |at: usize, id: &str, wanted: &[u16]| {
        let began = Instant::now();
        loop {
            let status = controllers.submit(at, id);
            // Until it has begun, and knows the machine types.
            if wanted.contains(&status) || !matches!(status, 0 | 503) || began.elapsed() > Duration::from_secs(10) {
                return status;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    assert_eq!(in_time(0, "req-000021", &[201]), 201);
    assert_eq!(in_time(1, "req-000022", &[422]), 422, "never accepted");
    assert_eq!(in_time(1, "req-000021", &[200]), 200, "accepted before");
}

/// Guards against counting on a value that a transaction still under way may replace: one that stands at
/// the version that the write was conditional on, whatever is in it.
#[test]
fn a_write_was_carried_out_only_where_its_key_has_changed() {
    let item = |value: &Value, version| KeyValue { key: "rack/1".into(), value: value.clone(), version, lease: None };
    let (wanted, other) = (json!({"machines": ["host-1"]}), json!({"machines": []}));
    let put = |what| PendingWrite {
        key: "rack/1".into(),
        version: 4,
        purpose: what,
        mutation: Mutation::Put { key: "rack/1".into(), value: wanted.clone(), lease: None },
        bytes: 0,
    };
    let w = put(WritePurpose::Checkpoint);
    assert!(w.matches_stored(Some(&item(&wanted, 9))));
    assert!(!w.matches_stored(Some(&item(&wanted, 4))), "another one may come later");
    assert!(!w.matches_stored(Some(&item(&other, 9))) && !w.matches_stored(None));
    let delete = PendingWrite { mutation: Mutation::Delete { key: "rack/1".into() }, ..put(WritePurpose::DeleteStale) };
    assert!(delete.matches_stored(None) && !delete.matches_stored(Some(&item(&wanted, 9))));
    let mut record =
        json!({"at_ms": 0, "phase": "cancelled", "ended_ms": 7, "job": controllers::job_request("req-000003")});
    let end = put(WritePurpose::JobEnd { job: JobIndex::new(0), phase: Phase::Cancelled });
    assert!(end.matches_stored(Some(&item(&record, 9))), "whenever it was");
    record["phase"] = json!("open");
    assert!(!end.matches_stored(Some(&item(&record, 9))));
}
