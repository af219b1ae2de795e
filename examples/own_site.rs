//! Writes a site file of one's own: a copy of a given one with other sizes, and days that go past
//! the files. Nothing of the given site is kept here: zones, classes and counts are read from it.
//!
//!     cargo run -q --example own_site -- SITE OUT --machines 1.5 --load 1.5 --restart-s 0.2

use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use toml::{Table, Value};

/// A copy of a site file with other sizes, and days of quick ends beside it.
#[derive(Parser)]
struct Args {
    /// The site file that is read.
    site: PathBuf,
    /// The folder that is written, outside the repository.
    out: PathBuf,
    /// Times as many machines: capacity, those up at the start, those that faults strike.
    #[arg(long, default_value_t = 1.0)]
    machines: f64,
    /// Times as much work: arrivals, jobs at the start, the teams' cpus.
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Seconds after which a process that ended is started again.
    #[arg(long)]
    restart_s: Option<f64>,
    /// ZONE=FACTOR: times as much capacity there; LARGEST stands for the zone that has most.
    #[arg(long, value_name = "ZONE=FACTOR")]
    zone: Vec<String>,
    /// Only so many zones; what the others had is shared out among them.
    #[arg(long)]
    zones: Option<usize>,
    /// Seconds that a day lasts.
    #[arg(long)]
    duration_s: Option<f64>,
    /// When the first pipelines are submitted, in seconds of a day.
    #[arg(long)]
    pipelines_start_s: Option<f64>,
    /// Pipelines a second.
    #[arg(long)]
    pipelines_rate: Option<f64>,
}

fn number(v: &Value) -> Option<f64> {
    v.as_float().or_else(|| v.as_integer().map(|i| i as f64))
}

fn scale(t: &mut Table, field: &str, factor: f64) {
    if let Some(v) = t.get_mut(field) {
        match v {
            Value::Integer(i) => *i = (*i as f64 * factor).round() as i64,
            Value::Float(f) => *f *= factor,
            _ => {}
        }
    }
}

fn tables<'a>(t: &'a mut Table, name: &str) -> impl Iterator<Item = &'a mut Table> {
    t.get_mut(name).and_then(Value::as_array_mut).into_iter().flatten().filter_map(Value::as_table_mut)
}

fn names(t: &Table, of: &str, with: impl Fn(&Table) -> bool) -> Vec<String> {
    let all = t.get(of).and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_table);
    all.filter(|t| with(t)).filter_map(|t| t.get("name")?.as_str().map(str::to_owned)).collect()
}

/// Capacity of each zone, in the settings' order.
fn zones(t: &Table) -> Vec<(String, f64)> {
    let listed = t.get("nodes").and_then(|n| n.get("zones")).and_then(Value::as_array).cloned().unwrap_or_default();
    let capacity = t.get("capacity").and_then(Value::as_array).cloned().unwrap_or_default();
    let in_zone = |z: &str| {
        let here = capacity.iter().filter(|c| c.get("zone").and_then(Value::as_str) == Some(z));
        here.map(|c| c.get("count").and_then(number).unwrap_or(0.0) + c.get("spot").and_then(number).unwrap_or(0.0))
            .sum()
    };
    listed.iter().filter_map(Value::as_str).map(|z| (z.to_owned(), in_zone(z))).collect()
}

fn largest(t: &Table) -> String {
    zones(t).into_iter().max_by(|a, b| a.1.total_cmp(&b.1)).map(|z| z.0).unwrap_or_default()
}

fn resize(t: &mut Table, a: &Args) -> Result<(), String> {
    let mut factors: Vec<(String, f64)> = Vec::new();
    for z in &a.zone {
        let (name, f) = z.split_once('=').ok_or_else(|| format!("--zone {z}: ZONE=FACTOR is wanted"))?;
        let f: f64 = f.parse().map_err(|_| format!("--zone {z}: {f} is no number"))?;
        factors.push((if name == "LARGEST" { largest(t) } else { name.to_owned() }, f));
    }
    let all: Vec<String> = zones(t).into_iter().map(|z| z.0).collect();
    if let Some((z, _)) = factors.iter().find(|(z, _)| !all.contains(z)) {
        return Err(format!("--zone {z}: there is none of that name"));
    }
    let kept: Vec<String> = all.iter().take(a.zones.unwrap_or(all.len()).max(1)).cloned().collect();
    let share = all.len() as f64 / kept.len() as f64;
    for list in ["capacity", "machines"] {
        if let Some(entries) = t.get_mut(list).and_then(Value::as_array_mut) {
            entries.retain(|e| e.get("zone").and_then(Value::as_str).is_some_and(|z| kept.iter().any(|k| k == z)));
        }
        for e in tables(t, list) {
            let zone = e.get("zone").and_then(Value::as_str).unwrap_or_default();
            let f = factors.iter().find(|(z, _)| z == zone).map_or(1.0, |z| z.1) * a.machines * share;
            scale(e, "count", f);
            scale(e, "spot", f);
        }
    }
    for team in tables(t, "teams") {
        scale(team, "cpus", a.load);
        scale(team, "cpus_max", a.load);
    }
    for job in tables(t, "jobs") {
        scale(job, "initial", a.load);
        if let Some(arrivals) = job.get_mut("arrivals").and_then(Value::as_table_mut) {
            scale(arrivals, "rate", a.load);
        }
    }
    for day in tables(t, "day") {
        for fault in tables(day, "faults") {
            let kind = fault.get("kind").and_then(Value::as_str).unwrap_or_default().to_owned();
            if kind.starts_with("machine_") {
                scale(fault, "count", a.machines);
            }
            if let Some(z) = fault.get_mut("zone")
                && !kept.iter().any(|k| z.as_str() == Some(k))
            {
                *z = Value::String(kept[0].clone());
            }
        }
    }
    resize_pipelines(t, a);
    if let Some(d) = a.duration_s {
        t.insert("duration_s".into(), Value::Float(d));
    }
    let nodes = t.get_mut("nodes").and_then(Value::as_table_mut).ok_or("the site has no [nodes]")?;
    nodes.insert("zones".into(), Value::Array(kept.into_iter().map(Value::String).collect()));
    if let Some(s) = a.restart_s {
        nodes.insert("restart_delay_s".into(), Value::Float(s));
    }
    Ok(())
}

/// When pipelines begin, and how many there are. A day's own beginning gives way.
fn resize_pipelines(t: &mut Table, a: &Args) {
    let wanted = [("start_s", a.pipelines_start_s), ("rate", a.pipelines_rate)];
    for pipeline in tables(t, "pipelines") {
        let Some(arrivals) = pipeline.get_mut("arrivals").and_then(Value::as_table_mut) else { continue };
        for (field, value) in wanted.iter().filter_map(|(field, value)| Some((*field, (*value)?))) {
            arrivals.insert(field.into(), Value::Float(value));
        }
    }
    if a.pipelines_start_s.is_some() {
        for day in tables(t, "day") {
            day.remove("pipelines");
        }
    }
}

// ---- the days ----

/// A fault as a line of a site file.
fn fault(at_s: f64, kind: &str, rest: &str) -> String {
    let more = if rest.is_empty() { String::new() } else { format!(", {rest}") };
    format!("  {{ at_s = {at_s:.2}, kind = \"{kind}\"{more} }},")
}

/// What the days need to know of a site.
struct Site {
    nodes: i64,
    machines: f64,
    warm: f64,
    end: f64,
    zone: String,
    services: Vec<String>,
    arrays: Vec<String>,
    /// Lower limits of the state service, where the site's own days announce them.
    limits: Option<String>,
    upgrade: bool,
}

impl Site {
    fn of(t: &Table) -> Option<Site> {
        let faults = |t: &Table| -> Vec<Table> {
            let days = t.get("day").and_then(Value::as_array).into_iter().flatten();
            let all = days.filter_map(|d| d.get("faults")?.as_array()).flatten();
            all.filter_map(Value::as_table).cloned().collect()
        };
        let limits = faults(t).into_iter().find(|f| f.get("kind").and_then(Value::as_str) == Some("state_limits"));
        let limits = limits.map(|f| {
            let one = |(k, v): (&String, &Value)| (k != "at_s" && k != "kind").then(|| format!("{k} = {v}"));
            f.iter().filter_map(one).collect::<Vec<_>>().join(", ")
        });
        let of_kind =
            |kind: &'static str| names(t, "jobs", move |j| j.get("kind").and_then(Value::as_str) == Some(kind));
        Some(Site {
            nodes: t.get("nodes")?.get("count")?.as_integer()?,
            machines: zones(t).iter().map(|z| z.1).sum(),
            warm: t.get("warmup_s").and_then(number).unwrap_or(100.0),
            end: t.get("duration_s").and_then(number)?,
            zone: largest(t),
            services: of_kind("service"),
            arrays: of_kind("array"),
            limits,
            upgrade: faults(t).iter().any(|f| f.contains_key("upgrade")),
        })
    }

    fn all(&self) -> String {
        format!("count = {}, busiest = true", self.nodes)
    }

    fn burst(&self, at: f64, class: &str, factor: f64, for_s: f64) -> String {
        fault(at, "job_burst", &format!("class = \"{class}\", factor = {factor:.1}, for_s = {for_s:.1}"))
    }

    /// A guest team without a guarantee, with a vast array, a swarm of single checks, and tasks that
    /// take a machine each; and mistakes in a part of what the others submit.
    fn guests(&self) -> String {
        let job = |name: &str, cpus: f64, tasks: u32, run: f64, arrivals: &str| {
            format!(
                "  {{ name = \"{name}\", kind = \"array\", priority = \"low\", teams = [\"own-guests\"], cpus = {cpus:.2}, \
                 gpus = 0.0, memory_gb = {:.2}, vary = 0.3, spot = true, tasks = {{ sizes = [{tasks}], weights = [1.0] }}, \
                 run_s = {{ median = {run:.1}, p95 = {:.1}, max = {:.1} }}, estimate_error = 0.2, checkpoint_s = 0.0, \
                 save_s = 0.0, images = {{ count = 1, gb = {{ median = 0.5, p95 = 0.6, max = 0.8 }} }}, \
                 arrivals = {{ {arrivals} }} }},\n",
                cpus * 1.8,
                run * 1.3,
                run * 1.5
            )
        };
        let at = |s: f64| self.warm + s;
        let mut jobs: String = self.arrays.iter().map(|a| format!("  {{ name = \"{a}\", broken = 0.1 }},\n")).collect();
        jobs += &job(
            "own-vast",
            0.5,
            20_000,
            40.0,
            &format!("rate = 0.1, start_s = {:.1}, stop_s = {:.1}", at(20.0), at(60.0)),
        );
        jobs += &job(
            "own-swarm",
            0.25,
            1,
            60.0,
            &format!("rate = 7.0, start_s = {:.1}, stop_s = {:.1}", at(60.0), at(180.0)),
        );
        jobs += &job(
            "own-large",
            32.0,
            12,
            60.0,
            &format!("rate = 0.2, start_s = {:.1}, stop_s = {:.1}", at(40.0), at(140.0)),
        );
        format!("teams = [ {{ name = \"own-guests\", weight = 1.0 }} ]\njobs = [\n{jobs}]\n")
    }

    /// Each day's name and faults. Sites with an upgrade begin with the roll that makes it.
    fn days(&self) -> Vec<(&'static str, Vec<String>)> {
        const LEADER: &str = "count = 1, busiest = true";
        let all = self.all();
        let (w, zone) = (self.warm + 25.0, &self.zone);
        let crash = |at: f64, whom: &str| fault(at, "node_crash", whom);
        let cut = |at: f64, for_s: f64| {
            fault(at, "zone_cut", &format!("zone = \"{zone}\", for_s = {for_s:.1}, mode = \"hold\""))
        };
        let outage = |at: f64, for_s: f64| fault(at, "state_outage", &format!("for_s = {for_s:.1}"));
        let count = |part: f64| (self.machines * part).round();
        let mut days = Vec::new();

        // The leader, then all of them, three times in 3 s; a quick roll; all in an outage; all
        // in a cut; many machines that hang.
        let mut quick: Vec<String> = (0..3).map(|i| crash(w + 5.0 + f64::from(i), LEADER)).collect();
        quick.extend((0..3).map(|i| crash(w + 45.0 + f64::from(i), &all)));
        quick.push(fault(w + 85.0, "node_roll", "every_s = 3.0"));
        quick.push(outage(w + 125.0, 18.0));
        quick.push(crash(w + 135.0, &all));
        quick.push(cut(w + 185.0, 40.0));
        quick.push(crash(w + 190.0, &all));
        quick.push(fault(w + 245.0, "machine_hang", &format!("count = {}, for_s = 25.0", count(0.15))));
        days.push(("own-quick", quick));

        // A second end a little later each time: before the claim, after it, while the state is
        // read, before the first answer, while machines are asked, in a checkpoint.
        let mut phases = Vec::new();
        for (i, d) in [0.15, 0.3, 0.45, 0.6, 0.8, 1.0, 1.3, 1.7, 2.2, 3.0, 4.5, 7.0].into_iter().enumerate() {
            let at = w + 24.0 * i as f64;
            let whom = if i % 2 == 0 { LEADER } else { &all };
            phases.push(crash(at, whom));
            phases.push(crash(at + d, whom));
        }
        days.push(("own-phases", phases));

        // Whoever owns ends each second for a minute; then one that does not.
        let mut flap: Vec<String> = (0..60).map(|i| crash(w + f64::from(i), LEADER)).collect();
        flap.extend((0..60).map(|i| crash(w + 130.0 + f64::from(i), "count = 1, busiest = false")));
        days.push(("own-flap", flap));

        // All of them, every 2 s for 20 s; once in the middle of a burst, once after an outage.
        let mut twos = vec![self.burst(w, &self.arrays[0], 3.0, 60.0)];
        twos.extend((0..10).map(|i| crash(w + 20.0 + 2.0 * f64::from(i), &all)));
        twos.push(outage(w + 140.0, 15.0));
        twos.extend((0..10).map(|i| crash(w + 150.0 + 2.0 * f64::from(i), &all)));
        days.push(("own-twos", twos));

        // A hot class of arrays, quick ends, spot taken and a zone cut.
        let mut hot = vec![self.burst(w, &self.arrays[0], 5.0, 150.0)];
        hot.extend((0..3).map(|i| crash(w + 25.0 + 1.4 * f64::from(i), LEADER)));
        hot.push(crash(w + 65.0, &all));
        hot.push(fault(w + 100.0, "spot_taken", "share = 0.6, notice_s = 0.0, over_s = 10.0"));
        hot.push(cut(w + 135.0, 45.0));
        hot.push(crash(w + 140.0, LEADER));
        days.push(("own-hot", hot));

        // Everything at once.
        let mut every: Vec<String> =
            self.services.iter().chain(&self.arrays).map(|c| self.burst(w, c, 4.0, 120.0)).collect();
        every.push(cut(w + 10.0, 100.0));
        every.push(fault(w + 20.0, "state_slow", "factor = 30.0, for_s = 60.0"));
        every.push(fault(w + 30.0, "spot_taken", "share = 0.8, notice_s = 0.0, over_s = 10.0"));
        every.push(fault(w + 30.0, "boot_trouble", "fail = 0.3, factor = 2.0, for_s = 120.0"));
        every.push(fault(w + 30.0, "machine_hang", &format!("count = {}, for_s = 40.0", count(0.1))));
        every.push(crash(w + 45.0, &all));
        every.push(outage(w + 50.0, 30.0));
        every.push(crash(w + 85.0, &all));
        days.push(("own-all", every));

        // Controllers that stand still: from well under a lease to several, twice in a row, all at
        // once, while a failover from one is under way, with an end in between.
        let still = |at: f64, whom: &str, for_s: f64| fault(at, "node_freeze", &format!("{whom}, for_s = {for_s:.1}"));
        let mut stills: Vec<String> =
            [1.2, 2.5, 3.9, 5.0].into_iter().enumerate().map(|(i, s)| still(w + 12.0 * i as f64, LEADER, s)).collect();
        stills.push(still(w + 60.0, LEADER, 12.0));
        stills.push(still(w + 65.5, LEADER, 12.0));
        stills.push(still(w + 110.0, &all, 6.0));
        stills.push(still(w + 150.0, LEADER, 40.0));
        stills.push(crash(w + 152.0, "count = 2, busiest = false"));
        stills.push(still(w + 155.0, LEADER, 8.0));
        stills.push(crash(w + 215.0, LEADER));
        stills.push(still(w + 215.6, LEADER, 5.0));
        days.push(("own-still", stills));

        // Users ask ten times as often; the leader is silent for more than a minute, another one loses
        // the state service, and it is down for all; the leader ends.
        let mut asked = vec![fault(w, "poll_storm", "factor = 10.0, for_s = 220.0")];
        asked.push(fault(w + 15.0, "node_down", &format!("{LEADER}, for_s = 75.0")));
        asked.push(fault(
            w + 40.0,
            "node_cut",
            &format!("{LEADER}, from_state = true, for_s = 40.0, mode = \"refuse\""),
        ));
        asked.push(fault(w + 70.0, "peers_refuse", "for_s = 30.0"));
        asked.push(outage(w + 110.0, 15.0));
        asked.push(crash(w + 150.0, LEADER));
        asked.push(fault(w + 180.0, "boot_trouble", "fail = 0.3, factor = 0.05, for_s = 60.0"));
        days.push(("own-asked", asked));

        // Guests and mistakes beside the rest, machines that fail whatever they start, boots that never
        // come, and ends of the leader.
        let mut guests = vec![fault(w + 20.0, "machine_sick", &format!("count = {}, for_s = 120.0", count(0.01)))];
        guests.push(fault(w + 60.0, "boot_trouble", "fail = 0.3, factor = 2.0, for_s = 60.0"));
        guests.push(crash(w + 90.0, LEADER));
        guests.push(still(w + 140.0, LEADER, 6.0));
        guests.push(crash(w + 190.0, &all));
        days.push(("own-guests", guests));

        // Limits that are lowered in the middle of a roll, and quick ends around it.
        if let Some(limits) = &self.limits {
            let mut lower = vec![fault(w + 75.0, "state_limits", limits)];
            lower.extend((0..3).map(|i| crash(w + 74.0 + f64::from(i), LEADER)));
            lower.push(crash(w + 100.0, &all));
            lower.push(crash(w + 101.0, &all));
            days.push(("own-limits", lower));
        }
        for (_, faults) in &mut days {
            if self.upgrade {
                faults.insert(0, fault(self.warm + 5.0, "node_roll", "every_s = 3.0, upgrade = true"));
            }
            // What would come when the day is nearly over proves nothing.
            let at = |f: &String| f.split("at_s = ").nth(1).and_then(|r| r.split(',').next()?.parse::<f64>().ok());
            faults.retain(|f| at(f).is_some_and(|t| t < self.end - 40.0));
            faults.sort_by(|a, b| at(a).partial_cmp(&at(b)).unwrap_or(std::cmp::Ordering::Equal));
        }
        days
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(a: &Args) -> Result<(), String> {
    let text = std::fs::read_to_string(&a.site).map_err(|e| format!("{}: {e}", a.site.display()))?;
    let mut t: Table = text.parse().map_err(|e| format!("{}: {e}", a.site.display()))?;
    resize(&mut t, a)?;
    let site = Site::of(&t).ok_or("the site lacks its nodes or its duration")?;
    if site.arrays.is_empty() || site.services.is_empty() {
        return Err("the site has no class of arrays, or none of services".into());
    }
    std::fs::create_dir_all(a.out.join("days")).map_err(|e| format!("{}: {e}", a.out.display()))?;
    let file = a.site.file_name().ok_or("the site has no file name")?;
    write(&a.out.join(file), &toml::to_string(&t).map_err(|e| e.to_string())?)?;
    if let Some(wire) = t.get("wire").and_then(Value::as_str) {
        let from = a.site.parent().unwrap_or(Path::new(".")).join(wire);
        let text = std::fs::read_to_string(&from).map_err(|e| format!("{}: {e}", from.display()))?;
        write(&a.out.join(wire), &text)?;
    }
    for (i, (name, faults)) in site.days().into_iter().enumerate() {
        let more = if name == "own-guests" { site.guests() } else { String::new() };
        let day = format!(
            "[[day]]\nname = \"{name}\"\nslot = \"scale\"\nseed = {}\n{more}faults = [\n{}\n]\n",
            700 + i,
            faults.join("\n")
        );
        write(&a.out.join("days").join(format!("{name}.toml")), &day)?;
    }
    println!("{}: {:.0} machines in {} zones", a.out.join(file).display(), site.machines, zones(&t).len());
    Ok(())
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("own_site: {e}");
            ExitCode::FAILURE
        }
    }
}
