//! Traces a sampled request and logs its decision record when the request ends.

use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_decisions::{
    AttemptOutcome, AttemptRecord, DecisionRecord, Ending, LOG_MARK, Verdict,
};
use millford_settings::PartLog;
use prometheus::IntCounterVec;
use rand::Rng;

use crate::node::ForwardNode;
use crate::request::choose::Target;
use crate::request::plan::Plan;

const LOG: PartLog = PartLog::new("FORWARD");

/// The sampling rate, in requests per thousand, at which every request is sampled.
const EVERY_REQUEST: u32 = 1000;

#[derive(Debug)]
struct SampledRequest {
    /// Counter of requests by route and verdict.
    verdicts: IntCounterVec,
    arrived: MonotonicTime,
    /// When body bytes were last forwarded to the caller.
    last_bytes: Option<MonotonicTime>,
    record: DecisionRecord,
}

/// The trace of one request; empty if the request is not sampled. Dropping an unfinished trace records that the
/// caller disconnected.
#[derive(Debug, Default)]
pub struct Trace(Option<Box<SampledRequest>>);

impl Trace {
    /// Begins the trace of a request, or returns an empty one if the request is not sampled.
    #[must_use]
    pub fn begin<P>(node: &ForwardNode<P>, plan: &Plan) -> Self {
        let per_mille = node.decision_log_per_mille;
        if per_mille == 0 || rand::rng().random_range(0..EVERY_REQUEST) >= per_mille {
            return Self(None);
        }
        let tenant = plan.tenant.as_ref().map(|tenant| tenant.name.clone());
        let record = DecisionRecord {
            at_ms: plan.arrived.as_millis(),
            node: node.name.clone(),
            zone: node.zone.clone(),
            route: plan.route.name.clone(),
            tenant: tenant.unwrap_or_default(),
            prompt_tokens: plan.prompt_tokens(),
            output_tokens: plan.facts.output_tokens.unwrap_or_default(),
            target_ms: plan.route.target_ms,
            gap_target_ms: plan.route.gap_target_ms,
            attempts: Vec::new(),
            first_bytes_ms: None,
            longest_gap_ms: 0,
            resumed: false,
            ended_ms: 0,
            ending: Ending::CallerLeft,
        };
        Self(Some(Box::new(SampledRequest {
            verdicts: node.state.metrics.verdicts.clone(),
            arrived: plan.arrived,
            last_bytes: None,
            record,
        })))
    }

    /// Records that `target` was chosen for the next attempt.
    pub fn record_choice(&mut self, target: &Target) {
        let Some(sampled) = &mut self.0 else {
            return;
        };
        let chosen_ms = millis_since(sampled.arrived);
        let estimates = &target.estimates;
        sampled.record.resumed |= sampled.record.first_bytes_ms.is_some();
        sampled.record.attempts.push(AttemptRecord {
            backend: target.key.backend_id.clone(),
            same_zone: estimates.same_zone,
            chosen_ms,
            candidates: estimates.candidates,
            believed_work_ms: estimates.work_ms,
            believed_cost_ms: estimates.cost_ms,
            uncached_tokens: target.uncached_tokens,
            queued_tokens: estimates.queued_tokens,
            streams: estimates.streams,
            outcome: AttemptOutcome::Open,
        });
    }

    /// Records the outcome of the last attempt.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) {
        let attempts = self.0.iter_mut();
        let last = attempts.filter_map(|sampled| sampled.record.attempts.last_mut());
        last.for_each(|attempt| attempt.outcome = outcome);
    }

    /// Records that body bytes are forwarded to the caller now.
    pub fn record_bytes(&mut self) {
        let Some(sampled) = &mut self.0 else {
            return;
        };
        let now = monotonic_now();
        let since_arrival = millis(now, sampled.arrived);
        let record = &mut sampled.record;
        record.first_bytes_ms.get_or_insert(since_arrival);
        if let Some(last) = sampled.last_bytes.replace(now) {
            record.longest_gap_ms = record.longest_gap_ms.max(millis(now, last));
        }
    }

    /// Completes the decision record with `ending`, counts its verdict and logs it. Only the first call has an
    /// effect.
    pub fn finish(&mut self, ending: Ending) {
        let Some(sampled) = self.0.take() else {
            return;
        };
        let mut record = sampled.record;
        record.ended_ms = millis_since(sampled.arrived);
        record.ending = ending;
        let verdict = Verdict::of(&record).to_string();
        let labels = [record.route.as_str(), verdict.as_str()];
        sampled.verdicts.with_label_values(&labels).inc();
        if let Ok(text) = serde_json::to_string(&record) {
            LOG.info(format_args!("{LOG_MARK}{text}"));
        }
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish(Ending::CallerLeft);
    }
}

fn millis_since(earlier: MonotonicTime) -> u32 {
    millis(monotonic_now(), earlier)
}

fn millis(now: MonotonicTime, earlier: MonotonicTime) -> u32 {
    u32::try_from(now.since(earlier).as_millis()).unwrap_or(u32::MAX)
}
