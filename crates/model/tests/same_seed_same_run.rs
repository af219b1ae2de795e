//! The same scenario and seed give the same run. A decision that depends on an undefined order, such as the iteration
//! order of a hash map, makes two reports differ. The scenarios are those that `scripts/compare-models` runs with two
//! builds.

use lupinspur_model::{Scenario, simulate};
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};

/// Seeds of each scenario; `SAME_RUN_SEEDS` sets another number.
const SEEDS: u64 = 4;
/// Seeds of the scenario with several changes of leader. When dependencies were read in the order of a hash map, the
/// runs of about four seeds in ten differed.
const SEEDS_OF_LEADERS: u64 = 12;
const FIRST_SEED: u64 = 1;
/// The real seconds spent on decisions: the only field that may differ between two runs.
const PROCESSOR_TIME: &str = "processor";

fn seeds(usual: u64) -> u64 {
    std::env::var("SAME_RUN_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

fn scenario(name: &str) -> Scenario {
    let file: PathBuf =
        [env!("CARGO_MANIFEST_DIR"), "..", "..", "scripts", "scenarios", &format!("{name}.toml")].iter().collect();
    let text = std::fs::read_to_string(file).expect("a scenario file");
    Scenario::parse(&text).expect("a scenario")
}

/// Returns the reports of all seeds, without processor time.
fn reports(scenario: &Scenario, seeds: u64) -> Vec<Map<String, Value>> {
    let report = |run| match serde_json::to_value(run).expect("JSON") {
        Value::Object(mut report) => {
            report.remove(PROCESSOR_TIME).expect("a report has its processor time");
            report
        }
        other => panic!("not a report: {other}"),
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    simulate(scenario, FIRST_SEED, seeds, threads).into_iter().map(report).collect()
}

/// Returns the fields that differ between two reports, with both values.
fn differences(first: &Map<String, Value>, second: &Map<String, Value>) -> Vec<String> {
    let differs = |name: &&String| first.get(*name) != second.get(*name);
    let describe = |name: &String| format!("{name}: {:?}, then {:?}", first.get(name), second.get(name));
    let only_second = second.keys().filter(|name| !first.contains_key(*name));
    first.keys().chain(only_second).filter(differs).map(describe).collect()
}

fn plays_the_same(name: &str, usual_seeds: u64) {
    let (scenario, seeds) = (scenario(name), seeds(usual_seeds));
    let (first, second) = (reports(&scenario, seeds), reports(&scenario, seeds));
    assert_eq!(first.len(), second.len());
    let pairs = first.iter().zip(&second).filter(|(first, second)| first != second);
    let differ: Vec<_> = pairs.map(|(first, second)| (&first["seed"], differences(first, second))).collect();
    assert!(
        differ.is_empty(),
        "{name}: {} of {} seeds give two different runs: {differ:#?}",
        differ.len(),
        first.len()
    );
    let ran = first.iter().filter(|report| report["starts"].as_u64() > Some(0)).count();
    assert_eq!(ran, first.len(), "{name}: no tasks ran with some seed");
}

#[test]
fn one_cell_plays_the_same() {
    plays_the_same("one-cell", SEEDS);
}

#[test]
fn three_cells_play_the_same() {
    plays_the_same("three-cells", SEEDS);
}

#[test]
fn pipelines_play_the_same() {
    plays_the_same("pipelines", SEEDS);
}

#[test]
fn leaders_in_series_play_the_same() {
    plays_the_same("leaders-in-series", SEEDS_OF_LEADERS);
}

#[test]
fn zone_bound_work_plays_the_same() {
    plays_the_same("zone-bound", SEEDS);
}

/// `scripts/compare-models` runs every file of the folder; each of them has a test above.
#[test]
fn each_scenario_file_is_played_here() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/scenarios");
    let files = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").file_name());
    let mut files: Vec<String> = files.map(|name| name.into_string().expect("a name")).collect();
    files.sort();
    let played = ["leaders-in-series", "one-cell", "pipelines", "three-cells", "zone-bound"];
    assert_eq!(files, played.map(|name| format!("{name}.toml")));
}
