//! Reports of strays that are held for a limited time, until their block is leased anew.

use std::time::Duration;

use oliveshift_wire::worker::Report;

use crate::call::ConnId;

/// A report that is held.
#[derive(Debug)]
struct HeldReport {
    conn: ConnId,
    report: Report,
    deadline: Duration,
}

/// All held reports.
#[derive(Debug, Default)]
pub(super) struct HeldReports(Vec<HeldReport>);

impl HeldReports {
    /// Holds a report until a deadline at most.
    pub fn hold(&mut self, conn: ConnId, report: Report, deadline: Duration) {
        self.0.push(HeldReport {
            conn,
            report,
            deadline,
        });
    }

    /// Removes and returns the reports whose deadline has passed or whose machine `is_moved`.
    pub fn take_due(
        &mut self,
        now: Duration,
        is_moved: impl Fn(&str) -> bool,
    ) -> Vec<(ConnId, Report)> {
        let is_due = |held: &mut HeldReport| now >= held.deadline || is_moved(&held.report.machine);
        let due = self.0.extract_if(.., is_due);
        due.map(|held| (held.conn, held.report)).collect()
    }
}
