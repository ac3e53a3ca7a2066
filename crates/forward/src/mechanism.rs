//! Mechanisms that can be disabled to measure the effect of each.

use std::collections::BTreeSet;

/// A mechanism that reduces latency, failures or cost. No guarantee depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Queries the load of all nodes on the candidate backends before a choice.
    SharedLoad,
    /// Queries which backends have the prompt's prefix blocks cached before a choice.
    SharedPrefixIndex,
    /// Prefers backends that have the prompt's prefix blocks cached.
    Affinity,
    /// Estimates the cost of each model from its traffic.
    LearnedCost,
    /// Divides costs by the placement weights, which bound the use of the backends' memory bandwidth.
    BandwidthWeight,
    /// Stops sending requests to unresponsive backends.
    Ejection,
    /// Retries a request that did not run, or that may run again, on another backend.
    Retries,
    /// Resumes a broken stream on another backend.
    Resumption,
    /// Sends each request's urgency to the backend.
    Urgency,
    /// Prefers backends in the node's own zone to equal ones in other zones.
    ZonePreference,
    /// Reuses connections to backends for several requests.
    ConnectionReuse,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 11] = [
        Mechanism::SharedLoad,
        Mechanism::SharedPrefixIndex,
        Mechanism::Affinity,
        Mechanism::LearnedCost,
        Mechanism::BandwidthWeight,
        Mechanism::Ejection,
        Mechanism::Retries,
        Mechanism::Resumption,
        Mechanism::Urgency,
        Mechanism::ZonePreference,
        Mechanism::ConnectionReuse,
    ];

    /// Returns the mechanism's name in the settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Mechanism::SharedLoad => "shared_load",
            Mechanism::SharedPrefixIndex => "shared_parts",
            Mechanism::Affinity => "affinity",
            Mechanism::LearnedCost => "learned_cost",
            Mechanism::BandwidthWeight => "bandwidth_weight",
            Mechanism::Ejection => "ejection",
            Mechanism::Retries => "retries",
            Mechanism::Resumption => "resumption",
            Mechanism::Urgency => "urgency",
            Mechanism::ZonePreference => "zone_preference",
            Mechanism::ConnectionReuse => "connection_reuse",
        }
    }

    /// Returns the mechanism with this name in the settings, if there is one.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let mut all = Self::ALL.into_iter();
        all.find(|mechanism| mechanism.name() == name)
    }
}

/// The settings name a mechanism that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("There is no mechanism \"{name}\".")]
pub struct UnknownMechanism {
    /// The name as it is written in the settings.
    pub name: String,
}

/// The enabled mechanisms: all except those that the settings disable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// Enables all mechanisms except `names`, a comma-separated list of their names in the settings. Empty names are
    /// ignored.
    ///
    /// # Errors
    /// Fails with the first unknown name.
    pub fn all_but(names: &str) -> Result<Self, UnknownMechanism> {
        let names = names.split(',').map(str::trim);
        let disabled = names.filter(|name| !name.is_empty()).map(|name| {
            Mechanism::from_name(name).ok_or_else(|| UnknownMechanism {
                name: name.to_owned(),
            })
        });
        Ok(Self {
            disabled: disabled.collect::<Result<_, _>>()?,
        })
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
