//! Derives a site from one of the operators' kit, with more machines, faster controller
//! restarts, or other lease settings. The operators' own days may differ in these from the
//! site files that they provide.
//!
//! The load is scaled with the machines: arrival rates, jobs open at the start, team limits,
//! and the number of machines hit by a fault. The result must be written outside the
//! repository, where the kit is kept as well.

use std::path::{Path, PathBuf};

use clap::Args;
use thiserror::Error;
use toml::{Table, Value};

/// Minimum difference between `cancel_s` and `lease_s`, in seconds, so that controllers accept
/// the settings and start.
const MIN_CANCEL_MARGIN_S: f64 = 4.0;

/// Options of `cargo xtask widen`.
#[derive(Debug, Args)]
pub struct Options {
    /// Site file to derive from.
    #[arg(value_name = "SITE")]
    site: PathBuf,
    /// Factor for the number of machines and the load.
    #[arg(
        long,
        value_name = "FACTOR",
        default_value_t = 1.5,
        allow_negative_numbers = true
    )]
    machines: f64,
    /// Delay in seconds until a stopped controller restarts; unchanged if omitted.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    restart: Option<f64>,
    /// Lease of a worker in seconds; unchanged if omitted.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    lease: Option<f64>,
    /// Seconds until the tasks of a cancelled job are gone; unchanged if omitted.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    cancel: Option<f64>,
    /// Output folder, outside the repository.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// Error of `cargo xtask widen`.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("--{0} must be a finite number above 0, not {1}")]
    InvalidNumber(&'static str, f64),
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0} is not a valid site file: {1}")]
    Site(String, String),
    #[error("--cancel ({cancel_s}) must be at least {least} s above --lease ({lease_s})", least = MIN_CANCEL_MARGIN_S)]
    CancelTooShort { lease_s: f64, cancel_s: f64 },
    #[error(
        "{0} is inside the repository; files derived from the operators' kit must stay outside"
    )]
    InsideRepository(String),
}

/// Multiplies a number of a table by a factor; integers are rounded up.
fn scale(table: &mut Table, key: &str, factor: f64) {
    match table.get_mut(key) {
        Some(Value::Integer(n)) => *n = (*n as f64 * factor).ceil() as i64,
        Some(Value::Float(x)) => *x *= factor,
        _ => {}
    }
}

/// Iterates over the tables of an array.
fn tables<'a>(table: &'a mut Table, key: &str) -> impl Iterator<Item = &'a mut Table> {
    let list = table.get_mut(key).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut)
}

/// Scales the team limits and the jobs of a site or of a day.
fn scale_work(table: &mut Table, factor: f64) {
    for team in tables(table, "teams") {
        scale(team, "cpus", factor);
        scale(team, "cpus_max", factor);
    }
    for job in tables(table, "jobs") {
        scale(job, "initial", factor);
        let arrivals = job.get_mut("arrivals").and_then(Value::as_table_mut);
        if let Some(arrivals) = arrivals {
            scale(arrivals, "rate", factor);
        }
    }
}

/// Changes to a site.
#[derive(Clone, Copy, Debug)]
pub struct Changes {
    /// Factor for the number of machines and the load.
    pub factor: f64,
    /// Delay in seconds until a stopped controller restarts; `None` leaves it unchanged.
    pub restart_s: Option<f64>,
    /// Lease of a worker in seconds; `None` leaves it unchanged.
    pub lease_s: Option<f64>,
    /// Seconds until the tasks of a cancelled job are gone; `None` leaves it unchanged.
    pub cancel_s: Option<f64>,
}

impl From<&Options> for Changes {
    fn from(options: &Options) -> Self {
        Self {
            factor: options.machines,
            restart_s: options.restart,
            lease_s: options.lease,
            cancel_s: options.cancel,
        }
    }
}

/// Sets the given lease settings of the site's workers. Fails if the site does not have them.
fn set_workers(site: &mut Table, changes: &Changes) -> Result<(), &'static str> {
    for (key, seconds) in [("lease_s", changes.lease_s), ("cancel_s", changes.cancel_s)] {
        let Some(seconds) = seconds else { continue };
        let workers = site.get_mut("workers").and_then(Value::as_table_mut);
        let number = workers.and_then(|w| w.get_mut(key));
        *number.ok_or("it has no [workers] with lease_s and cancel_s")? = Value::Float(seconds);
    }
    Ok(())
}

/// Checks that `cancel_s` exceeds `lease_s` by the minimum difference, if the site has both.
fn check_workers(site: &Table) -> Result<(), Failure> {
    let workers = site.get("workers").and_then(Value::as_table);
    let number = |key| workers?.get(key).and_then(Value::as_float);
    let (Some(lease_s), Some(cancel_s)) = (number("lease_s"), number("cancel_s")) else {
        return Ok(());
    };
    if cancel_s < lease_s + MIN_CANCEL_MARGIN_S {
        return Err(Failure::CancelTooShort { lease_s, cancel_s });
    }
    Ok(())
}

/// Applies the changes to a site file's text. Returns the new name and the new text; `name`
/// identifies the file in errors.
pub fn widen(name: &str, text: &str, changes: &Changes) -> Result<(String, String), Failure> {
    let bad = |why: &str| Failure::Site(name.to_owned(), why.to_owned());
    let (factor, restart) = (changes.factor, changes.restart_s);
    let numbers = [
        ("machines", Some(factor)),
        ("restart", restart),
        ("lease", changes.lease_s),
        ("cancel", changes.cancel_s),
    ];
    for (what, number) in numbers {
        if let Some(number) = number.filter(|n| !(n.is_finite() && *n > 0.0)) {
            return Err(Failure::InvalidNumber(what, number));
        }
    }
    let mut site: Table = text
        .parse()
        .map_err(|e: toml::de::Error| bad(e.message()))?;
    let old_name = site.get("name").and_then(Value::as_str);
    let new_name = format!("{}-wide", old_name.ok_or_else(|| bad("it has no name"))?);
    site.insert("name".into(), Value::String(new_name.clone()));
    let nodes = site.get_mut("nodes").and_then(Value::as_table_mut);
    let nodes = nodes.ok_or_else(|| bad("it has no [nodes]"))?;
    if let Some(restart) = restart {
        nodes.insert("restart_delay_s".into(), Value::Float(restart));
    }
    set_workers(&mut site, changes).map_err(bad)?;
    check_workers(&site)?;
    let mut offers = 0;
    for offer in tables(&mut site, "capacity") {
        scale(offer, "count", factor);
        scale(offer, "spot", factor);
        offers += 1;
    }
    if offers == 0 {
        return Err(bad("it has no [[capacity]]"));
    }
    for machines in tables(&mut site, "machines") {
        scale(machines, "count", factor);
    }
    scale_work(&mut site, factor);
    for day in tables(&mut site, "day") {
        scale_work(day, factor);
        for fault in tables(day, "faults") {
            let kind = fault.get("kind").and_then(Value::as_str);
            if kind.is_some_and(|k| k.starts_with("machine_")) {
                scale(fault, "count", factor);
            }
        }
    }
    let text = toml::to_string(&site).map_err(|e| bad(&e.to_string()))?;
    Ok((new_name, text))
}

/// Writes the derived site and a copy of the file of wire names that it refers to.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    let site = root.join(&options.site);
    let file = |path: &Path| {
        let name = path.display().to_string();
        move |e| Failure::File(name, e)
    };
    let name = options.site.display().to_string();
    let text = std::fs::read_to_string(&site).map_err(file(&options.site))?;
    let (new_name, new_text) = widen(&name, &text, &Changes::from(options))?;
    let out = root.join(&options.out);
    std::fs::create_dir_all(&out).map_err(file(&options.out))?;
    let canonical = |path: &Path| path.canonicalize().map_err(file(path));
    if canonical(&out)?.starts_with(canonical(root)?) {
        return Err(Failure::InsideRepository(options.out.display().to_string()));
    }
    // The bench looks for the file of wire names next to the site file.
    let site_table: Table = text.parse().unwrap_or_default();
    if let Some(wire_file) = site_table.get("wire").and_then(Value::as_str) {
        let from = site.with_file_name(wire_file);
        // Files of the kit are read-only, and `fs::copy` would make the copies read-only too.
        let wire_text = std::fs::read(&from).map_err(file(&from))?;
        std::fs::write(out.join(wire_file), wire_text).map_err(file(&from))?;
    }
    let path = out.join(format!("{new_name}.toml"));
    std::fs::write(&path, new_text).map_err(file(&path))?;
    println!("{}", path.display());
    Ok(())
}

#[cfg(test)]
mod tests;
