//! Report of the lost request value by reason, time, zone, tenant and backend.

use std::collections::BTreeMap;
use std::fmt;

use crate::decision_record::DecisionRecord;
use crate::verdict::Verdict;

/// Number of requests in a group and the value that they lost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loss {
    /// Number of requests, including those that lost nothing.
    pub requests: u64,
    /// Sum of the lost value, where the value of one request is 1.
    pub lost: f64,
}

impl Loss {
    fn add(&mut self, lost: f64) {
        self.requests += 1;
        self.lost += lost;
    }
}

/// Losses of a set of requests, grouped in several ways. Each grouping adds up to the total.
#[derive(Clone, Debug, Default)]
pub struct LossReport {
    /// All requests.
    pub total: Loss,
    /// By route and reason of the loss.
    pub by_reason: BTreeMap<(String, Verdict), Loss>,
    /// By second of arrival on the node's monotonic clock.
    pub by_second: BTreeMap<u64, Loss>,
    /// By zone of the node.
    pub by_zone: BTreeMap<String, Loss>,
    /// By tenant; empty for requests without one.
    pub by_tenant: BTreeMap<String, Loss>,
    /// By backend of the last attempt; empty for requests without an attempt.
    pub by_backend: BTreeMap<String, Loss>,
}

impl LossReport {
    /// Builds the report of these records. A late response keeps `late_share` of its value, from 0 to 1.
    #[must_use]
    pub fn of(records: &[DecisionRecord], late_share: f64) -> Self {
        let mut report = Self::default();
        for record in records {
            let verdict = Verdict::of(record);
            report.add(record, verdict, verdict.lost_share(late_share));
        }
        report
    }

    /// Returns a group's share of the total loss, or 0 if nothing was lost.
    #[must_use]
    pub fn share(&self, loss: &Loss) -> f64 {
        if self.total.lost > 0.0 {
            loss.lost / self.total.lost
        } else {
            0.0
        }
    }

    fn add(&mut self, record: &DecisionRecord, verdict: Verdict, lost: f64) {
        self.total.add(lost);
        let reason = (record.route.clone(), verdict);
        self.by_reason.entry(reason).or_default().add(lost);
        let second = record.at_ms / 1000;
        self.by_second.entry(second).or_default().add(lost);
        let zone = record.zone.clone();
        self.by_zone.entry(zone).or_default().add(lost);
        let tenant = record.tenant.clone();
        self.by_tenant.entry(tenant).or_default().add(lost);
        let backend = record.attempts.last();
        let backend = backend.map(|attempt| attempt.backend.clone());
        let backend = backend.unwrap_or_default();
        self.by_backend.entry(backend).or_default().add(lost);
    }
}

/// Largest number of rows that are printed per grouping; one more row sums up the rest.
const MAX_ROWS: usize = 16;

impl fmt::Display for LossReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Loss { requests, lost } = self.total;
        let share = lost / (requests.max(1) as f64);
        writeln!(
            formatter,
            "{requests} requests, {share:.3} of their value lost"
        )?;
        let reasons = self.by_reason.iter();
        let reasons =
            reasons.map(|((route, verdict), loss)| (format!("{route}: {verdict}"), *loss));
        self.table(formatter, "reason", reasons)?;
        let named = |group: &BTreeMap<String, Loss>| {
            let rows = group.iter().map(|(name, loss)| (name.clone(), *loss));
            rows.collect::<Vec<_>>()
        };
        self.table(formatter, "zone", named(&self.by_zone).into_iter())?;
        self.table(formatter, "tenant", named(&self.by_tenant).into_iter())?;
        self.table(formatter, "backend", named(&self.by_backend).into_iter())?;
        let seconds = self.by_second.iter();
        let seconds = seconds.map(|(second, loss)| (format!("{second} s"), *loss));
        self.table(formatter, "second", seconds)
    }
}

impl LossReport {
    fn table(
        &self,
        formatter: &mut fmt::Formatter<'_>,
        title: &str,
        rows: impl Iterator<Item = (String, Loss)>,
    ) -> fmt::Result {
        let mut rows: Vec<(String, Loss)> = rows.collect();
        rows.sort_by(|(_, left), (_, right)| right.lost.total_cmp(&left.lost));
        writeln!(formatter, "\n{title:<44} requests     lost  share")?;
        let rest = rows.split_off(rows.len().min(MAX_ROWS));
        for (name, loss) in &rows {
            self.row(formatter, name, loss)?;
        }
        if !rest.is_empty() {
            let sum = rest.iter().fold(Loss::default(), |sum, (_, loss)| Loss {
                requests: sum.requests + loss.requests,
                lost: sum.lost + loss.lost,
            });
            self.row(formatter, &format!("{} others", rest.len()), &sum)?;
        }
        Ok(())
    }

    fn row(&self, formatter: &mut fmt::Formatter<'_>, name: &str, loss: &Loss) -> fmt::Result {
        let share = self.share(loss);
        let Loss { requests, lost } = loss;
        writeln!(
            formatter,
            "{name:<44} {requests:>8} {lost:>8.1}  {share:>5.3}"
        )
    }
}
