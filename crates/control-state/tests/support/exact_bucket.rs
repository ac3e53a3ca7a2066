//! An exact token bucket, to hold the ledger against.

use millford_api::config::Quota;

/// How many of the arrivals an exact bucket would serve at once.
pub fn served_by_exact_bucket(quota: &Quota, arrivals: &[u64]) -> u64 {
    let mut times = arrivals.to_vec();
    times.sort_unstable();
    let burst = u64::from(quota.burst) * 1_000_000;
    let mut level = burst;
    let mut last = times.first().copied().unwrap_or(0);
    let mut served = 0;
    for time in times {
        let earned = (time - last) * u64::from(quota.requests_per_second);
        level = (level + earned).min(burst);
        if level >= 1_000_000 {
            level -= 1_000_000;
            served += 1;
        }
        last = time;
    }
    served
}

/// Whether an exact bucket, full at the start, allows every spent token: the same as that no window
/// holds more than the burst and what the rate gives in it.
pub fn fits_bucket(quota: &Quota, spent: &[u64]) -> bool {
    let mut times = spent.to_vec();
    times.sort_unstable();
    let burst = u64::from(quota.burst) * 1_000_000;
    let mut level = burst;
    let mut last = times.first().copied().unwrap_or(0);
    for time in times {
        let earned = (time - last) * u64::from(quota.requests_per_second);
        level = (level + earned).min(burst);
        if level < 1_000_000 {
            return false;
        }
        level -= 1_000_000;
        last = time;
    }
    true
}
