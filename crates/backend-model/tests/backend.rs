//! Tests of the emulated backend: monotonic latencies, token counts, prefix cache.

use millford_backend_model::{
    BackendEventKind, BackendOptions, EmulatedBackend, LatencyCurve, ModelProfile, RunRefused,
    RunRequest, chain_blocks, text_blocks,
};
use millford_core::MonotonicTime;
use quickcheck::quickcheck;

fn backend() -> EmulatedBackend {
    let mut backend = EmulatedBackend::new(BackendOptions::default(), MonotonicTime::ZERO);
    backend.load_model("heavy", ModelProfile::heavy());
    backend.load_model("light", ModelProfile::light());
    backend
}

fn request(run: u64, model: &str, prompt_tokens: u32, output_tokens: u32) -> RunRequest {
    let names: Vec<u64> = (0..u64::from(prompt_tokens / 64))
        .map(|block| run << 32 | block)
        .collect();
    RunRequest {
        run,
        model: model.to_owned(),
        prompt_tokens,
        prompt_blocks: chain_blocks(&names),
        output_tokens,
    }
}

/// Advances until no run is open. Returns when `run` had its first token and when it ended, in microseconds.
fn finish_times(backend: &mut EmulatedBackend, run: u64) -> (u64, u64) {
    let mut times = (0, 0);
    while let Some(next) = backend.next_change() {
        for event in backend.advance(next) {
            match event.kind {
                BackendEventKind::FirstToken if event.run == run => times.0 = event.at.as_micros(),
                BackendEventKind::Finished if event.run == run => times.1 = event.at.as_micros(),
                _ => {}
            }
        }
    }
    times
}

fn first_token_with(others: u64, prompt_tokens: u32) -> u64 {
    let mut backend = backend();
    for other in 0..others {
        backend
            .start(&request(100 + other, "heavy", 600, 50))
            .unwrap();
    }
    backend
        .start(&request(1, "heavy", prompt_tokens, 20))
        .unwrap();
    finish_times(&mut backend, 1).0
}

#[test]
fn a_lone_prefill_is_spread_over_all_cores() {
    let profile = ModelProfile::heavy();
    let expected = 1000.0 * profile.prefill_core_micros_per_token / 16.0;
    let stall =
        LatencyCurve::default().steady_state_slowdown(16.0 * profile.prefill_gbps_per_core / 200.0);
    let measured = first_token_with(0, 1000) as f64;
    assert!(
        (measured - expected * stall).abs() < 10.0,
        "measured {measured} us, expected {expected} us before the stall factor"
    );
}

quickcheck! {
    fn a_longer_prompt_never_answers_sooner(tokens: u16, more: u16) -> bool {
        let tokens = u32::from(tokens) + 1;
        first_token_with(2, tokens) <= first_token_with(2, tokens + u32::from(more))
    }

    fn more_concurrent_runs_never_answer_sooner(others: u8, more: u8) -> bool {
        let others = u64::from(others % 24);
        let more = u64::from(more % 24);
        first_token_with(others, 500) <= first_token_with(others + more, 500)
    }

    fn latency_never_falls_with_bandwidth_use(low: u16, more: u16) -> bool {
        let curve = LatencyCurve::default();
        let low = f64::from(low) / 10_000.0;
        curve.slowdown(low) <= curve.slowdown(low + f64::from(more) / 10_000.0)
    }

    fn steady_state_latency_never_falls_and_never_serves_more_than_the_bandwidth(low: u16, more: u16) -> bool {
        let curve = LatencyCurve::default();
        let low = f64::from(low) / 10_000.0;
        let high = low + f64::from(more) / 10_000.0;
        let used = high / curve.steady_state_slowdown(high);
        curve.steady_state_slowdown(low) <= curve.steady_state_slowdown(high) + 1e-9 && used <= 1.0
    }

    fn every_run_ends_with_all_its_tokens(outputs: Vec<u8>) -> bool {
        let mut backend = backend();
        let outputs: Vec<u32> = outputs.iter().take(30).map(|output| u32::from(*output) + 1).collect();
        for (run, output) in outputs.iter().enumerate() {
            backend.start(&request(run as u64, "light", 100, *output)).unwrap();
        }
        let mut seen = vec![0; outputs.len()];
        let mut finished = 0;
        while let Some(next) = backend.next_token() {
            for event in backend.advance(next) {
                match event.kind {
                    BackendEventKind::FirstToken => seen[event.run as usize] = 1,
                    BackendEventKind::Tokens(count) => {
                        if count <= seen[event.run as usize] {
                            return false;
                        }
                        seen[event.run as usize] = count;
                    }
                    BackendEventKind::Finished => finished += 1,
                }
            }
        }
        finished == outputs.len() && seen == outputs
    }
}

#[test]
fn decode_slows_steeply_past_the_knee() {
    let curve = LatencyCurve::default();
    assert!(curve.slowdown(0.65) < 1.1);
    assert!(curve.slowdown(0.95) > 5.0);
}

#[test]
fn a_second_prompt_with_the_same_prefix_is_cached() {
    let mut backend = backend();
    let first = backend.start(&request(1, "heavy", 640, 1)).unwrap();
    assert_eq!(first.cached_tokens, 0);
    finish_times(&mut backend, 1);
    let mut second = request(1, "heavy", 700, 1);
    second.run = 2;
    let started = backend.start(&second).unwrap();
    assert_eq!((started.cached_tokens, started.uncached_tokens), (640, 60));
    let mut other_model = request(1, "light", 640, 1);
    other_model.run = 3;
    assert_eq!(backend.start(&other_model).unwrap().cached_tokens, 0);
}

#[test]
fn the_cache_evicts_the_least_recently_used() {
    let options = BackendOptions {
        cache_blocks: 4,
        ..BackendOptions::default()
    };
    let mut backend = EmulatedBackend::new(options, MonotonicTime::ZERO);
    backend.load_model("light", ModelProfile::light());
    for run in 1..=2 {
        backend.start(&request(run, "light", 192, 1)).unwrap();
        finish_times(&mut backend, run);
    }
    assert_eq!(backend.cached_tokens(&request(2, "light", 192, 1)), 192);
    assert_eq!(backend.cached_tokens(&request(1, "light", 192, 1)), 64);
}

#[test]
fn a_full_backend_refuses_before_any_work() {
    let options = BackendOptions {
        max_runs: 1,
        ..BackendOptions::default()
    };
    let mut backend = EmulatedBackend::new(options, MonotonicTime::ZERO);
    backend.load_model("light", ModelProfile::light());
    backend.start(&request(1, "light", 10, 5)).unwrap();
    assert_eq!(
        backend.start(&request(2, "light", 10, 5)),
        Err(RunRefused::Full)
    );
    assert_eq!(
        backend.start(&request(3, "heavy", 10, 5)),
        Err(RunRefused::ModelUnknown)
    );
    assert!(backend.cancel(1));
    assert!(backend.start(&request(2, "light", 10, 5)).is_ok());
}

#[test]
fn blocks_of_texts_share_only_their_common_start() {
    let common = text_blocks("aaaabbbbcccc", 4);
    let other = text_blocks("aaaabbbbddddeeee", 4);
    assert_eq!(common[..2], other[..2]);
    assert_ne!(common[2], other[2]);
}
