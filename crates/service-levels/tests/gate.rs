//! The gate on small reports written by hand: which pass, and which must not.

use lupinspur_service_levels::gate::{self, Judged, Nothing};
use lupinspur_service_levels::report::ServiceLevelReport;
use lupinspur_service_levels::{Reading, ServiceLevelTracker};
use std::collections::HashMap;

fn lines(j: &Judged) -> Vec<String> {
    j.under.iter().map(ToString::to_string).collect()
}

#[test]
fn a_day_over_a_half_passes() {
    let r = serde_json::from_str(include_str!("gate/good-report.json")).expect("a report");
    let j = gate::report("good", &r).expect("readings");
    assert_eq!((j.readings, lines(&j)), (2, vec![]), "a price is no service, and of nothing there is no share");
    assert_eq!(j.lowest, Some(("wait desk within 1".into(), 0.5)));
}

#[test]
fn each_class_under_a_half_has_its_line() {
    let r = serde_json::from_str(include_str!("gate/bad-report.json")).expect("a report");
    let j = gate::report("bad", &r).expect("readings");
    assert_eq!(lines(&j), ["bad: deadline match times 1.5: 0.450", "bad: finished letters within 200: 0.499"]);
    let notes: Vec<String> = j.notes.iter().map(ToString::to_string).collect();
    assert_eq!(notes, ["bad: up desk worst 30: 0.200", "bad: deadline match times 1: 0.310"]);
    let e = serde_json::from_str(include_str!("gate/bad-entry.json")).expect("an entry");
    let j = gate::entry("journal", &e).expect("readings");
    assert_eq!((j.readings, lines(&j)), (3, vec!["journal: by-hand rough: wait match 80 s: 0.410".to_owned()]));
    // What was measured of each class and team as a whole is judged, too.
    let text = r#"{"site":"s","days":[{"name":"d","served":[["match",0.7,0.9],["team red",0.3,0.49]]}]}"#;
    let j = gate::entry("journal", &serde_json::from_str(text).expect("an entry")).expect("readings");
    assert_eq!((j.readings, lines(&j)), (2, vec!["journal: s d: served team red: 0.490".to_owned()]));
}

/// The leader's own accounts, as they stand in its log.
#[test]
fn teams_are_judged_by_the_service_levels() {
    let mut b = ServiceLevelTracker::new(HashMap::new());
    for i in 0..20 {
        b.answered("match", if i % 2 == 0 { "red" } else { "blue" }, Reading::Accepted, i % 2 == 0 || i < 6, 5.0);
    }
    b.answered("rare", "blue", Reading::Accepted, false, 5.0);
    let text = serde_json::to_string(&b.report(6.0)).expect("JSON");
    let told: ServiceLevelReport = serde_json::from_str(&text).expect("the same");
    let j = gate::accounts("log", std::slice::from_ref(&told)).expect("readings");
    assert_eq!(lines(&j), ["log: team blue accepted: 0.273"], "one job of a class says nothing");
    // A successor's accounts come beside the last of the leader before, not in their place.
    let mut next = ServiceLevelTracker::new(HashMap::new());
    (0..10).for_each(|_| next.answered("match", "blue", Reading::Accepted, true, 9.0));
    let next = ServiceLevelReport { leader: 7, ..next.report(10.0) };
    let j = gate::accounts("log", &[told.clone(), told, next]).expect("readings");
    assert_eq!((lines(&j), j.lowest.map(|l| l.1 > 0.6)), (vec![], Some(true)), "13 of 21");
}

/// Guards against accounts that cannot be believed: those of one chain of leaders count once, the
/// last that was logged, and they are held against what was measured, or say that they do not know.
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
        let (side, waits_s) = (lupinspur_service_levels::Subject::Class, None);
        let share = Some(share);
        lupinspur_service_levels::Row {
            side,
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
    let told = |owner, rows| ServiceLevelReport { leader: owner, chain: 5, at_s: 0.0, rows };
    let early = told(5, vec![row("desk", Reading::Started, 50.0, 0.1, 0)]);
    let late = |unknown| {
        told(
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
    assert_eq!(of(150), expected(true), "what it does not know may be the difference");
}

/// A file that is something else must not pass for a good day.
#[test]
fn what_says_nothing_does_not_pass() {
    let e = serde_json::from_str(r#"{"v":1,"cmd":"hunt","days":[]}"#).expect("an entry");
    assert_eq!(gate::entry("empty", &e), Err(Nothing("empty: no reading in it".into())));
}
