//! The gate on small reports written by hand: which pass, and which must not.

use lupinspur_accounts::gate::{self, Judged, Nothing};
use lupinspur_accounts::told::Told;
use lupinspur_accounts::{Book, Reading};
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
}

/// The owner's own accounts, as they stand in its log.
#[test]
fn teams_are_judged_by_the_accounts() {
    let mut b = Book::new(HashMap::new());
    for i in 0..20 {
        b.answered("match", if i % 2 == 0 { "red" } else { "blue" }, Reading::Accepted, i % 2 == 0 || i < 6, 5.0);
    }
    b.answered("rare", "blue", Reading::Accepted, false, 5.0);
    let text = serde_json::to_string(&b.told(6.0)).expect("JSON");
    let told: Told = serde_json::from_str(&text).expect("the same");
    let j = gate::accounts("log", std::slice::from_ref(&told)).expect("readings");
    assert_eq!(lines(&j), ["log: team blue accepted: 0.273"], "one job of a class says nothing");
    // A successor's accounts come beside the last of the owner before, not in their place.
    let mut next = Book::new(HashMap::new());
    (0..10).for_each(|_| next.answered("match", "blue", Reading::Accepted, true, 9.0));
    let next = Told { owner: 7, ..next.told(10.0) };
    let j = gate::accounts("log", &[told.clone(), told, next]).expect("readings");
    assert_eq!((lines(&j), j.lowest.map(|l| l.1 > 0.6)), (vec![], Some(true)), "13 of 21");
}

/// A file that is something else must not pass for a good day.
#[test]
fn what_says_nothing_does_not_pass() {
    let e = serde_json::from_str(r#"{"v":1,"cmd":"hunt","days":[]}"#).expect("an entry");
    assert_eq!(gate::entry("empty", &e), Err(Nothing("empty: no reading in it".into())));
}
