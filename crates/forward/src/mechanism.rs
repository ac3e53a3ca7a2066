//! Parts of a decision that can be left out, to measure what each is worth.

use std::collections::BTreeSet;

/// A mechanism that makes answers better or cheaper, and that no promise rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Work of all nodes on a backend is asked for before a choice.
    SharedLoad,
    /// Where prompt parts were read is asked for before a choice.
    SharedPrefixIndex,
    /// Prompts go where their parts were read.
    Affinity,
    /// Models' costs are learned from the traffic.
    LearnedCost,
    /// Placement's weights bound the use of memory bandwidth.
    BandwidthWeight,
    /// Backends that do not answer are taken out of use.
    Ejection,
    /// A request that did not run, or may run again, goes to another backend.
    Retries,
    /// Another backend goes on with a stream.
    Resumption,
    /// Backends are told which requests are more urgent.
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

/// The mechanisms in use: all but those that the settings leave out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// All but these, by their names in settings, with commas between them.
    ///
    /// # Errors
    /// The first name that no mechanism has.
    pub fn all_but(names: &str) -> Result<Self, String> {
        let names = names.split(',').map(str::trim);
        let disabled = names
            .filter(|name| !name.is_empty())
            .map(|name| Mechanism::from_name(name).ok_or_else(|| name.to_owned()));
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
