//! Organisations with nested quotas.

use crate::cluster::Cluster;
use crate::http::{free_port, lock};
use crate::requests::{LONG, SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

/// Returns the quota file of the test: the organisation county contains north and south, whose limits together exceed
/// the county's limit.
fn county(generation: u64, limit: u32) -> String {
    let org = |name: &str, within: &str, max: u32, teams: &str| {
        let within = if within.is_empty() { String::new() } else { format!("within = \"{within}\"\n") };
        format!("[[organisation]]\nname = \"{name}\"\n{within}cpus_max = {max}.0\nteams = [{teams}]\n")
    };
    let all = [
        org("county", "", limit, ""),
        org("north", "county", 14, "\"n1\", \"n2\""),
        org("south", "county", 14, "\"s1\""),
    ];
    format!("generation = {generation}\n{}{}", all.concat(), org("others", "", 0, "\"red\""))
}

/// Returns the cpus that each level uses now, counted on the workers; a task takes one cpu.
fn cpus_used_by_level(cluster: &Cluster) -> [usize; 3] {
    let mut used = [0; 3];
    for worker in lock(&cluster.workers).iter() {
        for task in worker.running_tasks() {
            let north = task.starts_with("req-01") || task.starts_with("req-02") || task.starts_with(SERVICES);
            used[0] += 1;
            used[if north { 1 } else { 2 }] += 1;
        }
    }
    used
}

/// Three levels of organisations get more load than their limits allow. No level may exceed its limit, counted on the
/// workers, while workers hang and controllers restart. After a restart with a lower limit of the county, its excess
/// may only fall and has to be gone within the bound for reachable workers, while its service goes on.
#[test]
fn no_level_exceeds_its_limit_through_restarts_and_a_lowered_parent_limit() {
    const BOUND: Duration = Duration::from_secs(5);
    // Limits of the county, north and south, before and after the county's limit is lowered.
    const BEFORE: [usize; 3] = [20, 14, 14];
    const AFTER: [usize; 3] = [8, 8, 8];
    let quotas = Some(county(1, 20));
    let size = Size { quotas, ..Size::of(3, 6, 6) };
    let mut cluster = Cluster::start("quotas", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let submit = |id: &str, team: &str, habit: &str, tasks: u32| {
        let mut submission = job(id, habit, tasks);
        submission["herd"] = json!(team);
        user.ask_until(&listen, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
    };
    submit("req-000700", "n1", "standing", 3);
    // Long tasks, so that the excess does not end by itself.
    submit(LONG, "n2", "batch", 8);
    for (id, team) in [("req-0101", "n1"), ("req-0201", "n2"), ("req-0301", "s1")] {
        submit(id, team, "batch", 150);
    }
    let check_limits = |cluster: &Cluster, limits: [usize; 3]| {
        let used = cpus_used_by_level(cluster);
        assert!(
            used.iter().zip(limits).all(|(cpus, limit)| *cpus <= limit),
            "{used:?} cpus used, the limits are {limits:?}"
        );
        used[0]
    };
    let check_limits_for = |cluster: &Cluster, limits: [usize; 3], time: Duration| {
        let (began, mut seen) = (Instant::now(), 0);
        while began.elapsed() < time {
            seen = seen.max(check_limits(cluster, limits));
            std::thread::sleep(Duration::from_millis(4));
        }
        seen
    };
    // On a busy host the first starts may take long.
    let (began, mut seen) = (Instant::now(), 0);
    while seen < 12 {
        seen = seen.max(check_limits_for(&cluster, BEFORE, Duration::from_millis(500)));
        assert!(began.elapsed() < Duration::from_secs(40), "the county never used more than {seen} of 20 cpus");
    }
    // Two of six workers hang. Their tasks count against the limits until the machines are deleted.
    lock(&cluster.workers)[..2].iter_mut().for_each(|w| w.hangs = true);
    let began = Instant::now();
    while !lock(&cluster.workers)[..2].iter().all(|w| w.deleted) {
        check_limits(&cluster, BEFORE);
        assert!(began.elapsed() < Duration::from_secs(60), "the hanging workers are not deleted");
        std::thread::sleep(Duration::from_millis(4));
    }
    println!("two hanging workers were deleted after {:.2} s", began.elapsed().as_secs_f64());
    check_limits_for(&cluster, BEFORE, Duration::from_secs(1));
    // All controllers restart at once under load, and do not know the running tasks for a while.
    cluster.restart_all();
    check_limits_for(&cluster, BEFORE, Duration::from_secs(4));
    // Any controller reports the levels.
    let query = |args: &[&str], at: SocketAddr| {
        let out = Command::new(env!("CARGO_BIN_EXE_lupinspur"))
            .args(["quotas", "--peer", &at.to_string()])
            .args(args)
            .output()
            .expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned(), out.stderr)
    };
    let query_levels = |generation: u64, cluster: &Cluster| {
        let began = Instant::now();
        loop {
            for at in &cluster.peer {
                let (ok, out, err) = query(&["--json", "--job", "req-0101"], *at);
                let report: Value = serde_json::from_str(&out).unwrap_or_default();
                if ok && report["generation"] == generation {
                    return report;
                }
                assert!(began.elapsed() < Duration::from_secs(20), "{out} {}", String::from_utf8_lossy(&err));
            }
        }
    };
    let report = query_levels(1, &cluster);
    let names: Vec<&str> =
        report["levels"].as_array().expect("levels").iter().filter_map(|level| level["level"].as_str()).collect();
    assert!(names.contains(&"county.north.n1"), "{names:?}");
    assert!(report["job"].as_str().is_some_and(|job_id| !job_id.is_empty()), "{report}");
    for at in &cluster.peer {
        let (ok, out, _) = query(&[], *at);
        assert!(ok && out.contains("\n    north ") && out.contains("\n      n1 "), "{out}");
    }
    assert!(!query(&[], free_port()).0, "a query of a port without a controller fails");
    // The county's limit is lowered: the controllers restart one after the other with the new file.
    std::fs::write(cluster.dir.join("quotas.toml"), county(2, 8)).expect("the quota file is written");
    let switched =
        |cluster: &Cluster| lock(&cluster.store).keys.get("quota/head").is_some_and(|head| head.0["generation"] == 2);
    let (mut switch, mut settled) = (None, None);
    let mut check_change = |cluster: &Cluster| {
        let used = check_limits(cluster, if settled.is_some() { AFTER } else { BEFORE });
        if switch.is_none() && switched(cluster) {
            switch = Some(Instant::now());
            assert!(used > 8, "the county exceeds its new limit at first");
        }
        if let (Some(at), None) = (switch, settled) {
            assert_eq!(cluster.running("req-000700"), 3, "the service keeps its tasks while other work is stopped");
            settled = (used <= 8).then(|| at.elapsed());
            assert!(at.elapsed() < BOUND, "the county still exceeds its new limit: {:?}", cpus_used_by_level(cluster));
        }
        settled
    };
    let began = Instant::now();
    let mut ended = 0;
    while check_change(&cluster).is_none() || ended < 3 {
        if ended < 3 && began.elapsed() > Duration::from_millis(700) * ended as u32 {
            cluster.kill(ended);
            cluster.start_controller(ended);
            ended += 1;
        }
        assert!(began.elapsed() < Duration::from_secs(40), "the new quota tree is not stored");
        std::thread::sleep(Duration::from_millis(1));
    }
    println!("the county was within its new limit {:.2} s after the change", settled.unwrap_or_default().as_secs_f64());
    // Once within its new limit, the county stays within it through another restart of all controllers.
    check_limits_for(&cluster, AFTER, Duration::from_secs(1));
    cluster.restart_all();
    check_limits_for(&cluster, AFTER, Duration::from_secs(3));
    assert_eq!(query_levels(2, &cluster)["generation"], 2);
    // Leases may have ended meanwhile. Lost replicas of the service have the same priority as the long tasks, which may
    // use the whole limit by now. When the long tasks are cancelled, all replicas have to run again.
    let path = format!("/work/{LONG}/withdraw");
    user.ask_until(&listen, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
    user.ask_until(&listen, Method::Get, "/work/req-000700", None, |s, v| s == 200 && v["running"] == 3);
    check_limits(&cluster, AFTER);
    assert!(lock(&cluster.duplicate_starts).is_empty(), "started twice: {:?}", lock(&cluster.duplicate_starts));
}
