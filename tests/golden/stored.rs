//! Values in the state service, except those that shards exchange.

use crate::{Samples, as_stored};
use lupinspur::election::LeadershipRecord;
use lupinspur::fleet::MachineRecord;
use lupinspur::fleet::machine_groups::{MachineGroupMember, MachineGroupRecord};
use lupinspur::jobs::{JobRecord, Phase, ProgressRecord};
use lupinspur::shard::{FleetRecord, PoolRecord};
use lupinspur::wire::{JobRequest, MachineType};
use lupinspur_quota::plan::Organisation;
use lupinspur_quota::stored as quota;
use lupinspur_recovery::chunk::{Chunk, ChunkBuilder, StoredRecord};
use lupinspur_recovery::index::{Head, IndexEntry, IndexPart};
use lupinspur_service_levels::inheritance;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub const SAMPLES: Samples = Samples(include_str!("stored.txt"));

/// Reads the sample as this type, and asserts that writing it again yields the same bytes.
fn assert_round_trip<T: Serialize + DeserializeOwned>(name: &str) -> T {
    let bytes = SAMPLES.named(name);
    let read: T = serde_json::from_str(bytes).unwrap_or_else(|e| panic!("{name} cannot be read: {e}"));
    assert_eq!(as_stored(&read), bytes, "{name} as it is read and written again");
    read
}

/// Asserts that the value is stored as the sample, and that the sample is unchanged by reading and writing it.
pub fn assert_format<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_eq!(as_stored(value), SAMPLES.named(name), "{name} as it is written");
    assert_round_trip::<T>(name);
}

/// Returns a job with all fields that a submission can have.
fn job_with_all_fields() -> JobRequest {
    crate::messages::submission_with_all_fields()
}

#[test]
fn leadership_record() {
    let record = LeadershipRecord {
        acquired_at_ms: 1_700_000_000_123,
        consecutive_crashes: 2,
        ..LeadershipRecord::new("sprig-2", "5f3a")
    };
    assert_format("leadership_record", &record);
    assert_format("leadership_record_of_an_earlier_version", &LeadershipRecord::new("sprig-2", "5f3a"));
}

/// The record of a controller that yields leadership to others: the same type as a leadership record, under another
/// key.
#[test]
fn backoff_record() {
    let record = LeadershipRecord {
        acquired_at_ms: 1_700_000_000_456,
        consecutive_crashes: 3,
        ..LeadershipRecord::new("sprig-1", "77b0")
    };
    assert_format("backoff_record", &record);
}

#[test]
fn machine_types() {
    assert_format("machine_types", &vec![crate::messages::machine_type()]);
    let read: Vec<MachineType> = serde_json::from_str(SAMPLES.named("machine_types_least")).expect("read");
    assert_eq!((read[0].name.as_str(), read[0].cpus, read[0].memory_gb), ("m32", 32.0, 64.0));
    assert_eq!((read[0].accelerators, read[0].spot_price, read[0].zones.len()), (0.0, 0.0, 0));
}

#[test]
fn job_record_open() {
    let accepted = JobRecord::accepted(job_with_all_fields(), 1_700_000_000_000);
    assert_format("job_record_open", &JobRecord { shard: Some(2), moves: 3, ..accepted });
    let least = JobRecord::accepted(crate::messages::submission_with_least_fields(), 1_700_000_000_000);
    assert_format("job_record_open_least", &least);
}

#[test]
fn job_record_done_and_cancelled() {
    let ended = |phase| JobRecord::ended(&job_with_all_fields(), 1_700_000_000_000, phase, 1_700_000_240_500, 4096);
    assert_format("job_record_done", &JobRecord { shard: Some(1), moves: 1, ..ended(Phase::Done) });
    assert_format("job_record_cancelled", &ended(Phase::Cancelled));
    let too_large = JobRecord::ended(&job_with_all_fields(), 1_700_000_000_000, Phase::Done, 1_700_000_240_500, 16);
    assert_format("job_record_done_too_large", &too_large);
}

/// The progress of a job, and a part of a larger job's progress: the same format under two keys.
#[test]
fn progress_records() {
    assert_format("progress_record", &ProgressRecord { done: "3f08".into() });
    assert_format("progress_part_record", &ProgressRecord { done: "ffff0001".into() });
}

#[test]
fn group_record() {
    let full = MachineGroupMember {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        terminating: true,
        faulty: true,
        jobs: vec![0, 1],
        images: vec![0],
    };
    let terminating =
        MachineGroupMember { machine: "host-000232".into(), terminating: true, ..MachineGroupMember::default() };
    let least = MachineGroupMember { machine: "host-000233".into(), ..MachineGroupMember::default() };
    let record = MachineGroupRecord {
        shard: 4,
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        jobs: vec!["req-000412".into(), "req-000398".into()],
        images: vec![("img-07".into(), 6.2)],
        machines: vec![full, terminating, least],
    };
    assert_format("rack_record", &record);
    assert_format(
        "rack_record_without_images",
        &MachineGroupRecord { images: Vec::new(), machines: Vec::new(), ..record },
    );
}

/// The record of a single machine, which earlier versions stored under a key of its own.
#[test]
fn machine_record() {
    let record = MachineRecord {
        shard: 4,
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        terminating: true,
        faulty: true,
        jobs: vec!["req-000412".into()],
        images: vec![("img-07".into(), 6.2)],
    };
    assert_format("machine_record", &record);
    let read: MachineRecord = serde_json::from_str(SAMPLES.named("machine_record_least")).expect("read");
    assert_eq!(read, MachineRecord { faulty: false, ..record });
}

#[test]
fn fleet_record() {
    let pool = PoolRecord {
        type_name: "g8".into(),
        active: vec!["a".into(), "b".into()],
        preemptive: vec!["c".into()],
        target: 30,
        spot: 20,
        on_demand: 10,
    };
    assert_format("fleet_record", &FleetRecord { pools: vec![pool] });
    assert_format("fleet_record_empty", &FleetRecord::default());
}

#[test]
fn checkpoint_head_and_index() {
    assert_format("checkpoint_head", &Head { format: 1, round: 9, slot: 1, parts: 2, revision: 431, open: 77 });
    let chunks = vec![IndexEntry(0, 8, "5a".into()), IndexEntry(3, 9, String::new())];
    assert_format("checkpoint_index", &IndexPart { round: 9, chunks });
}

/// A chunk with a base record, the difference of a similar record, and a record without similarity.
#[test]
fn checkpoint_chunk() {
    let record = |job: JobRequest, at_ms| serde_json::to_value(JobRecord::accepted(job, at_ms)).expect("JSON");
    let similar =
        JobRequest { id: "req-000413".into(), zone: Some("b".into()), dependencies: None, ..job_with_all_fields() };
    let records = [
        ("req-000412", 400, record(job_with_all_fields(), 1_700_000_000_000)),
        ("req-000413", 401, record(similar, 1_700_000_000_250)),
        ("req-000001", 402, serde_json::json!({"unknown": true})),
    ];
    let mut builder = ChunkBuilder::new(4096, 9);
    for (id, version, value) in records.clone() {
        builder.push(StoredRecord { id: id.into(), version, value }).expect("the record fits the chunk");
    }
    assert_format("checkpoint_chunk", &builder.finish());
    let read: Chunk = assert_round_trip("checkpoint_chunk");
    let unpacked = read.unpack().expect("the chunk is complete");
    assert_eq!(unpacked, records.map(|(id, version, value)| StoredRecord { id: id.into(), version, value }));
}

/// The service-level measurements that a leader passes on to the next one.
#[test]
fn service_level_accounts() {
    let part: inheritance::Part = assert_round_trip("service_level_accounts");
    let inherited = inheritance::newest_complete_round([part]).expect("a complete round");
    assert_eq!((inherited.round, inherited.as_of, inherited.chain), (5, 1234.5, 41));
    let sums = vec![inheritance::ReadingTotals(8.0, 7.5, 1, 2.0, 1.5), inheritance::ReadingTotals::default()];
    let line = |side, name: &str| inheritance::IndicatorTotals(side, name.into(), sums.clone());
    use lupinspur_service_levels::Subject;
    let expected = [line(Subject::Class, "train"), line(Subject::Team, "vision"), line(Subject::Level, "all.research")];
    assert_eq!(inherited.lines, expected);
}

#[test]
fn quotas() {
    assert_format("quota_head", &quota::Head { generation: 7, parts: 2 });
    let full = Organisation {
        name: "research".into(),
        within: Some("all".into()),
        cpus: Some(640.0),
        gpus: Some(32.0),
        cpus_max: 800.0,
        gpus_max: 40.0,
        weight: 1.5,
        teams: vec!["vision".into(), "speech".into()],
    };
    let least = Organisation { name: "all".into(), within: None, cpus: None, gpus: None, ..full.clone() };
    assert_format("quota_part", &quota::Part { organisations: vec![full, least] });
}
