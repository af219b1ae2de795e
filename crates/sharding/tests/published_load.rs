//! The stored form of a shard's published load, which controllers of older versions write and read too.

use lupinspur_sharding::escrow::Amount;
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::quota_requests::{PublishedLoad, QuotaRequest, QuotaStatus, TeamQuota, requested_transfers};
use lupinspur_sharding::{ShardId, quota_requests::choose_request};
use std::collections::BTreeMap;

fn load() -> LoadSnapshot {
    LoadSnapshot { shard: ShardId(2), token: 41, free_cpus: 12.5, ..LoadSnapshot::default() }
}

/// Guards against an older controller that cannot read a newer one's load, or the reverse.
#[test]
fn older_versions_read_and_write_published_loads() {
    let request = QuotaRequest { amount: Amount::new(1.5, 0.0), waiting_since_ms: 7 };
    let statuses = BTreeMap::from([("blue".to_owned(), QuotaStatus { request: Some(request), reserved: false })]);
    let published = PublishedLoad { load: load(), quota: Some(statuses) };
    let stored = serde_json::to_value(&published).expect("JSON");
    assert_eq!(
        stored["quota"],
        serde_json::json!({"blue": {"request": {"amount": {"cpus": 1.5, "cards": 0.0}, "waiting_since_ms": 7}, "reserved": false}})
    );
    assert_eq!(serde_json::from_value::<LoadSnapshot>(stored.clone()).expect("readable"), load());
    assert_eq!(serde_json::from_value::<PublishedLoad>(stored).expect("readable"), published);
    let older = serde_json::to_value(load()).expect("JSON");
    let read: PublishedLoad = serde_json::from_value(older.clone()).expect("readable");
    assert_eq!(read, PublishedLoad { load: load(), quota: None });
    assert_eq!(serde_json::to_value(&read).expect("JSON"), older, "without quota the stored form is the older one");
}

/// Guards against amounts in a published load that make a shard give more than it has, or more than was asked for.
#[test]
fn malformed_requests_transfer_nothing_beyond_what_is_unused() {
    let quota = |share: f64, held: f64, requested: Option<f64>| {
        let request = requested.map(|cpus| QuotaRequest { amount: Amount::new(cpus, -3.0), waiting_since_ms: 0 });
        let status = QuotaStatus { request, reserved: false };
        Some(TeamQuota { share: Amount::new(share, 0.0), held: Amount::new(held, 0.0), status })
    };
    for requested in [-4.0, 1e300, f64::INFINITY, f64::NAN] {
        let quotas = [quota(4.0, 1.0, None), quota(0.0, 0.0, Some(requested))];
        assert!(requested_transfers(ShardId(0), "blue", &quotas).is_empty(), "{requested}");
    }
    for held in [-1e300, f64::NEG_INFINITY, f64::NAN] {
        let quotas = [quota(4.0, 1.0, None), quota(0.0, held, Some(2.0))];
        let given: f64 = requested_transfers(ShardId(0), "blue", &quotas).iter().map(|t| t.amount.cpus).sum();
        assert!(given <= 3.0, "{held}: {given}");
    }
    let quotas = [quota(4.0, 1.0, None), None];
    let request = QuotaRequest { amount: Amount::new(1.0, 0.0), waiting_since_ms: 0 };
    assert_eq!(choose_request(ShardId(1), &quotas, &[request]), None, "a shard without a snapshot of its own");
    assert!(requested_transfers(ShardId(7), "blue", &quotas).is_empty(), "a shard beyond the plan");
}
