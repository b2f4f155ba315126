//! A site of the operators' kit with more machines, with controllers that are back
//! sooner, or with other leases: what their own days may have beyond the files that
//! they have handed over.
//!
//! The work grows with the machines: who submits, what is open at the start,
//! what teams may use, and how many machines a trouble takes. What is written
//! stays outside the repository, as the kit does.

use std::path::{Path, PathBuf};

use clap::Args;
use thiserror::Error;
use toml::{Table, Value};

/// A cancellation has to last at least so many seconds longer than a lease, so that
/// controllers start.
const LEAST_BEYOND_LEASE_S: f64 = 4.0;

/// How a site is widened.
#[derive(Debug, Args)]
pub struct Options {
    /// The site file.
    #[arg(value_name = "SITE")]
    site: PathBuf,
    /// How many times as many machines, with work to match.
    #[arg(
        long,
        value_name = "FACTOR",
        default_value_t = 1.5,
        allow_negative_numbers = true
    )]
    machines: f64,
    /// After so many seconds an ended controller is back; left out: as before.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    restart: Option<f64>,
    /// The lease of a worker; left out: as before.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    lease: Option<f64>,
    /// The time until the tasks of a cancelled job are gone; left out: as before.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    cancel: Option<f64>,
    /// The folder, outside the repository, that gets the site.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// Why there is no wider site.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("--{0} has to be a number above 0, not {1}")]
    Number(&'static str, f64),
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0} is no site file: {1}")]
    Site(String, String),
    #[error("--cancel ({cancel_s}) has to be at least {least} above --lease ({lease_s})", least = LEAST_BEYOND_LEASE_S)]
    Leases { lease_s: f64, cancel_s: f64 },
    #[error("{0} lies in the repository: the operators' files stay outside")]
    Inside(String),
}

/// A table's number times a factor; whole numbers stay whole.
fn grow(table: &mut Table, key: &str, factor: f64) {
    match table.get_mut(key) {
        Some(Value::Integer(n)) => *n = (*n as f64 * factor).ceil() as i64,
        Some(Value::Float(x)) => *x *= factor,
        _ => {}
    }
}

/// The tables of an array.
fn each<'a>(table: &'a mut Table, key: &str) -> impl Iterator<Item = &'a mut Table> {
    let list = table.get_mut(key).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut)
}

/// Teams and jobs, of the site or of a day.
fn grow_work(table: &mut Table, factor: f64) {
    for team in each(table, "teams") {
        grow(team, "cpus", factor);
        grow(team, "cpus_max", factor);
    }
    for job in each(table, "jobs") {
        grow(job, "initial", factor);
        let arrivals = job.get_mut("arrivals").and_then(Value::as_table_mut);
        if let Some(arrivals) = arrivals {
            grow(arrivals, "rate", factor);
        }
    }
}

/// What is changed of a site.
#[derive(Clone, Copy, Debug)]
pub struct Changes {
    /// How many times as many machines.
    pub factor: f64,
    /// After how many seconds an ended controller is back; none: as before.
    pub restart_s: Option<f64>,
    /// A worker's lease in seconds; none: as before.
    pub lease_s: Option<f64>,
    /// Seconds until the tasks of a cancelled job are gone; none: as before.
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

/// Sets the numbers of a site's workers that are given; they have to be there.
fn set_workers(site: &mut Table, changes: &Changes) -> Result<(), &'static str> {
    for (key, seconds) in [("lease_s", changes.lease_s), ("cancel_s", changes.cancel_s)] {
        let Some(seconds) = seconds else { continue };
        let workers = site.get_mut("workers").and_then(Value::as_table_mut);
        let number = workers.and_then(|w| w.get_mut(key));
        *number.ok_or("it has no [workers] with lease_s and cancel_s")? = Value::Float(seconds);
    }
    Ok(())
}

/// Whether a controller would start with the site's leases.
fn check_workers(site: &Table) -> Result<(), Failure> {
    let workers = site.get("workers").and_then(Value::as_table);
    let number = |key| workers?.get(key).and_then(Value::as_float);
    let (Some(lease_s), Some(cancel_s)) = (number("lease_s"), number("cancel_s")) else {
        return Ok(());
    };
    if cancel_s < lease_s + LEAST_BEYOND_LEASE_S {
        return Err(Failure::Leases { lease_s, cancel_s });
    }
    Ok(())
}

/// Widens a site; its text and its name. `name` is what errors call it.
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
            return Err(Failure::Number(what, number));
        }
    }
    let mut site: Table = text
        .parse()
        .map_err(|e: toml::de::Error| bad(e.message()))?;
    let old = site.get("name").and_then(Value::as_str);
    let new = format!("{}-wide", old.ok_or_else(|| bad("it has no name"))?);
    site.insert("name".into(), Value::String(new.clone()));
    let nodes = site.get_mut("nodes").and_then(Value::as_table_mut);
    let nodes = nodes.ok_or_else(|| bad("it has no [nodes]"))?;
    if let Some(restart) = restart {
        nodes.insert("restart_delay_s".into(), Value::Float(restart));
    }
    set_workers(&mut site, changes).map_err(bad)?;
    check_workers(&site)?;
    let mut offers = 0;
    for offer in each(&mut site, "capacity") {
        grow(offer, "count", factor);
        grow(offer, "spot", factor);
        offers += 1;
    }
    if offers == 0 {
        return Err(bad("it has no [[capacity]]"));
    }
    for machines in each(&mut site, "machines") {
        grow(machines, "count", factor);
    }
    grow_work(&mut site, factor);
    for day in each(&mut site, "day") {
        grow_work(day, factor);
        for fault in each(day, "faults") {
            let kind = fault.get("kind").and_then(Value::as_str);
            if kind.is_some_and(|k| k.starts_with("machine_")) {
                grow(fault, "count", factor);
            }
        }
    }
    let text = toml::to_string(&site).map_err(|e| bad(&e.to_string()))?;
    Ok((new, text))
}

/// Writes the wider site, with the file of wire names that it goes by.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    let site = root.join(&options.site);
    let file = |path: &Path| {
        let name = path.display().to_string();
        move |e| Failure::File(name, e)
    };
    let name = options.site.display().to_string();
    let text = std::fs::read_to_string(&site).map_err(file(&options.site))?;
    let (new, wide) = widen(&name, &text, &Changes::from(options))?;
    let out = root.join(&options.out);
    std::fs::create_dir_all(&out).map_err(file(&options.out))?;
    let within = |path: &Path| path.canonicalize().map_err(file(path));
    if within(&out)?.starts_with(within(root)?) {
        return Err(Failure::Inside(options.out.display().to_string()));
    }
    // The bench looks for it beside the site.
    let wire: Table = text.parse().unwrap_or_default();
    if let Some(wire) = wire.get("wire").and_then(Value::as_str) {
        let from = site.with_file_name(wire);
        // The kit's files can't be written to, and neither could their copies.
        let wire_text = std::fs::read(&from).map_err(file(&from))?;
        std::fs::write(out.join(wire), wire_text).map_err(file(&from))?;
    }
    let path = out.join(format!("{new}.toml"));
    std::fs::write(&path, wide).map_err(file(&path))?;
    println!("{}", path.display());
    Ok(())
}

#[cfg(test)]
mod tests;
