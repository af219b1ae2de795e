//! Messages of users, workers, the cloud and the state service.

use crate::{Samples, as_sent, assert_message_format};
use lupinspur::wire::*;
use lupinspur_elastic::Sizes;
use serde::Serialize;
use serde::de::DeserializeOwned;

const SAMPLES: Samples = Samples(include_str!("messages.txt"));

/// Asserts that the value has the format of the sample.
fn assert_format<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_message_format(&SAMPLES, name, value);
}

/// Returns a submission with all fields.
pub fn submission_with_all_fields() -> JobRequest {
    JobRequest {
        id: "req-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: Kind::Array,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        accelerators: 1.0,
        memory_gb: 64.0,
        types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        zone_affinity: true,
        zone_anti_affinity: false,
        spot: true,
        image: Some("img-07".into()),
        image_gb: 6.2,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: Some(vec!["req-000398".into()]),
        elastic: Some(Sizes { smallest: 2, largest: 12 }),
    }
}

/// Returns a submission without the optional fields.
pub fn submission_with_least_fields() -> JobRequest {
    let all = submission_with_all_fields();
    let (types, zone, image, deadline_s, dependencies, elastic) = (None, None, None, None, None, None);
    let (kind, zone_affinity, zone_anti_affinity) = (Kind::Service, false, true);
    JobRequest { kind, zone_affinity, zone_anti_affinity, types, zone, image, deadline_s, dependencies, elastic, ..all }
}

pub fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        accelerators: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

#[test]
fn submission() {
    assert_format("submission", &submission_with_all_fields());
    assert_format("submission_least", &submission_with_least_fields());
}

/// A field that may be null may also be missing.
#[test]
fn submission_with_fields_left_out() {
    let read: JobRequest = serde_json::from_str(SAMPLES.named("submission_fields_left_out")).expect("read");
    assert_eq!(as_sent(&read), as_sent(&submission_with_least_fields()));
}

#[test]
fn words_of_submissions() {
    assert_format("job_kinds", &vec![Kind::Array, Kind::Service]);
    assert_format("job_priorities", &vec![Priority::Production, Priority::High, Priority::Normal, Priority::Low]);
    let states = [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled];
    assert_format("job_states", &states.to_vec());
    for state in states {
        assert_eq!(as_sent(&state), format!("{:?}", state.as_str()));
        assert_eq!(JobState::parse(state.as_str()), Some(state));
    }
}

#[test]
fn status_answer() {
    let full = JobResponse { id: "req-000412", state: JobState::Running, done: Some(3), running: Some(13) };
    assert_eq!(as_sent(&full), SAMPLES.named("status_answer"));
    let short = JobResponse { id: "req-000412", state: JobState::Queued, done: None, running: None };
    assert_eq!(as_sent(&short), SAMPLES.named("submission_answer"));
    assert_eq!(as_sent(&ErrorResponse { error: "unknown team" }), SAMPLES.named("error_answer"));
}

#[test]
fn heartbeat() {
    let task = |task: &str, attempt, state, exit_reason, saved| TaskReport {
        task: task.into(),
        attempt,
        state,
        exit_reason,
        saved,
    };
    let report = Heartbeat {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 3,
        sequence: 88,
        token: 41,
        notice_s: Some(25.5),
        tasks: vec![
            task("req-000412/3", 2, TaskState::Running, None, None),
            task("req-000398/0", 1, TaskState::Exited, Some(ExitReason::Stopped), Some(true)),
        ],
    };
    assert_format("heartbeat", &report);
    assert_format("heartbeat_least", &Heartbeat { notice_s: None, tasks: Vec::new(), ..report });
}

#[test]
fn words_of_heartbeats() {
    assert_format("task_states", &vec![TaskState::Fetching, TaskState::Running, TaskState::Saving, TaskState::Exited]);
    assert_format(
        "exit_reasons",
        &vec![
            ExitReason::Done,
            ExitReason::Stopped,
            ExitReason::Error,
            ExitReason::NoCapacity,
            ExitReason::TaskInUse,
            ExitReason::Unknown,
        ],
    );
    let later: TaskState = serde_json::from_str(r#""word of a later version""#).expect("read");
    assert_eq!(later, TaskState::Waiting);
    let later: ExitReason = serde_json::from_str(r#""word of a later version""#).expect("read");
    assert_eq!(later, ExitReason::Other);
}

fn commands() -> Vec<Command> {
    let command = |op, task: &str, attempt, grace_s| Command { kind: op, task: task.into(), attempt, grace_s };
    vec![
        command(CommandKind::Start, "req-000412/4", 2, None),
        command(CommandKind::Stop, "req-000377/1", 1, Some(10.0)),
        command(CommandKind::Forget, "req-000398/0", 3, None),
    ]
}

#[test]
fn heartbeat_reply() {
    assert_format("heartbeat_reply", &HeartbeatReply { token: 41, commands: commands() });
    assert_format("redirect", &Redirect { send_heartbeats_to: Some("sprig-2".into()) });
    assert_format("redirect_to_nobody", &Redirect { send_heartbeats_to: None });
}

#[test]
fn pushed_commands() {
    assert_format("pushed_commands", &PushedCommands { token: 41, incarnation: 3, commands: commands() });
}

#[test]
fn cloud_types() {
    assert_format("cloud_types", &Types { types: vec![machine_type()] });
}

#[test]
fn cloud_rental() {
    let request =
        RentRequest { request: "r-17".into(), type_name: "g8".into(), zone: "a".into(), spot: true, count: 12 };
    assert_format("cloud_rental", &request);
}

/// The response to a rental, and the body of a deletion.
#[test]
fn cloud_machine_names() {
    let names = MachineNames { machines: vec!["host-000231".into(), "host-000232".into()] };
    assert_format("cloud_machine_names", &names);
}

#[test]
fn cloud_machine_list() {
    let machine = |id: &str, state| ListedMachine {
        id: id.into(),
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 61.5,
    };
    let machines = vec![
        machine("host-000231", ListedState::Running),
        machine("host-000232", ListedState::Booting),
        machine("host-000233", ListedState::Failed),
    ];
    assert_format("cloud_machine_list", &MachineList { machines, more: true });
    let read: MachineList = serde_json::from_str(SAMPLES.named("cloud_machine_list_least")).expect("read");
    let least = &read.machines[0];
    assert_eq!((least.addr.as_str(), least.state, least.age_s), ("", ListedState::Other, 0.0));
    assert!(!read.more);
}

fn item(lease: Option<u64>) -> KeyValue {
    KeyValue { key: "job/req-1".into(), value: serde_json::json!({"a": [1, null]}), version: 412, lease }
}

#[test]
fn state_value_and_list() {
    assert_format("state_value", &item(Some(7)));
    assert_format("state_value_without_lease", &item(None));
    assert_format(
        "state_list",
        &KeyValuePage { items: vec![item(Some(7)), item(None)], has_more: true, revision: 431 },
    );
}

#[test]
fn state_commit() {
    let put = |key: &str, lease| Mutation::Put { key: key.into(), value: serde_json::json!({"node": "n"}), lease };
    let changes = vec![put("own/0", Some(7)), put("job/req-1", None), Mutation::Delete { key: "rack/3".into() }];
    let conditions = vec![Compare { key: "own/0".into(), version: 41 }];
    assert_format("state_commit", &Transaction { compares: conditions, mutations: changes });
    assert_format("state_commit_compares_only", &Transaction { compares: Vec::new(), mutations: Vec::new() });
}

#[test]
fn state_commit_answer() {
    assert_format("state_commit_applied", &CommitReply { revision: 432, failed: Vec::new() });
    assert_format("state_commit_failed", &CommitReply { revision: 431, failed: vec!["own/0".into()] });
}

#[test]
fn state_lease() {
    assert_format("state_lease_request", &LeaseGrantRequest { ttl_ms: 5000 });
    assert_format("state_lease_answer", &LeaseGrantReply { lease: 7 });
}

#[test]
fn state_watch() {
    let put = WatchEvent {
        put: Some("job/req-1".into()),
        delete: None,
        value: Some(serde_json::json!({"phase": "open"})),
        version: 433,
    };
    let delete = WatchEvent { put: None, delete: Some("rack/3".into()), value: None, version: 432 };
    assert_format("state_watch", &WatchReply { revision: 433, events: vec![put, delete] });
    assert_format("state_watch_nothing", &WatchReply { revision: 433, events: Vec::new() });
}
