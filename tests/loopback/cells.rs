//! Several shards beside one another.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Three shards over twelve workers: each leader's end touches its own shard only, a team's limit
/// holds over all shards together, and what finds no room at home starts elsewhere.
#[test]
fn cells_go_on_beside_one_another_and_take_each_other_s_work() {
    const LIMIT: usize = 10;
    let text = "cells = 3\npicture_s = 0.5\nspill_after_s = 0.5\nspill_gain_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n[[team]]\nname = \"n1\"\ncell = 1\n\
        [[team]]\nname = \"n2\"\ncell = 2\n[[team]]\nname = \"s1\"\ncell = 2\n";
    let size = Size { cpus_max: LIMIT as f64, cells: Some(text.into()), ..Size::of(3, 12, 9) };
    let mut cluster = Cluster::start("cells", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let leader_of = |c: &Cluster, cell: usize| -> Option<usize> {
        let store = lock(&c.store);
        let claim = store.keys.get(&format!("own/c/{cell}"))?;
        claim.0["node"].as_str()?.strip_prefix('n')?.parse().ok()
    };
    let leaders = |c: &Cluster| -> Vec<usize> {
        let began = Instant::now();
        loop {
            let all: Vec<usize> = (0..3).filter_map(|i| leader_of(c, i)).collect();
            if all.len() == 3 {
                return all;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "not every cell is owned: {all:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let mut first = leaders(&cluster);
    first.sort_unstable();
    assert_eq!(first, [0, 1, 2], "an owner each");
    assert_eq!(lock(&cluster.store).keys["own/0"].0["node"], "(cells)", "what a version before sees");

    let submit = |id: &str, team: &str, habit: &str, n: u32| {
        let mut j = job(id, habit, n);
        j["herd"] = json!(team);
        // What is less leaves room for services on every machine.
        j["precedence"] = json!(if habit == "standing" { "critical" } else { "standard" });
        user.until(&listen, Method::Post, "/work", Some(&j), |s, _| s == 201 || s == 200);
    };
    let red_within = |c: &Cluster| {
        let used = c.running("req-000700") + c.running("req-0501") + c.running("req-0502");
        assert!(used <= LIMIT, "{used} cpus of {LIMIT} are red's");
    };
    let whole = |c: &Cluster, ids: &[(String, usize)], within: Duration| {
        let began = Instant::now();
        while let Some((id, _)) = ids.iter().find(|(id, n)| c.running(id) != *n) {
            red_within(c);
            assert!(began.elapsed() < within, "{id} is not whole: {}", c.running(id));
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    let mut services = Vec::new();
    for (i, team) in ["red", "n1", "n2", "s1"].iter().enumerate() {
        submit(&format!("{SERVICES}{i:02}"), team, "standing", 2);
        services.push((format!("{SERVICES}{i:02}"), 2));
    }
    whole(&cluster, &services, Duration::from_secs(40));
    // Whichever controller is asked, it finds the job's shard.
    for a in &listen {
        for (id, n) in &services {
            user.until(&[*a], Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["running"] == *n);
        }
        assert_eq!(user.ask(*a, Method::Get, "/work/req-0404", None).0, 404);
    }

    // Red wants three times its limit; the leader of another team's shard ends meanwhile.
    submit("req-0501", "red", "batch", 30);
    for round in 0..3 {
        let gone = leader_of(&cluster, 1).expect("an owner");
        let others: Vec<SocketAddr> = (0..3).filter(|i| *i != gone).map(|i| listen[i]).collect();
        cluster.kill(gone);
        // The others' shards go on starting while this one has no leader.
        let began = Instant::now();
        let id = format!("req-060{round}");
        let mut j = job(&id, "batch", 4);
        j["herd"] = json!("n2");
        if leader_of(&cluster, 2) != Some(gone) {
            user.until(&others, Method::Post, "/work", Some(&j), |s, _| s == 201 || s == 200);
            user.until(&others, Method::Get, &format!("/work/{id}"), None, |s, v| {
                red_within(&cluster);
                s == 200 && v["bloom"] == "done"
            });
            assert!(began.elapsed() < Duration::from_secs(8), "another cell waited for {:?}", began.elapsed());
        }
        cluster.begin(gone);
        leaders(&cluster);
        red_within(&cluster);
        whole(&cluster, &services, Duration::from_secs(40));
    }
    user.until(&listen, Method::Get, "/work/req-0501", None, |s, v| {
        red_within(&cluster);
        s == 200 && v["bloom"] == "done"
    });

    // More than one shard's machines can take: the rest goes to the others, jobs whole.
    for i in 10..48 {
        submit(&format!("{SERVICES}{i}"), "n1", "standing", 1);
        services.push((format!("{SERVICES}{i}"), 1));
    }
    whole(&cluster, &services, Duration::from_secs(60));
    let cells: std::collections::BTreeSet<u64> = {
        let store = lock(&cluster.store);
        let of = |id: &str| store.keys[&format!("job/{id}")].0["cell"].as_u64().unwrap_or(0);
        services.iter().skip(4).map(|(id, _)| of(id)).collect()
    };
    assert!(cells.len() > 1, "all of it stayed in cell 1");
    for (id, n) in &services {
        user.until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["running"] == *n);
    }
    // One that moved is cancelled through any controller, and gone.
    let id = services[41].0.clone();
    user.until(&[listen[2]], Method::Post, &format!("/work/{id}/withdraw"), None, |s, v| {
        s == 200 && v["bloom"] == "cancelled"
    });
    services.remove(41);
    cluster.restart_all();
    whole(&cluster, &services, Duration::from_secs(60));
    user.until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["bloom"] == "cancelled");
    cluster.nothing_broken();

    // The way back to one, while everything runs: the controllers are started anew one after another with
    // another file. Those that own end in the middle of it; what the shards kept is one leader's then.
    let merging = |c: &Cluster| lock(&c.store).keys.get("own/0").is_some_and(|k| k.0["merging"] == true);
    let change = |c: &mut Cluster, text: &str| {
        std::fs::write(c.dir.join("cells.toml"), text).expect("a file of cells");
        for i in 0..3 {
            c.kill(i);
            c.begin(i);
        }
    };
    let until = |c: &Cluster, what: &str, f: &dyn Fn(&Cluster) -> bool| {
        let began = Instant::now();
        while !f(c) {
            red_within(c);
            assert!(began.elapsed() < Duration::from_secs(40), "{what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    change(&mut cluster, "cells = 1\n");
    until(&cluster, "the cells do not merge", &merging);
    cluster.restart_all();
    until(&cluster, "there is no single owner", &|c| c.leader().is_some());
    until(&cluster, "something of the cells stands", &|c| {
        let store = lock(&c.store);
        !store.keys.keys().any(|k| ["c1/", "c2/", "cells/", "own/c/"].iter().any(|p| k.starts_with(p)))
    });
    whole(&cluster, &services, Duration::from_secs(60));
    submit("req-0502", "red", "batch", 12);
    let ends = |c: &Cluster, id: &str| {
        user.until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| {
            red_within(c);
            s == 200 && v["bloom"] == "done"
        });
    };
    ends(&cluster, "req-0502");
    user.until(&listen, Method::Get, &format!("/work/{id}"), None, |s, v| s == 200 && v["bloom"] == "cancelled");
    cluster.nothing_broken();
    // And to another number from there.
    change(&mut cluster, "cells = 2\npicture_s = 0.5\n");
    until(&cluster, "two cells do not come into force", &|c| leader_of(c, 0).is_some() && leader_of(c, 1).is_some());
    whole(&cluster, &services, Duration::from_secs(60));
    cluster.nothing_broken();
}

/// Two shards, and only one has work: more than its own machines can take. What the other does not need
/// goes there, through ends of both leaders in the middle of it; no machine is two shards', and nothing
/// runs twice. Machines obey the highest token that they have seen: the shard that is short has the older
/// claim, and takes it anew first.
#[test]
fn idle_machines_go_to_the_cell_that_is_short() {
    let text = "cells = 2\npicture_s = 0.5\nspill_gain_s = 3600.0\nreassign_after_s = 1.0\n\
        [[team]]\nname = \"red\"\ncell = 0\n[[team]]\nname = \"n1\"\ncell = 1\n";
    let size = Size { cells: Some(text.into()), ..Size::of(3, 10, 9) };
    let mut cluster = Cluster::start("moves", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let until = |c: &Cluster, what: &str, within_s: u64, f: &dyn Fn(&Cluster) -> bool| {
        let began = Instant::now();
        while !f(c) {
            assert!(began.elapsed() < Duration::from_secs(within_s), "{what}");
            std::thread::sleep(Duration::from_millis(20));
        }
        began.elapsed().as_secs_f64()
    };
    let claim = |c: &Cluster, cell: usize| {
        let of =
            |k: &(Value, u64, Option<u64>)| (k.1, k.0["node"].as_str().and_then(|n| n.strip_prefix('n')?.parse().ok()));
        lock(&c.store).keys.get(&format!("own/c/{cell}")).map(of).unwrap_or((0, None::<usize>))
    };
    until(&cluster, "not every cell is owned", 20, &|c| (0..2).all(|i| claim(c, i).1.is_some()));
    let short = usize::from(claim(&cluster, 1).0 < claim(&cluster, 0).0);
    let services: Vec<String> = (0..64).map(|i| format!("{SERVICES}{i:02}")).collect();
    for id in &services {
        let mut j = job(id, "standing", 1);
        (j["herd"], j["precedence"]) = (json!(["red", "n1"][short]), json!("critical"));
        user.until(&listen, Method::Post, "/work", Some(&j), |s, _| s == 201 || s == 200);
    }
    let running = |c: &Cluster| services.iter().map(|id| c.running(id)).sum::<usize>();
    let going = |c: &Cluster| {
        let store = lock(&c.store);
        let of = |k: &&String| k.starts_with("cells/hand/");
        store.keys.keys().filter(of).map(|k| store.keys[k].0["machines"].as_array().map_or(0, Vec::len)).sum::<usize>()
    };
    // In the middle of it both leaders end.
    until(&cluster, "no machine goes", 60, &|c| going(c) > 0);
    cluster.restart_all();
    let took = until(&cluster, "not all services run", 90, &|c| running(c) == services.len());
    println!("64 services on 80 cpus, whole {took:.1} s after both owners ended");
    until(&cluster, "some machine does not arrive", 30, &|c| going(c) == 0);
    until(&cluster, "a machine is recorded twice", 30, &|c| {
        let store = lock(&c.store);
        let of = |prefix: &str| -> Vec<String> {
            let machine_groups = store.keys.iter().filter(|(k, _)| k.starts_with(prefix));
            let machines = machine_groups.flat_map(|(_, v)| v.0["machines"].as_array().cloned().unwrap_or_default());
            machines.map(|m| m["machine"].as_str().unwrap_or("").to_owned()).collect()
        };
        let mut all = [of("rack/"), of("c1/rack/")].concat();
        all.sort_unstable();
        let named = all.len();
        all.dedup();
        named == all.len()
    });
    cluster.nothing_broken();
}
