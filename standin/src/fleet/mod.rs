//! All fakes around one deployment, on loopback within this process.

mod deployment;
mod node;

pub use self::{
    deployment::{Deployment, Group, Name, Size},
    node::Node,
};

use crate::{engine, platform, service};
use policy::{
    host::{Host, State},
    pool::{Kind, Pool},
};
use std::{fmt, io};

/// Running fakes of a deployment: the platform with its host list and table, and all targets.
pub struct Fleet {
    deployment: Deployment,
    platform: platform::Server,
    engines: Vec<Node<engine::Server>>,
    services: Vec<Node<service::Server>>,
}

/// Settings that all fakes of a fleet start with, but for names and models.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Settings of the platform.
    pub platform: platform::Settings,
    /// Settings of each engine.
    pub engine: engine::Settings,
    /// Settings of each plain service.
    pub service: service::Settings,
}

impl Fleet {
    /// Starts the platform with the deployment's table, all targets, and the host list.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start(deployment: Deployment, settings: Settings) -> io::Result<Self> {
        let platform = platform::start(settings.platform.clone()).await?;
        platform.set_table(&deployment.table);
        let mut fleet = Self {
            deployment,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
        };
        for group in fleet.deployment.groups.clone() {
            for number in 1..=group.count {
                fleet.add(&group.pool, number, &settings).await?;
            }
        }
        fleet.platform.set_hosts(fleet.hosts());
        Ok(fleet)
    }

    /// Returns the shape of the deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns what the settings say of the pools.
    pub fn pools(&self) -> Vec<Pool> {
        self.deployment.pools()
    }

    /// Returns the platform.
    pub fn platform(&self) -> &platform::Server {
        &self.platform
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[Node<engine::Server>] {
        &self.engines
    }

    /// Returns the plain services of all pools.
    pub fn services(&self) -> &[Node<service::Server>] {
        &self.services
    }

    /// Returns the plain services of one pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Node<service::Server>> {
        self.services
            .iter()
            .filter(move |node| node.host().pool == pool)
    }

    /// Returns all targets as the host list names them.
    pub fn hosts(&self) -> Vec<Host> {
        let engines = self.engines.iter().map(Node::host);
        let services = self.services.iter().map(Node::host);
        engines.chain(services).cloned().collect()
    }

    /// Ends all fakes as if their processes had died.
    pub async fn stop(&self) {
        for node in &self.engines {
            node.server().stop().await;
        }
        for node in &self.services {
            node.server().stop().await;
        }
        self.platform.stop().await;
    }

    async fn add(&mut self, pool: &Pool, number: usize, settings: &Settings) -> io::Result<()> {
        let seed = (self.engines.len() + self.services.len()) as u64;
        let host = self.host(pool, number);
        match pool.kind {
            Kind::Engine => {
                let mut settings = settings.engine.clone();
                settings.pool = pool.name.clone();
                settings.target = host.target.clone();
                settings.models = vec![pool.model.clone()];
                settings.seed += seed;
                settings.weights = Some(self.platform.address());
                let server = engine::start(settings).await?;
                self.engines.push(Node::new(host, server.address(), server));
            }
            Kind::Service => {
                let mut settings = settings.service.clone();
                settings.pool = pool.name.clone();
                settings.target = host.target.clone();
                settings.lookup = pool.lookup;
                settings.seed += seed;
                let server = service::start(settings).await?;
                self.services
                    .push(Node::new(host, server.address(), server));
            }
        }
        Ok(())
    }

    fn host(&self, pool: &Pool, number: usize) -> Host {
        let domains = &self.deployment.domains;
        let domain = domains.get((number - 1) % domains.len());
        let target = format!("{}-{number}", pool.name);
        Host {
            host: format!("{target}.host").into(),
            target: target.into(),
            pool: pool.name.clone(),
            address: "".into(),
            domain: domain.cloned().unwrap_or_default(),
            region: self.deployment.region.clone(),
            state: State::Live,
        }
    }
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet")
            .field("platform", &self.platform.address())
            .field("engines", &self.engines.len())
            .field("services", &self.services.len())
            .finish_non_exhaustive()
    }
}
