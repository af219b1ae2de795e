//! A controller loses its claim and gains a new one while an answer to its earlier self's leader is on its way: what
//! was asked under the earlier claim changes nothing under the new one. Records, commands and deletions name jobs and
//! machines by places in the earlier leader's tables, which are other jobs' and machines' places in the new ones.

use super::*;
use crate::gate::Gate;
use crate::stand_ins::{is_list_of, start, until, writes};

/// The answer to the write of a job's end comes under the new claim, in whose tables other jobs stand at that job's
/// place: none of them is done by it.
#[test]
fn the_answer_to_an_end_of_an_earlier_claim_ends_no_other_job() {
    let (services, controller) = start("end");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    services.gate.hold(|r| writes(r, "job/req-000001", "\"done\""));
    controller.submit("req-000001");
    let began = Instant::now();
    while services.value("job/req-000001").is_none_or(|v| v["phase"] != "done") {
        machine.report(&controller);
        assert!(began.elapsed() < WAITS_AT_MOST, "the job is never done");
        std::thread::sleep(Duration::from_millis(20));
    }
    services.gate.until_held(1);
    let others: Vec<String> = (2..8).map(|i| format!("req-{i:06}")).collect();
    others.iter().for_each(|id| controller.submit(id));
    let before = services.end_lease();
    services.until_elected_after(before);
    until("the new owner knows the jobs", || controller.state_of(&others[0]).0 == 200);
    std::thread::sleep(Duration::from_millis(300));
    services.gate.release();
    std::thread::sleep(Duration::from_millis(100));
    for id in &others {
        let answered = controller.never_says(id, &["done", "cancelled"], Duration::from_millis(200));
        assert!(answered > 0, "{id}: nothing was said");
    }
    controller.until_called("req-000001", "done");
}

/// What was read for a failover under an earlier claim answers nobody under the new one: meanwhile another
/// controller may have owned, and confirmed a cancellation.
#[test]
fn what_was_read_under_an_earlier_claim_answers_nobody() {
    let (services, controller) = start("read");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    controller.submit("req-000001");
    services.gate.hold(|r| is_list_of(r, "/kv", "prog/") || is_list_of(r, "/follow", "job/"));
    // The jobs are read again, and the reading is not over yet.
    let first = services.end_lease();
    services.until_elected_after(first);
    until("the reading is under way", || controller.state_of("req-000001").0 == 200);
    std::thread::sleep(Duration::from_millis(500));
    let second = services.end_lease();
    let mut record = services.value("job/req-000001").expect("a record");
    record["phase"] = json!("cancelled");
    services.write("job/req-000001", &record);
    services.until_elected_after(second);
    // The watch of the first leader is held back, too.
    for _ in 0..4 {
        services.gate.release();
        let answered = controller.never_says("req-000001", &["queued", "running"], Duration::from_millis(400));
        assert!(answered > 0, "nothing was said");
    }
}

/// A change of a job that was watched under an earlier claim is told late, when the job is long over and the new
/// leader has no need to know of it: it is not open once more.
#[test]
fn a_late_change_of_an_earlier_claim_opens_no_job_again() {
    let (services, controller) = start("watch");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    controller.submit("req-000001");
    let mut record = services.value("job/req-000001").expect("a record");
    record["job"]["id"] = json!("req-000002");
    services.hold_news_of("req-000002");
    services.write("job/req-000002", &record);
    services.gate.until_held(1);
    services.gate.hold_no_more();
    let before = services.end_lease();
    record["phase"] = json!("cancelled");
    services.write("job/req-000002", &record);
    services.until_elected_after(before);
    machine.report_until(&controller, "the new owner answers a report", |status, _| status == 200);
    controller.until_called("req-000002", "cancelled");
    services.gate.release();
    let answered = controller.never_says("req-000002", &["queued", "running"], Duration::from_secs(1));
    assert!(answered > 0, "nothing was said");
    machine.report(&controller);
    assert!(machine.tasks.keys().all(|t| !t.starts_with("req-000002")), "a task of it is started");
}

/// Guards against machines that are taken for gone, with the tasks that run on them, by the confirmation of another
/// machine's deletion: it stood at their place in the tables of the earlier leader.
#[test]
fn the_confirmed_deletion_of_an_earlier_claim_takes_no_other_machine_away() {
    let (services, controller) = start("deletion");
    services.list(&[("host-8", "failed"), ("host-9", "running")]);
    until("the failed machine is deleted", || lock(&services.deleted).iter().any(|n| n == "host-8"));
    services.list(&[("host-9", "running")]);
    let mut machines: Vec<Machine> =
        (0..3).map(|number| Machine { number, runs_on: true, ..Machine::default() }).collect();
    for machine in &mut machines {
        machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    }
    (1..10).for_each(|i| controller.submit(&format!("req-{i:06}")));
    let report =
        |machines: &mut [Machine]| -> Vec<u16> { machines.iter_mut().map(|m| m.report(&controller)).collect() };
    until("all tasks run", || {
        report(&mut machines);
        machines.iter().map(|m| m.tasks.len()).sum::<usize>() == 18 && machines.iter().all(|m| !m.tasks.is_empty())
    });
    services.gate.hold(|r| r.path == "/machines/delete");
    services.list(&[("host-9", "failed")]);
    until("the other failed machine is deleted", || {
        report(&mut machines);
        services.forgot("host-8") && lock(&services.deleted).iter().any(|n| n == "host-9")
    });
    services.gate.hold_no_more();
    let before = services.end_lease();
    services.until_elected_after(before);
    let token = services.claim().expect("a claim");
    until("the new owner hears all machines", || {
        report(&mut machines);
        machines.iter().all(|m| m.token >= token)
    });
    services.gate.release();
    std::thread::sleep(Duration::from_millis(200));
    let mut other = Machine { number: 3, runs_on: true, ..Machine::default() };
    for _ in 0..30 {
        assert_eq!(report(&mut machines), [200; 3], "the machines that are there are heard");
        other.report(&controller);
        assert!(other.tasks.is_empty(), "a task that runs on one of them is started on another");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The answer to a command of an earlier claim: what it says is of no machine of the new leader's tables.
#[test]
fn the_answer_to_a_command_of_an_earlier_claim_is_not_heard() {
    let (services, controller) = start("command");
    services.list(&["host-6", "host-7", "host-8"].map(|name| (name, "failed")));
    until("the failed machines are deleted", || lock(&services.deleted).len() > 2);
    services.list(&[]);
    until("they are recorded no more", || ["host-6", "host-7", "host-8"].iter().all(|name| services.forgot(name)));
    let commands: Arc<Gate> = Arc::default();
    commands.hold(|r| r.path == "/do" && !body(r)["tidings"].as_array().is_none_or(Vec::is_empty));
    let mut machine = Machine { runs_on: true, ..Machine::default() };
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
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    controller.submit("req-000001");
    commands.until_held(1);
    commands.hold_no_more();
    let before = services.end_lease();
    services.until_elected_after(before);
    machine.report_until(&controller, "the new owner answers", |status, _| status == 200);
    commands.release();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(machine.report(&controller), 200, "the controller is there, and hears the machine");
    }
    // A release build ends there.
    assert!(!controller.said().contains("panicked"), "{}", controller.said());
}

/// Calls that are never answered end by themselves: a lease is kept though a renewal gets no answer, machines that
/// failed are deleted though a list never comes, and one machine that is silent takes no other's turn.
#[test]
fn a_call_that_is_never_answered_holds_nothing_up() {
    let (services, controller) = start("silence");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, store| status == 200 && store.renewed.is_some());
    services.gate.hold(|r| r.path.starts_with("/grants/"));
    services.gate.until_held(1);
    services.gate.hold(|r| r.method == Method::Get && r.path == "/machines");
    let began = Instant::now();
    while began.elapsed() < CLAIM_LASTS + Duration::from_secs(1) {
        assert_eq!(machine.report(&controller), 200, "{:.1} s later", began.elapsed().as_secs_f64());
        std::thread::sleep(Duration::from_millis(50));
    }
    services.gate.until_held(2);
    services.gate.hold_no_more();
    services.list(&[("host-9", "failed")]);
    until("a later list is read", || {
        machine.report(&controller);
        lock(&services.deleted).iter().any(|n| n == "host-9")
    });
}

/// A job is accepted, and the answer to its transaction comes when another controller has cancelled it and this one
/// owns again: it is not open once more.
#[test]
fn the_answer_to_an_acceptance_of_an_earlier_claim_opens_no_job_again() {
    let (services, controller) = start("acceptance");
    let mut machine = Machine::default();
    machine.report_until(&controller, "a report is answered", |status, _| status == 200);
    services.gate.hold(|r| writes(r, "job/req-000001", "\"open\""));
    std::thread::scope(|scope| {
        scope.spawn(|| controller.submit("req-000001"));
        services.gate.until_held(1);
        services.gate.hold_no_more();
        let before = services.end_lease();
        let mut record = services.value("job/req-000001").expect("a record");
        record["phase"] = json!("cancelled");
        services.write("job/req-000001", &record);
        services.until_elected_after(before);
        machine.report_until(&controller, "the new owner answers a report", |status, _| status == 200);
        controller.until_called("req-000001", "cancelled");
        services.gate.release();
    });
    let answered = controller.never_says("req-000001", &["queued", "running"], Duration::from_secs(1));
    assert!(answered > 0, "nothing was said");
}
