//! A site of the operators' kit with more machines, and with controllers that
//! are back sooner: what their own days may have beyond the files that they
//! have handed over.
//!
//! The work grows with the machines: who submits, what is open at the start,
//! what teams may use, and how many machines a trouble takes. What is written
//! stays outside the repository, as the kit does.

use std::path::{Path, PathBuf};

use clap::Args;
use thiserror::Error;
use toml::{Table, Value};

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

/// Widens a site; its text and its name. `name` is what errors call it.
pub fn widen(
    name: &str,
    text: &str,
    factor: f64,
    restart: Option<f64>,
) -> Result<(String, String), Failure> {
    let bad = |why: &str| Failure::Site(name.to_owned(), why.to_owned());
    for (what, number) in [("machines", Some(factor)), ("restart", restart)] {
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
    let (new, wide) = widen(&name, &text, options.machines, options.restart)?;
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
mod tests {
    use super::*;

    const SITE: &str = r#"
        name = "x"
        wire = "wire.json"
        [nodes]
        count = 3
        restart_delay_s = 5.0
        [[capacity]]
        type = "small"
        count = 5
        spot = 4
        [[machines]]
        type = "small"
        count = 3
        [[teams]]
        name = "t"
        cpus = 10.0
        cpus_max = 0.0
        [[jobs]]
        name = "a"
        initial = 2
        arrivals = { rate = 0.5, swing = 0.3 }
        tasks = { median = 12.0 }
        [[day]]
        name = "d"
        jobs = [{ name = "b", arrivals = { rate = 2.0, start_s = 3.0 } }]
        faults = [{ kind = "machine_die", count = 8 }, { kind = "node_crash", count = 3 }]
    "#;

    #[test]
    fn work_and_troubles_grow_with_the_machines() {
        let (name, text) = widen("x.toml", SITE, 1.5, Some(0.2)).expect("a site");
        assert_eq!(name, "x-wide");
        let site: Value = toml::from_str(&text).expect("it can be read");
        let number = |value: &Value| match value {
            Value::Integer(n) => *n as f64,
            value => value.as_float().unwrap_or(f64::NAN),
        };
        assert_eq!(number(&site["nodes"]["restart_delay_s"]), 0.2);
        assert_eq!(number(&site["nodes"]["count"]), 3.0);
        let offer = &site["capacity"][0];
        assert_eq!(
            (number(&offer["count"]), number(&offer["spot"])),
            (8.0, 6.0)
        );
        assert_eq!(number(&site["machines"][0]["count"]), 5.0);
        assert_eq!(number(&site["teams"][0]["cpus"]), 15.0);
        assert_eq!(number(&site["teams"][0]["cpus_max"]), 0.0);
        let job = &site["jobs"][0];
        assert_eq!(number(&job["initial"]), 3.0);
        assert_eq!(number(&job["arrivals"]["rate"]), 0.75);
        assert_eq!(number(&job["tasks"]["median"]), 12.0);
        let day = &site["day"][0];
        assert_eq!(number(&day["jobs"][0]["arrivals"]["rate"]), 3.0);
        assert_eq!(number(&day["jobs"][0]["arrivals"]["start_s"]), 3.0);
        assert_eq!(number(&day["faults"][0]["count"]), 12.0);
        assert_eq!(number(&day["faults"][1]["count"]), 3.0);
    }

    #[test]
    fn bad_input_is_named() {
        for factor in [0.0, -1.0, f64::NAN] {
            let error = widen("x.toml", SITE, factor, None).expect_err("no factor");
            assert!(error.to_string().contains("--machines"), "{error}");
        }
        let error = widen("x.toml", SITE, 1.5, Some(0.0)).expect_err("no time");
        assert!(error.to_string().contains("--restart"), "{error}");
        for text in ["name = 3", "name = \"x\"", "{", "name = \"x\"\n[nodes]\n"] {
            let error = widen("x.toml", text, 1.5, None).expect_err("no site");
            let line = error.to_string();
            assert!(line.contains("x.toml") && !line.contains('\n'), "{line}");
        }
    }
}
