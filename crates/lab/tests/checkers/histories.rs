//! Builds histories for the tests of the checks.

use millford_core::{ResultCode, RunState};
use millford_lab::answer_text::AnswerText;
use millford_lab::caller::{Ending, ReceivedChunk, RequestOutcome};
use millford_lab::checks::history::{
    AppliedRevision, ConfirmedReadSeen, DrainSeen, OrderResult, OrderSeen, RecoverySeen,
    TenantQuota,
};
use millford_lab::checks::{History, check_all};
use millford_lab::emulator::execution::{Execution, ExecutionEnd};

pub(crate) const SECOND: u64 = 1_000_000;
pub(crate) const CHUNKS: u64 = 4;

pub(crate) fn call(marker: &str, started_micros: u64) -> RequestOutcome {
    let answer = AnswerText::new(marker, "run");
    let chunk = |sequence| ReceivedChunk {
        sequence: Some(sequence),
        text: answer.chunk(sequence),
        at_micros: started_micros + 10 * (sequence + 1),
    };
    RequestOutcome {
        marker: marker.to_owned(),
        model: "saga-large".to_owned(),
        tenant: "library".to_owned(),
        repeatable: true,
        proxy: 0,
        requested_chunks: CHUNKS,
        streamed: true,
        started_micros,
        ended_micros: started_micros + 100,
        status: Some(200),
        revision: Some(2),
        chunks: (0..CHUNKS).map(chunk).collect(),
        ending: Ending::Success,
    }
}

pub(crate) fn execution(marker: &str, started_micros: u64) -> Execution {
    Execution {
        backend: "model-1".to_owned(),
        attempt: format!("{marker}/{started_micros}"),
        run: "run".to_owned(),
        marker: marker.to_owned(),
        model: "saga-large".to_owned(),
        resume_from: 0,
        started_micros,
        ended_micros: Some(started_micros + 90),
        end: Some(ExecutionEnd::Completed),
        saw_credential: false,
    }
}

pub(crate) fn order(
    id: &str,
    base_revision: u64,
    answered_micros: u64,
    result: OrderResult,
) -> OrderSeen {
    OrderSeen {
        order_id: id.to_owned(),
        base_revision,
        answered_micros,
        result,
    }
}

pub(crate) fn refuse(call: &mut RequestOutcome, code: ResultCode, run: RunState) {
    call.chunks.clear();
    let code = code.number();
    call.ending = Ending::Failure {
        code,
        run: Some(run),
        retry_after_ms: None,
    };
}

/// Returns a valid history: thirty served requests over three seconds, two configuration revisions, a drain and
/// a recovery from an outage.
pub(crate) fn clean() -> History {
    let mut history = History::default();
    for number in 0..30 {
        let (marker, at) = (format!("m{number}"), SECOND + number * SECOND / 10);
        history.calls.push(call(&marker, at));
        history.executions.push(execution(&marker, at + 1));
    }
    history.calls[3].repeatable = false;
    history.orders = vec![
        order("first", 0, 100, OrderResult::Accepted(1)),
        order("second", 1, 200, OrderResult::Accepted(2)),
        order("second", 1, 300, OrderResult::Accepted(2)),
        order(
            "other",
            1,
            400,
            OrderResult::Refused(ResultCode::RevisionConflict.number()),
        ),
    ];
    history.reads.push(ConfirmedReadSeen {
        requested_micros: 500,
        revision: 2,
    });
    history.applied_revisions.push(applied_revision(2, 600));
    history.drains.push(DrainSeen {
        backend: "model-2".to_owned(),
        ordered_micros: SECOND,
        readmitted_micros: None,
    });
    history.recoveries.push(RecoverySeen {
        what: "restart".to_owned(),
        healed_micros: SECOND,
        served_micros: Some(3 * SECOND),
    });
    let quota = TenantQuota {
        requests_per_second: 10,
        burst: 20,
    };
    history.quotas.insert("library".to_owned(), quota);
    history
}

pub(crate) fn applied_revision(revision: u64, at: u64) -> AppliedRevision {
    let node = "agent".to_owned();
    AppliedRevision {
        node,
        requested_micros: at,
        answered_micros: at + 10,
        revision,
    }
}

/// Asserts that exactly one guarantee is violated and that its text contains `guarantee`.
pub(crate) fn assert_detected(history: &History, guarantee: &str) {
    let report = check_all(history);
    let broken: Vec<_> = report
        .verdicts
        .iter()
        .filter(|verdict| !verdict.holds())
        .collect();
    assert_eq!(broken.len(), 1, "{}", report.table());
    assert!(
        broken[0].guarantee.contains(guarantee),
        "{}",
        report.table()
    );
}
