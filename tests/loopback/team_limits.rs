//! All teams are at their limits while jobs are cancelled, machines are unreachable and the leader changes.

use crate::cluster::{Cluster, wait_until};
use crate::http::lock;
use crate::requests::{LONG, User, job};
use crate::rules::RuleWatch;
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const WORKERS: usize = 8;
const LEASE_S: u64 = 10;
const CANCEL: Duration = Duration::from_secs(11);
const WITHIN: Duration = Duration::from_secs(40);
/// Each team's name, its limit, and the first digit of its jobs' numbers.
const TEAMS: [(&str, usize, usize); 2] = [("red", 14, 1), ("blue", 10, 2)];
const RED_MAX: f64 = 14.0;
const BLUE_MAX: f64 = 10.0;
/// Number of jobs of each team that do not end by themselves. Their tasks use up the team's limit.
const LONG_JOBS: usize = 2;
/// Number of short tasks that wait until the team is below its limit, from the change of leader on.
const WAITING_TASKS: u32 = 12;

fn long_id(number: usize, i: usize) -> String {
    format!("{LONG}{number}{i}")
}

fn waiting_id(number: usize) -> String {
    format!("req-050{number}")
}

fn submit(user: &User, listen: &[SocketAddr], watch: &RuleWatch, team: &str, id: &str, tasks: u32) {
    let mut submission = job(id, "batch", tasks);
    submission["herd"] = json!(team);
    watch.assign_to_team(id, team);
    user.ask_until(listen, Method::Post, "/work", Some(&submission), |s, _| s == 201 || s == 200);
}

fn all_at_limit(watch: &RuleWatch) -> bool {
    TEAMS.iter().all(|(team, limit, _)| watch.running_tasks_of_team(team) == *limit)
}

/// How machines are unreachable.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Unreachable {
    /// They hang for a while and recover within their lease.
    Hang,
    /// They are cut off in both directions; their tasks run until their leases end.
    AreCutOff,
}

/// Makes machines unreachable in this way, or reachable again.
fn set_unreachable(cluster: &Cluster, machines: &[usize], how: Unreachable, unreachable: bool) {
    let mut all = lock(&cluster.workers);
    for machine in machines {
        let worker = &mut all[*machine];
        match how {
            Unreachable::Hang => worker.hangs = unreachable,
            Unreachable::AreCutOff => {
                (worker.sends_no_heartbeats, worker.drops_replies, worker.drops_commands) =
                    (unreachable, unreachable, unreachable);
            }
        }
    }
}

/// Returns the two machines with the most tasks of these jobs.
fn workers_with_most_tasks_of(cluster: &Cluster, jobs: &[String]) -> Vec<usize> {
    let workers = lock(&cluster.workers);
    let on = |w: usize| {
        let of_jobs = |task: &&str| jobs.iter().any(|id| task.split('/').next() == Some(id));
        workers[w].running_tasks().filter(of_jobs).count()
    };
    let mut all: Vec<usize> = (0..workers.len()).filter(|w| on(*w) > 0).collect();
    all.sort_by_key(|w| std::cmp::Reverse(on(*w)));
    all.truncate(2);
    assert_eq!(all.len(), 2, "at least two machines run tasks of the jobs to be cancelled: {all:?}");
    all
}

/// Both teams are at their limits, with as much work again queued. Machines with tasks of jobs that are cancelled hang
/// or are cut off. The cancellations are confirmed, the leader ends, and another takes over while the teams are still
/// at their limits, counted on the workers. Tasks that still run after their cancellation have to count against the
/// limits.
fn no_team_is_over_its_limit(name: &str, how: Unreachable) {
    let size =
        Size { cancel: CANCEL, cpus_max: RED_MAX, teams: vec![("blue", BLUE_MAX)], ..Size::of(3, WORKERS, LEASE_S) };
    let mut cluster = Cluster::start(name, size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(1, 4) };
    let limits: Vec<(&str, usize)> = TEAMS.iter().map(|(team, limit, _)| (*team, *limit)).collect();
    let watch = RuleWatch::start(&cluster, CANCEL, &limits);
    watch.allow_late_starts();
    for (team, limit, number) in TEAMS {
        for i in 0..LONG_JOBS {
            submit(&user, &listen, &watch, team, &long_id(number, i), (limit / LONG_JOBS) as u32);
        }
    }
    wait_until("the teams do not reach their limits", WITHIN, || all_at_limit(&watch));
    for (team, limit, number) in TEAMS {
        submit(&user, &listen, &watch, team, &long_id(number, LONG_JOBS), limit as u32);
    }
    // Queued tasks run on no machine.
    let waits = |number: usize| cluster.running(&long_id(number, LONG_JOBS)) == 0;
    assert!(TEAMS.iter().all(|t| waits(t.2)), "some tasks of each team are queued");

    let leader = cluster.wait_for_leader();
    let cancelled: Vec<String> = TEAMS.iter().map(|t| long_id(t.2, 0)).collect();
    let unreachable = workers_with_most_tasks_of(&cluster, &cancelled);
    // The cloud fails all requests: the leader would delete machines without heartbeats, and their tasks with them.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    set_unreachable(&cluster, &unreachable, how, true);
    let began = Instant::now();
    assert!(all_at_limit(&watch), "the teams are at their limits when the machines become unreachable");
    for id in &cancelled {
        let path = format!("/work/{id}/withdraw");
        user.ask_until(&listen, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
        watch.record_cancellation(id);
    }
    // Queued tasks replace those that ended, so the teams are at their limits with the cancelled tasks that still run.
    let runs_on = |cluster: &Cluster| cancelled.iter().map(|id| cluster.running(id)).sum::<usize>();
    wait_until("the teams are not at their limits, with the cancelled tasks that still run", WITHIN, || {
        watch.check(&cluster);
        all_at_limit(&watch)
    });
    assert!(runs_on(&cluster) > 0, "cancelled tasks still run on unreachable machines");
    assert!(began.elapsed() < Duration::from_secs(LEASE_S), "the leases of the machines have not ended");
    cluster.kill(leader);
    cluster.wait_for_leader_other_than(leader);
    let others: Vec<SocketAddr> = (0..listen.len()).filter(|i| *i != leader).map(|i| listen[i]).collect();
    println!("failover {:.1} s after the machines became unreachable", began.elapsed().as_secs_f64());
    assert!(all_at_limit(&watch), "the teams are at their limits when the leader changes");
    assert!(runs_on(&cluster) > 0, "cancelled tasks still run when the leader changes");
    if how == Unreachable::Hang {
        std::thread::sleep(Duration::from_secs(1));
        watch.check(&cluster);
        set_unreachable(&cluster, &unreachable, how, false);
    }
    for (team, _, number) in TEAMS {
        submit(&user, &others, &watch, team, &waiting_id(number), WAITING_TASKS);
    }
    cluster.start_controller(leader);
    watch.wait_and_check_all_stopped(&cluster);
    set_unreachable(&cluster, &unreachable, how, false);
    cluster.cloud_down.store(false, Ordering::Relaxed);
    for (_, _, number) in TEAMS {
        let id = long_id(number, LONG_JOBS);
        user.ask_until(&listen, Method::Post, &format!("/work/{id}/withdraw"), None, |s, _| s == 200);
        watch.record_cancellation(&id);
        let path = format!("/work/{}", waiting_id(number));
        user.ask_until(&listen, Method::Get, &path, None, |s, v| s == 200 && v["bloom"] == "done");
    }
    for id in &cancelled {
        for at in &listen {
            user.ask_until(&[*at], Method::Get, &format!("/work/{id}"), None, |s, v| {
                s == 200 && v["bloom"] == "cancelled"
            });
        }
    }
    wait_until("not all tasks of the remaining jobs run", WITHIN, || {
        watch.check(&cluster);
        TEAMS.iter().all(|(_, limit, number)| cluster.running(&long_id(*number, 1)) == limit / LONG_JOBS)
    });
}

#[test]
fn no_team_is_over_its_limit_while_machines_hang_and_the_leader_changes() {
    no_team_is_over_its_limit("limits-hang", Unreachable::Hang);
}

#[test]
fn no_team_is_over_its_limit_while_machines_are_cut_off_and_the_leader_changes() {
    no_team_is_over_its_limit("limits-cut", Unreachable::AreCutOff);
}
