//! Callers: their request rate, their models, and how much their prompts share.

use millford_backend_model::chain_blocks;
use millford_core::{Duration, MonotonicTime};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Tokens of one block of a prompt.
pub const BLOCK_TOKENS: u32 = 64;
/// Most turns of a session.
const MOST_TURNS: u32 = 8;
/// Sessions that may go on, per model load.
const MOST_SESSIONS: usize = 2000;

/// Requests for one model.
#[derive(Clone, Debug)]
pub struct ModelLoad {
    /// Name of the model.
    pub model: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Median prompt length of a first turn, in tokens.
    pub prompt_median: f64,
    /// Spread of prompt and answer lengths: standard deviation of their logarithm.
    pub spread: f64,
    /// Median answer length, in tokens.
    pub output_median: f64,
    /// Number of shared prefixes, the most used first.
    pub prefixes: usize,
    /// Skew of their use: exponent of a Zipf distribution.
    pub skew: f64,
    /// Tokens of a shared prefix, part of the prompt.
    pub prefix_tokens: u32,
    /// Share of requests that continue an earlier session.
    pub session_share: f64,
}

/// A change of all rates.
#[derive(Clone, Copy, Debug)]
pub struct RateChange {
    /// From when.
    pub at: MonotonicTime,
    /// Factor on the base rates.
    pub factor: f64,
}

/// All the requests of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    /// Requests by model.
    pub loads: Vec<ModelLoad>,
    /// Changes of the rates, in order of time.
    pub changes: Vec<RateChange>,
}

impl Workload {
    /// The same requests at another rate.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let mut scaled = self.clone();
        for load in &mut scaled.loads {
            load.rate *= factor;
        }
        scaled
    }

    /// Factor on the rates at a time.
    #[must_use]
    pub fn factor_at(&self, at: MonotonicTime) -> f64 {
        let passed = self.changes.iter().take_while(|change| change.at <= at);
        passed.last().map_or(1.0, |change| change.factor)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u32,
    /// Chain hashes of its full blocks.
    pub blocks: Vec<u64>,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// What keeps related requests together: the session, or else the shared prefix.
    pub affinity: u64,
}

/// Sessions of one model load and their prompts so far.
#[derive(Clone, Debug, Default)]
pub struct SessionTable {
    sessions: Vec<Session>,
}

#[derive(Clone, Debug)]
struct Session {
    id: u64,
    names: Vec<u64>,
    turns: u32,
}

/// Time until the next arrival of a load.
pub fn next_arrival(rate: f64, random: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate.max(1e-9))
}

/// Draws the next prompt of a load.
pub fn draw_prompt(load: &ModelLoad, table: &mut SessionTable, random: &mut ChaCha8Rng) -> Prompt {
    let fresh_tokens = log_normal(load.prompt_median, load.spread, random);
    let output = log_normal(load.output_median, load.spread, random);
    let fresh_blocks = (fresh_tokens / f64::from(BLOCK_TOKENS)).ceil() as u32;
    let goes_on = !table.sessions.is_empty() && random.random_bool(load.session_share);
    let mut session = if goes_on {
        let index = random.random_range(0..table.sessions.len());
        table.sessions.swap_remove(index)
    } else {
        first_turn(load, random)
    };
    let added = if goes_on {
        fresh_blocks.div_ceil(4)
    } else {
        fresh_blocks.saturating_sub(load.prefix_tokens / BLOCK_TOKENS)
    };
    session
        .names
        .extend((0..added.max(1)).map(|_| random.random::<u64>()));
    session.turns += 1;
    let has_sessions = load.session_share > 0.0;
    let affinity = if has_sessions {
        session.id
    } else {
        session.names[0]
    };
    let prompt = Prompt {
        tokens: session.names.len() as u32 * BLOCK_TOKENS,
        blocks: chain_blocks(&session.names),
        output_tokens: output.ceil().max(1.0) as u32,
        affinity,
    };
    if has_sessions && session.turns < MOST_TURNS && table.sessions.len() < MOST_SESSIONS {
        table.sessions.push(session);
    }
    prompt
}

fn first_turn(load: &ModelLoad, random: &mut ChaCha8Rng) -> Session {
    let prefix = zipf(load.prefixes, load.skew, random) as u64;
    let blocks = u64::from(load.prefix_tokens / BLOCK_TOKENS).max(1);
    Session {
        id: random.random(),
        names: (0..blocks).map(|block| prefix << 16 | block).collect(),
        turns: 0,
    }
}

fn log_normal(median: f64, spread: f64, random: &mut ChaCha8Rng) -> f64 {
    // Box-Muller; bounded at three deviations, so that no single request dominates a run.
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
