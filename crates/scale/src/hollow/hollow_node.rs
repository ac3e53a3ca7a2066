//! A simulated node: a real agent and a simulated proxy.

use std::sync::Arc;

use millford_agent::AgentOptions;
use millford_agent::daemon::report::SharedReport;
use millford_agent::daemon::{
    AgentReport, Driver, DriverComponents, EventQueues, ProxySender, TrafficMeter,
};
use millford_transport::FrameLimits;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::hollow::hollow_proxy::SimulatedProxy;
use crate::hollow::revision_arrivals::RevisionArrivals;
use crate::hollow::traffic::{TrafficCounts, TrafficShape};

/// The two runtimes of the test harness. They are separate so that the agents' processor time can be measured
/// by the names of their threads.
#[derive(Clone, Debug)]
pub struct HarnessRuntimes {
    /// Runtime of the agents alone.
    pub agents: Handle,
    /// Runtime of the simulated proxies, the registry stub and the run itself.
    pub load: Handle,
}

/// The tasks of an agent and of its simulated proxy, which are aborted on drop.
#[derive(Debug)]
pub struct SimulatedNode {
    meter: Arc<TrafficMeter>,
    report: SharedReport,
    tasks: [JoinHandle<()>; 2],
}

impl SimulatedNode {
    /// Starts the agent and the simulated proxy of node `number`. `seeds` are the control nodes' internal
    /// addresses.
    #[must_use]
    pub fn start(
        number: u32,
        seeds: &[String],
        shape: TrafficShape,
        runtimes: &HarnessRuntimes,
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
            seeds: None,
            saved_members: None,
            meter: Arc::clone(&meter),
            frame_limits: FrameLimits::default(),
            report: report.clone(),
        };
        let agent = runtimes.agents.spawn(async move {
            // The channel stays open for as long as the driver runs, so that the driver keeps its proxy sender.
            let _ = sender_updates.send(Some(sender)).await;
            Driver::new(components).run().await;
            drop(sender_updates);
        });
        let proxy = SimulatedProxy::new(shape, queues, revision_arrivals, counts);
        let proxy = runtimes.load.spawn(proxy.run(frames));
        Self {
            meter,
            report,
            tasks: [agent, proxy],
        }
    }

    /// Returns the agent's latest report of its state.
    #[must_use]
    pub fn report(&self) -> AgentReport {
        self.report.get()
    }

    /// Returns the traffic counters of the agent's connection to control.
    #[must_use]
    pub fn meter(&self) -> &TrafficMeter {
        &self.meter
    }
}

impl Drop for SimulatedNode {
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
