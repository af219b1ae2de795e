//! The keys under which values are stored, and the paths of requests.

use lupinspur::election::{LEADERSHIP_KEY, LEADERSHIP_PREFIX, MACHINE_TYPES_KEY, backoff_key, shard_leadership_key};
use lupinspur::fleet::machine_groups::{MACHINE_GROUP_PREFIX, machine_group_key};
use lupinspur::fleet::{FLEET_KEY, MACHINE_PREFIX, machine_key};
use lupinspur::intern::{DenseIndex, MachineGroupIndex};
use lupinspur::jobs::{JOB_PREFIX, PART_PREFIX, PROGRESS_PREFIX, job_key, part_key, progress_key};
use lupinspur::shard::ACCOUNTS_PREFIX;
use lupinspur::wire;
use lupinspur_quota::stored as quota;
use lupinspur_recovery as checkpoint;
use lupinspur_sharding::{ShardId, activation, machine_transfer};

#[test]
fn keys_of_leadership() {
    assert_eq!(LEADERSHIP_PREFIX, "own/");
    assert_eq!(LEADERSHIP_KEY, "own/0");
    assert_eq!(shard_leadership_key(3), "own/c/3");
    assert_eq!(MACHINE_TYPES_KEY, "own/types");
    assert_eq!(backoff_key("sprig-2"), "own/away/sprig-2");
    assert_eq!(activation::NOBODY, "(cells)");
}

#[test]
fn keys_of_jobs() {
    assert_eq!((JOB_PREFIX, job_key("req-000412")), ("job/", "job/req-000412".into()));
    assert_eq!((PROGRESS_PREFIX, progress_key("req-000412", 2)), ("prog/", "prog/req-000412/2".into()));
    assert_eq!((PART_PREFIX, part_key("req-000412", 4096)), ("part/", "part/req-000412/4096".into()));
}

#[test]
fn keys_of_machines() {
    assert_eq!((MACHINE_GROUP_PREFIX, machine_group_key(MachineGroupIndex::new(1))), ("rack/", "rack/1".into()));
    assert_eq!((MACHINE_PREFIX, machine_key("host-000231")), ("mach/", "mach/host-000231".into()));
    assert_eq!(FLEET_KEY, "fleet/0");
}

#[test]
fn keys_of_checkpoints_and_service_levels() {
    assert_eq!((checkpoint::PREFIX, checkpoint::HEAD), ("ckpt/", "ckpt/head"));
    assert_eq!(checkpoint::chunk::chunk_key(17), "ckpt/c/17");
    assert_eq!(checkpoint::index::part_key(1, 2), "ckpt/i/1/2");
    assert_eq!(checkpoint::index::FORMAT, 1);
    assert_eq!(ACCOUNTS_PREFIX, "ckpt/a/");
}

#[test]
fn keys_of_quotas() {
    assert_eq!((quota::PREFIX, quota::HEAD), ("quota/", "quota/head"));
    assert_eq!(quota::part_key(7, 2), "quota/7/2");
    assert_eq!(quota::generation_of("quota/7/2"), Some(7));
}

#[test]
fn keys_of_transfers_between_cells() {
    assert_eq!(machine_transfer::PREFIX, "cells/hand/");
    assert_eq!(machine_transfer::key(ShardId(1), ShardId(2)), "cells/hand/1/2");
}

#[test]
fn paths_of_users_and_workers() {
    assert_eq!((wire::JOBS_PATH, wire::CANCEL_SUFFIX, wire::HEALTH_PATH), ("/work", "withdraw", "/up"));
    assert_eq!((wire::HEARTBEAT_PATH, wire::COMMANDS_PATH, wire::STATUS_PATH), ("/checkin", "/do", "/show"));
    assert_eq!((wire::JOB_ID_PREFIX, wire::ELASTIC_FIELD), ("req-", "elastic"));
}

#[test]
fn paths_of_the_cloud() {
    assert_eq!((wire::TYPES_PATH, wire::MACHINES_PATH), ("/flavors", "/machines"));
    assert_eq!(wire::MACHINES_DELETE_PATH, "/machines/delete");
    assert_eq!(wire::machines_query("", 500), "/machines?limit=500");
    assert_eq!(wire::machines_query("host-000230", 500), "/machines?from=host-000230&limit=500");
}

#[test]
fn paths_of_the_state_service() {
    assert_eq!((wire::KV_PATH, wire::TXN_PATH), ("/kv", "/commit"));
    assert_eq!((wire::LEASES_PATH, wire::RENEW_SUFFIX, wire::WATCH_PATH), ("/grants", "renew", "/follow"));
    assert_eq!(wire::list_query("job/", "", 200), "/kv?under=job/&limit=200");
    assert_eq!(wire::list_query("job/", "job/req-7", 200), "/kv?under=job/&from=job/req-7&limit=200");
    assert_eq!(wire::watch_query("own/", 431, 10_000), "/follow?under=own/&from=431&block_ms=10000");
}
