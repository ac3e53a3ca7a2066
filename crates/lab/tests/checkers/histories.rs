//! Histories of a run that the checkers judge.

use millford_core::{ResultCode, RunState};
use millford_lab::answer_text::AnswerText;
use millford_lab::caller::{CallOutcome, Ending, PieceSeen};
use millford_lab::checks::history::{
    ConfirmedReadSeen, DrainSeen, OrderResult, OrderSeen, RecoverySeen, RevisionShown, TenantQuota,
};
use millford_lab::checks::{History, check_all};
use millford_lab::emulator::execution::{Execution, ExecutionEnd};

pub const SECOND: u64 = 1_000_000;
pub const PIECES: u64 = 4;

pub fn call(marker: &str, started_micros: u64) -> CallOutcome {
    let answer = AnswerText::new(marker, "run");
    let piece = |sequence| PieceSeen {
        sequence: Some(sequence),
        text: answer.piece(sequence),
        at_micros: started_micros + 10 * (sequence + 1),
    };
    CallOutcome {
        marker: marker.to_owned(),
        model: "saga-large".to_owned(),
        tenant: "library".to_owned(),
        repeatable: true,
        proxy: 0,
        pieces_wanted: PIECES,
        streamed: true,
        started_micros,
        ended_micros: started_micros + 100,
        status: Some(200),
        revision: Some(2),
        pieces: (0..PIECES).map(piece).collect(),
        ending: Ending::Success,
    }
}

pub fn execution(marker: &str, started_micros: u64) -> Execution {
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

pub fn order(id: &str, base_revision: u64, answered_micros: u64, result: OrderResult) -> OrderSeen {
    OrderSeen {
        order_id: id.to_owned(),
        base_revision,
        answered_micros,
        result,
    }
}

pub fn refuse(call: &mut CallOutcome, code: ResultCode, run: RunState) {
    call.pieces.clear();
    let code = code.number();
    call.ending = Ending::Failure {
        code,
        run: Some(run),
        retry_after_ms: None,
    };
}

/// Thirty served requests over three seconds, a configuration, a drain, an outage.
pub fn clean() -> History {
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
        asked_micros: 500,
        revision: 2,
    });
    history.shown.push(shown(2, 600));
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

pub fn shown(revision: u64, at: u64) -> RevisionShown {
    let node = "agent".to_owned();
    RevisionShown {
        node,
        asked_micros: at,
        answered_micros: at + 10,
        revision,
    }
}

/// Asserts that exactly the named promise is seen as broken.
pub fn assert_caught(history: &History, promise: &str) {
    let report = check_all(history);
    let broken: Vec<_> = report
        .verdicts
        .iter()
        .filter(|verdict| !verdict.held())
        .collect();
    assert_eq!(broken.len(), 1, "{}", report.table());
    assert!(broken[0].promise.contains(promise), "{}", report.table());
}
