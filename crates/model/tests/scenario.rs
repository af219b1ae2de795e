//! The scenario file: the published schema and the example match what the program reads, and all errors of a file are
//! reported at once, each with its path.

use lupinspur_model::{Scenario, simulate};
use std::path::PathBuf;

fn deploy(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "..", "deploy", name].iter().collect()
}

/// `UPDATE_SCHEMA=1 cargo test -p lupinspur-model` writes the schema file.
#[test]
fn the_published_schema_is_that_of_the_program() {
    let schema = serde_json::to_string_pretty(&Scenario::schema()).expect("JSON") + "\n";
    if std::env::var_os("UPDATE_SCHEMA").is_some() {
        std::fs::write(deploy("scenario.schema.json"), &schema).expect("written");
    }
    assert_eq!(std::fs::read_to_string(deploy("scenario.schema.json")).expect("a schema"), schema);
}

#[test]
fn the_example_plays_without_a_broken_rule() {
    let text = std::fs::read_to_string(deploy("scenario.toml")).expect("an example");
    let scenario = Scenario::parse(&text).expect("a scenario");
    for r in simulate(&scenario, 1, 2, 2) {
        assert_eq!((r.broken, r.begun > 0, r.counts.elections > 1), (None, true, true), "a leader restarts in it");
    }
}

#[test]
fn errors_are_reported_with_their_paths() {
    let text = r#"
        cells = 0
        machines = 20
        most_machines = 10
        [[team]]
        name = "red"
        cpus = 50.0
        cpus_max = 30.0
        [[team]]
        name = "red"
        [[trouble]]
        at_s = -1.0
        kind = "ends"
        for_s = 5.0
    "#;
    let faults = Scenario::parse(text).expect_err("faults");
    let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
    let wanted = ["cells", "most_machines", "team[0].cpus", "team[0].cpus_max", "team[1].name", "trouble[0].at_s"];
    assert_eq!(paths, wanted, "{faults:?}");
    for (text, message) in [("cels = 2", "line 1: unknown field"), ("\ncells = \"two\"", "line 2: invalid type")] {
        let fault = Scenario::parse(text).expect_err("a fault").remove(0).to_string();
        assert!(fault.starts_with(message), "{fault}");
    }
}
