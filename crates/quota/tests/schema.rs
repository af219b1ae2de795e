//! Checks that the published schema is current and that the example file is valid.

use lupinspur_quota::{Amount, Plan, TeamLimits, Tree};
use std::path::PathBuf;

fn deploy(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "..", "deploy", name].iter().collect()
}

/// `UPDATE_SCHEMA=1 cargo test -p lupinspur-quota` regenerates the file.
#[test]
fn the_published_schema_is_that_of_the_program() {
    let schema = serde_json::to_string_pretty(&Plan::schema()).expect("JSON") + "\n";
    if std::env::var_os("UPDATE_SCHEMA").is_some() {
        std::fs::write(deploy("quotas.schema.json"), &schema).expect("written");
    }
    assert_eq!(std::fs::read_to_string(deploy("quotas.schema.json")).expect("a schema"), schema);
}

#[test]
fn the_example_is_a_plan() {
    let text = std::fs::read_to_string(deploy("quotas.toml")).expect("an example");
    let team = |n: &str| TeamLimits { name: n.into(), guarantee: Amount::new(100.0, 0.0), limit: Amount::NONE };
    let teams = ["foglalas", "beutalo", "levelezes", "atallas"].map(team);
    let (tree, warnings) = Tree::of(&Plan::parse(&text).expect("TOML"), &teams).expect("a tree");
    assert!(warnings.is_empty() && tree.levels.len() == 9, "{warnings:?}");
}
