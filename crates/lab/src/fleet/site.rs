//! Topologies of the sites.

use millford_api::config::Document;

use crate::registry::record::DeclarationRecord;

/// Model of long caption and bulletin requests.
pub const LARGE_MODEL: &str = "saga-large";
/// Model of short questions.
pub const SMALL_MODEL: &str = "saga-small";
/// Model of requests that may not be repeated.
pub const ONCE_MODEL: &str = "saga-once";
/// Model name that lookup backends declare.
pub const LOOKUP_DECLARATION: &str = "lookup";

const DEMO_DOCUMENT: &str = include_str!("../../../../config/demo.json");
const BENCH_DOCUMENT: &str = include_str!("../../../../config/bench.json");
const REYKJAVIK_DOCUMENT: &str = include_str!("../../../../config/reykjavik.json");
const DAKAR_DOCUMENT: &str = include_str!("../../../../config/dakar.json");

/// A topology by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// Small fleet for a first look.
    Demo,
    /// Eight proxy nodes, three control nodes.
    Reykjavik,
    /// Six proxy nodes, three control nodes.
    Dakar,
    /// One proxy node without limits, for measurements.
    Bench,
}

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Name for people.
    pub name: &'static str,
    /// Zones of proxy nodes and backends.
    pub zones: usize,
    /// Control nodes.
    pub controls: usize,
    /// Pairs of agent and proxy.
    pub proxy_nodes: usize,
    /// Model backends.
    pub model_backends: usize,
    /// Lookup backends.
    pub lookup_backends: usize,
    /// The operators' document.
    pub document: &'static str,
    /// Tenant keys that the document knows.
    pub tenant_keys: &'static [&'static str],
    /// Path prefix of lookups.
    pub lookup_prefix: &'static str,
}

const BENCH_KEYS: &[&str] = &["bench-load-key"];
const DEMO_KEYS: &[&str] = &["demo-library-key", "demo-station-key"];
const REYKJAVIK_KEYS: &[&str] = &[
    "reykjavik-library-key",
    "reykjavik-shop-key",
    "reykjavik-school-key",
    "reykjavik-reader-key",
    "reykjavik-archive-key",
];
const DAKAR_KEYS: &[&str] = &[
    "dakar-north-key",
    "dakar-south-key",
    "dakar-coast-key",
    "dakar-river-key",
    "dakar-archive-key",
];

impl Site {
    /// The site of this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "demo" => Some(Site::Demo),
            "reykjavik" => Some(Site::Reykjavik),
            "dakar" => Some(Site::Dakar),
            _ => None,
        }
    }

    /// What the site consists of.
    #[must_use]
    pub fn plan(self) -> SitePlan {
        let demo = SitePlan {
            name: "demo",
            zones: 4,
            controls: 3,
            proxy_nodes: 4,
            model_backends: 6,
            lookup_backends: 2,
            document: DEMO_DOCUMENT,
            tenant_keys: DEMO_KEYS,
            lookup_prefix: "/catalogue/",
        };
        let full = SitePlan {
            model_backends: 12,
            lookup_backends: 4,
            ..demo.clone()
        };
        match self {
            Site::Demo => demo,
            Site::Bench => SitePlan {
                name: "bench",
                proxy_nodes: 1,
                document: BENCH_DOCUMENT,
                tenant_keys: BENCH_KEYS,
                ..demo
            },
            Site::Reykjavik => SitePlan {
                name: "reykjavik",
                proxy_nodes: 8,
                document: REYKJAVIK_DOCUMENT,
                tenant_keys: REYKJAVIK_KEYS,
                ..full
            },
            Site::Dakar => SitePlan {
                name: "dakar",
                proxy_nodes: 6,
                document: DAKAR_DOCUMENT,
                tenant_keys: DAKAR_KEYS,
                lookup_prefix: "/stations/",
                ..full
            },
        }
    }
}

impl SitePlan {
    /// Zone of the machine with this index.
    #[must_use]
    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones + 1)
    }

    /// The operators' document, parsed.
    ///
    /// # Errors
    /// The document is no valid JSON of this form.
    pub fn parsed_document(&self) -> Result<Document, serde_json::Error> {
        serde_json::from_str(self.document)
    }

    /// Declarations of every model backend.
    #[must_use]
    pub fn model_declarations() -> Vec<DeclarationRecord> {
        [LARGE_MODEL, SMALL_MODEL, ONCE_MODEL]
            .map(declaration)
            .to_vec()
    }

    /// Declarations of every lookup backend.
    #[must_use]
    pub fn lookup_declarations() -> Vec<DeclarationRecord> {
        vec![declaration(LOOKUP_DECLARATION)]
    }
}

fn declaration(model: &str) -> DeclarationRecord {
    DeclarationRecord {
        model: model.to_owned(),
        version: "1".to_owned(),
        stage: "serve".to_owned(),
        adapters: Vec::new(),
    }
}
