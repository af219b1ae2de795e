//! Writes a modified site file: a copy of a given one with other sizes, and additional days with fault
//! combinations that the given days don't have. Zones, classes and counts are read from the given site.
//!
//!     cargo run -q --example own_site -- SITE OUT --machines 1.5 --load 1.5 --restart-s 0.2

use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use toml::{Table, Value};

/// Copies a site file with other sizes, and writes additional days with quick successions of faults.
#[derive(Parser)]
struct Args {
    /// Site file to read
    site: PathBuf,
    /// Folder to write, outside the repository
    out: PathBuf,
    /// Factor for the number of machines: capacity, machines at the start, machines struck by faults
    #[arg(long, default_value_t = 1.0)]
    machines: f64,
    /// Factor for the load: arrivals, jobs at the start, the teams' cpus
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Seconds after which a controller process that ended is restarted
    #[arg(long)]
    restart_s: Option<f64>,
    /// Factor for the capacity of a zone; LARGEST stands for the zone with the most capacity
    #[arg(long, value_name = "ZONE=FACTOR")]
    zone: Vec<String>,
    /// Number of zones to keep; they get the capacity of the removed ones in equal parts
    #[arg(long)]
    zones: Option<usize>,
    /// Duration of a day in seconds
    #[arg(long)]
    duration_s: Option<f64>,
    /// Time of the first pipelines, in seconds since the start of a day
    #[arg(long)]
    pipelines_start_s: Option<f64>,
    /// Pipelines per second
    #[arg(long)]
    pipelines_rate: Option<f64>,
}

fn number(value: &Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|i| i as f64))
}

/// Multiplies a number in a table by a factor, if it exists.
fn scale(table: &mut Table, field: &str, factor: f64) {
    if let Some(value) = table.get_mut(field) {
        match value {
            Value::Integer(i) => *i = (*i as f64 * factor).round() as i64,
            Value::Float(f) => *f *= factor,
            _ => {}
        }
    }
}

/// Iterates over the tables of an array of tables.
fn tables<'a>(table: &'a mut Table, name: &str) -> impl Iterator<Item = &'a mut Table> {
    table.get_mut(name).and_then(Value::as_array_mut).into_iter().flatten().filter_map(Value::as_table_mut)
}

/// Returns the names of the tables in an array of tables that match a condition.
fn names(table: &Table, array: &str, matches: impl Fn(&Table) -> bool) -> Vec<String> {
    let all = table.get(array).and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_table);
    all.filter(|entry| matches(entry)).filter_map(|entry| entry.get("name")?.as_str().map(str::to_owned)).collect()
}

/// Returns the zones with their capacity, in the order of the settings.
fn zones(site: &Table) -> Vec<(String, f64)> {
    let listed =
        site.get("nodes").and_then(|nodes| nodes.get("zones")).and_then(Value::as_array).cloned().unwrap_or_default();
    let capacity = site.get("capacity").and_then(Value::as_array).cloned().unwrap_or_default();
    let capacity_of = |zone: &str| {
        let entries = capacity.iter().filter(|entry| entry.get("zone").and_then(Value::as_str) == Some(zone));
        entries
            .map(|entry| {
                entry.get("count").and_then(number).unwrap_or(0.0) + entry.get("spot").and_then(number).unwrap_or(0.0)
            })
            .sum()
    };
    listed.iter().filter_map(Value::as_str).map(|zone| (zone.to_owned(), capacity_of(zone))).collect()
}

/// Returns the zone with the most capacity.
fn largest_zone(site: &Table) -> String {
    zones(site).into_iter().max_by(|a, b| a.1.total_cmp(&b.1)).map(|(zone, _)| zone).unwrap_or_default()
}

/// Changes the sizes of a site as the arguments say.
fn resize(site: &mut Table, args: &Args) -> Result<(), String> {
    let mut factors: Vec<(String, f64)> = Vec::new();
    for option in &args.zone {
        let (name, factor) = option.split_once('=').ok_or_else(|| format!("--zone {option}: expected ZONE=FACTOR"))?;
        let factor: f64 =
            factor.parse().map_err(|_| format!("--zone {option}: the factor {factor} is not a number"))?;
        factors.push((if name == "LARGEST" { largest_zone(site) } else { name.to_owned() }, factor));
    }
    let all: Vec<String> = zones(site).into_iter().map(|(zone, _)| zone).collect();
    if let Some((zone, _)) = factors.iter().find(|(zone, _)| !all.contains(zone)) {
        return Err(format!("--zone {zone}: the site has no zone with this name"));
    }
    let kept: Vec<String> = all.iter().take(args.zones.unwrap_or(all.len()).max(1)).cloned().collect();
    let share = all.len() as f64 / kept.len() as f64;
    for list in ["capacity", "machines"] {
        if let Some(entries) = site.get_mut(list).and_then(Value::as_array_mut) {
            entries.retain(|entry| {
                entry.get("zone").and_then(Value::as_str).is_some_and(|zone| kept.iter().any(|k| k == zone))
            });
        }
        for entry in tables(site, list) {
            let zone = entry.get("zone").and_then(Value::as_str).unwrap_or_default();
            let zone_factor = factors.iter().find(|(name, _)| name == zone).map_or(1.0, |(_, factor)| *factor);
            let factor = zone_factor * args.machines * share;
            scale(entry, "count", factor);
            scale(entry, "spot", factor);
        }
    }
    for team in tables(site, "teams") {
        scale(team, "cpus", args.load);
        scale(team, "cpus_max", args.load);
    }
    for job in tables(site, "jobs") {
        scale(job, "initial", args.load);
        if let Some(arrivals) = job.get_mut("arrivals").and_then(Value::as_table_mut) {
            scale(arrivals, "rate", args.load);
        }
    }
    for day in tables(site, "day") {
        for fault in tables(day, "faults") {
            let kind = fault.get("kind").and_then(Value::as_str).unwrap_or_default().to_owned();
            if kind.starts_with("machine_") {
                scale(fault, "count", args.machines);
            }
            if let Some(zone) = fault.get_mut("zone")
                && !kept.iter().any(|name| zone.as_str() == Some(name))
            {
                *zone = Value::String(kept[0].clone());
            }
        }
    }
    resize_pipelines(site, args);
    if let Some(duration_s) = args.duration_s {
        site.insert("duration_s".into(), Value::Float(duration_s));
    }
    let nodes = site.get_mut("nodes").and_then(Value::as_table_mut).ok_or("the site has no [nodes]")?;
    nodes.insert("zones".into(), Value::Array(kept.into_iter().map(Value::String).collect()));
    if let Some(restart_s) = args.restart_s {
        nodes.insert("restart_delay_s".into(), Value::Float(restart_s));
    }
    Ok(())
}

/// Sets the start and the rate of pipelines. A given start overrides those of the days.
fn resize_pipelines(site: &mut Table, args: &Args) {
    let changes = [("start_s", args.pipelines_start_s), ("rate", args.pipelines_rate)];
    for pipeline in tables(site, "pipelines") {
        let Some(arrivals) = pipeline.get_mut("arrivals").and_then(Value::as_table_mut) else { continue };
        for (field, value) in changes.iter().filter_map(|(field, value)| Some((*field, (*value)?))) {
            arrivals.insert(field.into(), Value::Float(value));
        }
    }
    if args.pipelines_start_s.is_some() {
        for day in tables(site, "day") {
            day.remove("pipelines");
        }
    }
}

/// Formats a fault as a line of a site file.
fn fault(at_s: f64, kind: &str, fields: &str) -> String {
    let suffix = if fields.is_empty() { String::new() } else { format!(", {fields}") };
    format!("  {{ at_s = {at_s:.2}, kind = \"{kind}\"{suffix} }},")
}

/// The properties of a site that the additional days depend on.
struct Site {
    nodes: i64,
    machines: f64,
    warmup_s: f64,
    end_s: f64,
    zone: String,
    services: Vec<String>,
    arrays: Vec<String>,
    /// Lower limits of the state service, if the site's days announce them.
    limits: Option<String>,
    upgrade: bool,
}

impl Site {
    /// Reads the properties of a site; returns `None` if it has no controllers or no duration.
    fn of(site: &Table) -> Option<Site> {
        let faults = |site: &Table| -> Vec<Table> {
            let days = site.get("day").and_then(Value::as_array).into_iter().flatten();
            let all = days.filter_map(|day| day.get("faults")?.as_array()).flatten();
            all.filter_map(Value::as_table).cloned().collect()
        };
        let is_limits = |fault: &Table| fault.get("kind").and_then(Value::as_str) == Some("state_limits");
        let limits = faults(site).into_iter().find(is_limits);
        let limits = limits.map(|fault| {
            let field =
                |(key, value): (&String, &Value)| (key != "at_s" && key != "kind").then(|| format!("{key} = {value}"));
            fault.iter().filter_map(field).collect::<Vec<_>>().join(", ")
        });
        let of_kind =
            |kind: &'static str| names(site, "jobs", move |job| job.get("kind").and_then(Value::as_str) == Some(kind));
        Some(Site {
            nodes: site.get("nodes")?.get("count")?.as_integer()?,
            machines: zones(site).iter().map(|(_, capacity)| capacity).sum(),
            warmup_s: site.get("warmup_s").and_then(number).unwrap_or(100.0),
            end_s: site.get("duration_s").and_then(number)?,
            zone: largest_zone(site),
            services: of_kind("service"),
            arrays: of_kind("array"),
            limits,
            upgrade: faults(site).iter().any(|fault| fault.contains_key("upgrade")),
        })
    }

    /// Selects all controllers.
    fn all(&self) -> String {
        format!("count = {}, busiest = true", self.nodes)
    }

    /// Formats a burst of jobs.
    fn burst(&self, at: f64, class: &str, factor: f64, for_s: f64) -> String {
        fault(at, "job_burst", &format!("class = \"{class}\", factor = {factor:.1}, for_s = {for_s:.1}"))
    }

    /// Formats the teams and jobs of the day `own-guests`: a guest team without a guarantee, which submits a very
    /// large array, many single-task jobs and tasks that need a machine each; and a share of broken jobs in the
    /// other classes.
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
        let at = |seconds: f64| self.warmup_s + seconds;
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

    /// Returns the name and the faults of each day. On sites with an upgrade, each day starts with the rolling upgrade.
    fn days(&self) -> Vec<(&'static str, Vec<String>)> {
        const LEADER: &str = "count = 1, busiest = true";
        let all = self.all();
        let (start, zone) = (self.warmup_s + 25.0, &self.zone);
        let crash = |at: f64, selector: &str| fault(at, "node_crash", selector);
        let cut = |at: f64, for_s: f64| {
            fault(at, "zone_cut", &format!("zone = \"{zone}\", for_s = {for_s:.1}, mode = \"hold\""))
        };
        let outage = |at: f64, for_s: f64| fault(at, "state_outage", &format!("for_s = {for_s:.1}"));
        let count = |part: f64| (self.machines * part).round();
        let mut days = Vec::new();

        // The leader, and later all controllers, crash three times in 3 s; a quick rolling restart; a crash of all
        // during an outage of the state service; a crash of all during a zone cut; many machines that hang.
        let mut quick: Vec<String> = (0..3).map(|i| crash(start + 5.0 + f64::from(i), LEADER)).collect();
        quick.extend((0..3).map(|i| crash(start + 45.0 + f64::from(i), &all)));
        quick.push(fault(start + 85.0, "node_roll", "every_s = 3.0"));
        quick.push(outage(start + 125.0, 18.0));
        quick.push(crash(start + 135.0, &all));
        quick.push(cut(start + 185.0, 40.0));
        quick.push(crash(start + 190.0, &all));
        quick.push(fault(start + 245.0, "machine_hang", &format!("count = {}, for_s = 25.0", count(0.15))));
        days.push(("own-quick", quick));

        // Two crashes in a row, with a growing delay between them: the second one comes before the leadership record
        // is written, after it, while the state is read, before the first response, while machines are contacted,
        // and while a checkpoint is written.
        let mut phases = Vec::new();
        for (i, delay) in [0.15, 0.3, 0.45, 0.6, 0.8, 1.0, 1.3, 1.7, 2.2, 3.0, 4.5, 7.0].into_iter().enumerate() {
            let at = start + 24.0 * i as f64;
            let selector = if i % 2 == 0 { LEADER } else { &all };
            phases.push(crash(at, selector));
            phases.push(crash(at + delay, selector));
        }
        days.push(("own-phases", phases));

        // The leader crashes each second for a minute; later another controller does.
        let mut flap: Vec<String> = (0..60).map(|i| crash(start + f64::from(i), LEADER)).collect();
        flap.extend((0..60).map(|i| crash(start + 130.0 + f64::from(i), "count = 1, busiest = false")));
        days.push(("own-flap", flap));

        // All controllers crash every 2 s for 20 s: once during a burst of jobs, once after an outage.
        let mut repeated = vec![self.burst(start, &self.arrays[0], 3.0, 60.0)];
        repeated.extend((0..10).map(|i| crash(start + 20.0 + 2.0 * f64::from(i), &all)));
        repeated.push(outage(start + 140.0, 15.0));
        repeated.extend((0..10).map(|i| crash(start + 150.0 + 2.0 * f64::from(i), &all)));
        days.push(("own-twos", repeated));

        // A class of arrays with a high load, quick crashes, reclaimed spot machines and a zone cut.
        let mut hot = vec![self.burst(start, &self.arrays[0], 5.0, 150.0)];
        hot.extend((0..3).map(|i| crash(start + 25.0 + 1.4 * f64::from(i), LEADER)));
        hot.push(crash(start + 65.0, &all));
        hot.push(fault(start + 100.0, "spot_taken", "share = 0.6, notice_s = 0.0, over_s = 10.0"));
        hot.push(cut(start + 135.0, 45.0));
        hot.push(crash(start + 140.0, LEADER));
        days.push(("own-hot", hot));

        // All kinds of faults at the same time.
        let mut combined: Vec<String> =
            self.services.iter().chain(&self.arrays).map(|class| self.burst(start, class, 4.0, 120.0)).collect();
        combined.push(cut(start + 10.0, 100.0));
        combined.push(fault(start + 20.0, "state_slow", "factor = 30.0, for_s = 60.0"));
        combined.push(fault(start + 30.0, "spot_taken", "share = 0.8, notice_s = 0.0, over_s = 10.0"));
        combined.push(fault(start + 30.0, "boot_trouble", "fail = 0.3, factor = 2.0, for_s = 120.0"));
        combined.push(fault(start + 30.0, "machine_hang", &format!("count = {}, for_s = 40.0", count(0.1))));
        combined.push(crash(start + 45.0, &all));
        combined.push(outage(start + 50.0, 30.0));
        combined.push(crash(start + 85.0, &all));
        days.push(("own-all", combined));

        // Suspended controllers: for a fraction of a lease up to several leases, twice in a row, all at once,
        // during a failover from another suspension, and with a crash in between.
        let freeze =
            |at: f64, selector: &str, for_s: f64| fault(at, "node_freeze", &format!("{selector}, for_s = {for_s:.1}"));
        let mut freezes: Vec<String> = [1.2, 2.5, 3.9, 5.0]
            .into_iter()
            .enumerate()
            .map(|(i, for_s)| freeze(start + 12.0 * i as f64, LEADER, for_s))
            .collect();
        freezes.push(freeze(start + 60.0, LEADER, 12.0));
        freezes.push(freeze(start + 65.5, LEADER, 12.0));
        freezes.push(freeze(start + 110.0, &all, 6.0));
        freezes.push(freeze(start + 150.0, LEADER, 40.0));
        freezes.push(crash(start + 152.0, "count = 2, busiest = false"));
        freezes.push(freeze(start + 155.0, LEADER, 8.0));
        freezes.push(crash(start + 215.0, LEADER));
        freezes.push(freeze(start + 215.6, LEADER, 5.0));
        days.push(("own-still", freezes));

        // Users poll ten times as often; the leader is down for more than a minute, the next one is cut off from the
        // state service, the state service is down for all, and the leader crashes.
        let mut polled = vec![fault(start, "poll_storm", "factor = 10.0, for_s = 220.0")];
        polled.push(fault(start + 15.0, "node_down", &format!("{LEADER}, for_s = 75.0")));
        polled.push(fault(
            start + 40.0,
            "node_cut",
            &format!("{LEADER}, from_state = true, for_s = 40.0, mode = \"refuse\""),
        ));
        polled.push(fault(start + 70.0, "peers_refuse", "for_s = 30.0"));
        polled.push(outage(start + 110.0, 15.0));
        polled.push(crash(start + 150.0, LEADER));
        polled.push(fault(start + 180.0, "boot_trouble", "fail = 0.3, factor = 0.05, for_s = 60.0"));
        days.push(("own-asked", polled));

        // Guest jobs and broken jobs along with the others, machines that fail every task, boots that never
        // complete, and crashes of the leader.
        let mut guests = vec![fault(start + 20.0, "machine_sick", &format!("count = {}, for_s = 120.0", count(0.01)))];
        guests.push(fault(start + 60.0, "boot_trouble", "fail = 0.3, factor = 2.0, for_s = 60.0"));
        guests.push(crash(start + 90.0, LEADER));
        guests.push(freeze(start + 140.0, LEADER, 6.0));
        guests.push(crash(start + 190.0, &all));
        days.push(("own-guests", guests));

        // Limits that are lowered during a rolling restart, with quick crashes around it.
        if let Some(limits) = &self.limits {
            let mut lower = vec![fault(start + 75.0, "state_limits", limits)];
            lower.extend((0..3).map(|i| crash(start + 74.0 + f64::from(i), LEADER)));
            lower.push(crash(start + 100.0, &all));
            lower.push(crash(start + 101.0, &all));
            days.push(("own-limits", lower));
        }
        for (_, faults) in &mut days {
            if self.upgrade {
                faults.insert(0, fault(self.warmup_s + 5.0, "node_roll", "every_s = 3.0, upgrade = true"));
            }
            // Faults close to the end of the day leave no time to observe their effects.
            let at = |line: &String| {
                line.split("at_s = ").nth(1).and_then(|rest| rest.split(',').next()?.parse::<f64>().ok())
            };
            faults.retain(|line| at(line).is_some_and(|at_s| at_s < self.end_s - 40.0));
            faults.sort_by(|a, b| at(a).partial_cmp(&at(b)).unwrap_or(std::cmp::Ordering::Equal));
        }
        days
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes the site file, its wire file and the days.
fn run(args: &Args) -> Result<(), String> {
    let text = std::fs::read_to_string(&args.site).map_err(|e| format!("{}: {e}", args.site.display()))?;
    let mut table: Table = text.parse().map_err(|e| format!("{}: {e}", args.site.display()))?;
    resize(&mut table, args)?;
    let site = Site::of(&table).ok_or("the site lacks its nodes or its duration")?;
    if site.arrays.is_empty() || site.services.is_empty() {
        return Err("the site needs at least one class of arrays and one of services".into());
    }
    std::fs::create_dir_all(args.out.join("days")).map_err(|e| format!("{}: {e}", args.out.display()))?;
    let file = args.site.file_name().ok_or("the site has no file name")?;
    write(&args.out.join(file), &toml::to_string(&table).map_err(|e| e.to_string())?)?;
    if let Some(wire) = table.get("wire").and_then(Value::as_str) {
        let from = args.site.parent().unwrap_or(Path::new(".")).join(wire);
        let text = std::fs::read_to_string(&from).map_err(|e| format!("{}: {e}", from.display()))?;
        write(&args.out.join(wire), &text)?;
    }
    for (i, (name, faults)) in site.days().into_iter().enumerate() {
        let more = if name == "own-guests" { site.guests() } else { String::new() };
        let day = format!(
            "[[day]]\nname = \"{name}\"\nslot = \"scale\"\nseed = {}\n{more}faults = [\n{}\n]\n",
            700 + i,
            faults.join("\n")
        );
        write(&args.out.join("days").join(format!("{name}.toml")), &day)?;
    }
    println!("{}: {:.0} machines in {} zones", args.out.join(file).display(), site.machines, zones(&table).len());
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
