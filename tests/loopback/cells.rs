//! Several shards: independent failovers, shared limits, jobs and machines that move between shards.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Three shards run on twelve workers. The end of one shard's leader must not delay the other shards, a team's limit
/// holds over all shards together, and jobs that don't fit into their own shard start in another one. The number of
/// shards is then changed to one and to two while everything runs.
#[test]
fn shards_fail_over_independently_and_exchange_jobs() {
    const LIMIT: usize = 10;
    let text = "cells = 3\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n[[team]]\nname = \"n1\"\ncell = 1\n\
        [[team]]\nname = \"n2\"\ncell = 2\n[[team]]\nname = \"s1\"\ncell = 2\n";
    let size = Size { cpus_max: LIMIT as f64, sharding_file: Some(text.into()), ..Size::of(3, 12, 9) };
    let mut cluster = Cluster::start("cells", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let leader_of = |cluster: &Cluster, shard: usize| -> Option<usize> {
        let store = lock(&cluster.store);
        let record = store.keys.get(&format!("own/c/{shard}"))?;
        record.0["node"].as_str()?.strip_prefix('n')?.parse().ok()
    };
    let wait_for_leaders = |cluster: &Cluster| -> Vec<usize> {
        let began = Instant::now();
        loop {
            let all: Vec<usize> = (0..3).filter_map(|shard| leader_of(cluster, shard)).collect();
            if all.len() == 3 {
                return all;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "not every shard has a leader: {all:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let mut first_leaders = wait_for_leaders(&cluster);
    first_leaders.sort_unstable();
    assert_eq!(first_leaders, [0, 1, 2], "each controller leads one shard");
    assert_eq!(
        lock(&cluster.store).keys["own/0"].0["node"],
        "(cells)",
        "the leadership record that versions without shards read"
    );

    let submit = |id: &str, team: &str, habit: &str, tasks: u32| {
        let mut submission = job(id, habit, tasks);
        submission["herd"] = json!(team);
        // Jobs of lower priority leave a part of every machine free for services.
        submission["precedence"] = json!(if habit == "standing" { "critical" } else { "standard" });
        user.ask_until(&listen, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
    };
    let check_limit_of_team_red = |cluster: &Cluster| {
        let used = cluster.running("req-000700") + cluster.running("req-0501") + cluster.running("req-0502");
        assert!(used <= LIMIT, "team red uses {used} cpus, its limit is {LIMIT}");
    };
    let wait_until_complete = |cluster: &Cluster, ids: &[(String, usize)], within: Duration| {
        let began = Instant::now();
        while let Some((id, _)) = ids.iter().find(|(id, tasks)| cluster.running(id) != *tasks) {
            check_limit_of_team_red(cluster);
            assert!(began.elapsed() < within, "not all tasks of {id} run: {}", cluster.running(id));
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    let mut services = Vec::new();
    for (number, team) in ["red", "n1", "n2", "s1"].iter().enumerate() {
        submit(&format!("{SERVICES}{number:02}"), team, "standing", 2);
        services.push((format!("{SERVICES}{number:02}"), 2));
    }
    wait_until_complete(&cluster, &services, Duration::from_secs(40));
    // Every controller finds the job's shard.
    for address in &listen {
        for (id, tasks) in &services {
            user.ask_until(&[*address], Method::Get, &format!("/work/{id}"), None, |s, v| {
                s == 200 && v["running"] == *tasks
            });
        }
        assert_eq!(user.ask(*address, Method::Get, "/work/req-0404", None).0, 404);
    }

    // Team red submits three times its limit; the leader of another team's shard ends meanwhile.
    submit("req-0501", "red", "batch", 30);
    for round in 0..3 {
        let killed = leader_of(&cluster, 1).expect("shard 1 has a leader");
        let others: Vec<SocketAddr> = (0..3).filter(|node| *node != killed).map(|node| listen[node]).collect();
        cluster.kill(killed);
        // The other shards go on starting tasks while this one has no leader.
        let began = Instant::now();
        let id = format!("req-060{round}");
        let mut submission = job(&id, "batch", 4);
        submission["herd"] = json!("n2");
        if leader_of(&cluster, 2) != Some(killed) {
            user.ask_until(&others, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
            user.ask_until(&others, Method::Get, &format!("/work/{id}"), None, |s, v| {
                check_limit_of_team_red(&cluster);
                s == 200 && v["bloom"] == "done"
            });
            assert!(began.elapsed() < Duration::from_secs(8), "another shard was delayed by {:?}", began.elapsed());
        }
        cluster.start_controller(killed);
        wait_for_leaders(&cluster);
        check_limit_of_team_red(&cluster);
        wait_until_complete(&cluster, &services, Duration::from_secs(40));
    }
    user.ask_until(&listen, Method::Get, "/work/req-0501", None, |s, v| {
        check_limit_of_team_red(&cluster);
        s == 200 && v["bloom"] == "done"
    });

    // More work than one shard's machines can hold: some jobs move to other shards, each as a whole.
    for number in 10..48 {
        submit(&format!("{SERVICES}{number}"), "n1", "standing", 1);
        services.push((format!("{SERVICES}{number}"), 1));
    }
    wait_until_complete(&cluster, &services, Duration::from_secs(60));
    let shards: std::collections::BTreeSet<u64> = {
        let store = lock(&cluster.store);
        let shard_of = |id: &str| store.keys[&format!("job/{id}")].0["cell"].as_u64().unwrap_or(0);
        services.iter().skip(4).map(|(id, _)| shard_of(id)).collect()
    };
    assert!(shards.len() > 1, "some jobs move out of shard 1");
    for (id, tasks) in &services {
        user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["running"] == *tasks);
    }
    // A job that moved can be cancelled through any controller.
    let id = services[41].0.clone();
    user.ask_until(&[listen[2]], Method::Post, &format!("/work/{id}/withdraw"), None, |s, v| {
        s == 200 && v["bloom"] == "cancelled"
    });
    services.remove(41);
    cluster.restart_all();
    wait_until_complete(&cluster, &services, Duration::from_secs(60));
    user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["bloom"] == "cancelled");
    cluster.check_invariants();

    // Back to one shard while everything runs: the controllers restart one after another with another file, and all
    // of them restart again during the merge. A single leader takes over what the shards had stored.
    let merging =
        |cluster: &Cluster| lock(&cluster.store).keys.get("own/0").is_some_and(|record| record.0["merging"] == true);
    let restart_with_file = |cluster: &mut Cluster, text: &str| {
        std::fs::write(cluster.dir.join("cells.toml"), text).expect("the sharding file is written");
        for node in 0..3 {
            cluster.kill(node);
            cluster.start_controller(node);
        }
    };
    let until = |cluster: &Cluster, failure: &str, condition: &dyn Fn(&Cluster) -> bool| {
        let began = Instant::now();
        while !condition(cluster) {
            check_limit_of_team_red(cluster);
            assert!(began.elapsed() < Duration::from_secs(40), "{failure}");
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    restart_with_file(&mut cluster, "cells = 1\n");
    until(&cluster, "the shards do not merge", &merging);
    cluster.restart_all();
    until(&cluster, "there is no single leader", &|cluster| cluster.leader().is_some());
    until(&cluster, "keys of the former shards remain", &|cluster| {
        let store = lock(&cluster.store);
        !store.keys.keys().any(|key| ["c1/", "c2/", "cells/", "own/c/"].iter().any(|prefix| key.starts_with(prefix)))
    });
    wait_until_complete(&cluster, &services, Duration::from_secs(60));
    submit("req-0502", "red", "batch", 12);
    let wait_until_done = |cluster: &Cluster, id: &str| {
        user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| {
            check_limit_of_team_red(cluster);
            s == 200 && v["bloom"] == "done"
        });
    };
    wait_until_done(&cluster, "req-0502");
    user.ask_until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["bloom"] == "cancelled");
    cluster.check_invariants();
    // From one shard to two.
    restart_with_file(&mut cluster, "cells = 2\npicture_s = 0.5\n");
    until(&cluster, "two shards do not get leaders", &|cluster| {
        leader_of(cluster, 0).is_some() && leader_of(cluster, 1).is_some()
    });
    wait_until_complete(&cluster, &services, Duration::from_secs(60));
    cluster.check_invariants();
}

/// Only one of two shards has work, and more than its machines can hold. Idle machines of the other shard are
/// transferred to it, while both leaders restart. No machine may belong to two shards, and no task may run twice. The
/// shard that is short has the older leadership record; since machines accept only the highest fencing token that they
/// have seen, its leader has to renew the record first.
#[test]
fn idle_machines_go_to_the_cell_that_is_short() {
    let text = "cells = 2\npicture_s = 0.5\nspill_gain_s = 3600.0\nreassign_after_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n[[team]]\nname = \"n1\"\ncell = 1\n";
    let size = Size { sharding_file: Some(text.into()), ..Size::of(3, 10, 9) };
    let mut cluster = Cluster::start("moves", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let until = |cluster: &Cluster, failure: &str, within_s: u64, condition: &dyn Fn(&Cluster) -> bool| {
        let began = Instant::now();
        while !condition(cluster) {
            assert!(began.elapsed() < Duration::from_secs(within_s), "{failure}");
            std::thread::sleep(Duration::from_millis(20));
        }
        began.elapsed().as_secs_f64()
    };
    let revision_and_leader = |cluster: &Cluster, shard: usize| {
        let read = |record: &(Value, u64, Option<u64>)| {
            (record.1, record.0["node"].as_str().and_then(|n| n.strip_prefix('n')?.parse().ok()))
        };
        lock(&cluster.store).keys.get(&format!("own/c/{shard}")).map(read).unwrap_or((0, None::<usize>))
    };
    until(&cluster, "not every shard has a leader", 20, &|cluster| {
        (0..2).all(|shard| revision_and_leader(cluster, shard).1.is_some())
    });
    let short = usize::from(revision_and_leader(&cluster, 1).0 < revision_and_leader(&cluster, 0).0);
    let services: Vec<String> = (0..64).map(|i| format!("{SERVICES}{i:02}")).collect();
    for id in &services {
        let mut submission = job(id, "standing", 1);
        (submission["herd"], submission["precedence"]) = (json!(["red", "n1"][short]), json!("critical"));
        user.ask_until(&listen, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
    }
    let running = |cluster: &Cluster| services.iter().map(|id| cluster.running(id)).sum::<usize>();
    let in_transfer = |cluster: &Cluster| {
        let store = lock(&cluster.store);
        let is_transfer = |key: &&String| key.starts_with("cells/hand/");
        store
            .keys
            .keys()
            .filter(is_transfer)
            .map(|key| store.keys[key].0["machines"].as_array().map_or(0, Vec::len))
            .sum::<usize>()
    };
    // Both leaders end during the transfer.
    until(&cluster, "no machine transfer begins", 60, &|cluster| in_transfer(cluster) > 0);
    cluster.restart_all();
    let took_s = until(&cluster, "not all services run", 90, &|cluster| running(cluster) == services.len());
    println!("64 services on 80 cpus ran {took_s:.1} s after both leaders ended");
    until(&cluster, "a machine transfer does not end", 30, &|cluster| in_transfer(cluster) == 0);
    until(&cluster, "a machine is recorded in both shards", 30, &|cluster| {
        let store = lock(&cluster.store);
        let machines_under = |prefix: &str| -> Vec<String> {
            let machine_groups = store.keys.iter().filter(|(key, _)| key.starts_with(prefix));
            let machines =
                machine_groups.flat_map(|(_, value)| value.0["machines"].as_array().cloned().unwrap_or_default());
            machines.map(|machine| machine["machine"].as_str().unwrap_or("").to_owned()).collect()
        };
        let mut all = [machines_under("rack/"), machines_under("c1/rack/")].concat();
        all.sort_unstable();
        let named = all.len();
        all.dedup();
        named == all.len()
    });
    cluster.check_invariants();
}
