//! A controller loses leadership and is elected again while a response to a request of its first term is in flight.
//! Such a response must change nothing in the second term: it refers to jobs and machines by their indexes in the
//! tables of the first term, and the same indexes denote other jobs and machines in the new tables.

use super::*;
use crate::gate::Gate;
use crate::stand_ins::{is_list_of, start, until, writes};

/// Guards against jobs that are marked as done by the late response to a write of another job's end: in the new term's
/// tables another job has the index of the job that ended.
#[test]
fn the_answer_to_an_end_of_an_earlier_claim_ends_no_other_job() {
    let (services, controller) = start("end");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    services.gate.hold(|request| writes(request, "job/req-000001", "\"done\""));
    controller.submit("req-000001");
    let began = Instant::now();
    while services.value("job/req-000001").is_none_or(|v| v["phase"] != "done") {
        machine.send_heartbeat(&controller);
        assert!(began.elapsed() < WAIT_TIMEOUT, "the job should be stored as done");
        std::thread::sleep(Duration::from_millis(20));
    }
    services.gate.until_held(1);
    let others: Vec<String> = (2..8).map(|i| format!("req-{i:06}")).collect();
    others.iter().for_each(|id| controller.submit(id));
    let before = services.end_lease();
    services.until_elected_after(before);
    until("the new leader knows the jobs", || controller.state_of(&others[0]).0 == 200);
    std::thread::sleep(Duration::from_millis(300));
    services.gate.release();
    std::thread::sleep(Duration::from_millis(100));
    for id in &others {
        let answered = controller.assert_state_is_not(id, &["done", "cancelled"], Duration::from_millis(200));
        assert!(answered > 0, "{id}: at least one poll should be answered");
    }
    controller.until_state_is("req-000001", "done");
}

/// Guards against responses based on records that were read for a failover in an earlier term: meanwhile another
/// controller may have led and confirmed a cancellation.
#[test]
fn what_was_read_under_an_earlier_claim_answers_nobody() {
    let (services, controller) = start("read");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    controller.submit("req-000001");
    services.gate.hold(|request| is_list_of(request, "/kv", "prog/") || is_list_of(request, "/follow", "job/"));
    // The new leader reads the job records again; its read is held before it completes.
    let first = services.end_lease();
    services.until_elected_after(first);
    until("the read is in progress", || controller.state_of("req-000001").0 == 200);
    std::thread::sleep(Duration::from_millis(500));
    let second = services.end_lease();
    let mut record = services.value("job/req-000001").expect("a record");
    record["phase"] = json!("cancelled");
    services.write("job/req-000001", &record);
    services.until_elected_after(second);
    // The watch of the first term is held, too.
    for _ in 0..4 {
        services.gate.release();
        let answered = controller.assert_state_is_not("req-000001", &["queued", "running"], Duration::from_millis(400));
        assert!(answered > 0, "at least one poll should be answered");
    }
}

/// Guards against a finished job that is reopened by the late watch response of an earlier term. By then the job has
/// ended, and the new term's leader doesn't hold it any more.
#[test]
fn a_late_change_of_an_earlier_claim_opens_no_job_again() {
    let (services, controller) = start("watch");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    controller.submit("req-000001");
    let mut record = services.value("job/req-000001").expect("a record");
    record["job"]["id"] = json!("req-000002");
    services.hold_changes_of("req-000002");
    services.write("job/req-000002", &record);
    services.gate.until_held(1);
    services.gate.hold_no_more();
    let before = services.end_lease();
    record["phase"] = json!("cancelled");
    services.write("job/req-000002", &record);
    services.until_elected_after(before);
    machine.send_heartbeats_until(&controller, "the new leader answers a heartbeat", |status, _| status == 200);
    controller.until_state_is("req-000002", "cancelled");
    services.gate.release();
    let answered = controller.assert_state_is_not("req-000002", &["queued", "running"], Duration::from_secs(1));
    assert!(answered > 0, "at least one poll should be answered");
    machine.send_heartbeat(&controller);
    assert!(machine.tasks.keys().all(|t| !t.starts_with("req-000002")), "no task of the cancelled job may be started");
}

/// Guards against machines that are removed, together with their running tasks, by the late confirmation of another
/// machine's deletion: that machine had the same index in the tables of the earlier term.
#[test]
fn the_confirmed_deletion_of_an_earlier_claim_takes_no_other_machine_away() {
    let (services, controller) = start("deletion");
    services.list(&[("host-8", "failed"), ("host-9", "running")]);
    until("the failed machine is deleted", || lock(&services.deleted).iter().any(|n| n == "host-8"));
    services.list(&[("host-9", "running")]);
    let mut machines: Vec<Machine> =
        (0..3).map(|number| Machine { number, tasks_never_end: true, ..Machine::default() }).collect();
    for machine in &mut machines {
        machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    }
    (1..10).for_each(|i| controller.submit(&format!("req-{i:06}")));
    let send_heartbeats =
        |machines: &mut [Machine]| -> Vec<u16> { machines.iter_mut().map(|m| m.send_heartbeat(&controller)).collect() };
    until("all tasks run", || {
        send_heartbeats(&mut machines);
        machines.iter().map(|m| m.tasks.len()).sum::<usize>() == 18 && machines.iter().all(|m| !m.tasks.is_empty())
    });
    services.gate.hold(|request| request.path == "/machines/delete");
    services.list(&[("host-9", "failed")]);
    until("the other failed machine is deleted", || {
        send_heartbeats(&mut machines);
        services.has_no_record_of("host-8") && lock(&services.deleted).iter().any(|n| n == "host-9")
    });
    services.gate.hold_no_more();
    let before = services.end_lease();
    services.until_elected_after(before);
    let token = services.leadership_version().expect("a leadership record");
    until("the new leader has received heartbeats of all machines", || {
        send_heartbeats(&mut machines);
        machines.iter().all(|m| m.token >= token)
    });
    services.gate.release();
    std::thread::sleep(Duration::from_millis(200));
    let mut other = Machine { number: 3, tasks_never_end: true, ..Machine::default() };
    for _ in 0..30 {
        assert_eq!(send_heartbeats(&mut machines), [200; 3], "heartbeats of the existing machines should be answered");
        other.send_heartbeat(&controller);
        assert!(other.tasks.is_empty(), "no task that runs on one of them may be started on another machine");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against the late response to a command of an earlier term: the machine that it refers to has no entry in the
/// tables of the new term.
#[test]
fn the_answer_to_a_command_of_an_earlier_claim_is_not_heard() {
    let (services, controller) = start("command");
    services.list(&["host-6", "host-7", "host-8"].map(|name| (name, "failed")));
    until("the failed machines are deleted", || lock(&services.deleted).len() > 2);
    services.list(&[]);
    until("no stored record names them", || {
        ["host-6", "host-7", "host-8"].iter().all(|name| services.has_no_record_of(name))
    });
    let commands: Arc<Gate> = Arc::default();
    commands.hold(|r| r.path == "/do" && !body(r)["tidings"].as_array().is_none_or(Vec::is_empty));
    let mut machine = Machine { tasks_never_end: true, ..Machine::default() };
    let address: Arc<Mutex<String>> = Arc::default();
    let (gate, counter, own) = (commands.clone(), machine.counter.clone(), address.clone());
    machine.address = server(move |request| {
        let (gate, counter, own) = (gate.clone(), counter.clone(), own.clone());
        async move {
            let counter = counter.fetch_add(1, Ordering::Relaxed) + 1;
            let own = lock(&own).clone();
            let report = json!({"plot": "host-1", "addr": own, "strain": "m8", "field": "a", "fallow": false, "season": 1,
                "tally": counter, "warrant": body(&request)["warrant"], "reclaim_s": null, "seeds": []});
            let answer = Outgoing::json(200, &report);
            gate.pass(&request, &answer).await;
            answer
        }
    })
    .to_string();
    lock(&address).clone_from(&machine.address);
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    controller.submit("req-000001");
    commands.until_held(1);
    commands.hold_no_more();
    let before = services.end_lease();
    services.until_elected_after(before);
    machine.send_heartbeats_until(&controller, "the new leader answers a heartbeat", |status, _| status == 200);
    commands.release();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(
            machine.send_heartbeat(&controller),
            200,
            "the controller should be running and answer the heartbeat"
        );
    }
    // A release build aborts on a panic.
    assert!(!controller.stderr_text().contains("panicked"), "{}", controller.stderr_text());
}

/// Guards against calls without a response that block others. Such calls time out: the lease is kept although a renewal
/// gets no response, failed machines are deleted although a list request gets none, and a silent machine doesn't delay
/// other machines.
#[test]
fn a_call_that_is_never_answered_holds_nothing_up() {
    let (services, controller) = start("silence");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, store| {
        status == 200 && store.renewed.is_some()
    });
    services.gate.hold(|request| request.path.starts_with("/grants/"));
    services.gate.until_held(1);
    services.gate.hold(|request| request.method == Method::Get && request.path == "/machines");
    let began = Instant::now();
    while began.elapsed() < LEASE_DURATION + Duration::from_secs(1) {
        assert_eq!(
            machine.send_heartbeat(&controller),
            200,
            "heartbeats should be answered, {:.1} s after the renewal was held",
            began.elapsed().as_secs_f64()
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    services.gate.until_held(2);
    services.gate.hold_no_more();
    services.list(&[("host-9", "failed")]);
    until("a later list is read", || {
        machine.send_heartbeat(&controller);
        lock(&services.deleted).iter().any(|n| n == "host-9")
    });
}

/// Guards against a cancelled job that is reopened by the late response to its acceptance. The response comes after
/// another controller has cancelled the job and this controller leads again.
#[test]
fn the_answer_to_an_acceptance_of_an_earlier_claim_opens_no_job_again() {
    let (services, controller) = start("acceptance");
    let mut machine = Machine::default();
    machine.send_heartbeats_until(&controller, "a heartbeat is answered", |status, _| status == 200);
    services.gate.hold(|request| writes(request, "job/req-000001", "\"open\""));
    std::thread::scope(|scope| {
        scope.spawn(|| controller.submit("req-000001"));
        services.gate.until_held(1);
        services.gate.hold_no_more();
        let before = services.end_lease();
        let mut record = services.value("job/req-000001").expect("a record");
        record["phase"] = json!("cancelled");
        services.write("job/req-000001", &record);
        services.until_elected_after(before);
        machine.send_heartbeats_until(&controller, "the new leader answers a heartbeat", |status, _| status == 200);
        controller.until_state_is("req-000001", "cancelled");
        services.gate.release();
    });
    let answered = controller.assert_state_is_not("req-000001", &["queued", "running"], Duration::from_secs(1));
    assert!(answered > 0, "at least one poll should be answered");
}
