//! Parts of a decision that can be disabled, to measure what each is worth.

use std::collections::BTreeSet;

/// A mechanism that makes responses better or cheaper, and that no guarantee depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// The load of all nodes on a backend is queried before a choice.
    SharedLoad,
    /// The backends that have prefix blocks cached are queried before a choice.
    SharedPrefixIndex,
    /// Prompts go where their prefix blocks are cached.
    Affinity,
    /// Models' costs are learned from the traffic.
    LearnedCost,
    /// Placement's weights bound the use of memory bandwidth.
    BandwidthWeight,
    /// Unresponsive backends are taken out of use.
    Ejection,
    /// A request that did not run, or may run again, goes to another backend.
    Retries,
    /// Another backend resumes a stream.
    Resumption,
    /// Backends receive the urgency of requests.
    Urgency,
    /// A backend of the own zone goes before an equal one elsewhere.
    ZonePreference,
    /// Connections to backends carry more than one request.
    ConnectionReuse,
}

impl Mechanism {
    /// Every mechanism.
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

    /// Its name in settings.
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

    /// The mechanism with this name in settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let mut all = Self::ALL.into_iter();
        all.find(|mechanism| mechanism.name() == name)
    }
}

/// A name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("There is no mechanism \"{name}\".")]
pub struct UnknownMechanism {
    /// The name.
    pub name: String,
}

/// The mechanisms in use: all but those that the settings disable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// All but these, by their names in settings, with commas between them.
    ///
    /// # Errors
    /// The first name that no mechanism has.
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

    /// Whether a mechanism is in use.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
