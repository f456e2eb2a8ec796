//! Shapes of the deployments: pools, counts, pipelines and workspaces.

use policy::{
    id::{DomainId, RegionId},
    pool::Pool,
    table::{Pipeline, Table, Workspace},
};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr};

/// Name of a deployment.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Name {
    /// Crew fittings, where late answers lose slots.
    Wasfi,
    /// Label filings, where doubled or lost work is dear.
    Addis,
}

/// How many targets run.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Size {
    /// Two targets in each pool.
    Small,
    /// The numbers of the deployment.
    Full,
}

/// Shape of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Region of all hosts.
    pub region: RegionId,
    /// Failure domains of the hosts.
    pub domains: Vec<DomainId>,
    /// Pools with their number of targets.
    pub groups: Vec<Group>,
    /// Table of weights and limits.
    pub table: Table,
}

/// Pool with its number of targets.
#[derive(Clone, Debug)]
pub struct Group {
    /// What the settings say of the pool.
    pub pool: Pool,
    /// Number of targets.
    pub count: usize,
}

/// Longest time of a call to a plain service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time of a fitting summary.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time of a dossier.
const DRAFT_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time without progress.
const SILENCE: Duration = Duration::from_secs(1);

/// Most tokens of a fitting summary.
const SUMMARY_TOKENS: u32 = 64;

/// Most tokens of a dossier.
const DRAFT_TOKENS: u32 = 512;

/// Targets in each pool at the small size.
const SMALL: usize = 2;

impl Deployment {
    /// Returns the shape of a deployment at a size.
    pub fn new(name: Name, size: Size) -> Self {
        let mut deployment = match name {
            Name::Wasfi => wasfi(),
            Name::Addis => addis(),
        };
        if size == Size::Small {
            for group in &mut deployment.groups {
                group.count = SMALL;
            }
        }
        deployment
    }

    /// Returns what the settings say of the pools.
    pub fn pools(&self) -> Vec<Pool> {
        self.groups.iter().map(|group| group.pool.clone()).collect()
    }
}

fn wasfi() -> Deployment {
    let engines = Pool::new("fitting-engines")
        .with_engine("fitting", SUMMARY_TOKENS)
        .with_limits(SUMMARY_TIMEOUT, SILENCE);
    let groups = vec![
        group(service("encoders"), 4),
        group(service("retrievers"), 4),
        group(service("rerankers"), 4),
        group(engines, 10),
        group(service("orders-desk").with_effects(true), 3),
        group(service("crew-roster"), 3),
        group(service("fabric-stock"), 5),
        group(service("fitting-slots"), 5),
    ];
    let pipelines = [
        (
            "fitting",
            pipeline(&["encoders", "retrievers", "rerankers", "fitting-engines"]),
        ),
        (
            "size-lookup",
            pipeline(&["encoders", "fabric-stock", "fitting-slots"]),
        ),
        (
            "alteration",
            pipeline(&["crew-roster", "fabric-stock", "orders-desk"]),
        ),
    ];
    let workspaces = [
        ("tailors", 4.0),
        ("fitters", 3.0),
        ("schedulers", 1.0),
        ("rota", 1.0),
        ("stores", 1.0),
    ];
    Deployment {
        region: "amman".into(),
        domains: names("amman"),
        groups,
        table: table(&pipelines, &workspaces),
    }
}

fn addis() -> Deployment {
    let engines = Pool::new("drafting-engines")
        .with_engine("dossier", DRAFT_TOKENS)
        .with_limits(DRAFT_TIMEOUT, SILENCE)
        .with_checkpoint();
    let groups = vec![
        group(service("encoders"), 4),
        group(service("retrievers"), 4),
        group(service("rerankers"), 4),
        group(engines, 10),
        group(service("filing-desk").with_effects(false), 3),
        group(service("franchise-portal"), 3),
        group(service("artwork-store"), 5),
        group(service("fee-ledger"), 5),
    ];
    let lodgement = [
        "franchise-portal",
        "artwork-store",
        "fee-ledger",
        "filing-desk",
    ];
    let filing = [
        "encoders",
        "retrievers",
        "rerankers",
        "drafting-engines",
        "filing-desk",
    ];
    let pipelines = [
        (
            "dossier",
            pipeline(&["encoders", "retrievers", "rerankers", "drafting-engines"]),
        ),
        ("lodgement", pipeline(&lodgement)),
        ("filing", pipeline(&filing)),
    ];
    let workspaces = [
        ("head-office", 4.0),
        ("bottlers", 3.0),
        ("bole", 1.0),
        ("piazza", 1.0),
        ("merkato", 1.0),
    ];
    Deployment {
        region: "addis".into(),
        domains: names("addis"),
        groups,
        table: table(&pipelines, &workspaces),
    }
}

fn names(region: &str) -> Vec<DomainId> {
    ["a", "b", "c"]
        .iter()
        .map(|domain| format!("{region}-{domain}").into())
        .collect()
}

fn service(name: &str) -> Pool {
    Pool::new(name).with_limits(SERVICE_TIMEOUT, SILENCE)
}

fn group(pool: Pool, count: usize) -> Group {
    Group { pool, count }
}

fn pipeline(stages: &[&str]) -> Pipeline {
    Pipeline::new(stages.iter().copied())
}

fn table(pipelines: &[(&str, Pipeline)], workspaces: &[(&str, f64)]) -> Table {
    let workspace = |share: f64| Workspace {
        share,
        ..Workspace::default()
    };
    Table {
        revision: 1,
        workspaces: workspaces
            .iter()
            .map(|(name, share)| ((*name).into(), workspace(*share)))
            .collect(),
        pipelines: pipelines
            .iter()
            .map(|(name, pipeline)| ((*name).into(), pipeline.clone()))
            .collect(),
        ..Table::default()
    }
}
