//! Tests of the gate with small reports: which pass and which fail.

use lupinspur_service_levels::gate::{self, GateResult, NoReadings};
use lupinspur_service_levels::report::ServiceLevelReport;
use lupinspur_service_levels::{Reading, ServiceLevelTracker};
use std::collections::HashMap;

fn lines(j: &GateResult) -> Vec<String> {
    j.under.iter().map(ToString::to_string).collect()
}

#[test]
fn a_day_over_a_half_passes() {
    let r = serde_json::from_str(include_str!("gate/good-report.json")).expect("a report");
    let j = gate::judge_report("good", &r).expect("readings");
    assert_eq!(
        (j.readings, lines(&j)),
        (2, vec![]),
        "a price is not a share, and a target without requests is ignored"
    );
    assert_eq!(j.lowest, Some(("wait desk within 1".into(), 0.5)));
}

#[test]
fn each_class_under_a_half_has_its_line() {
    let r = serde_json::from_str(include_str!("gate/bad-report.json")).expect("a report");
    let j = gate::judge_report("bad", &r).expect("readings");
    assert_eq!(lines(&j), ["bad: deadline match times 1.5: 0.450", "bad: finished letters within 200: 0.499"]);
    let notes: Vec<String> = j.notes.iter().map(ToString::to_string).collect();
    assert_eq!(notes, ["bad: up desk worst 30: 0.200", "bad: deadline match times 1: 0.310"]);
    let e = serde_json::from_str(include_str!("gate/bad-entry.json")).expect("an entry");
    let j = gate::judge_entry("journal", &e).expect("readings");
    assert_eq!((j.readings, lines(&j)), (3, vec!["journal: by-hand rough: wait match 80 s: 0.410".to_owned()]));
    // The served shares of whole classes and teams are judged as well.
    let text = r#"{"site":"s","days":[{"name":"d","served":[["match",0.7,0.9],["team red",0.3,0.49]]}]}"#;
    let j = gate::judge_entry("journal", &serde_json::from_str(text).expect("an entry")).expect("readings");
    assert_eq!((j.readings, lines(&j)), (2, vec!["journal: s d: served team red: 0.490".to_owned()]));
}

/// Service-level reports as the leader logs them.
#[test]
fn teams_are_judged_by_the_service_levels() {
    let mut tracker = ServiceLevelTracker::new(HashMap::new());
    for i in 0..20 {
        tracker.record_request(
            "match",
            if i % 2 == 0 { "red" } else { "blue" },
            Reading::Accepted,
            i % 2 == 0 || i < 6,
            5.0,
        );
    }
    tracker.record_request("rare", "blue", Reading::Accepted, false, 5.0);
    let text = serde_json::to_string(&tracker.report(6.0)).expect("JSON");
    let logged: ServiceLevelReport = serde_json::from_str(&text).expect("the same");
    let j = gate::judge_log("log", std::slice::from_ref(&logged)).expect("readings");
    assert_eq!(lines(&j), ["log: team blue accepted: 0.273"], "a class with a single job is not judged");
    // The report of a new chain of leaders is added to the last one of the previous chain.
    let mut next = ServiceLevelTracker::new(HashMap::new());
    (0..10).for_each(|_| next.record_request("match", "blue", Reading::Accepted, true, 9.0));
    let next = ServiceLevelReport { leader: 7, ..next.report(10.0) };
    let j = gate::judge_log("log", &[logged.clone(), logged, next]).expect("readings");
    assert_eq!((lines(&j), j.lowest.map(|l| l.1 > 0.6)), (vec![], Some(true)), "13 of 21");
}

/// Guards against reports that contradict the measured shares. Of one chain of leaders only the last
/// report counts; it has to agree with the measured share, or to report enough jobs as unknown.
#[test]
fn service_levels_agree_with_what_was_measured_or_say_unknown() {
    let report = r#"{"targets":[
        {"kind":"wait","class":"desk","within_s":1.0,"value":0.9,"of":100},
        {"kind":"deadline","class":"match","times":1.0,"value":0.5,"of":100},
        {"kind":"finished","class":"match","within_s":180.0,"value":0.8,"of":100},
        {"kind":"up","class":"desk","value":0.99,"of":100},
        {"kind":"up","class":"desk","worst_s":30.0,"value":0.2,"of":100},
        {"kind":"price","value":2.0}]}"#;
    let row = |name: &str, reading, asked, share, unknown| {
        let (subject, waits_s) = (lupinspur_service_levels::Subject::Class, None);
        let share = Some(share);
        lupinspur_service_levels::Row {
            subject,
            name: String::from(name),
            reading,
            asked,
            share,
            minute: None,
            ten_minutes: None,
            unknown,
            waits_s,
        }
    };
    let logged = |leader, rows| ServiceLevelReport { leader, chain: 5, at_s: 0.0, rows };
    let early = logged(5, vec![row("desk", Reading::Started, 50.0, 0.1, 0)]);
    let late = |unknown| {
        logged(
            9,
            vec![
                row("desk", Reading::Started, 100.0, 0.7, unknown),
                row("desk", Reading::Up, 1000.0, 0.97, 0),
                row("match", Reading::Done, 100.0, 0.47, 3),
            ],
        )
    };
    let r = serde_json::from_str(report).expect("a report");
    let of = |unknown| -> Vec<(String, bool)> {
        let all = gate::agreement(&r, &[early.clone(), late(unknown)]);
        all.iter().map(|a| (format!("{} {}", a.class, a.reading.name()), a.agrees())).collect()
    };
    let expected =
        |desk| [("desk started", desk), ("desk up", true), ("match done", true)].map(|(n, a)| (n.to_owned(), a));
    assert_eq!(of(10), expected(false), "0.7 is not 0.9");
    assert_eq!(of(150), expected(true), "the unknown jobs can explain the difference");
}

/// A file without readings must not pass.
#[test]
fn a_file_without_readings_does_not_pass() {
    let e = serde_json::from_str(r#"{"v":1,"cmd":"hunt","days":[]}"#).expect("an entry");
    assert_eq!(gate::judge_entry("empty", &e), Err(NoReadings("empty: no reading in it".into())));
}
