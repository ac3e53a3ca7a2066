//! Simulated workload: request rates, models, prompt lengths and shared prefixes.

use millford_backend_model::chain_blocks;
use millford_core::{Duration, MonotonicTime};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Number of tokens in a block of a prompt.
pub const BLOCK_TOKENS: u32 = 64;
/// Largest number of turns of a session.
const MAX_TURNS: u32 = 8;
/// Largest number of sessions of a model load that are kept for further turns.
const MAX_SESSIONS: usize = 2000;

/// Load of requests for one model.
#[derive(Clone, Debug)]
pub struct ModelLoad {
    /// Name of the model.
    pub model: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Median prompt length of a first turn, in tokens.
    pub prompt_median: f64,
    /// Standard deviation of the logarithm of prompt and answer lengths.
    pub spread: f64,
    /// Median answer length, in tokens.
    pub output_median: f64,
    /// Number of distinct shared prefixes.
    pub prefixes: usize,
    /// Exponent of the Zipf distribution by which prefixes are drawn; 0 uses them evenly.
    pub skew: f64,
    /// Length of a shared prefix in tokens, which is part of the prompt.
    pub prefix_tokens: u32,
    /// Share of requests that continue an earlier session, if there is one; 0 disables sessions.
    pub session_share: f64,
}

/// A change of all request rates.
#[derive(Clone, Copy, Debug)]
pub struct RateChange {
    /// Time from which the factor applies.
    pub at: MonotonicTime,
    /// Factor on the base rates, which replaces any earlier one.
    pub factor: f64,
}

/// All requests to a fleet.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    /// Load of each model.
    pub loads: Vec<ModelLoad>,
    /// Changes of the request rates, in order of time.
    pub changes: Vec<RateChange>,
}

impl Workload {
    /// Returns the same workload with all rates multiplied by a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let mut scaled = self.clone();
        for load in &mut scaled.loads {
            load.rate *= factor;
        }
        scaled
    }

    /// Returns the factor on the rates at a time; 1 before the first change.
    #[must_use]
    pub fn factor_at(&self, at: MonotonicTime) -> f64 {
        let passed = self.changes.iter().take_while(|change| change.at <= at);
        passed.last().map_or(1.0, |change| change.factor)
    }
}

/// Prompt of an arriving request.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Chain hashes of the prompt's full blocks.
    pub blocks: Vec<u64>,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Affinity key: the session's id, or the shared prefix in a load without sessions.
    pub affinity: u64,
}

/// Sessions of one model load that can be continued.
#[derive(Clone, Debug, Default)]
pub struct SessionTable {
    sessions: Vec<Session>,
}

#[derive(Clone, Debug)]
struct Session {
    id: u64,
    block_ids: Vec<u64>,
    turns: u32,
}

/// Draws the time until the next arrival of a load with this rate, in requests per second.
pub fn next_arrival(rate: f64, random: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate.max(1e-9))
}

/// Draws the next prompt of a load, which starts or continues a session.
pub fn draw_prompt(load: &ModelLoad, table: &mut SessionTable, random: &mut ChaCha8Rng) -> Prompt {
    let fresh_tokens = log_normal(load.prompt_median, load.spread, random);
    let output = log_normal(load.output_median, load.spread, random);
    let fresh_blocks = (fresh_tokens / f64::from(BLOCK_TOKENS)).ceil() as u32;
    let continues_session = !table.sessions.is_empty() && random.random_bool(load.session_share);
    let mut session = if continues_session {
        let index = random.random_range(0..table.sessions.len());
        table.sessions.swap_remove(index)
    } else {
        first_turn(load, random)
    };
    let added = if continues_session {
        fresh_blocks.div_ceil(4)
    } else {
        fresh_blocks.saturating_sub(load.prefix_tokens / BLOCK_TOKENS)
    };
    session
        .block_ids
        .extend((0..added.max(1)).map(|_| random.random::<u64>()));
    session.turns += 1;
    let has_sessions = load.session_share > 0.0;
    let affinity = if has_sessions {
        session.id
    } else {
        session.block_ids[0]
    };
    let prompt = Prompt {
        tokens: session.block_ids.len() as u32 * BLOCK_TOKENS,
        blocks: chain_blocks(&session.block_ids),
        output_tokens: output.ceil().max(1.0) as u32,
        affinity,
    };
    if has_sessions && session.turns < MAX_TURNS && table.sessions.len() < MAX_SESSIONS {
        table.sessions.push(session);
    }
    prompt
}

fn first_turn(load: &ModelLoad, random: &mut ChaCha8Rng) -> Session {
    let prefix = zipf(load.prefixes, load.skew, random) as u64;
    let blocks = u64::from(load.prefix_tokens / BLOCK_TOKENS).max(1);
    Session {
        id: random.random(),
        block_ids: (0..blocks).map(|block| prefix << 16 | block).collect(),
        turns: 0,
    }
}

fn log_normal(median: f64, spread: f64, random: &mut ChaCha8Rng) -> f64 {
    // Box-Muller transform, limited to three standard deviations so that no single request dominates a run.
    let first: f64 = random.random_range(f64::EPSILON..1.0);
    let second: f64 = random.random_range(0.0..1.0);
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    median * (spread * normal.clamp(-3.0, 3.0)).exp()
}

fn zipf(count: usize, skew: f64, random: &mut ChaCha8Rng) -> usize {
    let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(skew);
    let total: f64 = (0..count).map(weight).sum();
    let mut left = random.random_range(0.0..1.0) * total;
    for rank in 0..count {
        left -= weight(rank);
        if left <= 0.0 {
            return rank;
        }
    }
    count.saturating_sub(1)
}
