//! Topologies and configuration documents of the example sites.

use millford_api::config::Document;

use crate::registry::record::DeclarationRecord;

/// Model of long requests, for captions and bulletins.
pub const LARGE_MODEL: &str = "saga-large";
/// Model of short questions.
pub const SMALL_MODEL: &str = "saga-small";
/// Model of requests that are not idempotent.
pub const ONCE_MODEL: &str = "saga-once";
/// Model name that lookup backends declare.
pub const LOOKUP_DECLARATION: &str = "lookup";

const DEMO_DOCUMENT: &str = include_str!("../../../../config/demo.json");
const BENCH_DOCUMENT: &str = include_str!("../../../../config/bench.json");
const REYKJAVIK_DOCUMENT: &str = include_str!("../../../../config/reykjavik.json");
const DAKAR_DOCUMENT: &str = include_str!("../../../../config/dakar.json");

/// One of the example sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// Small fleet of the demonstration.
    Demo,
    /// Eight proxy nodes, three control nodes.
    Reykjavik,
    /// Six proxy nodes, three control nodes.
    Dakar,
    /// One proxy node without limits, for measurements.
    Bench,
}

/// Topology and configuration document of a site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Number of zones, which nodes and backends are assigned to in turn.
    pub zones: usize,
    /// Number of control nodes.
    pub controls: usize,
    /// Number of proxy nodes, each an agent with its proxy.
    pub proxy_nodes: usize,
    /// Number of model backends.
    pub model_backends: usize,
    /// Number of lookup backends.
    pub lookup_backends: usize,
    /// Configuration document, as JSON.
    pub document: &'static str,
    /// One key of each tenant in the document; the last tenant has the smallest quota.
    pub tenant_keys: &'static [&'static str],
    /// Path prefix of lookups, which the document routes to the lookup backends.
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
    /// Returns the site called `name`. The bench site has no name on the command line.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "demo" => Some(Site::Demo),
            "reykjavik" => Some(Site::Reykjavik),
            "dakar" => Some(Site::Dakar),
            _ => None,
        }
    }

    /// Returns the topology and configuration document of the site.
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
    /// Returns the zone of the node or backend at `index`.
    #[must_use]
    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones + 1)
    }

    /// Parses the configuration document.
    ///
    /// # Errors
    /// The document is not valid JSON, or not of the expected form.
    pub fn parsed_document(&self) -> Result<Document, serde_json::Error> {
        serde_json::from_str(self.document)
    }

    /// Returns the models that every model backend declares.
    #[must_use]
    pub fn model_declarations() -> Vec<DeclarationRecord> {
        [LARGE_MODEL, SMALL_MODEL, ONCE_MODEL]
            .map(declaration)
            .to_vec()
    }

    /// Returns the one declaration of every lookup backend.
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
