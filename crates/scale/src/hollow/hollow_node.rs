//! One hollow node.

use std::sync::Arc;

use millford_agent::AgentOptions;
use millford_agent::daemon::report::SharedReport;
use millford_agent::daemon::{
    AgentReport, Driver, DriverComponents, EventQueues, ProxySender, TrafficMeter,
};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::hollow::hollow_proxy::HollowProxy;
use crate::hollow::revision_arrivals::RevisionArrivals;
use crate::hollow::traffic::{TrafficCounts, TrafficShape};

/// The two runtimes of the rig: their threads' names tell the agents' processor time from the rest.
#[derive(Clone, Debug)]
pub struct RigRuntimes {
    /// Agents only.
    pub agents: Handle,
    /// Hollow proxies and the registry.
    pub load: Handle,
}

/// An agent at work and its hollow proxy. Dropping it ends both.
#[derive(Debug)]
pub struct HollowNode {
    meter: Arc<TrafficMeter>,
    report: SharedReport,
    tasks: [JoinHandle<()>; 2],
}

impl HollowNode {
    /// Starts node number `number`.
    #[must_use]
    pub fn start(
        number: u32,
        seeds: &[String],
        shape: TrafficShape,
        runtimes: &RigRuntimes,
        revision_arrivals: Arc<RevisionArrivals>,
        counts: Arc<TrafficCounts>,
    ) -> Self {
        let (queues, events) = EventQueues::new();
        let (sender, frames) = ProxySender::new();
        let (sender_updates, proxy_senders) = mpsc::channel(1);
        let meter = Arc::new(TrafficMeter::default());
        let report = SharedReport::default();
        let components = DriverComponents {
            options: options(number, seeds, shape.seed),
            queues: queues.clone(),
            events,
            proxy_senders,
            registry: None,
            saved_members: None,
            meter: Arc::clone(&meter),
            report: report.clone(),
        };
        let agent = runtimes.agents.spawn(async move {
            // The update channel stays with the task, so that the driver keeps its sender.
            let _ = sender_updates.send(Some(sender)).await;
            Driver::new(components).run().await;
            drop(sender_updates);
        });
        let proxy = HollowProxy::new(shape, queues, revision_arrivals, counts);
        let proxy = runtimes.load.spawn(proxy.run(frames));
        Self {
            meter,
            report,
            tasks: [agent, proxy],
        }
    }

    /// The agent's present state.
    #[must_use]
    pub fn report(&self) -> AgentReport {
        self.report.get()
    }

    /// Traffic on the agent's link to control.
    #[must_use]
    pub fn meter(&self) -> &TrafficMeter {
        &self.meter
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn options(number: u32, seeds: &[String], seed: u64) -> AgentOptions {
    AgentOptions {
        name: format!("node-{number:03}"),
        zone: format!("zone-{}", number % 9),
        address: format!("10.200.{}.{}:1", number / 250, number % 250),
        boot_id: rand::random(),
        control_addresses: seeds.to_vec(),
        random_seed: seed ^ u64::from(number),
        ..Default::default()
    }
}
