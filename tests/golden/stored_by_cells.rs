//! Values at the state service that cells exchange.

use crate::stored::{SAMPLES, same};
use lupinspur_cells::activation::{InForce, Presence};
use lupinspur_cells::escrow::{Amount, Ledger, Use};
use lupinspur_cells::load_snapshot::{Picture, UnusableRoom};
use lupinspur_cells::machine_transfer::{Handed, Handover};
use lupinspur_cells::plan::Home;
use lupinspur_cells::rebalance::{Move, Orders};
use lupinspur_cells::{CellIx, Plan};
use std::collections::BTreeMap;

fn plan() -> Plan {
    Plan {
        cells: 3,
        picture_s: 2.5,
        spill_after_s: 6.5,
        spill_gain_s: 11.5,
        reassign_after_s: 12.5,
        teams: vec![Home { name: "vision".into(), cell: 2 }],
    }
}

#[test]
fn cells_plan_in_force() {
    same("cells_plan_in_force", &InForce::new(plan()));
    same("cells_plan_merging", &InForce::merging(plan()));
    let read: InForce = serde_json::from_str(SAMPLES.named("cells_plan_least")).expect("read");
    assert_eq!(read, InForce::new(Plan::of(3)));
}

#[test]
fn presence_of_a_controller() {
    same("presence", &Presence { node: "sprig-2".into(), plan: Some(plan()) });
    same("presence_without_plan", &Presence { node: "sprig-2".into(), plan: None });
}

#[test]
fn shares_of_limits() {
    let shares = vec![Amount::new(64.5, 8.0), Amount::new(32.0, 0.0)];
    same("shares_of_limits", &Ledger { teams: BTreeMap::from([("vision".into(), shares)]) });
}

fn load_snapshot() -> Picture {
    let used = Use { held: Amount::new(12.0, 1.0), wanted: Amount::new(20.0, 2.0) };
    Picture {
        cell: CellIx(2),
        token: 41,
        at_ms: 1_700_000_000_789,
        room: 100.5,
        idle: 32.0,
        unusable: UnusableRoom { on_demand: 4.0, any_kind: 8.0 },
        waits: 16.0,
        held: 640.0,
        boots: 96.0,
        longest_s: 7.5,
        teams: BTreeMap::from([("vision".into(), used)]),
    }
}

#[test]
fn load_snapshot_of_a_cell() {
    same("load_snapshot", &load_snapshot());
    let read: Picture = serde_json::from_str(SAMPLES.named("load_snapshot_least")).expect("read");
    assert_eq!(read, Picture { idle: 0.0, unusable: UnusableRoom::default(), ..load_snapshot() });
}

#[test]
fn rebalance_orders() {
    let orders = Orders {
        at_ms: 1_700_000_001_000,
        moves: vec![Move { from: CellIx(0), to: CellIx(2), cpus: 192.0 }],
        homes: BTreeMap::from([("vision".into(), CellIx(1))]),
    };
    same("rebalance_orders", &orders);
    let read: Orders = serde_json::from_str(SAMPLES.named("rebalance_orders_least")).expect("read");
    assert_eq!(read, Orders { moves: Vec::new(), homes: BTreeMap::new(), ..orders });
}

#[test]
fn machine_transfer() {
    let machine = Handed {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
    };
    let without_address = Handed { machine: "host-000232".into(), addr: String::new(), ..machine.clone() };
    let transfer = Handover { from: CellIx(0), to: CellIx(1), machines: vec![machine, without_address], left: true };
    same("machine_transfer", &transfer);
    let read: Handover = serde_json::from_str(SAMPLES.named("machine_transfer_least")).expect("read");
    assert_eq!(read, Handover { left: false, machines: Vec::new(), ..transfer });
}
