//! Runs of many seeds in parallel, on all processors.

use std::{
    ops::Range,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

/// Calls `run` for each seed, with one thread per processor; a panic in any call is
/// propagated.
pub fn run_seeds_in_parallel(seeds: Range<u64>, run: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(seeds.start);
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    run(seed);
                }
            });
        }
    });
}
