use super::{Audit, Fault, Findings, table};
use crate::wire::KeyValue;
use serde_json::{Value, json};

fn job(id: &str, phase: &str) -> Value {
    json!({"at_ms": 0, "phase": phase, "job": {
        "id":id,"breed":"b","herd":"t","habit":"batch","precedence":"idle","seeds":7,
        "cpus":1.0,"cards":0.0,"memory_gb":1.0,"same_place":false,"scatter":false,"fallow":true,
        "pull_gb":0.0,"expected_s":1.0,"pressing_s":0.0,"pressing_cost_s":0.0}})
}

fn findings(items: Vec<(&str, Value, u64)>) -> Findings {
    let mut audit = Audit::default();
    for (key, value, version) in items {
        audit.check(KeyValue { key: key.into(), value, version, lease: None });
    }
    audit.finish()
}

/// Returns the records of a checkpoint with one open job, as of the given revision.
fn checkpoint(at: u64) -> Vec<(&'static str, Value, u64)> {
    let mut writer = lupinspur_recovery::Writer::new(4000, 0.0);
    writer.on_opened("req-1");
    let mut records = Vec::new();
    while writer.is_due(at, at, 100.0) {
        let Some(put) = writer.next_value(at, 100.0, |_| Some((2, job("req-1", "open")))) else { break };
        writer.on_applied(&put.key);
        let key = ["ckpt/c/0", "ckpt/head", "ckpt/i/0/0"].into_iter().find(|key| *key == put.key).expect("a key");
        records.push((key, put.value, 9));
    }
    records
}

#[test]
fn a_sound_state_has_no_faults() {
    let mut items = checkpoint(5);
    items.push(("job/req-1", job("req-1", "open"), 2));
    items.push(("job/req-2", job("req-2", "done"), 4));
    // This job was accepted after the checkpoint.
    items.push(("job/req-3", job("req-3", "open"), 7));
    items.push(("prog/req-1/0", json!({"done": "3f"}), 8));
    items.push(("prog/req-2/0", json!({"done": "7f"}), 3));
    let findings = findings(items);
    assert_eq!(findings.faults, []);
    let kinds = &findings.kinds;
    assert_eq!((findings.left_over, kinds["jobs, open"].keys, kinds["checkpoint, open jobs"].keys), (1, 2, 1));
    assert!(table(&findings).contains("jobs, done"));
}

/// Malformed, contradictory and misplaced records are each reported with their key.
#[test]
fn each_fault_is_told_by_its_key() {
    let mut items = checkpoint(5);
    items.push(("job/req-1", job("req-1", "cancelled"), 4));
    items.push(("job/req-2", job("req-2", "open"), 3));
    items.push(("job/req-4", job("req-5", "open"), 8));
    items.push(("job/req-6", json!("what"), 8));
    items.push(("prog/req-2/0", json!({"done": "xyz"}), 8));
    items.push((
        "rack/0",
        json!({"shard":0,"type":"m","zone":"a","spot":false,"jobs":["req-2"],
        "machines":[{"machine":"h1","jobs":[3]}]}),
        8,
    ));
    items.push(("what/1", json!(1), 8));
    let reported: Vec<String> =
        findings(items).faults.iter().map(|fault| format!("{} {}", fault.key, fault.problem)).collect();
    assert_eq!(reported[0], "job/req-1 has ended, but is open in the checkpoint");
    assert_eq!(reported[1], "job/req-2 is open, but is not in the checkpoint");
    assert_eq!(reported[2], "job/req-4 holds the record of another job, req-5");
    assert!(reported[3].starts_with("job/req-6 is not a valid job record"), "{reported:?}");
    assert!(reported[4].starts_with("prog/req-2/0 is malformed"));
    assert_eq!(reported[5], "rack/0 refers to job 3, but lists only 1, for machine h1");
    assert_eq!(reported[6], "what/1 has an unknown kind of key");
    let incomplete = checkpoint(5).into_iter().filter(|record| record.0 != "ckpt/c/0").collect();
    assert_eq!(
        findings(incomplete).faults[0],
        Fault { key: "ckpt/head".into(), problem: "ckpt/c/0 is missing".into() }
    );
}
