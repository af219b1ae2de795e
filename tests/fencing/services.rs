//! What a controller does when the state service or the cloud refuses, forgets or does not answer.

use crate::stand_ins::{Services, is_list_of, start, until, writes};
use crate::*;

/// Guards against a job that was accepted and never known to the leader: the changes by which it would have come are
/// gone, so that all records are read again.
#[test]
fn changes_that_are_gone_are_read_again() {
    let (services, controller) = start("gone");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    controller.submit("req-000001");
    let mut record = services.value("job/req-000001").expect("a record");
    record["job"]["id"] = json!("req-000002");
    services.answer_instead(|r| is_list_of(r, "/follow", "job/"), 410, json!({}));
    // A watch that is under way may last for seconds. A machine that says nothing meanwhile would be given up.
    until("a watch is refused", || {
        machine.report(&controller);
        services.answered_instead() > 0
    });
    services.write("job/req-000002", &record);
    let stands = lock(&services.store).keys["job/req-000002"].1;
    let older = move |r: &Incoming| {
        let from = http::param(&r.query, "from").and_then(|v| v.parse().ok());
        is_list_of(r, "/follow", "job/") && from < Some(stands)
    };
    services.answer_instead(older, 410, json!({}));
    let began = Instant::now();
    while services.value("job/req-000002").is_none_or(|v| v["phase"] != "done") {
        machine.report(&controller);
        assert!(began.elapsed() < WAITS_AT_MOST, "a job that was accepted never runs");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A deletion that was refused has deleted nothing: it is asked for again.
#[test]
fn a_deletion_that_is_refused_is_asked_for_again() {
    let (services, _controller) = start("refused-deletion");
    services.answer_instead(|r| r.path == "/machines/delete", 503, json!({"error": "trouble"}));
    services.list(&[("host-9", "failed")]);
    until("a deletion is refused", || services.answered_instead() > 0);
    services.answer_as_usual();
    until("the machine is deleted", || lock(&services.deleted).iter().any(|n| n == "host-9"));
}

/// A rental without an answer may have been granted: it is asked for by the same name, which rents nothing twice,
/// and no name is used again after its answer.
#[test]
fn a_rental_without_an_answer_is_asked_for_by_the_same_name() {
    let (services, controller) = start("rental");
    let name = |r: &Incoming| body(r)["tenancy"].as_str().unwrap_or_default().to_owned();
    let is_rental = |r: &Incoming| r.method == Method::Post && r.path == "/machines";
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let noted = asked.clone();
    let note = move |r: &Incoming| {
        if is_rental(r) {
            lock(&noted).push(name(r));
        }
        is_rental(r)
    };
    services.gate.hold(note);
    controller.submit("req-000001");
    until("the rental is asked for again", || lock(&asked).len() > 1);
    let asked = lock(&asked).clone();
    assert_eq!(asked[0], asked[1], "by the same name");
}

/// A claim that is sent with a lease that has ended is made with another one.
#[test]
fn a_claim_with_an_ended_lease_is_made_with_another() {
    let (services, controller) = start("ended-lease");
    services.answer_instead(|r| writes(r, CLAIM, "n0"), 400, json!({"error": "no such lease"}));
    until("a claim is refused", || services.answered_instead() > 0);
    let leases = services.leases();
    until("another lease is asked for", || services.leases() > leases);
    services.answer_as_usual();
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
}

/// Whoever gives way drops the claim of its own earlier self that it has seen, and no other that stands there by then.
#[test]
fn who_gives_way_drops_the_claim_that_it_saw() {
    let services: Arc<Services> = Arc::default();
    let day_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis() as u64;
    services.write(CLAIM, &json!({"node": "n0", "nonce": "before", "at_ms": day_ms, "short_lives": 5}));
    let seeds = format!("[[seeds]]\nhost_name = \"n1\"\ndomain = \"a\"\naddress = \"{}\"\n", free_port());
    let _controller = services.start_with("gives-way", &seeds);
    let dropped = || {
        let store = lock(&services.store);
        let by = store.transactions.iter().find(|t| t.writes.iter().any(|k| k == "own/away/n0"));
        by.map(|t| (t.writes.contains(&CLAIM.to_owned()), t.conditions.get(CLAIM) == Some(&t.claim_version)))
    };
    until("it gives way", || dropped().is_some());
    assert_eq!(dropped(), Some((true, true)), "it drops the claim, over the version that it saw");
}

/// Submissions that are malformed get 400, and nothing is stored of them.
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
    assert_eq!(raw(text.replace("\"cpus\":1.0", "\"cpus\":1e999")), 400, "no number of JSON is that large");
    assert_eq!(raw(text[..text.len() - 1].to_owned()), 400, "half of it");
    assert!(services.value("job/req-000002").is_none(), "nothing of them is stored");
    for id in ["job-1", "req-", "req-1x"] {
        assert_eq!(controller.ask(Method::Get, &format!("/work/{id}"), &Value::Null).0, 400, "{id}");
    }
}

/// A submission that can never run is refused on the state service's word that it was never accepted: limits and
/// machine types may have been others when it was.
#[test]
fn what_can_never_run_is_refused_on_the_state_service_s_word() {
    let (services, controller) = start("never");
    controller.submit("req-000001");
    let mut job = services.value("job/req-000001").expect("a record")["job"].clone();
    (job["id"], job["cpus"]) = (json!("req-000002"), json!(99.0));
    let submit = || controller.ask(Method::Post, "/work", &job).0;
    assert_eq!(submit(), 422);
    services.answer_instead(|r| r.path.starts_with("/kv/job/"), 503, json!({"error": "trouble"}));
    assert_eq!(submit(), 503, "it may have been accepted");
    services.answer_as_usual();
    assert_eq!(submit(), 422);
}

/// A job that another controller accepted, and that ended, is not accepted once more: a repeated submission hears
/// how it ended, also before this leader knows of it.
#[test]
fn a_repeated_submission_hears_the_end_that_is_stored() {
    let (services, controller) = start("repeated");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    controller.submit("req-000001");
    let mut record = services.value("job/req-000001").expect("a record");
    record["job"]["id"] = json!("req-000002");
    let job = record["job"].clone();
    services.hold_news_of("req-000002");
    record["phase"] = json!("cancelled");
    services.write("job/req-000002", &record);
    services.gate.until_held(1);
    for _ in 0..2 {
        let (status, answer) = controller.ask(Method::Post, "/work", &job);
        assert_eq!((status, answer["bloom"].as_str()), (200, Some("cancelled")));
    }
}

/// The machine types that a leader stores are fenced as all that it writes: late, they replace no newer ones.
#[test]
fn machine_types_are_stored_under_the_claim_and_over_their_version() {
    let (services, _controller) = start("types");
    until("the types are stored", || services.value("own/types").is_some());
    let store = lock(&services.store);
    let write = store.transactions.iter().find(|t| t.writes.iter().any(|k| k == "own/types")).expect("their write");
    assert_eq!(write.conditions.get("own/types"), Some(&0), "there were none");
    assert_eq!(write.conditions.get(CLAIM), Some(&write.claim_version), "under the claim");
}

/// Whoever has not heard from the state service for longer than a claim lasts does not know who owns: it sends
/// machines to nobody, who would wait in vain for a leader that is gone.
#[test]
fn who_does_not_hear_the_state_service_sends_machines_to_nobody() {
    let services: Arc<Services> = Arc::default();
    services.write(CLAIM, &json!({"node": "n1", "nonce": "another"}));
    let seeds = format!("[[seeds]]\nhost_name = \"n1\"\ndomain = \"a\"\naddress = \"{}\"\n", free_port());
    let controller = services.start_with("elsewhere", &seeds);
    let mut machine = Machine::default();
    until("machines are sent to the owner", || machine.report(&controller) == 421);
    services.answer_instead(|_| true, 503, json!({"error": "trouble"}));
    until("the state service refuses", || services.answered_instead() > 0);
    until("machines are sent to nobody", || machine.report(&controller) == 503);
    assert!(services.value(CLAIM).is_some(), "the claim stands all the while");
    services.answer_as_usual();
    until("machines are sent to the owner again", || machine.report(&controller) == 421);
}
