//! Behaviour of a controller when the state service or the cloud refuses a request, has compacted changes or doesn't
//! respond.

use crate::stand_ins::{Services, is_list_of, start, until, writes};
use crate::*;

/// Guards against an accepted job that the leader never learns of. The watch can't deliver its change any more (status
/// 410), so the leader has to read all records again.
#[test]
fn changes_that_are_gone_are_read_again() {
    let (services, controller) = start("gone");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    controller.submit("req-000001");
    let mut record = services.value("job/req-000001").expect("a record");
    record["job"]["id"] = json!("req-000002");
    services.answer_instead(|r| is_list_of(r, "/follow", "job/"), 410, json!({}));
    // A watch request in progress may last for seconds. Without heartbeats meanwhile, the machine would be declared
    // lost.
    until("a watch is refused", || {
        machine.send_heartbeat(&controller);
        services.answered_instead() > 0
    });
    services.write("job/req-000002", &record);
    let version = lock(&services.store).keys["job/req-000002"].1;
    let older = move |request: &Incoming| {
        let from = http::param(&request.query, "from").and_then(|v| v.parse().ok());
        is_list_of(request, "/follow", "job/") && from < Some(version)
    };
    services.answer_instead(older, 410, json!({}));
    let began = Instant::now();
    while services.value("job/req-000002").is_none_or(|v| v["phase"] != "done") {
        machine.send_heartbeat(&controller);
        assert!(began.elapsed() < WAIT_TIMEOUT, "the accepted job should run and be stored as done");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a machine that stays rented after a refused deletion: the deletion has to be requested again.
#[test]
fn a_deletion_that_is_refused_is_asked_for_again() {
    let (services, _controller) = start("refused-deletion");
    services.answer_instead(|r| r.path == "/machines/delete", 503, json!({"error": "trouble"}));
    services.list(&[("host-9", "failed")]);
    until("a deletion is refused", || services.answered_instead() > 0);
    services.answer_as_usual();
    until("the machine is deleted", || lock(&services.deleted).iter().any(|n| n == "host-9"));
}

/// Guards against machines that are rented twice. A rental request without a response may have been granted, so it is
/// repeated under the same name, which the cloud grants only once.
#[test]
fn a_rental_without_an_answer_is_asked_for_by_the_same_name() {
    let (services, controller) = start("rental");
    let name = |r: &Incoming| body(r)["tenancy"].as_str().unwrap_or_default().to_owned();
    let is_rental = |r: &Incoming| r.method == Method::Post && r.path == "/machines";
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded = asked.clone();
    let record_rental = move |request: &Incoming| {
        if is_rental(request) {
            lock(&recorded).push(name(request));
        }
        is_rental(request)
    };
    services.gate.hold(record_rental);
    controller.submit("req-000001");
    until("the rental is requested again", || lock(&asked).len() > 1);
    let asked = lock(&asked).clone();
    assert_eq!(asked[0], asked[1], "the repeated rental request should have the same name");
}

/// Guards against a campaign that keeps using an expired lease: the controller has to request a new lease.
#[test]
fn a_claim_with_an_ended_lease_is_made_with_another() {
    let (services, controller) = start("ended-lease");
    services.answer_instead(|r| writes(r, LEADERSHIP_KEY, "n0"), 400, json!({"error": "no such lease"}));
    until("a leadership record is refused", || services.answered_instead() > 0);
    let leases = services.leases();
    until("another lease is requested", || services.leases() > leases);
    services.answer_as_usual();
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
}

/// Guards against a controller that deletes another controller's leadership record. A controller that restarts too
/// often yields leadership: it deletes the record of its previous incarnation, conditional on the version that it read.
#[test]
fn a_yielding_controller_deletes_only_the_leadership_record_that_it_read() {
    let services: Arc<Services> = Arc::default();
    let now_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis() as u64;
    services.write(LEADERSHIP_KEY, &json!({"node": "n0", "nonce": "before", "at_ms": now_ms, "short_lives": 5}));
    let seeds = format!("[[seeds]]\nhost_name = \"n1\"\ndomain = \"a\"\naddress = \"{}\"\n", free_port());
    let _controller = services.start_with("gives-way", &seeds);
    let deletion = || {
        let store = lock(&services.store);
        let yielding = store.transactions.iter().find(|t| t.writes.iter().any(|key| key == "own/away/n0"));
        yielding.map(|t| {
            (
                t.writes.contains(&LEADERSHIP_KEY.to_owned()),
                t.conditions.get(LEADERSHIP_KEY) == Some(&t.leadership_version),
            )
        })
    };
    until("the controller yields", || deletion().is_some());
    assert_eq!(
        deletion(),
        Some((true, true)),
        "it deletes the leadership record on condition of the version that it read"
    );
}

/// Malformed submissions get status 400, and nothing is stored for them.
#[test]
fn malformed_submissions_are_not_accepted() {
    let (services, controller) = start("malformed");
    controller.submit("req-000001");
    let job = || {
        let mut job = services.value("job/req-000001").expect("a record")["job"].clone();
        job["id"] = json!("req-000002");
        job
    };
    let changed = |field: &str, value: Value| {
        let mut changed = job();
        changed[field] = value;
        changed
    };
    let malformed = [
        json!([1]),
        changed("id", json!("job 2")),
        changed("id", json!("req-")),
        changed("id", json!("req-000002/3")),
        changed("seeds", json!(0)),
        changed("seeds", json!(100_001)),
        changed("seeds", json!(-1)),
        changed("seeds", json!(1.5)),
        changed("bulb", Value::Null),
        changed("cpus", json!(-1.0)),
        changed("memory_gb", json!(-0.5)),
        changed("harvest_s", json!(-1.0)),
        changed("cpus", json!("1")),
    ];
    for submission in malformed {
        assert_eq!(controller.ask(Method::Post, "/work", &submission).0, 400, "{submission}");
    }
    let raw = |text: String| {
        let call = controller.client.call(
            controller.address,
            Method::Post,
            "/work",
            Some(text.into_bytes()),
            Duration::from_secs(2),
        );
        async_io::block_on(call).map_or(0, |a| a.0)
    };
    let text = job().to_string();
    assert!(text.contains("\"cpus\":1.0"), "{text}");
    assert_eq!(raw(text.replace("\"cpus\":1.0", "\"cpus\":1e999")), 400, "1e999 is out of the range of numbers");
    assert_eq!(raw(text[..text.len() - 1].to_owned()), 400, "truncated JSON should be rejected");
    assert!(services.value("job/req-000002").is_none(), "nothing should be stored for malformed submissions");
    for id in ["job-1", "req-", "req-1x"] {
        assert_eq!(controller.ask(Method::Get, &format!("/work/{id}"), &Value::Null).0, 400, "{id}");
    }
}

/// Guards against refusing a job that was accepted earlier, when limits and machine types were different. A submission
/// that can never run is refused (422) only after a read of the state service shows that it was never accepted.
#[test]
fn what_can_never_run_is_refused_on_the_state_service_s_word() {
    let (services, controller) = start("never");
    controller.submit("req-000001");
    let mut job = services.value("job/req-000001").expect("a record")["job"].clone();
    (job["id"], job["cpus"]) = (json!("req-000002"), json!(99.0));
    let submit = || controller.ask(Method::Post, "/work", &job).0;
    assert_eq!(submit(), 422);
    services.answer_instead(|r| r.path.starts_with("/kv/job/"), 503, json!({"error": "trouble"}));
    assert_eq!(submit(), 503, "without a read of its record the job may have been accepted");
    services.answer_as_usual();
    assert_eq!(submit(), 422);
}

/// Guards against accepting a job again that another controller accepted and that has ended. The response to a repeated
/// submission is the stored final state, even before this leader's watch has delivered it.
#[test]
fn a_repeated_submission_hears_the_end_that_is_stored() {
    let (services, controller) = start("repeated");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    controller.submit("req-000001");
    let mut record = services.value("job/req-000001").expect("a record");
    record["job"]["id"] = json!("req-000002");
    let job = record["job"].clone();
    services.hold_changes_of("req-000002");
    record["phase"] = json!("cancelled");
    services.write("job/req-000002", &record);
    services.gate.until_held(1);
    for _ in 0..2 {
        let (status, answer) = controller.ask(Method::Post, "/work", &job);
        assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")));
    }
}

/// Guards against a late write of machine types that replaces newer ones: it is fenced like every write of a leader.
#[test]
fn machine_types_are_stored_under_the_claim_and_over_their_version() {
    let (services, _controller) = start("types");
    until("the types are stored", || services.value("own/types").is_some());
    let store = lock(&services.store);
    let write = store
        .transactions
        .iter()
        .find(|t| t.writes.iter().any(|k| k == "own/types"))
        .expect("the write of the machine types");
    assert_eq!(write.conditions.get("own/types"), Some(&0), "the write is conditional on the key's absence");
    assert_eq!(
        write.conditions.get(LEADERSHIP_KEY),
        Some(&write.leadership_version),
        "the write is conditional on the leadership record"
    );
}

/// Guards against redirecting machines to a leader that is gone. A controller that has had no response from the state
/// service for longer than a lease lasts doesn't know the leader: it answers 503 instead of redirecting (421).
#[test]
fn a_controller_without_the_state_service_redirects_no_machine() {
    let services: Arc<Services> = Arc::default();
    services.write(LEADERSHIP_KEY, &json!({"node": "n1", "nonce": "another"}));
    let seeds = format!("[[seeds]]\nhost_name = \"n1\"\ndomain = \"a\"\naddress = \"{}\"\n", free_port());
    let controller = services.start_with("elsewhere", &seeds);
    let mut machine = Machine::default();
    until("machines are redirected to the leader", || machine.send_heartbeat(&controller) == 421);
    services.answer_instead(|_| true, 503, json!({"error": "trouble"}));
    until("the state service refuses", || services.answered_instead() > 0);
    until("machines are redirected no longer", || machine.send_heartbeat(&controller) == 503);
    assert!(services.value(LEADERSHIP_KEY).is_some(), "the leadership record should still exist");
    services.answer_as_usual();
    until("machines are redirected to the leader again", || machine.send_heartbeat(&controller) == 421);
}
