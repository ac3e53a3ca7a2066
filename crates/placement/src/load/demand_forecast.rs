//! Forecast of a model's demand from its recent course.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

/// Length of one observation.
const BUCKET: Duration = Duration::from_secs(10);
/// Weight of a new observation in the level.
const LEVEL_SHARE: f64 = 0.4;
/// Weight of a new observation in the trend.
const TREND_SHARE: f64 = 0.2;
/// Part of the trend that holds on from one observation to the next.
const TREND_KEPT: f64 = 0.98;
/// Forecasts are at most this many times the present level.
const MOST_GROWTH: f64 = 2.0;

/// Damped linear trend (Holt's method) of each model's demand, in whole backends.
#[derive(Clone, Debug)]
pub struct DemandForecast {
    horizon: Duration,
    models: BTreeMap<String, Course>,
}

#[derive(Clone, Copy, Debug)]
struct Course {
    level: f64,
    trend: f64,
    next: MonotonicTime,
}

impl DemandForecast {
    /// Looks ahead by `horizon`, at most two hours; nothing is forecast at zero.
    #[must_use]
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon: horizon.min(Duration::from_secs(7200)),
            models: BTreeMap::new(),
        }
    }

    /// Takes in the present demand of a model.
    pub fn observe(&mut self, now: MonotonicTime, model: &str, demand: f64) {
        let fresh = Course {
            level: demand,
            trend: 0.0,
            next: now + BUCKET,
        };
        let course = self.models.entry(model.to_owned()).or_insert(fresh);
        if now < course.next {
            return;
        }
        course.next = now + BUCKET;
        let before = course.level;
        let expected = course.level + course.trend;
        course.level = expected + LEVEL_SHARE * (demand - expected);
        course.trend = TREND_KEPT * course.trend;
        course.trend += TREND_SHARE * (course.level - before - course.trend);
    }

    /// Largest demand expected within the horizon; the present one when it falls or nothing is known.
    #[must_use]
    pub fn expect(&self, model: &str, demand: f64) -> f64 {
        let Some(course) = self.models.get(model) else {
            return demand;
        };
        let steps = self.horizon.as_secs_f64() / BUCKET.as_secs_f64();
        let damped = (1.0 - TREND_KEPT.powf(steps)) / (1.0 - TREND_KEPT);
        let expected = course.level + course.trend.max(0.0) * damped;
        let most = course.level * MOST_GROWTH;
        if steps > 0.0 {
            demand.max(expected.min(most))
        } else {
            demand
        }
    }
}
