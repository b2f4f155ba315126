//! Logging to standard error at the level given by `LOG_LEVEL`.

use std::io::Write;

use log::LevelFilter;

/// Initializes logging. An unknown level falls back to `info` with a warning.
pub fn init() {
    let name = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = match name.to_ascii_lowercase().as_str() {
        "error" => Some(LevelFilter::Error),
        "warn" => Some(LevelFilter::Warn),
        "" | "info" => Some(LevelFilter::Info),
        "debug" => Some(LevelFilter::Debug),
        _ => None,
    };
    env_logger::Builder::new()
        .filter_level(LevelFilter::Off)
        .filter_module("oliveshift", level.unwrap_or(LevelFilter::Info))
        .format(|out, record| writeln!(out, "{} {}", record.level(), record.args()))
        .init();
    if level.is_none() {
        log::warn!("LOG_LEVEL `{name}` is unknown; using `info`");
    }
}
